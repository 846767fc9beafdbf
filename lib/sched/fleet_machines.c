#include <string.h>

#include "gw/log.h"
#include "sched/fleet_impl.h"

/* A machine whose return takes this much longer than planned is overdue. */
#define OVERDUE_MARGIN_US (2500 * GW_US_PER_MS)

/*
 * Returns the pool of that name; creates it if it is unknown.
 */
pool_t *
fleet_get_pool(fleet_t *fleet, const char *name)
{
	pool_t *pool = g_hash_table_lookup(fleet->pools, name);

	if (pool != NULL)
		return pool;
	pool = g_new0(pool_t, 1);
	g_strlcpy(pool->name, name, sizeof(pool->name));
	pool->idle =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pool->team_counts = fleet_team_counts_new();
	pool->forecast = forecast_new(gw_clock_now_us(fleet->clock));
	pool->long_running_hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(fleet->pools, pool->name, pool);
	return pool;
}

void
fleet_set_pool(fleet_t *fleet, const char *name, uint32_t group, bool standby)
{
	pool_t *pool = fleet_get_pool(fleet, name);

	pool->group = group;
	pool->standby = standby;
}

/*
 * Returns the machine of that name; creates it if it is unknown.
 */
static machine_t *
get_machine(fleet_t *fleet, const char *name)
{
	machine_t *machine = g_hash_table_lookup(fleet->machines, name);

	if (machine != NULL)
		return machine;
	machine = g_new0(machine_t, 1);
	g_strlcpy(machine->state.name, name, sizeof(machine->state.name));
	g_hash_table_insert(fleet->machines, machine->state.name, machine);
	return machine;
}

/*
 * Prevents orders to a machine for for_ms, since an order of a previous planner
 * may still be carried out. Until then the machine counts as down for the wave.
 */
void
fleet_add_previous_order(
    fleet_t *fleet, const char *name, uint64_t wave, uint64_t for_ms)
{
	machine_t *machine = get_machine(fleet, name);

	machine->previous_order_until_us =
	    gw_clock_now_us(fleet->clock) + for_ms * GW_US_PER_MS;
	machine->previous_order_wave = wave;
	machine->backoff_until_us = machine->previous_order_until_us;
}

/*
 * Returns the machine that runs the instance, or NULL.
 */
machine_t *
fleet_find_machine(const fleet_t *fleet, const char *instance)
{
	GHashTableIter iter;
	machine_t *machine;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (strcmp(machine->state.instance, instance) == 0)
			return machine;
	return NULL;
}

/*
 * Begins a complete list of machines. fleet_list_end() removes the machines
 * that are not in it.
 */
void
fleet_list_begin(fleet_t *fleet)
{
	GHashTableIter iter;
	machine_t *machine;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		machine->in_list = false;
}

/*
 * Returns whether the order to the machine has been carried out, by the other
 * instance that it runs. That shows a move also without a response.
 */
static bool
is_back(const machine_t *machine, const char *instance)
{
	if (machine->goal == GOAL_NONE ||
	    strcmp(machine->old_instance, instance) == 0)
		return false;
	return machine->phase == PHASE_AWAY ||
	    (machine->goal == GOAL_MOVE && machine->is_ordered &&
		strcmp(machine->state.pool, machine->target_pool) == 0);
}

/*
 * Clears the goal of a machine whose order has been carried out.
 */
static void
end_goal_if_back(fleet_t *fleet, machine_t *machine, const char *instance)
{
	if (!is_back(machine, instance))
		return;
	gw_log(GW_EV_MACHINE_ORDER,
	    "machine=%s instance=%s state=back away_ms=%" PRIu64,
	    machine->state.name, instance,
	    gw_elapsed_us(
		gw_clock_now_us(fleet->clock), machine->phase_since_us) /
		GW_US_PER_MS);
	machine->goal = GOAL_NONE;
}

/*
 * Adds or updates one machine of the list.
 */
void
fleet_list_add(fleet_t *fleet, const fleet_machine_t *from)
{
	machine_t *machine = get_machine(fleet, from->name);

	machine->in_list = true;
	/* While the instance is up, the registry is more recent. */
	if (machine->state.up && machine->state.instance[0] != '\0' &&
	    machine->goal == GOAL_NONE && from->up &&
	    strcmp(machine->state.pool, from->pool) == 0)
		return;
	machine->state = *from;
	if (from->up && from->instance[0] != '\0')
		end_goal_if_back(fleet, machine, from->instance);
}

/*
 * Ends the list, and removes the machines that were not in it.
 */
void
fleet_list_end(fleet_t *fleet)
{
	GHashTableIter iter;
	machine_t *machine;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (!machine->in_list)
			g_hash_table_iter_remove(&iter);
	fleet->has_list = true;
	fleet->list_read_us = gw_clock_now_us(fleet->clock);
}

/*
 * Handles a new or changed registry entry of an instance. Ignores an instance
 * whose entry names no machine.
 */
void
fleet_instance_up(fleet_t *fleet, const sched_instance_info_t *info)
{
	machine_t *machine;

	if (info->machine[0] == '\0')
		return;
	machine = get_machine(fleet, info->machine);
	g_strlcpy(machine->state.pool, info->pool, sizeof(machine->state.pool));
	g_strlcpy(
	    machine->state.instance, info->id, sizeof(machine->state.instance));
	machine->state.cpu_millis = info->capacity.cpu_millis;
	machine->state.up = !info->leaving;
	if (machine->state.up)
		end_goal_if_back(fleet, machine, info->id);
}

/*
 * Handles the removal of an instance's registry entry: its machine counts as
 * down.
 */
void
fleet_instance_removed(fleet_t *fleet, const char *instance)
{
	machine_t *machine = fleet_find_machine(fleet, instance);

	if (machine != NULL)
		machine->state.up = false;
}

/*
 * Returns whether nothing runs on the machine, by the last load report of the
 * pool's owner.
 */
bool
fleet_machine_is_idle(fleet_t *fleet, const machine_t *machine)
{
	pool_t *pool = fleet_get_pool(fleet, machine->state.pool);

	return pool->standby || machine->state.instance[0] == '\0' ||
	    g_hash_table_contains(pool->idle, machine->state.instance);
}

/*
 * Returns how long the order to the machine takes it out of service.
 */
uint32_t
fleet_away_ms(const fleet_t *fleet, const machine_t *machine)
{
	return machine->goal == GOAL_MOVE ? fleet->times.move_ms
					  : fleet->times.maintain_ms;
}

/*
 * Returns whether the machine should be back by now: it, or the report of its
 * return, may have been lost.
 */
bool
fleet_machine_is_overdue(const fleet_t *fleet, const machine_t *machine)
{
	uint64_t away_us = gw_elapsed_us(
	    gw_clock_now_us(fleet->clock), machine->phase_since_us);

	return machine->goal != GOAL_NONE && machine->phase == PHASE_AWAY &&
	    away_us >
	    fleet_away_ms(fleet, machine) * GW_US_PER_MS + OVERDUE_MARGIN_US;
}

/*
 * Counts the machines of the pool, including those in maintenance. A machine
 * that is moving counts for the target pool only, an overdue one for none.
 */
uint32_t
fleet_count_pool_machines(const fleet_t *fleet, const char *pool)
{
	GHashTableIter iter;
	machine_t *machine;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
		if (fleet_machine_is_overdue(fleet, machine))
			continue;
		if (machine->goal == GOAL_MOVE)
			count += strcmp(machine->target_pool, pool) == 0;
		else if (strcmp(machine->state.pool, pool) == 0)
			count +=
			    machine->state.up || machine->goal == GOAL_MAINTAIN;
	}
	return count;
}

/*
 * Counts the machines that are moving to the pool and are not overdue.
 */
uint32_t
fleet_count_incoming(const fleet_t *fleet, const char *pool)
{
	GHashTableIter iter;
	machine_t *machine;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		count += machine->goal == GOAL_MOVE &&
		    !fleet_machine_is_overdue(fleet, machine) &&
		    strcmp(machine->target_pool, pool) == 0;
	return count;
}

/*
 * Puts a machine into a phase, in which no request has been sent yet.
 */
void
fleet_set_phase(fleet_t *fleet, machine_t *machine, phase_t phase)
{
	machine->phase = phase;
	machine->phase_since_us = gw_clock_now_us(fleet->clock);
	machine->requested_us = 0;
}

/*
 * Gives a machine a goal, and begins with the drain.
 */
void
fleet_start_goal(fleet_t *fleet, machine_t *machine, goal_t goal)
{
	machine->goal = goal;
	machine->is_ordered = false;
	g_strlcpy(machine->old_instance, machine->state.instance,
	    sizeof(machine->old_instance));
	fleet_set_phase(fleet, machine, PHASE_DRAINING);
}
