#include <string.h>

#include "balance.h"
#include "fleet_state.h"
#include "round.h"
#include "router.h"
#include "wave.h"

/* States that one instance may pass through in one version of the table. */
#define STEPS_MAX 4

static plan_demand_t *
demand_of(GPtrArray *list, const char *pool)
{
	plan_demand_t *demand;

	for (guint i = 0; i < list->len; i++) {
		demand = list->pdata[i];
		if (strcmp(demand->pool, pool) == 0)
			return demand;
	}
	demand = g_new0(plan_demand_t, 1);
	g_strlcpy(demand->pool, pool, sizeof(demand->pool));
	g_ptr_array_add(list, demand);
	return demand;
}

/*
 * Adds up what the routers want of each pool. The age is that of the oldest
 * report, counted from the router's last heartbeat.
 */
static GPtrArray *
sum_demand(const fleet_t *fleet, uint64_t now_us)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer pool, value;
	uint32_t age_ms;

	for (guint i = 0; i < fleet->routers->len; i++) {
		const router_t *router = fleet->routers->pdata[i];

		if (router->contact.ended)
			continue;
		age_ms = (uint32_t)((now_us - router->heard_us) / GW_US_PER_MS);
		g_hash_table_iter_init(&iter, router->demand);
		while (g_hash_table_iter_next(&iter, &pool, &value)) {
			router_demand_t *from = value;
			plan_demand_t *sum = demand_of(list, pool);

			sum->queued += from->queued;
			sum->in_flight += from->in_flight;
			sum->slots_wanted += from->slots_wanted;
			sum->age_ms = MAX(sum->age_ms, age_ms);
			if (from->refused > from->refused_before)
				sum->refused += (uint32_t)(from->refused -
				    from->refused_before);
			from->refused_before = from->refused;
		}
	}
	return list;
}

static const char *
action_name(plan_action_kind_t kind)
{
	switch (kind) {
	case PLAN_MOVE:
		return "move";
	case PLAN_REBOOT:
		return "reboot";
	case PLAN_BIND_TIME:
		return "bind";
	}
	return "unknown";
}

/*
 * Puts one decision into the draft. An instance may have changed its state
 * since the decision's input was made; then nothing is done.
 */
static void
apply(fleet_t *fleet, member_table_t *draft, const plan_action_t *action)
{
	member_instance_t *instance =
	    member_table_find(draft, action->instance_id);
	member_purpose_t purpose;
	const char *pool;
	gw_err_t err;
	int rc;

	if (instance == NULL ||
	    (action->kind == PLAN_BIND_TIME && instance->time_bound))
		return;
	pool = action->kind == PLAN_MOVE ? action->target_pool : instance->pool;
	if (action->kind == PLAN_BIND_TIME) {
		rc = member_bind_time(draft, instance, &err);
	} else {
		purpose = action->kind == PLAN_REBOOT	     ? MEMBER_FOR_REBOOT
		    : strcmp(pool, instance->home_pool) == 0 ? MEMBER_FOR_RETURN
							     : MEMBER_FOR_MOVE;
		rc = member_begin_leave(draft, instance, purpose,
		    action->kind == PLAN_MOVE ? action->target_pool : NULL,
		    &err);
	}
	decision_note(fleet, action_name(action->kind), action->instance_id,
	    pool, rc == 0 ? action->reason : err.text);
}

static void
apply_all(fleet_t *fleet, member_table_t *draft, GPtrArray *actions)
{
	for (guint i = 0; i < actions->len; i++)
		apply(fleet, draft, actions->pdata[i]);
	g_ptr_array_set_size(actions, 0);
}

/*
 * Decides lending, waves and numbers, each on the draft as the decision before
 * left it, so that together they stay within the budgets.
 */
void
round_decide(fleet_t *fleet, member_table_t *draft)
{
	const fleet_policy_t *policy = fleet->config.policy;
	g_autoptr(GPtrArray) demand = sum_demand(fleet, fleet_now_us(fleet));
	g_autoptr(GPtrArray) actions = g_ptr_array_new_with_free_func(g_free);
	plan_input_t input = {.manifest = fleet->generation.manifest,
	    .previous = fleet->generation.previous,
	    .table = draft,
	    .demand = demand,
	    .waves = fleet->waves,
	    .data_centre = fleet->config.data_centre};
	uint64_t now_us = fleet_now_us(fleet);

	if (input.manifest == NULL)
		return;
	balance_update(fleet, draft, &input);
	if (policy == NULL)
		return;
	if (fleet->waves_loaded) {
		waves_finish(fleet);
		policy->waves(&input, now_us, actions);
		apply_all(fleet, draft, actions);
	}
	policy->lending->decide(fleet->lending, &input, now_us, actions);
	apply_all(fleet, draft, actions);
}

/*
 * Tells whether the instance goes no further by itself: the platform has it
 * leave, so it stays drained until it ends.
 */
static bool
stays(const member_instance_t *instance)
{
	return instance->state == MEMBER_DRAINED &&
	    instance->purpose == MEMBER_FOR_NONE;
}

/*
 * Takes one instance as far as the routers' acknowledgements allow. An ended
 * one may be removed and freed.
 */
static void
step_one(fleet_t *fleet, member_table_t *draft, member_instance_t *instance)
{
	member_state_t before = instance->state;
	char reason[96];

	if (before == MEMBER_ENDED) {
		(void)member_step(draft, instance, fleet->routers,
		    &fleet->election.lease, fleet_now_us(fleet));
		return;
	}
	for (int i = 0; i < STEPS_MAX && !stays(instance); i++)
		if (!member_step(draft, instance, fleet->routers,
			&fleet->election.lease, fleet_now_us(fleet)))
			break;
	if (instance->state == before)
		return;
	(void)g_snprintf(reason, sizeof(reason),
	    "%s: every router has acknowledged or was waited out",
	    member_state_name(before));
	decision_note(fleet, member_state_name(instance->state), instance->id,
	    instance->pool, reason);
}

/*
 * Takes every instance that is on its way as far as possible. From the end of
 * the list, since removal moves the last one into the gap.
 */
void
round_step(fleet_t *fleet, member_table_t *draft)
{
	for (guint i = draft->instances->len; i > 0; i--)
		step_one(fleet, draft, draft->instances->pdata[i - 1]);
}
