#include <string.h>

#include "gw/log.h"
#include "sched/fleet_impl.h"

/* A report older than this decides nothing. */
#define LOAD_FRESH_US (1500 * GW_US_PER_MS)
/* Waiting work should be done within this time. */
#define BACKLOG_MS 1500
/* Machines beyond the need, for what comes next. */
#define RESERVE 1
#define MACHINES_MIN 2
#define LOG_EVERY_US (500 * GW_US_PER_MS)
/* A surplus this old goes to the standby pool; shorter ones come back. */
#define SURPLUS_US (1500 * GW_US_PER_MS)

/*
 * Returns how many machines hold need, when all of them together hold capacity.
 */
static uint32_t
machines_for(const pool_t *pool, uint64_t need, uint64_t capacity)
{
	uint64_t each = MAX(capacity / pool->instances, 1);

	return (uint32_t)((need + each - 1) / each);
}

/*
 * Returns one machine more than the pool has, unless one is on its way. Those
 * that are being freed count as had: they give no room, and may wait for it
 * themselves before they can be stopped.
 */
static uint32_t
one_more(const fleet_t *fleet, const pool_t *pool)
{
	uint32_t count = fleet_pool_machines(fleet, pool->name);

	return fleet_coming(fleet, pool->name) > 0 ? count : count + 1;
}

/*
 * Returns the processors that a pool needs by what it has to do: those in use,
 * and those that would do the waiting work within BACKLOG_MS.
 */
static uint64_t
need_by_backlog(const fleet_t *fleet, const pool_t *pool)
{
	(void)fleet;
	return pool->used_cpu_millis + pool->waiting_cpu_ms * 1000 / BACKLOG_MS;
}

/*
 * Answers the load in which a pool's demand rises within a second to several
 * times its mean. What is in use follows only once machines have come, and what
 * waits grows slowly at first; the rate at which work comes in tells at once
 * how many processors the surge takes, and its rise how many it will take once
 * a machine that is ordered now is there. No more than the waiting tasks can
 * use.
 */
static uint64_t
need_by_rate(const fleet_t *fleet, const pool_t *pool)
{
	uint64_t lead_us =
	    (fleet->times.move_ms + SCHED_REGISTER_MARGIN_MS) * GW_US_PER_MS;

	return MAX(pool->used_cpu_millis, fleet_expected_rate(pool, lead_us)) +
	    MIN(pool->waiting_cpu_ms * 1000 / BACKLOG_MS,
		pool->waiting_cpu_millis);
}

/*
 * Sets how many machines each pool should have, by its need of processors and
 * by its memory. A lasting task that has no room calls for one machine more,
 * whatever the sums say.
 */
static void
want(fleet_t *fleet, uint64_t (*need)(const fleet_t *, const pool_t *))
{
	GHashTableIter iter;
	pool_t *pool;

	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
		uint32_t by_cpu, by_memory;

		if (pool->standby)
			continue;
		if (pool->instances == 0) {
			pool->wanted = MAX(pool->wanted, MACHINES_MIN);
			continue;
		}
		by_cpu = machines_for(
		    pool, need(fleet, pool), pool->capacity_cpu_millis);
		by_memory = machines_for(pool,
		    pool->used_memory_mib +
			pool->waiting_memory_mib_ms / BACKLOG_MS,
		    pool->capacity_memory_mib);
		pool->wanted =
		    MAX(MACHINES_MIN, MAX(by_cpu, by_memory) + RESERVE);
		if (pool->lasting_waiting > 0)
			pool->wanted = MAX(pool->wanted, one_more(fleet, pool));
	}
}

static void
want_by_demand(fleet_t *fleet, uint64_t now_us)
{
	(void)now_us;
	want(fleet, need_by_backlog);
}

static void
want_by_rate(fleet_t *fleet, uint64_t now_us)
{
	(void)now_us;
	want(fleet, need_by_rate);
}

static void
want_nothing(fleet_t *fleet, uint64_t now_us)
{
	GHashTableIter iter;
	pool_t *pool;

	(void)now_us;
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		pool->wanted = fleet_pool_machines(fleet, pool->name);
}

const fleet_lending_t fleet_lending_none = {"none", want_nothing};
const fleet_lending_t fleet_lending_demand = {"demand", want_by_demand};
const fleet_lending_t fleet_lending_rate = {"rate", want_by_rate};

static bool
is_fresh(const pool_t *pool, uint64_t now_us)
{
	return pool->load_us != 0 &&
	    gw_elapsed_us(now_us, pool->load_us) < LOAD_FRESH_US;
}

/*
 * Returns an idle machine of the pool, or NULL.
 */
static machine_t *
idle_machine(fleet_t *fleet, const pool_t *pool, uint64_t now_us)
{
	GHashTableIter iter;
	machine_t *machine;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (strcmp(machine->at.pool, pool->name) == 0 &&
		    machine->goal == GOAL_NONE && machine->at.up &&
		    now_us >= machine->retry_us &&
		    fleet_is_idle(fleet, machine))
			return machine;
	return NULL;
}

static pool_t *
standby_pool(fleet_t *fleet, uint32_t group)
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
 * Counts the machines on standby that could be ordered to the pool now.
 */
uint32_t
fleet_on_standby(fleet_t *fleet, const char *pool)
{
	const pool_t *standby =
	    standby_pool(fleet, fleet_pool(fleet, pool)->group);
	GHashTableIter iter;
	machine_t *machine;
	uint32_t count = 0;

	if (standby == NULL)
		return 0;
	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		count += strcmp(machine->at.pool, standby->name) == 0 &&
		    machine->goal == GOAL_NONE && machine->at.up;
	return count;
}

/*
 * Returns how many machines the pool has beyond what it wants.
 */
static int32_t
surplus(const fleet_t *fleet, const pool_t *pool)
{
	return (int32_t)fleet_pool_machines(fleet, pool->name) -
	    (int32_t)pool->wanted;
}

static void
move(fleet_t *fleet, machine_t *machine, const pool_t *to)
{
	g_strlcpy(machine->target, to->name, sizeof(machine->target));
	machine->wave = 0;
	fleet_begin(fleet, machine, GOAL_MOVE);
}

/*
 * Finds a machine for a pool that lacks some: from the standby pool, else from
 * the pool with the largest surplus.
 */
static machine_t *
lender(fleet_t *fleet, const pool_t *to, uint64_t now_us)
{
	pool_t *standby = standby_pool(fleet, to->group), *pool;
	machine_t *machine = NULL;
	GHashTableIter iter;
	int32_t most = 0;

	if (standby != NULL)
		machine = idle_machine(fleet, standby, now_us);
	if (machine != NULL)
		return machine;
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
		machine_t *found;

		if (pool == to || pool->standby || pool->group != to->group ||
		    !is_fresh(pool, now_us) || surplus(fleet, pool) <= most)
			continue;
		found = idle_machine(fleet, pool, now_us);
		if (found == NULL)
			continue;
		machine = found;
		most = surplus(fleet, pool);
	}
	return machine;
}

static void
fill(fleet_t *fleet, pool_t *pool, uint64_t now_us)
{
	while (surplus(fleet, pool) < 0) {
		machine_t *machine = lender(fleet, pool, now_us);

		if (machine == NULL)
			return;
		move(fleet, machine, pool);
	}
}

/*
 * Switches off what a pool has had too much of for a while.
 */
static void
give_back(fleet_t *fleet, pool_t *pool, uint64_t now_us)
{
	pool_t *standby = standby_pool(fleet, pool->group);
	machine_t *machine;

	if (standby == NULL || surplus(fleet, pool) <= 0) {
		pool->surplus_since_us = 0;
		return;
	}
	if (pool->surplus_since_us == 0)
		pool->surplus_since_us = now_us;
	if (gw_elapsed_us(now_us, pool->surplus_since_us) < SURPLUS_US)
		return;
	while (surplus(fleet, pool) > 0) {
		machine = idle_machine(fleet, pool, now_us);
		if (machine == NULL)
			return;
		move(fleet, machine, standby);
	}
}

/*
 * Logs what is wanted, with what it was decided by.
 */
static void
log_wanted(fleet_t *fleet, uint64_t now_us)
{
	GHashTableIter iter;
	pool_t *pool;

	if (gw_elapsed_us(now_us, fleet->logged_us) < LOG_EVERY_US)
		return;
	fleet->logged_us = now_us;
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		gw_log(GW_EV_POOL_WANT,
		    "pool=%s standby=%d machines=%u wanted=%u usable=%u "
		    "idle=%u used_cpu=%" PRIu64 " waiting_cpu_ms=%" PRIu64
		    " rate_cpu=%" PRIu64 " load_age_ms=%" PRIu64,
		    pool->name, pool->standby,
		    fleet_pool_machines(fleet, pool->name), pool->wanted,
		    pool->instances, g_hash_table_size(pool->idle),
		    pool->used_cpu_millis, pool->waiting_cpu_ms,
		    pool->rate_cpu_millis,
		    gw_elapsed_us(now_us, pool->load_us) / GW_US_PER_MS);
}

/*
 * Moves machines to where they are wanted.
 */
void
fleet_lend(fleet_t *fleet, uint64_t now_us)
{
	GHashTableIter iter;
	pool_t *pool;

	fleet->lending->decide(fleet, now_us);
	log_wanted(fleet, now_us);
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		if (!pool->standby && is_fresh(pool, now_us))
			fill(fleet, pool, now_us);
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		if (!pool->standby && is_fresh(pool, now_us))
			give_back(fleet, pool, now_us);
}
