#include <glib.h>
#include <math.h>

#include "gw/clock.h"
#include "policy/surge.h"

/* Time constant of the mean demand. */
#define MEAN_TIME_CONSTANT_US (60 * GW_US_PER_S)
/* A surge starts above twice the mean demand and ends below the mean. */
#define SURGE_FACTOR 2
/* A new interval or duration has a weight of 1/4 in the mean. */
#define SAMPLE_WEIGHT_DIVISOR 4

static void
update_mean(uint64_t *mean_us, uint64_t sample_us)
{
	if (*mean_us == 0)
		*mean_us = sample_us;
	else
		*mean_us +=
		    (int64_t)(sample_us - *mean_us) / SAMPLE_WEIGHT_DIVISOR;
}

/*
 * Records the demand of one planner round. A surge starts and ends at different
 * thresholds so that noise does not split it.
 */
void
surge_observe(surge_t *surge, uint32_t slots, uint64_t now_us)
{
	double gain;

	if (surge->seen_us == 0) {
		surge->mean_slots = slots;
	} else {
		gain = 1 -
		    exp(-(double)(now_us - surge->seen_us) /
			MEAN_TIME_CONSTANT_US);
		surge->mean_slots += gain * (slots - surge->mean_slots);
	}
	surge->seen_us = now_us;
	surge->slots = slots;
	if (!surge->surging && slots > SURGE_FACTOR * surge->mean_slots + 1) {
		if (surge->count > 0)
			update_mean(
			    &surge->interval_us, now_us - surge->started_us);
		surge->surging = true;
		surge->started_us = now_us;
		surge->count++;
	} else if (surge->surging && slots < surge->mean_slots) {
		update_mean(&surge->duration_us, now_us - surge->started_us);
		surge->surging = false;
	}
}

uint64_t
surge_next_us(const surge_t *surge, uint64_t now_us)
{
	if (surge->surging)
		return now_us;
	if (surge->interval_us == 0)
		return UINT64_MAX;
	return MAX(now_us, surge->started_us + surge->interval_us);
}
