#include "policy/choice.h"

/* Random picks before all candidates are searched. */
#define MAX_TRIES 6
/* Service time of both candidates while one of them is not measured. */
#define UNMEASURED_SERVICE_US 1

static bool
has_free_slot(const choice_candidate_t *c)
{
	return c->usable && c->in_flight < c->granted;
}

static uint32_t
random_index(GRand *rand, uint32_t count)
{
	return (uint32_t)(((uint64_t)g_rand_int(rand) * count) >> 32);
}

/*
 * Returns the first candidate with a free slot, searching from index from and
 * wrapping at the end, or -1. Callers pass a random start so that the last free
 * instances share the load.
 */
static int32_t
find_free_from(
    const choice_candidate_t *candidates, uint32_t count, uint32_t from)
{
	for (uint32_t i = from; i < count; i++)
		if (has_free_slot(&candidates[i]))
			return (int32_t)i;
	for (uint32_t i = 0; i < from; i++)
		if (has_free_slot(&candidates[i]))
			return (int32_t)i;
	return -1;
}

static int32_t
random_pick(const choice_candidate_t *candidates, uint32_t count, GRand *rand)
{
	uint32_t i;

	if (count == 0)
		return -1;
	for (int tries = 0; tries < MAX_TRIES; tries++) {
		i = random_index(rand, count);
		if (has_free_slot(&candidates[i]))
			return (int32_t)i;
	}
	return find_free_from(candidates, count, random_index(rand, count));
}

/*
 * Returns true when a is expected to answer sooner than b: its requests in
 * flight per granted slot, times the recent service time, are fewer. When the
 * service time of either is not measured, the load alone decides.
 */
static bool
is_faster(const choice_candidate_t *a, const choice_candidate_t *b)
{
	bool timed = a->service_mean_us > 0 && b->service_mean_us > 0;
	uint64_t a_us = timed ? a->service_mean_us : UNMEASURED_SERVICE_US;
	uint64_t b_us = timed ? b->service_mean_us : UNMEASURED_SERVICE_US;

	return (a->in_flight + 1) * a_us * b->granted <
	    (b->in_flight + 1) * b_us * a->granted;
}

static int32_t
power_two_pick(
    const choice_candidate_t *candidates, uint32_t count, GRand *rand)
{
	uint32_t a, b;

	if (count == 0)
		return -1;
	for (int tries = 0; tries < MAX_TRIES; tries++) {
		a = random_index(rand, count);
		b = random_index(rand, count);
		if (!has_free_slot(&candidates[a]))
			a = b;
		if (!has_free_slot(&candidates[a]))
			continue;
		if (has_free_slot(&candidates[b]) &&
		    is_faster(&candidates[b], &candidates[a]))
			a = b;
		return (int32_t)a;
	}
	return find_free_from(candidates, count, random_index(rand, count));
}

const choice_ops_t choice_random = {"random", random_pick};
const choice_ops_t choice_power_two = {"power-of-two", power_two_pick};
