#include "sched/fleet_impl.h"

/* Window of the short average of the arrival rate, which shows a surge. */
#define RATE_WINDOW_US (400 * GW_US_PER_MS)
/* Window of the long average, with which the short one is compared. */
#define LONG_RATE_WINDOW_US (1200 * GW_US_PER_MS)
/* A load report counts for this long. */
#define LOAD_AGE_MAX_US (1500 * GW_US_PER_MS)

static void
replace_names(GHashTable *names, char *const *from, size_t count)
{
	g_hash_table_remove_all(names);
	for (size_t i = 0; i < count; i++)
		g_hash_table_add(names, g_strdup(from[i]));
}

/*
 * Returns the weighted average after a value that lasted for age_us. The weight
 * of older values decays over about window_us.
 */
static uint64_t
update_average(
    uint64_t average, uint64_t value, uint64_t age_us, uint64_t window_us)
{
	return (average * window_us + value * age_us) / (window_us + age_us);
}

/*
 * Updates the averages of the arrival rate with the work that arrived since the
 * owner's last report: work that became ready, placed or still waiting, and
 * work that was refused.
 */
static void
update_demand_rate(pool_t *pool, const Gw__PoolLoad *load, uint64_t now_us)
{
	uint64_t demand = load->demand_cpu_ms + load->waiting_cpu_ms;
	uint64_t age_us = gw_elapsed_us(now_us, pool->load_received_us);
	uint64_t work = 0, rate;

	/*
	 * The demand falls when a new owner begins to count at zero, and when
	 * waiting jobs end.
	 */
	if (demand > pool->demand_cpu_ms && pool->load_received_us != 0)
		work = demand - pool->demand_cpu_ms;
	rate = work * GW_US_PER_S / MAX(age_us, 1);
	forecast_add(pool->forecast, work, now_us);
	pool->demand_cpu_ms = demand;
	pool->rate_cpu_millis =
	    update_average(pool->rate_cpu_millis, rate, age_us, RATE_WINDOW_US);
	pool->long_rate_cpu_millis = update_average(
	    pool->long_rate_cpu_millis, rate, age_us, LONG_RATE_WINDOW_US);
}

/*
 * Extrapolates the arrival rate to the time after lead_us. During a steady rise
 * the averages lag behind by RATE_WINDOW_US and LONG_RATE_WINDOW_US, so that
 * their difference gives the slope. A fall is not extrapolated.
 */
uint64_t
fleet_extrapolate_rate(const pool_t *pool, uint64_t lead_us)
{
	uint64_t rise = pool->rate_cpu_millis -
	    MIN(pool->rate_cpu_millis, pool->long_rate_cpu_millis);

	return pool->rate_cpu_millis +
	    rise * (lead_us + RATE_WINDOW_US) /
	    (LONG_RATE_WINDOW_US - RATE_WINDOW_US);
}

/*
 * Returns the highest rate that is expected by the period of demand until
 * ahead_us, less the error that such forecasts had; 0 if no period is known.
 */
uint64_t
fleet_expected_rate(const pool_t *pool, uint64_t ahead_us)
{
	forecast_rate_t expected;

	if (!forecast_highest(pool->forecast, 0, ahead_us, &expected))
		return 0;
	return expected.rate_cpu_millis -
	    MIN(expected.rate_cpu_millis, expected.error_cpu_millis);
}

/*
 * Returns whether the pool's load is known. If it is not, the pool neither gets
 * nor lends machines.
 */
bool
fleet_load_is_recent(const pool_t *pool, uint64_t now_us)
{
	return pool->load_received_us != 0 &&
	    gw_elapsed_us(now_us, pool->load_received_us) < LOAD_AGE_MAX_US;
}

/*
 * Stores an owner's report of its pool's load.
 */
void
fleet_set_load(fleet_t *fleet, const char *name, const Gw__PoolLoad *load)
{
	pool_t *pool = fleet_get_pool(fleet, name);
	uint64_t now_us = gw_clock_now_us(fleet->clock);

	if (!fleet_load_is_recent(pool, now_us))
		pool->reporting_since_us = now_us;
	update_demand_rate(pool, load, now_us);
	fleet_set_team_loads(
	    pool, load, gw_elapsed_us(now_us, pool->load_received_us));
	pool->load_received_us = now_us;
	pool->instances = load->instances;
	pool->capacity_cpu_millis = load->capacity_cpu_millis;
	pool->used_cpu_millis = load->used_cpu_millis;
	pool->waiting_cpu_ms = load->waiting_cpu_ms;
	pool->waiting_cpu_millis = load->waiting_cpu_millis;
	pool->late_used_cpu_millis = load->late_used_cpu_millis;
	pool->late_waiting_cpu_ms = load->late_waiting_cpu_ms;
	pool->capacity_memory_mib = load->capacity_memory_mib;
	pool->used_memory_mib = load->used_memory_mib;
	pool->waiting_memory_mib_ms = load->waiting_memory_mib_ms;
	if (load->lasting_waiting == 0)
		pool->long_running_waiting_since_us = 0;
	else if (pool->long_running_waiting == 0)
		pool->long_running_waiting_since_us = now_us;
	pool->long_running_waiting = load->lasting_waiting;
	pool->long_running_waiting_cpu_millis =
	    load->lasting_waiting_cpu_millis;
	pool->long_running_waiting_memory_mib =
	    load->lasting_waiting_memory_mib;
	pool->long_running_used_cpu_millis = load->lasting_used_cpu_millis;
	pool->blocked_jobs = load->blocked_jobs;
	pool->late_instances = load->late_instances;
	replace_names(pool->idle, load->idle_instances, load->n_idle_instances);
	replace_names(pool->long_running_hosts, load->lasting_instances,
	    load->n_lasting_instances);
}
