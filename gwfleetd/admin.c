#include <string.h>

#include "fleet_state.h"
#include "placement.h"
#include "router.h"
#include "status.h"
#include "wave.h"

/* Decisions in one answer of /v1/explain. */
#define EXPLAIN_MAX 32

static json_int_t
age_ms(const fleet_t *fleet, uint64_t since_us)
{
	if (since_us == 0)
		return -1;
	return (json_int_t)((fleet_now_us(fleet) - since_us) / GW_US_PER_MS);
}

static json_t *
router_json(const fleet_t *fleet, const router_t *router)
{
	char boot[24];

	(void)g_snprintf(boot, sizeof(boot), "%016" G_GINT64_MODIFIER "x",
	    router->contact.boot_id);
	return json_pack("{s:s, s:s, s:I, s:I, s:b, s:b, s:b, s:I}", "node_id",
	    router->contact.node_id, "boot_id", boot, "table_version",
	    (json_int_t)router->contact.acked_version, "generation",
	    (json_int_t)router->generation, "connected",
	    router_session(fleet, router) != NULL, "reported", router->reported,
	    "ended", router->contact.ended, "contact_age_ms",
	    age_ms(fleet, router->contact.answered_us));
}

/*
 * Returns the state of this gwfleetd and of its data centre as far as it knows
 * it. Ages of -1 mean never.
 */
json_t *
fleet_status_json(const fleet_t *fleet)
{
	json_t *routers = json_array();

	for (guint i = 0; i < fleet->routers->len; i++)
		(void)json_array_append_new(
		    routers, router_json(fleet, fleet->routers->pdata[i]));
	return json_pack("{s:s, s:s, s:b, s:s, s:I, s:I, s:I, s:I, s:b, s:I, "
			 "s:I, s:I, s:o}",
	    "node_id", fleet->config.node_id, "data_centre",
	    fleet->config.data_centre, "is_planner", fleet_is_planner(fleet),
	    "planner", fleet->planner_id, "epoch",
	    (json_int_t)(fleet->table == NULL ? 0 : fleet->table->epoch),
	    "table_version",
	    (json_int_t)(fleet->table == NULL ? 0 : fleet->table->version),
	    "generation", (json_int_t)generation_held(fleet),
	    "generation_in_force",
	    (json_int_t)(fleet->claimed ? status_in_force(fleet) : 0), "ready",
	    fleet_ready(fleet), "instances",
	    (json_int_t)(fleet->table == NULL ? 0
					      : fleet->table->instances->len),
	    "planner_age_ms", age_ms(fleet, fleet->planner_seen_us),
	    "platform_age_ms", age_ms(fleet, fleet->list_received_us),
	    "routers", routers);
}

/* Counts for one pool. */
typedef struct {
	json_int_t home;
	json_int_t active;
	json_int_t out_of_service;
	json_int_t time_bound;
	json_int_t lent_out;
	json_int_t borrowed;
	json_int_t slots;
} pool_counts_t;

static void
count_instances(
    const member_table_t *table, const char *pool, pool_counts_t *counts)
{
	for (guint i = 0; table != NULL && i < table->instances->len; i++) {
		const member_instance_t *instance = table->instances->pdata[i];
		bool here = strcmp(instance->pool, pool) == 0;
		bool home = strcmp(instance->home_pool, pool) == 0;

		if (home && instance->state != MEMBER_ENDED)
			counts->home++;
		if (home && !here)
			counts->lent_out++;
		if (!here)
			continue;
		if (!home)
			counts->borrowed++;
		if (instance->time_bound)
			counts->time_bound++;
		if (instance->state != MEMBER_ACTIVE) {
			counts->out_of_service++;
			continue;
		}
		counts->active++;
		counts->slots += instance->slots;
	}
}

static void
count_demand(const fleet_t *fleet, const char *pool, router_demand_t *sum)
{
	for (guint i = 0; i < fleet->routers->len; i++) {
		const router_t *router = fleet->routers->pdata[i];
		const router_demand_t *demand =
		    g_hash_table_lookup(router->demand, pool);

		if (demand == NULL)
			continue;
		sum->queued += demand->queued;
		sum->in_flight += demand->in_flight;
		sum->slots_wanted += demand->slots_wanted;
		sum->refused += demand->refused;
	}
}

static json_int_t
budget_left(const fleet_t *fleet, const char *pool)
{
	plan_input_t input = {.manifest = fleet->generation.manifest,
	    .previous = fleet->generation.previous,
	    .table = fleet->table,
	    .waves = fleet->waves,
	    .data_centre = fleet->config.data_centre};
	g_autoptr(GPtrArray) demand = g_ptr_array_new();

	if (fleet->config.policy == NULL || fleet->table == NULL)
		return -1;
	input.demand = demand;
	return (json_int_t)fleet->config.policy->budget_left(&input, pool);
}

static json_t *
pool_json(const fleet_t *fleet, const manifest_pool_t *pool)
{
	pool_counts_t counts = {0};
	router_demand_t demand = {0};

	count_instances(fleet->table, pool->name, &counts);
	count_demand(fleet, pool->name, &demand);
	return json_pack("{s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
			 "s:I, s:I, s:I, s:I, s:I}",
	    "name", pool->name, "team", pool->team, "spare", pool->spare,
	    "instances", (json_int_t)placement_target(fleet, pool->name),
	    "home", counts.home, "active", counts.active, "out_of_service",
	    counts.out_of_service, "time_bound", counts.time_bound, "lent_out",
	    counts.lent_out, "borrowed", counts.borrowed, "slots", counts.slots,
	    "queued", (json_int_t)demand.queued, "in_flight",
	    (json_int_t)demand.in_flight, "slots_wanted",
	    (json_int_t)demand.slots_wanted, "budget_left",
	    budget_left(fleet, pool->name));
}

/*
 * Returns the manifest's pools with their instances and demand here.
 */
json_t *
fleet_pools_json(const fleet_t *fleet)
{
	const manifest_t *manifest = fleet->generation.manifest;
	json_t *pools = json_array();

	for (guint i = 0; manifest != NULL && i < manifest->pools->len; i++)
		(void)json_array_append_new(pools,
		    pool_json(fleet,
			&g_array_index(manifest->pools, manifest_pool_t, i)));
	return json_pack("{s:s, s:o}", "data_centre", fleet->config.data_centre,
	    "pools", pools);
}

static json_t *
instance_json(const member_instance_t *instance)
{
	return json_pack("{s:s, s:s, s:s, s:i, s:s, s:s, s:s, s:s, s:s, s:s, "
			 "s:b, s:I, s:I}",
	    "id", instance->id, "incarnation", instance->incarnation, "address",
	    instance->address, "port", (int)instance->port, "failure_domain",
	    instance->failure_domain, "pool", instance->pool, "home_pool",
	    instance->home_pool, "target_pool", instance->target_pool, "state",
	    member_state_name(instance->state), "purpose",
	    member_purpose_name(instance->purpose), "time_bound",
	    instance->time_bound, "slots", (json_int_t)instance->slots,
	    "state_version", (json_int_t)instance->state_version);
}

/*
 * Returns the instance table.
 */
json_t *
fleet_instances_json(const fleet_t *fleet)
{
	json_t *instances = json_array();

	for (guint i = 0;
	     fleet->table != NULL && i < fleet->table->instances->len; i++)
		(void)json_array_append_new(instances,
		    instance_json(fleet->table->instances->pdata[i]));
	return json_pack("{s:s, s:o}", "data_centre", fleet->config.data_centre,
	    "instances", instances);
}

/*
 * Returns the waves that were ever started, as the planner knows them.
 */
json_t *
fleet_waves_json(const fleet_t *fleet)
{
	return json_pack("{s:s, s:o}", "data_centre", fleet->config.data_centre,
	    "waves", waves_json(fleet->waves));
}

/*
 * Names the routers that an instance on its way waits for.
 */
static json_t *
waits_for(const fleet_t *fleet, const member_instance_t *instance)
{
	json_t *waits = json_array();

	if (!fleet->claimed || instance->state == MEMBER_ACTIVE)
		return waits;
	for (guint i = 0; i < fleet->routers->len; i++) {
		const router_t *router = fleet->routers->pdata[i];

		if (!member_router_drained(&router->contact,
			&fleet->election.lease, instance, fleet_now_us(fleet)))
			(void)json_array_append_new(
			    waits, json_string(router->contact.node_id));
	}
	return waits;
}

static bool
concerns(const decision_t *decision, const char *instance_id, const char *pool)
{
	if (instance_id != NULL)
		return strcmp(decision->instance_id, instance_id) == 0;
	return pool == NULL || strcmp(decision->pool, pool) == 0;
}

/*
 * Returns the last decisions about an instance or a pool, newest first, with
 * their reasons; for an instance also its state and whom it waits for.
 */
json_t *
fleet_explain_json(
    const fleet_t *fleet, const char *instance_id, const char *pool)
{
	json_t *answer = json_object(), *list = json_array();
	const member_instance_t *instance = NULL;

	for (GList *l = fleet->decisions.kept.tail;
	     l != NULL && json_array_size(list) < EXPLAIN_MAX; l = l->prev) {
		const decision_t *decision = l->data;

		if (!concerns(decision, instance_id, pool))
			continue;
		(void)json_array_append_new(list,
		    json_pack("{s:I, s:s, s:s, s:s, s:s}", "age_ms",
			age_ms(fleet, decision->at_us), "what", decision->what,
			"instance", decision->instance_id, "pool",
			decision->pool, "reason", decision->reason));
	}
	if (instance_id != NULL && fleet->table != NULL)
		instance = member_table_find(fleet->table, instance_id);
	if (instance != NULL) {
		(void)json_object_set_new(
		    answer, "instance", instance_json(instance));
		(void)json_object_set_new(
		    answer, "waits_for", waits_for(fleet, instance));
	}
	(void)json_object_set_new(answer, "decisions", list);
	return answer;
}
