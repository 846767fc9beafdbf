#include <math.h>

#include "user.h"

/* Mean load; a surge to 5 times it is 1.25 times the capacity of the pool. */
#define MEAN_LOAD 0.25
#define SURGE_FACTOR 5

const user_t users[USER_COUNT] = {
    {.name = "coldtrace",
	.data_centres = 4,
	.workers = {10, 12, 8, 10, 10},
	.max_unavailable = 5,
	.cycle_us = 32 * GW_US_PER_S,
	.surge_us = 6 * GW_US_PER_S},
    {.name = "bayi",
	.data_centres = 3,
	.workers = {10, 8, 12, 10, 10},
	.max_unavailable = 5,
	.cycle_us = 40 * GW_US_PER_S,
	.surge_us = 7500 * GW_US_PER_MS},
};

const char *const user_pool_names[USER_MAX_POOLS] = {
    "intake", "ledger", "claims", "audit", "spare"};
const uint32_t user_weights[USER_TEAMS] = {2, 1, 1};

/*
 * Returns the mean demand for a pool in the whole fleet, in busy slots.
 */
double
user_mean_slots(const user_t *user, uint32_t pool)
{
	return user->workers[pool] * USER_SLOTS * MEAN_LOAD;
}

/*
 * Returns the number of instances of the pool in the data centre. The load is
 * the same in all data centres.
 */
uint32_t
user_instances(const user_t *user, pool_sizing_t sizing, uint32_t pool,
    uint32_t data_centre)
{
	double mean = user_mean_slots(user, pool) / user->data_centres;

	if (sizing != SIZE_HOME && pool == USER_SERVICES)
		return 0;
	if (sizing == SIZE_PEAK)
		return (uint32_t)ceil(SURGE_FACTOR * mean / USER_SLOTS);
	if (sizing == SIZE_MEAN)
		return (uint32_t)ceil(mean / USER_SLOTS);
	return user->workers[pool] / user->data_centres +
	    (data_centre < user->workers[pool] % user->data_centres ? 1 : 0);
}
