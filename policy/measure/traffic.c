#include <math.h>

#include "traffic.h"

#define SURGE_FACTOR 5.0
#define QUIET_FACTOR (1.0 / 20)
/* Longest run time, in multiples of the mean. */
#define TAIL 8.0

/* Mean run time, share of the slot time, and latest start of each class. */
const uint64_t traffic_service_us[CLASS_COUNT] = {50000, 500000, 3000000};
static const double work_part[CLASS_COUNT] = {0.3, 0.5, 0.2};
const uint64_t traffic_wait_us[CLASS_COUNT] = {2000000, 8000000, 60000000};
/* Parts of the teams in the mean; the first team causes the surges. */
static const double team_part[USER_TEAMS] = {0.5, 0.25, 0.25};

void
traffic_init(traffic_t *traffic, const user_t *user, uint32_t seed)
{
	*traffic = (traffic_t){.user = user, .turn_factor = 1};
	traffic->rand = g_rand_new_with_seed(seed);
	for (uint32_t i = 0; i < USER_SERVICES; i++)
		traffic->shift_us[i] = i * user->cycle_us / USER_SERVICES +
		    g_rand_int_range(traffic->rand, 0, GW_US_PER_S);
}

void
traffic_clear(traffic_t *traffic)
{
	g_rand_free(traffic->rand);
}

/*
 * True while the pool's queue surges: each in turn, once in a cycle.
 */
bool
traffic_surging(const traffic_t *traffic, uint32_t pool, uint64_t now_us)
{
	uint64_t cycle_us = traffic->user->cycle_us;

	return (now_us + cycle_us - traffic->shift_us[pool]) % cycle_us <
	    traffic->user->surge_us;
}

static double
turn(const traffic_t *traffic, request_class_t request_class, uint64_t now_us)
{
	bool turned = traffic->turn_us != 0 && now_us >= traffic->turn_us;

	return turned && request_class == CLASS_SETTLEMENT
	    ? traffic->turn_factor
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
 * Requests for the whole fleet. When run times change, the rate changes the
 * other way, so that the slot time asked for stays the same.
 */
uint32_t
traffic_arrivals(traffic_t *traffic, uint32_t pool, uint32_t team,
    request_class_t request_class, uint64_t now_us, uint64_t step_us)
{
	double slots = user_mean_slots(traffic->user, pool), part, rate;

	part = team_part[team] * QUIET_FACTOR;
	if (traffic_surging(traffic, pool, now_us))
		part = team == 0 ? SURGE_FACTOR - (1 - team_part[0])
				 : team_part[team];
	rate = slots * part * work_part[request_class] /
	    (traffic_service_us[request_class] *
		turn(traffic, request_class, now_us));
	return poisson(traffic->rand, rate * step_us);
}

uint64_t
traffic_draw_service_us(
    traffic_t *traffic, request_class_t request_class, uint64_t now_us)
{
	double mean_us = traffic_service_us[request_class] *
	    turn(traffic, request_class, now_us);
	double x = -log(1 - g_rand_double(traffic->rand));

	return (uint64_t)(mean_us * MIN(x, TAIL)) + 1000;
}
