#include "sched/fleet_impl.h"

/* The policies that set how many machines each pool should have. */

/* A pool gets enough machines to do its waiting work in this time. */
#define BACKLOG_TARGET_MS 1500
/* Machines beyond the present need, for the work that arrives next. */
#define RESERVE_MACHINES 1
#define POOL_MACHINES_MIN 2
/*
 * A new owner has no contact with its instances at first, so a pool without any
 * gets a machine only once a long-running task has waited this long.
 */
#define NO_INSTANCE_WAIT_US (600 * GW_US_PER_MS)

/*
 * Returns how many machines the need takes, if each has the mean capacity of
 * the pool's usable instances.
 */
static uint32_t
machines_needed(const pool_t *pool, uint64_t need, uint64_t capacity)
{
	uint64_t per_machine = MAX(capacity / pool->instances, 1);

	return (uint32_t)((need + per_machine - 1) / per_machine);
}

/*
 * Returns one machine more than the pool has, or the present number if a
 * machine is already moving to the pool. The pool's machines include those
 * being drained, which have no room for new tasks and whose tasks may need room
 * elsewhere before they can be stopped.
 */
static uint32_t
count_for_one_more(const fleet_t *fleet, const pool_t *pool)
{
	uint32_t count = fleet_count_pool_machines(fleet, pool->name);

	return fleet_count_incoming(fleet, pool->name) > 0 ? count : count + 1;
}

/*
 * Returns the CPU that a pool needs by its backlog: the CPU in use, plus the
 * CPU that does the waiting work in BACKLOG_TARGET_MS.
 */
static uint64_t
cpu_need_by_backlog(const fleet_t *fleet, const pool_t *pool)
{
	(void)fleet;
	return pool->used_cpu_millis +
	    pool->waiting_cpu_ms * 1000 / BACKLOG_TARGET_MS;
}

/*
 * Returns the CPU that a pool needs by the rate at which work arrives. Meant
 * for loads where a pool's demand rises within a second to several times its
 * mean. The CPU in use rises only after machines have arrived, and the backlog
 * grows slowly at first; the arrival rate shows the surge at once, and its
 * slope shows the demand at the time when a machine that is ordered now will
 * have arrived. The CPU for the backlog is limited to what the waiting tasks
 * can use. Long-running tasks do not count as work that arrives: their CPU is
 * added.
 */
static uint64_t
cpu_need_by_rate(const fleet_t *fleet, const pool_t *pool)
{
	uint64_t lead_us =
	    (fleet->times.move_ms + SCHED_REGISTER_MARGIN_MS) * GW_US_PER_MS;

	return MAX(pool->used_cpu_millis,
		   pool->long_running_used_cpu_millis +
		       fleet_forecast_rate(pool, lead_us)) +
	    MIN(pool->waiting_cpu_ms * 1000 / BACKLOG_TARGET_MS,
		pool->waiting_cpu_millis);
}

/*
 * Returns whether a task fits on no instance although much of the pool is free:
 * tasks that need most of a machine find none empty, since the free room is
 * spread over instances that have long-running tasks.
 */
static bool
is_fragmented(const pool_t *pool)
{
	return pool->blocked_jobs > 0 &&
	    pool->used_cpu_millis * 4 < pool->capacity_cpu_millis * 3 &&
	    pool->used_memory_mib * 4 < pool->capacity_memory_mib * 3;
}

/*
 * Returns how many machines a pool without usable instances should have.
 */
static uint32_t
wanted_without_instances(const fleet_t *fleet, const pool_t *pool)
{
	uint64_t now_us = gw_clock_now_us(fleet->clock);
	uint32_t wanted = MAX(pool->wanted_machines, POOL_MACHINES_MIN);

	if (fleet_lacking_room_us(fleet, pool, now_us) > NO_INSTANCE_WAIT_US)
		wanted = MAX(wanted, count_for_one_more(fleet, pool));
	return wanted;
}

/*
 * Sets how many machines each pool should have, by the CPU and the memory that
 * it needs. If a long-running task has no room, or the pool is fragmented, it
 * gets at least one machine more, even if its total capacity is sufficient.
 */
static void
set_wanted(fleet_t *fleet, uint64_t (*need)(const fleet_t *, const pool_t *))
{
	GHashTableIter iter;
	pool_t *pool;

	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
		uint32_t by_cpu, by_memory;

		if (pool->standby)
			continue;
		if (pool->instances == 0) {
			pool->wanted_machines =
			    wanted_without_instances(fleet, pool);
			continue;
		}
		by_cpu = machines_needed(pool,
		    need(fleet, pool) + pool->long_running_waiting_cpu_millis,
		    pool->capacity_cpu_millis);
		by_memory = machines_needed(pool,
		    pool->used_memory_mib +
			pool->long_running_waiting_memory_mib +
			pool->waiting_memory_mib_ms / BACKLOG_TARGET_MS,
		    pool->capacity_memory_mib);
		pool->wanted_machines = MAX(POOL_MACHINES_MIN,
		    MAX(by_cpu, by_memory) + RESERVE_MACHINES);
		if (pool->long_running_waiting > 0 || is_fragmented(pool))
			pool->wanted_machines = MAX(pool->wanted_machines,
			    count_for_one_more(fleet, pool));
	}
}

static void
set_wanted_by_backlog(fleet_t *fleet, uint64_t now_us)
{
	(void)now_us;
	set_wanted(fleet, cpu_need_by_backlog);
}

static void
set_wanted_by_rate(fleet_t *fleet, uint64_t now_us)
{
	(void)now_us;
	set_wanted(fleet, cpu_need_by_rate);
}

static void
set_wanted_to_current(fleet_t *fleet, uint64_t now_us)
{
	GHashTableIter iter;
	pool_t *pool;

	(void)now_us;
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		pool->wanted_machines =
		    fleet_count_pool_machines(fleet, pool->name);
}

const fleet_lending_t fleet_lending_none = {"none", set_wanted_to_current};
const fleet_lending_t fleet_lending_demand = {"demand", set_wanted_by_backlog};
const fleet_lending_t fleet_lending_rate = {"rate", set_wanted_by_rate};
