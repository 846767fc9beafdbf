#include "router.h"

#include "gw/id.h"
#include "gw/log.h"
#include "intake.h"
#include "sweep.h"

/*
 * Interval of checks for conditions that change without an event: contact with
 * the planner or an ejection expires, or a caller closes its connection.
 */
#define TICK_US (100 * GW_US_PER_MS)

static void on_tick(gw_timer_t *, void *);

/*
 * Returns a router that connects to every gwfleetd in the settings. It accepts
 * callers after router_listen().
 */
router_t *
router_new(gw_rt_t *rt, const settings_t *settings)
{
	router_t *router;

	router = g_new0(router_t, 1);
	router->rt = rt;
	router->settings = settings;
	router->boot_id = gw_id_random_u64();
	router->rand = g_rand_new();
	router->pools = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&router->slot_holds);
	g_queue_init(&router->requests);
	metrics_init(&router->metrics);
	view_init(&router->view, router);
	router->spill = spill_new(rt, settings);
	router->fleet = fleet_new(router);
	gw_timer_start(rt, &router->tick, TICK_US, on_tick, router);
	return router;
}

/*
 * Listens for callers and for admin requests.
 */
int
router_listen(router_t *router, gw_err_t *err)
{
	const settings_t *s = router->settings;
	gw_httpd_limits_t limits = {
	    s->body_max_bytes, s->caller_idle_ms, s->connections_max};

	router->caller_httpd =
	    gw_httpd_new(router->rt, &limits, intake_handle, router);
	if (gw_httpd_listen(router->caller_httpd, &s->listen,
		&router->caller_addr, err) != 0)
		return -1;
	router->admin = admin_new(router, err);
	return router->admin == NULL ? -1 : 0;
}

/*
 * Frees the router. All requests must have ended.
 */
void
router_free(router_t *router)
{
	GHashTableIter iter;
	gpointer pool;

	gw_timer_stop(&router->tick);
	fleet_free(router->fleet);
	admin_free(router->admin);
	gw_httpd_free(router->caller_httpd);
	spill_free(router->spill);
	slot_holds_clear(&router->slot_holds);
	view_clear(&router->view);
	g_hash_table_iter_init(&iter, router->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		pool_free(pool);
	g_hash_table_destroy(router->pools);
	config_clear(&router->config);
	metrics_clear(&router->metrics);
	g_rand_free(router->rand);
	g_free(router);
}

/*
 * Returns the pool by its name, created at the first call.
 */
pool_t *
router_get_pool(router_t *router, const char *name)
{
	pool_t *pool;

	pool = g_hash_table_lookup(router->pools, name);
	if (pool != NULL)
		return pool;
	pool = pool_new(router->rt, router->settings, name, &request_pool_ops,
	    &router->contact, router->rand);
	if (router->config.manifest != NULL)
		pool_set_teams(pool, router->config.manifest);
	g_hash_table_insert(router->pools, pool->name, pool);
	return pool;
}

/*
 * Refreshes every pool and starts queued requests that can start.
 */
void
router_refresh(router_t *router)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, router->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool)) {
		pool_refresh(pool);
		pool_dispatch(pool);
	}
}

/*
 * Sets the team weights of the new manifest in all pools.
 */
void
router_manifest_changed(router_t *router)
{
	GHashTableIter iter;
	gpointer pool;

	gw_log(
	    GW_EV_GENERATION, "generation=%" PRIu64, router->config.generation);
	g_hash_table_iter_init(&iter, router->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		pool_set_teams(pool, router->config.manifest);
}

/*
 * Called after an attempt on the instance has ended. Schedules an Ack if the
 * planner may be waiting for that, and frees the instance if it is retired and
 * this was its last attempt.
 */
void
router_attempt_ended(
    router_t *router, instance_t *instance, bool was_time_bound)
{
	if (instance->state != MEMBER_ACTIVE || !instance->in_view ||
	    (instance->time_bound && !was_time_bound) ||
	    instance->in_flight >= instance->granted)
		fleet_schedule_ack(router->fleet);
	view_free_if_unused(&router->view, instance);
}

/*
 * Counts a request that has ended, by its outcome.
 */
void
router_count_outcome(router_t *router, router_outcome_t outcome)
{
	router->metrics.outcomes[outcome]->value++;
}

/*
 * Counts a request that no endpoint answered, by the reason.
 */
void
router_count_reason(router_t *router, reason_t reason)
{
	router->metrics.reasons[reason]->value++;
}

/*
 * Returns whether a load balancer should send callers here (/readyz).
 */
bool
router_is_ready(const router_t *router)
{
	return !router->draining && router->view.admitted &&
	    router->config.manifest != NULL;
}

static void
on_tick(gw_timer_t *timer, void *arg)
{
	router_t *router = arg;

	sweep_gone_callers(router);
	router_refresh(router);
	gw_timer_start(router->rt, timer, TICK_US, on_tick, router);
}
