#include "drain.h"

#include "gw/log.h"
#include "router.h"

#define CHECK_US (20 * GW_US_PER_MS)
/* Time for the goodbye to leave the sockets' buffers. */
#define GOODBYE_US (50 * GW_US_PER_MS)

static void
on_gone(gw_timer_t *timer, void *arg)
{
	drain_t *drain = arg;

	(void)timer;
	gw_rt_stop(drain->router->rt);
}

/*
 * Tells whether the router may end: nothing is in flight, and connections that
 * are still open had time to send a request that was on its way.
 */
static bool
is_drained(const drain_t *drain)
{
	const router_t *router = drain->router;
	uint64_t now_us = gw_rt_now_us(router->rt);

	if (now_us >= drain->end_us)
		return true;
	if (router->requests.length > 0 || router->open_callers > 0)
		return false;
	return gw_httpd_connections(router->callers) == 0 ||
	    now_us >=
	    drain->closed_us + router->settings->drain_linger_ms * GW_US_PER_MS;
}

static void
on_check(gw_timer_t *timer, void *arg)
{
	drain_t *drain = arg;
	router_t *router = drain->router;

	if (!is_drained(drain)) {
		gw_timer_start(router->rt, timer, CHECK_US, on_check, drain);
		return;
	}
	gw_log(GW_EV_DRAINED, "requests=%u connections=%u",
	    router->requests.length, gw_httpd_connections(router->callers));
	fleet_goodbye(router->fleet);
	admin_shutdown(router->admin);
	gw_timer_start(router->rt, timer, GOODBYE_US, on_gone, drain);
}

/*
 * The balancer has had time to see /readyz fail: accept no more connections,
 * and answer further requests of open ones with "Connection: close".
 */
static void
on_delay(gw_timer_t *timer, void *arg)
{
	drain_t *drain = arg;

	gw_httpd_shutdown(drain->router->callers);
	drain->closed_us = gw_rt_now_us(drain->router->rt);
	on_check(timer, drain);
}

/*
 * Begins the graceful shutdown; the loop stops when it is complete. A second
 * call does nothing.
 */
void
drain_begin(drain_t *drain, router_t *router)
{
	const settings_t *settings = router->settings;

	if (router->draining)
		return;
	router->draining = true;
	drain->router = router;
	drain->end_us =
	    gw_rt_now_us(router->rt) + settings->drain_max_ms * GW_US_PER_MS;
	gw_log(GW_EV_SHUTDOWN, "requests=%u", router->requests.length);
	gw_timer_start(router->rt, &drain->timer,
	    settings->drain_delay_ms * GW_US_PER_MS, on_delay, drain);
}
