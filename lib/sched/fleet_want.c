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
 * Until an owner has reported for this long, its pool keeps its machines if it
 * has work: after all processes were lost, instances come into contact one by
 * one and callers send again, so the load is still incomplete.
 */
#define REPORTS_MIN_US (4 * GW_US_PER_S)
/*
 * Demand is not extrapolated beyond this multiple of what present work can use:
 * one large job that arrives looks like the beginning of a steep rise.
 */
#define RISE_MAX_FACTOR 3

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
 * Returns the time from an order to the first work on the machine.
 */
uint64_t
fleet_move_lead_us(const fleet_t *fleet)
{
	return (fleet->times.move_ms + SCHED_REGISTER_MARGIN_MS) * GW_US_PER_MS;
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
	return MAX(pool->used_cpu_millis,
		   pool->long_running_used_cpu_millis +
		       fleet_extrapolate_rate(
			   pool, fleet_move_lead_us(fleet))) +
	    MIN(pool->waiting_cpu_ms * 1000 / BACKLOG_TARGET_MS,
		pool->waiting_cpu_millis);
}

/*
 * Returns the CPU that a pool needs by the rate at which work arrives, as
 * above, but with two bounds. The extrapolated rate is limited by the CPU that
 * the present tasks can use, and raised to the rate that the period of demand
 * lets expect until a machine that is ordered now will have arrived.
 */
static uint64_t
cpu_need_by_forecast(const fleet_t *fleet, const pool_t *pool)
{
	uint64_t long_running =
	    MIN(pool->used_cpu_millis, pool->long_running_used_cpu_millis);
	uint64_t usable =
	    pool->used_cpu_millis - long_running + pool->waiting_cpu_millis;
	uint64_t rate =
	    MIN(fleet_extrapolate_rate(pool, fleet_move_lead_us(fleet)),
		RISE_MAX_FACTOR * usable);

	rate = MAX(rate, fleet_expected_rate(pool, fleet_move_lead_us(fleet)));
	return MAX(pool->used_cpu_millis, long_running + rate) +
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

/*
 * Returns whether the owner of a pool with work has not reported for long
 * enough to know its load.
 */
static bool
load_is_incomplete(const pool_t *pool, uint64_t now_us)
{
	bool has_work =
	    pool->used_cpu_millis > pool->long_running_used_cpu_millis ||
	    pool->waiting_cpu_millis > 0;

	return has_work &&
	    gw_elapsed_us(now_us, pool->reporting_since_us) < REPORTS_MIN_US;
}

/*
 * Returns how many machines a pool keeps although it doesn't need them now:
 * those that it is expected to need before a machine that is moved away could
 * be back, and all while its load is incomplete or orders are unavailable.
 */
static uint32_t
kept_by_forecast(const fleet_t *fleet, const pool_t *pool, uint64_t now_us)
{
	uint64_t expected =
	    fleet_expected_rate(pool, 2 * fleet_move_lead_us(fleet));
	uint32_t kept = 0;

	if (expected > 0 && pool->instances > 0)
		kept = machines_needed(pool,
			   pool->long_running_used_cpu_millis + expected,
			   pool->capacity_cpu_millis) +
		    RESERVE_MACHINES;
	if (fleet->orders_unavailable || load_is_incomplete(pool, now_us))
		kept = MAX(kept, fleet_count_pool_machines(fleet, pool->name));
	return kept;
}

static void
set_wanted_by_forecast(fleet_t *fleet, uint64_t now_us)
{
	GHashTableIter iter;
	pool_t *pool;

	set_wanted(fleet, cpu_need_by_forecast);
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		pool->kept_machines = kept_by_forecast(fleet, pool, now_us);
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
const fleet_lending_t fleet_lending_forecast = {
    "forecast", set_wanted_by_forecast};
