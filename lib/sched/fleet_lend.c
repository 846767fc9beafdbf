#include <string.h>

#include "gw/log.h"
#include "sched/fleet_impl.h"

#define LOG_INTERVAL_US (500 * GW_US_PER_MS)
/*
 * A surplus is moved to the standby pool once it has lasted this long. A
 * shorter one would soon be needed again.
 */
#define SURPLUS_AGE_MIN_US (1500 * GW_US_PER_MS)

/*
 * Returns for how long the pool has lacked room for a long-running task; 0 if
 * it does not, as far as known, or a machine is moving there.
 */
uint64_t
fleet_lacking_room_us(const fleet_t *fleet, const pool_t *pool, uint64_t now_us)
{
	if (pool->long_running_waiting == 0 ||
	    !fleet_load_is_recent(pool, now_us) ||
	    fleet_count_incoming(fleet, pool->name) > 0)
		return 0;
	return gw_elapsed_us(now_us, pool->long_running_waiting_since_us);
}

/*
 * Returns an idle machine of the pool, or NULL.
 */
static machine_t *
find_idle_machine(fleet_t *fleet, const pool_t *pool, uint64_t now_us)
{
	GHashTableIter iter;
	machine_t *machine;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (strcmp(machine->state.pool, pool->name) == 0 &&
		    machine->goal == GOAL_NONE && machine->state.up &&
		    now_us >= machine->backoff_until_us &&
		    fleet_machine_is_idle(fleet, machine))
			return machine;
	return NULL;
}

static pool_t *
find_standby_pool(fleet_t *fleet, uint32_t group)
{
	GHashTableIter iter;
	pool_t *pool;

	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		if (pool->standby && pool->group == group)
			return pool;
	return NULL;
}

/*
 * Counts the machines on standby that could move to the pool now.
 */
uint32_t
fleet_count_standby(fleet_t *fleet, const char *pool)
{
	const pool_t *standby =
	    find_standby_pool(fleet, fleet_get_pool(fleet, pool)->group);
	GHashTableIter iter;
	machine_t *machine;
	uint32_t count = 0;

	if (standby == NULL)
		return 0;
	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		count += strcmp(machine->state.pool, standby->name) == 0 &&
		    machine->goal == GOAL_NONE && machine->state.up;
	return count;
}

/*
 * Returns how many machines the pool has beyond wanted_machines; negative when
 * it has too few.
 */
static int32_t
count_surplus(const fleet_t *fleet, const pool_t *pool)
{
	return (int32_t)fleet_count_pool_machines(fleet, pool->name) -
	    (int32_t)pool->wanted_machines;
}

/*
 * Returns how many machines the pool has beyond those that it wants or keeps,
 * at least 0.
 */
static uint32_t
count_returnable(const fleet_t *fleet, const pool_t *pool)
{
	uint32_t count = fleet_count_pool_machines(fleet, pool->name);

	return count -
	    MIN(count, MAX(pool->wanted_machines, pool->kept_machines));
}

static void
start_move(fleet_t *fleet, machine_t *machine, const pool_t *to)
{
	g_strlcpy(machine->target_pool, to->name, sizeof(machine->target_pool));
	machine->wave = 0;
	fleet_start_goal(fleet, machine, GOAL_MOVE);
}

/*
 * Finds an idle machine for a pool that has too few: from the standby pool,
 * else from the pool with the largest surplus. Returns NULL if there is none.
 */
static machine_t *
find_machine_to_lend(fleet_t *fleet, const pool_t *to, uint64_t now_us)
{
	pool_t *standby = find_standby_pool(fleet, to->group), *pool;
	machine_t *machine = NULL;
	GHashTableIter iter;
	int32_t largest_surplus = 0;

	if (standby != NULL)
		machine = find_idle_machine(fleet, standby, now_us);
	if (machine != NULL)
		return machine;
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
		machine_t *found;

		if (pool == to || pool->standby || pool->group != to->group ||
		    !fleet_load_is_recent(pool, now_us) ||
		    count_surplus(fleet, pool) <= largest_surplus)
			continue;
		found = find_idle_machine(fleet, pool, now_us);
		if (found == NULL)
			continue;
		machine = found;
		largest_surplus = count_surplus(fleet, pool);
	}
	return machine;
}

static void
fill_shortage(fleet_t *fleet, pool_t *pool, uint64_t now_us)
{
	while (count_surplus(fleet, pool) < 0) {
		machine_t *machine = find_machine_to_lend(fleet, pool, now_us);

		if (machine == NULL)
			return;
		start_move(fleet, machine, pool);
	}
}

/*
 * Moves surplus machines to the standby pool, once the surplus has lasted for
 * SURPLUS_AGE_MIN_US.
 */
static void
return_surplus(fleet_t *fleet, pool_t *pool, uint64_t now_us)
{
	pool_t *standby = find_standby_pool(fleet, pool->group);
	machine_t *machine;

	if (standby == NULL || count_returnable(fleet, pool) == 0) {
		pool->surplus_since_us = 0;
		return;
	}
	if (pool->surplus_since_us == 0)
		pool->surplus_since_us = now_us;
	if (gw_elapsed_us(now_us, pool->surplus_since_us) < SURPLUS_AGE_MIN_US)
		return;
	while (count_returnable(fleet, pool) > 0) {
		machine = find_idle_machine(fleet, pool, now_us);
		if (machine == NULL)
			return;
		start_move(fleet, machine, standby);
	}
}

/*
 * Logs how many machines each pool should have, with the load on which this is
 * based.
 */
static void
log_wanted(fleet_t *fleet, uint64_t now_us)
{
	GHashTableIter iter;
	pool_t *pool;

	if (gw_elapsed_us(now_us, fleet->wanted_logged_us) < LOG_INTERVAL_US)
		return;
	fleet->wanted_logged_us = now_us;
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		gw_log(GW_EV_POOL_WANT,
		    "pool=%s standby=%d machines=%u wanted=%u kept=%u "
		    "usable=%u "
		    "idle=%u long_running_hosts=%u late_hosts=%u "
		    "used_cpu=%" PRIu64 " late_used_cpu=%" PRIu64
		    " waiting_cpu_ms=%" PRIu64 " late_waiting_cpu_ms=%" PRIu64
		    " rate_cpu=%" PRIu64 " expected_rate_cpu=%" PRIu64
		    " period_ms=%" PRIu64 " load_age_ms=%" PRIu64,
		    pool->name, pool->standby,
		    fleet_count_pool_machines(fleet, pool->name),
		    pool->wanted_machines, pool->kept_machines, pool->instances,
		    g_hash_table_size(pool->idle),
		    g_hash_table_size(pool->long_running_hosts),
		    pool->late_instances, pool->used_cpu_millis,
		    pool->late_used_cpu_millis, pool->waiting_cpu_ms,
		    pool->late_waiting_cpu_ms, pool->rate_cpu_millis,
		    fleet_expected_rate(pool, fleet_move_lead_us(fleet)),
		    forecast_period_us(pool->forecast) / GW_US_PER_MS,
		    gw_elapsed_us(now_us, pool->load_received_us) /
			GW_US_PER_MS);
}

/*
 * Decides how many machines each pool should have, and starts the moves.
 */
void
fleet_lend(fleet_t *fleet, uint64_t now_us)
{
	GHashTableIter iter;
	pool_t *pool;

	fleet->lending->set_wanted_machines(fleet, now_us);
	log_wanted(fleet, now_us);
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		if (!pool->standby && fleet_load_is_recent(pool, now_us))
			fill_shortage(fleet, pool, now_us);
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		if (!pool->standby && fleet_load_is_recent(pool, now_us))
			return_surplus(fleet, pool, now_us);
}
