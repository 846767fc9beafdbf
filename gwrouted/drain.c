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
 * Ends the shutdown. Requests that arrive from now on are refused: they could
 * not be answered before the exit.
 */
static void
drain_end(drain_t *drain)
{
	router_t *router = drain->router;

	router->drained = true;
	gw_log(GW_EV_DRAINED, "requests=%u connections=%u",
	    router->requests.length,
	    gw_httpd_connections(router->caller_httpd));
	fleet_send_goodbye(router->fleet);
	admin_shutdown(router->admin);
	gw_timer_start(router->rt, &drain->timer, GOODBYE_FLUSH_US,
	    on_goodbye_sent, drain);
}

static void
on_check(gw_timer_t *timer, void *arg)
{
	drain_t *drain = arg;
	router_t *router = drain->router;
	uint64_t elapsed_us =
	    gw_elapsed_us(gw_rt_now_us(router->rt), drain->begun_us);
	gw_drain_step_t step = gw_drain_step(&drain->plan, elapsed_us,
	    MAX(router->requests.length, router->open_responses),
	    gw_httpd_connections(router->caller_httpd));

	if (step.close_listener)
		gw_httpd_shutdown(router->caller_httpd);
	if (step.end)
		drain_end(drain);
	else
		gw_timer_start(router->rt, timer, DRAIN_CHECK_INTERVAL_US,
		    on_check, drain);
}

/*
 * Starts the graceful shutdown; the event loop stops at its end. Responses
 * contain "Connection: close" from now on. A second call does nothing.
 */
void
drain_begin(drain_t *drain, router_t *router)
{
	const settings_t *settings = router->settings;

	if (router->draining)
		return;
	router->draining = true;
	drain->router = router;
	drain->begun_us = gw_rt_now_us(router->rt);
	drain->plan = (gw_drain_plan_t){
	    .listen_us = settings->drain_delay_ms * GW_US_PER_MS,
	    .linger_us = settings->drain_linger_ms * GW_US_PER_MS,
	    .end_us = settings->drain_max_ms * GW_US_PER_MS};
	gw_log(GW_EV_SHUTDOWN, "requests=%u", router->requests.length);
	gw_httpd_announce_close(router->caller_httpd);
	on_check(&drain->timer, drain);
}
