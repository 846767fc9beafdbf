#include <string.h>

#include "balance.h"
#include "fleet_state.h"
#include "placement.h"

/*
 * Tells whether the instance may change its home now: nothing else is under
 * way with it.
 */
static bool
is_settled(const member_instance_t *instance)
{
	return instance->state == MEMBER_ACTIVE &&
	    instance->target_pool[0] == '\0';
}

/*
 * Picks an instance of a pool that has more than its number, or whose pool is
 * no longer in the manifest.
 */
static member_instance_t *
pick_surplus(
    const fleet_t *fleet, member_table_t *draft, const census_t *census)
{
	for (guint i = 0; i < draft->instances->len; i++) {
		member_instance_t *instance = draft->instances->pdata[i];

		if (is_settled(instance) &&
		    census_home(census, instance->home_pool) >
			placement_target(fleet, instance->home_pool))
			return instance;
	}
	return NULL;
}

/*
 * Moves one instance from a pool above its number in the manifest to one below
 * it, within the budget of the pool that loses it.
 */
static void
move_one(fleet_t *fleet, member_table_t *draft, const plan_input_t *input,
    const census_t *census)
{
	member_instance_t *instance = pick_surplus(fleet, draft, census);
	const manifest_pool_t *target;
	gw_err_t err;

	if (instance == NULL)
		return;
	target = placement_choose_pool(fleet, census, instance->failure_domain);
	if (target == NULL)
		return;
	if (strcmp(instance->pool, instance->home_pool) == 0) {
		if (fleet->config.policy != NULL &&
		    manifest_find_pool(input->manifest, instance->pool) !=
			NULL &&
		    fleet->config.policy->budget_left(input, instance->pool) ==
			0)
			return;
		if (member_begin_leave(draft, instance, MEMBER_PURPOSE_MOVE,
			target->name, &err) != 0)
			return;
	}
	draft->version++;
	g_strlcpy(
	    instance->home_pool, target->name, sizeof(instance->home_pool));
	decision_note(fleet, "balance", instance->id, target->name,
	    "the manifest gives the old pool fewer and this one more");
}

/*
 * Brings the pools nearer to their numbers. One move at a time: the next round
 * sees the effect.
 */
void
balance_update(fleet_t *fleet, member_table_t *draft, const plan_input_t *input)
{
	census_t *census = census_new(draft);

	move_one(fleet, draft, input, census);
	census_free(census);
}
