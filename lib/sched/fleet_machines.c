#include <string.h>

#include "gw/log.h"
#include "sched/fleet_impl.h"

/*
 * Returns the pool, adding an unknown one.
 */
pool_t *
fleet_pool(fleet_t *fleet, const char *name)
{
	pool_t *pool = g_hash_table_lookup(fleet->pools, name);

	if (pool != NULL)
		return pool;
	pool = g_new0(pool_t, 1);
	g_strlcpy(pool->name, name, sizeof(pool->name));
	pool->idle =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pool->lasting =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(fleet->pools, pool->name, pool);
	return pool;
}

/*
 * Takes a pool as configured.
 */
void
fleet_set_pool(fleet_t *fleet, const char *name, uint32_t group, bool standby)
{
	pool_t *pool = fleet_pool(fleet, name);

	pool->group = group;
	pool->standby = standby;
}

static machine_t *
machine_get(fleet_t *fleet, const char *name)
{
	machine_t *machine = g_hash_table_lookup(fleet->machines, name);

	if (machine != NULL)
		return machine;
	machine = g_new0(machine_t, 1);
	g_strlcpy(machine->at.name, name, sizeof(machine->at.name));
	g_hash_table_insert(fleet->machines, machine->at.name, machine);
	return machine;
}

/*
 * Keeps a machine from new orders for a while, and counts it as down for its
 * wave.
 */
void
fleet_ordered_before(
    fleet_t *fleet, const char *name, uint64_t wave, uint64_t for_ms)
{
	machine_t *machine = machine_get(fleet, name);

	machine->before_until_us =
	    gw_clock_now_us(fleet->clock) + for_ms * GW_US_PER_MS;
	machine->before_wave = wave;
	machine->retry_us = machine->before_until_us;
}

/*
 * Returns the machine that runs the instance, or NULL.
 */
machine_t *
fleet_machine_of(const fleet_t *fleet, const char *instance)
{
	GHashTableIter iter;
	machine_t *machine;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (strcmp(machine->at.instance, instance) == 0)
			return machine;
	return NULL;
}

/*
 * Begins a whole list: machines that it does not name are gone.
 */
void
fleet_begin_list(fleet_t *fleet)
{
	GHashTableIter iter;
	machine_t *machine;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		machine->listed = false;
}

/*
 * Ends what a machine was prepared for once it runs another instance.
 */
static void
come_back(fleet_t *fleet, machine_t *machine, const char *instance)
{
	if (machine->phase != PHASE_AWAY || machine->goal == GOAL_NONE ||
	    strcmp(machine->before, instance) == 0)
		return;
	gw_log(GW_EV_MACHINE_ORDER,
	    "machine=%s instance=%s state=back away_ms=%" PRIu64,
	    machine->at.name, instance,
	    gw_elapsed_us(gw_clock_now_us(fleet->clock), machine->since_us) /
		GW_US_PER_MS);
	machine->goal = GOAL_NONE;
}

/*
 * Takes one machine of the list.
 */
void
fleet_list_machine(fleet_t *fleet, const fleet_machine_t *from)
{
	machine_t *machine = machine_get(fleet, from->name);

	machine->listed = true;
	/* The registry is newer than the list for an instance that is up. */
	if (machine->at.up && machine->at.instance[0] != '\0' &&
	    machine->goal == GOAL_NONE && from->up &&
	    strcmp(machine->at.pool, from->pool) == 0)
		return;
	machine->at = *from;
	if (from->up && from->instance[0] != '\0')
		come_back(fleet, machine, from->instance);
}

/*
 * Ends the list.
 */
void
fleet_end_list(fleet_t *fleet)
{
	GHashTableIter iter;
	machine_t *machine;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (!machine->listed)
			g_hash_table_iter_remove(&iter);
	fleet->listed = true;
	fleet->list_us = gw_clock_now_us(fleet->clock);
}

/*
 * Takes the registry's entry of a machine's instance.
 */
void
fleet_instance_up(fleet_t *fleet, const sched_instance_info_t *info)
{
	machine_t *machine;

	if (info->machine[0] == '\0')
		return;
	machine = machine_get(fleet, info->machine);
	g_strlcpy(machine->at.pool, info->pool, sizeof(machine->at.pool));
	g_strlcpy(machine->at.instance, info->id, sizeof(machine->at.instance));
	machine->at.cpu_millis = info->capacity.cpu_millis;
	machine->at.up = !info->leaving;
	if (machine->at.up)
		come_back(fleet, machine, info->id);
}

/*
 * Takes the removal of an instance's entry: its machine is not up.
 */
void
fleet_instance_gone(fleet_t *fleet, const char *instance)
{
	machine_t *machine = fleet_machine_of(fleet, instance);

	if (machine != NULL)
		machine->at.up = false;
}

/*
 * Tells whether nothing runs on the machine, by its owner's last report.
 */
bool
fleet_is_idle(fleet_t *fleet, const machine_t *machine)
{
	pool_t *pool = fleet_pool(fleet, machine->at.pool);

	return pool->standby || machine->at.instance[0] == '\0' ||
	    g_hash_table_contains(pool->idle, machine->at.instance);
}

/*
 * Counts the machines that the pool has or is getting.
 */
uint32_t
fleet_pool_machines(const fleet_t *fleet, const char *pool)
{
	GHashTableIter iter;
	machine_t *machine;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
		if (machine->goal == GOAL_MOVE)
			count += strcmp(machine->target, pool) == 0;
		else if (strcmp(machine->at.pool, pool) == 0)
			count +=
			    machine->at.up || machine->goal == GOAL_MAINTAIN;
	}
	return count;
}

/*
 * Counts the machines that are moving to the pool.
 */
uint32_t
fleet_coming(const fleet_t *fleet, const char *pool)
{
	GHashTableIter iter;
	machine_t *machine;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		count += machine->goal == GOAL_MOVE &&
		    strcmp(machine->target, pool) == 0;
	return count;
}

/*
 * Notes where a machine is on its way to its goal, from now on.
 */
void
fleet_set_phase(fleet_t *fleet, machine_t *machine, phase_t phase)
{
	machine->phase = phase;
	machine->since_us = gw_clock_now_us(fleet->clock);
	machine->asked_us = 0;
}

/*
 * Begins to prepare a machine for what its goal says.
 */
void
fleet_begin(fleet_t *fleet, machine_t *machine, goal_t goal)
{
	machine->goal = goal;
	g_strlcpy(
	    machine->before, machine->at.instance, sizeof(machine->before));
	fleet_set_phase(fleet, machine, PHASE_DRAIN);
}
