#include "drain.h"

#include "gw/log.h"
#include "router.h"

#define DRAIN_CHECK_INTERVAL_US (20 * GW_US_PER_MS)
/* Time in which libuv writes the Goodbye to the sockets. */
#define GOODBYE_FLUSH_US (50 * GW_US_PER_MS)

static void
on_goodbye_sent(gw_timer_t *timer, void *arg)
{
	drain_t *drain = arg;

	(void)timer;
	gw_rt_stop(drain->router->rt);
}

/*
 * Returns whether the router may exit. All requests must have ended. As long as
 * connections are open, drain_linger_ms must also have passed, because a caller
 * may have sent a request before it saw that the listener closed. After
 * drain_max_ms the router may exit in any case.
 */
static bool
is_drained(const drain_t *drain)
{
	const router_t *router = drain->router;
	uint64_t now_us = gw_rt_now_us(router->rt);

	if (now_us >= drain->deadline_us)
		return true;
	if (router->requests.length > 0 || router->open_responses > 0)
		return false;
	return gw_httpd_connections(router->caller_httpd) == 0 ||
	    now_us >= drain->listener_closed_us +
		router->settings->drain_linger_ms * GW_US_PER_MS;
}

static void
on_check(gw_timer_t *timer, void *arg)
{
	drain_t *drain = arg;
	router_t *router = drain->router;

	if (!is_drained(drain)) {
		gw_timer_start(router->rt, timer, DRAIN_CHECK_INTERVAL_US,
		    on_check, drain);
		return;
	}
	gw_log(GW_EV_DRAINED, "requests=%u connections=%u",
	    router->requests.length,
	    gw_httpd_connections(router->caller_httpd));
	fleet_send_goodbye(router->fleet);
	admin_shutdown(router->admin);
	gw_timer_start(
	    router->rt, timer, GOODBYE_FLUSH_US, on_goodbye_sent, drain);
}

/*
 * Called when the load balancer has had time to see /readyz fail. Stops
 * accepting connections. Responses to further requests on open connections
 * contain "Connection: close".
 */
static void
on_delay_expired(gw_timer_t *timer, void *arg)
{
	drain_t *drain = arg;

	gw_httpd_shutdown(drain->router->caller_httpd);
	drain->listener_closed_us = gw_rt_now_us(drain->router->rt);
	on_check(timer, drain);
}

/*
 * Starts the graceful shutdown; the event loop stops at its end. A second call
 * does nothing.
 */
void
drain_begin(drain_t *drain, router_t *router)
{
	const settings_t *settings = router->settings;

	if (router->draining)
		return;
	router->draining = true;
	drain->router = router;
	drain->deadline_us =
	    gw_rt_now_us(router->rt) + settings->drain_max_ms * GW_US_PER_MS;
	gw_log(GW_EV_SHUTDOWN, "requests=%u", router->requests.length);
	gw_timer_start(router->rt, &drain->timer,
	    settings->drain_delay_ms * GW_US_PER_MS, on_delay_expired, drain);
}
