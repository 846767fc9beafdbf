#include "sched/fleet_impl.h"

/* The arrival rate is averaged over this time: a surge shows within it. */
#define RATE_WINDOW_US (400 * GW_US_PER_MS)
/* The window of the longer average, against which a rise is measured. */
#define LONG_RATE_WINDOW_US (1200 * GW_US_PER_MS)

static void
replace_names(GHashTable *names, char *const *from, size_t count)
{
	g_hash_table_remove_all(names);
	for (size_t i = 0; i < count; i++)
		g_hash_table_add(names, g_strdup(from[i]));
}

/*
 * Returns the average after the value held for age_us. Older values fade out
 * over about window_us.
 */
static uint64_t
update_average(
    uint64_t average, uint64_t value, uint64_t age_us, uint64_t window_us)
{
	return (average * window_us + value * age_us) / (window_us + age_us);
}

/*
 * Updates the averages of the arrival rate with the work that arrived since the
 * last report of the same owner: the work that became ready, whether it was
 * placed or is waiting, and the work that was refused.
 */
static void
update_demand_rate(pool_t *pool, const Gw__PoolLoad *load, uint64_t now_us)
{
	uint64_t demand = load->demand_cpu_ms + load->waiting_cpu_ms;
	uint64_t age_us = gw_elapsed_us(now_us, pool->load_received_us);
	uint64_t rate = 0;

	/*
	 * The demand is less than before when a new owner counts from zero, or
	 * when waiting jobs ended.
	 */
	if (demand > pool->demand_cpu_ms)
		rate = (demand - pool->demand_cpu_ms) * GW_US_PER_S /
		    MAX(age_us, 1);
	if (pool->load_received_us == 0)
		rate = 0;
	pool->demand_cpu_ms = demand;
	pool->rate_cpu_millis =
	    update_average(pool->rate_cpu_millis, rate, age_us, RATE_WINDOW_US);
	pool->long_rate_cpu_millis = update_average(
	    pool->long_rate_cpu_millis, rate, age_us, LONG_RATE_WINDOW_US);
}

/*
 * Returns the arrival rate that is to be expected after lead_us. During a
 * steady rise the averages lag behind by RATE_WINDOW_US and
 * LONG_RATE_WINDOW_US, so their difference gives the slope. A fall is not
 * extrapolated.
 */
uint64_t
fleet_forecast_rate(const pool_t *pool, uint64_t lead_us)
{
	uint64_t rise = pool->rate_cpu_millis -
	    MIN(pool->rate_cpu_millis, pool->long_rate_cpu_millis);

	return pool->rate_cpu_millis +
	    rise * (lead_us + RATE_WINDOW_US) /
	    (LONG_RATE_WINDOW_US - RATE_WINDOW_US);
}

/*
 * Stores an owner's report of its pool's load.
 */
void
fleet_set_load(fleet_t *fleet, const char *name, const Gw__PoolLoad *load)
{
	pool_t *pool = fleet_get_pool(fleet, name);
	uint64_t now_us = gw_clock_now_us(fleet->clock);

	update_demand_rate(pool, load, now_us);
	pool->load_received_us = now_us;
	pool->instances = load->instances;
	pool->capacity_cpu_millis = load->capacity_cpu_millis;
	pool->used_cpu_millis = load->used_cpu_millis;
	pool->waiting_cpu_ms = load->waiting_cpu_ms;
	pool->waiting_cpu_millis = load->waiting_cpu_millis;
	pool->capacity_memory_mib = load->capacity_memory_mib;
	pool->used_memory_mib = load->used_memory_mib;
	pool->waiting_memory_mib_ms = load->waiting_memory_mib_ms;
	pool->long_running_waiting = load->lasting_waiting;
	replace_names(pool->idle, load->idle_instances, load->n_idle_instances);
	replace_names(pool->long_running_hosts, load->lasting_instances,
	    load->n_lasting_instances);
}
