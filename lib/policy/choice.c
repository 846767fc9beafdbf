#include "policy/choice.h"

/* Random pairs that are tried before all instances are looked at. */
#define CHOICE_TRIES 6
/* Stands for the service time of an instance that has not answered yet. */
#define CHOICE_UNKNOWN_US 1

static bool
has_room(const choice_t *c)
{
	return c->usable && c->in_flight < c->granted;
}

static uint32_t
random_index(GRand *rand, uint32_t count)
{
	return (uint32_t)(((uint64_t)g_rand_int(rand) * count) >> 32);
}

/*
 * The first instance with a free slot from a random place on, or -1. The
 * start is random so that the last free instances share the load.
 */
static int32_t
scan(const choice_t *all, uint32_t count, uint32_t from)
{
	for (uint32_t i = from; i < count; i++)
		if (has_room(&all[i]))
			return (int32_t)i;
	for (uint32_t i = 0; i < from; i++)
		if (has_room(&all[i]))
			return (int32_t)i;
	return -1;
}

static int32_t
random_pick(const choice_t *all, uint32_t count, GRand *rand)
{
	uint32_t i;

	if (count == 0)
		return -1;
	for (int tries = 0; tries < CHOICE_TRIES; tries++) {
		i = random_index(rand, count);
		if (has_room(&all[i]))
			return (int32_t)i;
	}
	return scan(all, count, random_index(rand, count));
}

/*
 * True when a is expected to answer sooner than b: work in flight per granted
 * slot, times recent service time. An instance without a measured time is
 * judged by its load alone.
 */
static bool
better(const choice_t *a, const choice_t *b)
{
	bool timed = a->recent_us > 0 && b->recent_us > 0;
	uint64_t a_us = timed ? a->recent_us : CHOICE_UNKNOWN_US;
	uint64_t b_us = timed ? b->recent_us : CHOICE_UNKNOWN_US;

	return (a->in_flight + 1) * a_us * b->granted <
	    (b->in_flight + 1) * b_us * a->granted;
}

static int32_t
power_two_pick(const choice_t *all, uint32_t count, GRand *rand)
{
	uint32_t a, b;

	if (count == 0)
		return -1;
	for (int tries = 0; tries < CHOICE_TRIES; tries++) {
		a = random_index(rand, count);
		b = random_index(rand, count);
		if (!has_room(&all[a]))
			a = b;
		if (!has_room(&all[a]))
			continue;
		if (has_room(&all[b]) && better(&all[b], &all[a]))
			a = b;
		return (int32_t)a;
	}
	return scan(all, count, random_index(rand, count));
}

const choice_ops_t choice_random = {"random", random_pick};
const choice_ops_t choice_power_two = {"power-of-two", power_two_pick};
