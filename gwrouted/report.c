#include "report.h"
#include "router.h"
#include "wire/frame.h"

static void
init(report_t *report)
{
	*report = (report_t){.hello = GW__HELLO__INIT,
	    .heartbeat = GW__HEARTBEAT__INIT,
	    .ack = GW__ACK__INIT,
	    .outcome = GW__OUTCOME__INIT};
	report->submessages = g_ptr_array_new_with_free_func(g_free);
}

static void
add_in_flight(report_t *report, instance_t *instance)
{
	Gw__InstanceInFlight *message;

	message = g_new(Gw__InstanceInFlight, 1);
	gw__instance_in_flight__init(message);
	message->instance_id = instance->id;
	message->incarnation = instance->incarnation;
	message->in_flight = instance_reported_in_flight(instance);
	message->slots_held = MAX(instance->granted, instance->in_flight);
	g_ptr_array_add(report->submessages, message);
}

static void
add_if_slots_held(instance_t *instance, void *arg)
{
	if (instance->granted > 0 || instance->in_flight > 0)
		add_in_flight(arg, instance);
}

static void
add_if_report_needed(instance_t *instance, void *arg)
{
	if (instance_needs_report(instance))
		add_in_flight(arg, instance);
}

/*
 * Builds the Hello, which lists all slots that the router holds. The
 * submessages point into the state of the router and are valid until that
 * changes.
 */
void
report_hello(report_t *report, router_t *router)
{
	Gw__Hello *hello = &report->hello;

	init(report);
	view_foreach(&router->view, add_if_slots_held, report);
	hello->protocol = GW_PROTOCOL_VERSION;
	hello->node_id = router->settings->node_id;
	hello->boot_id = router->boot_id;
	hello->role = GW__ROLE__ROLE_ROUTER;
	hello->data_centre = router->settings->data_centre;
	hello->generation = router->config.generation;
	hello->epoch = router->view.epoch;
	hello->table_version = router->view.version;
	hello->n_held = report->submessages->len;
	hello->held = (Gw__InstanceInFlight **)report->submessages->pdata;
}

/*
 * Builds the Ack: the versions in force, and the instances on which the planner
 * waits for attempts to end.
 */
void
report_ack(report_t *report, router_t *router, uint64_t view_sequence)
{
	Gw__Ack *ack = &report->ack;

	init(report);
	view_foreach(&router->view, add_if_report_needed, report);
	ack->epoch = router->view.epoch;
	ack->table_version = router->view.version;
	ack->generation = router->config.generation;
	ack->view_sequence = view_sequence;
	ack->n_leaving = report->submessages->len;
	ack->leaving = (Gw__InstanceInFlight **)report->submessages->pdata;
}

static bool
demand_equal(const pool_demand_t *a, const pool_demand_t *b)
{
	return a->queued == b->queued && a->in_flight == b->in_flight &&
	    a->slots_wanted == b->slots_wanted && a->refused == b->refused;
}

static void
add_demand(report_t *report, pool_t *pool, bool if_changed)
{
	pool_demand_t demand = pool_take_demand(pool);
	Gw__PoolDemand *message;

	if (if_changed && pool->has_reported_demand &&
	    demand_equal(&demand, &pool->reported_demand))
		return;
	pool->has_reported_demand = true;
	pool->reported_demand = demand;
	message = g_new(Gw__PoolDemand, 1);
	gw__pool_demand__init(message);
	message->pool = pool->name;
	message->queued = demand.queued;
	message->in_flight = demand.in_flight;
	message->slots_wanted = demand.slots_wanted;
	message->refused = demand.refused;
	g_ptr_array_add(report->submessages, message);
}

/*
 * Builds a heartbeat with the demand and the instances that need a report. The
 * instances are sent to every gwfleetd, because a planner considers an instance
 * drained when no heartbeat names it. Once built, a heartbeat with demand must
 * be sent, since the next one contains only the changes after it.
 */
void
report_heartbeat(report_t *report, router_t *router, report_demand_t demand,
    uint64_t sequence, uint64_t sent_us)
{
	Gw__Heartbeat *heartbeat = &report->heartbeat;
	GHashTableIter iter;
	gpointer pool;
	guint pools;

	init(report);
	g_hash_table_iter_init(&iter, router->pools);
	while (
	    demand != DEMAND_NONE && g_hash_table_iter_next(&iter, NULL, &pool))
		add_demand(report, pool, demand == DEMAND_CHANGED);
	pools = report->submessages->len;
	view_foreach(&router->view, add_if_report_needed, report);
	heartbeat->sequence = sequence;
	heartbeat->sent_us = sent_us;
	heartbeat->epoch = router->view.epoch;
	heartbeat->table_version = router->view.version;
	heartbeat->generation = router->config.generation;
	heartbeat->n_demand = pools;
	heartbeat->demand = (Gw__PoolDemand **)report->submessages->pdata;
	heartbeat->n_leaving = report->submessages->len - pools;
	heartbeat->leaving =
	    (Gw__InstanceInFlight **)report->submessages->pdata + pools;
}

static void
add_counts(instance_t *instance, void *arg)
{
	report_t *report = arg;
	Gw__InstanceOutcome *message;
	attempt_counts_t *counts = &instance->counts;

	if (counts->started + counts->succeeded + counts->failed +
		counts->timed_out ==
	    0)
		return;
	message = g_new(Gw__InstanceOutcome, 1);
	gw__instance_outcome__init(message);
	message->instance_id = instance->id;
	message->incarnation = instance->incarnation;
	message->started = counts->started;
	message->succeeded = counts->succeeded;
	message->failed = counts->failed;
	message->timed_out = counts->timed_out;
	*counts = (attempt_counts_t){0};
	g_ptr_array_add(report->submessages, message);
}

/*
 * Builds an Outcome with the counts since the last one, and resets the counts.
 */
void
report_outcome(report_t *report, router_t *router)
{
	init(report);
	view_foreach(&router->view, add_counts, report);
	report->outcome.n_instances = report->submessages->len;
	report->outcome.instances =
	    (Gw__InstanceOutcome **)report->submessages->pdata;
}

/*
 * Frees the submessages.
 */
void
report_clear(report_t *report)
{
	g_ptr_array_unref(report->submessages);
}
