#include <math.h>

#include "arrival.h"

/*
 * Initialises a route's arrivals and draws the first intended time. surge_us is
 * the length of a surge; with 0 the rate is steady.
 */
void
arrival_init(arrival_t *arrival, uint32_t seed, uint32_t route,
    uint32_t route_count, double mean_per_s, uint64_t surge_us)
{
	arrival->rand = g_rand_new_with_seed(seed * 1000 + route);
	arrival->mean_per_s = mean_per_s;
	arrival->surges = surge_us > 0;
	arrival->route = route;
	arrival->route_count = route_count;
	arrival->surge_us = surge_us;
	arrival->next_us = 0;
	arrival_next(arrival);
}

/*
 * Frees the random generator.
 */
void
arrival_clear(arrival_t *arrival)
{
	g_rand_free(arrival->rand);
}

/*
 * Returns the rate at a time and the end of the period in which it holds.
 */
static double
rate_at(const arrival_t *arrival, uint64_t at_us, uint64_t *until_us)
{
	uint64_t period;

	*until_us = UINT64_MAX;
	if (!arrival->surges)
		return arrival->mean_per_s;
	period = at_us / arrival->surge_us;
	*until_us = (period + 1) * arrival->surge_us;
	return arrival->mean_per_s *
	    (period % arrival->route_count == arrival->route
		    ? ARRIVAL_SURGE_FACTOR
		    : ARRIVAL_TROUGH_FACTOR);
}

/*
 * Advances to the next intended time. A gap that reaches into a period with
 * another rate is drawn again from the start of that period, which is correct
 * since a Poisson process has no memory.
 */
void
arrival_next(arrival_t *arrival)
{
	uint64_t at_us = arrival->next_us, until_us, gap_us;
	double rate;

	for (;;) {
		rate = rate_at(arrival, at_us, &until_us);
		gap_us = (uint64_t)(-log(1.0 - g_rand_double(arrival->rand)) /
		    rate * 1e6);
		if (at_us + gap_us < until_us)
			break;
		at_us = until_us;
	}
	arrival->next_us = at_us + gap_us;
}
