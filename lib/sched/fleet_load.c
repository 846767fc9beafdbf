#include "sched/fleet_impl.h"

/* Demand is averaged over about this time: a surge shows within it. */
#define RATE_US (400 * GW_US_PER_MS)
/* The longer average that a rise is measured against. */
#define SLOW_US (1200 * GW_US_PER_MS)

static void
set_names(GHashTable *names, char *const *from, size_t count)
{
	g_hash_table_remove_all(names);
	for (size_t i = 0; i < count; i++)
		g_hash_table_add(names, g_strdup(from[i]));
}

static uint64_t
averaged(uint64_t average, uint64_t value, uint64_t age_us, uint64_t over_us)
{
	return (average * over_us + value * age_us) / (over_us + age_us);
}

/*
 * Takes what came in since the last report of the same owner: the work that
 * became ready, whether it was placed or waits, and what was refused.
 */
static void
take_demand(pool_t *pool, const Gw__PoolLoad *load, uint64_t now_us)
{
	uint64_t demand = load->demand_cpu_ms + load->waiting_cpu_ms;
	uint64_t age_us = gw_elapsed_us(now_us, pool->load_us);
	uint64_t rate = 0;

	/* Less than before: a new owner counts anew, or waiting jobs ended. */
	if (demand > pool->demand_cpu_ms)
		rate = (demand - pool->demand_cpu_ms) * GW_US_PER_S /
		    MAX(age_us, 1);
	if (pool->load_us == 0)
		rate = 0;
	pool->demand_cpu_ms = demand;
	pool->rate_cpu_millis =
	    averaged(pool->rate_cpu_millis, rate, age_us, RATE_US);
	pool->slow_cpu_millis =
	    averaged(pool->slow_cpu_millis, rate, age_us, SLOW_US);
}

/*
 * Returns the rate that is to be expected after lead_us: the averages lag
 * behind a steady rise by RATE_US and SLOW_US, so that their difference is its
 * slope. A fall is left to show itself.
 */
uint64_t
fleet_expected_rate(const pool_t *pool, uint64_t lead_us)
{
	uint64_t rise = pool->rate_cpu_millis -
	    MIN(pool->rate_cpu_millis, pool->slow_cpu_millis);

	return pool->rate_cpu_millis +
	    rise * (lead_us + RATE_US) / (SLOW_US - RATE_US);
}

/*
 * Takes an owner's report of its load.
 */
void
fleet_set_load(fleet_t *fleet, const char *name, const Gw__PoolLoad *load)
{
	pool_t *pool = fleet_pool(fleet, name);
	uint64_t now_us = gw_clock_now_us(fleet->clock);

	take_demand(pool, load, now_us);
	pool->load_us = now_us;
	pool->instances = load->instances;
	pool->capacity_cpu_millis = load->capacity_cpu_millis;
	pool->used_cpu_millis = load->used_cpu_millis;
	pool->waiting_cpu_ms = load->waiting_cpu_ms;
	pool->waiting_cpu_millis = load->waiting_cpu_millis;
	pool->capacity_memory_mib = load->capacity_memory_mib;
	pool->used_memory_mib = load->used_memory_mib;
	pool->waiting_memory_mib_ms = load->waiting_memory_mib_ms;
	pool->lasting_waiting = load->lasting_waiting;
	set_names(pool->idle, load->idle_instances, load->n_idle_instances);
	set_names(
	    pool->lasting, load->lasting_instances, load->n_lasting_instances);
}
