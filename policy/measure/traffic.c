#include <math.h>

#include "traffic.h"

#define SURGE_FACTOR 5.0
#define QUIET_FACTOR (1.0 / 20)
/* Upper limit of run times, in multiples of the mean. */
#define MAX_RUN_FACTOR 8.0

/* Mean run time, share of the slot time and allowed wait of each class. */
const uint64_t traffic_service_us[CLASS_COUNT] = {50000, 500000, 3000000};
static const double work_share[CLASS_COUNT] = {0.3, 0.5, 0.2};
const uint64_t traffic_wait_us[CLASS_COUNT] = {2000000, 8000000, 60000000};
/* Shares of the teams in the mean load; the first team causes the surges. */
static const double team_share[USER_TEAMS] = {0.5, 0.25, 0.25};

void
traffic_init(traffic_t *traffic, const user_t *user, uint32_t seed)
{
	*traffic = (traffic_t){.user = user, .run_time_factor = 1};
	traffic->rand = g_rand_new_with_seed(seed);
	for (uint32_t i = 0; i < USER_SERVICES; i++)
		traffic->surge_offset_us[i] =
		    i * user->cycle_us / USER_SERVICES +
		    g_rand_int_range(traffic->rand, 0, GW_US_PER_S);
}

void
traffic_clear(traffic_t *traffic)
{
	g_rand_free(traffic->rand);
}

/*
 * Returns true while the pool surges. The pools surge in turn, once a cycle.
 */
bool
traffic_surging(const traffic_t *traffic, uint32_t pool, uint64_t now_us)
{
	uint64_t cycle_us = traffic->user->cycle_us;

	return (now_us + cycle_us - traffic->surge_offset_us[pool]) % cycle_us <
	    traffic->user->surge_us;
}

static double
run_time_factor_at(
    const traffic_t *traffic, request_class_t request_class, uint64_t now_us)
{
	bool turned = traffic->run_time_change_us != 0 &&
	    now_us >= traffic->run_time_change_us;

	return turned && request_class == CLASS_SETTLEMENT
	    ? traffic->run_time_factor
	    : 1;
}

static uint32_t
poisson(GRand *rand, double mean)
{
	double limit = exp(-mean), product = g_rand_double(rand);
	uint32_t n = 0;

	while (product > limit) {
		product *= g_rand_double(rand);
		n++;
	}
	return n;
}

/*
 * Draws the arrivals in the whole fleet. When run times change, the rate
 * changes inversely, so that the slot time offered stays the same.
 */
uint32_t
traffic_arrivals(traffic_t *traffic, uint32_t pool, uint32_t team,
    request_class_t request_class, uint64_t now_us, uint64_t step_us)
{
	double slots = user_mean_slots(traffic->user, pool), part, rate;

	part = team_share[team] * QUIET_FACTOR;
	if (traffic_surging(traffic, pool, now_us))
		part = team == 0 ? SURGE_FACTOR - (1 - team_share[0])
				 : team_share[team];
	rate = slots * part * work_share[request_class] /
	    (traffic_service_us[request_class] *
		run_time_factor_at(traffic, request_class, now_us));
	return poisson(traffic->rand, rate * step_us);
}

uint64_t
traffic_draw_service_us(
    traffic_t *traffic, request_class_t request_class, uint64_t now_us)
{
	double mean_us = traffic_service_us[request_class] *
	    run_time_factor_at(traffic, request_class, now_us);
	double x = -log(1 - g_rand_double(traffic->rand));

	return (uint64_t)(mean_us * MIN(x, MAX_RUN_FACTOR)) + 1000;
}
