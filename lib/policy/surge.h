#ifndef POLICY_SURGE_H
#define POLICY_SURGE_H

#include <stdbool.h>
#include <stdint.h>

/* Demand of one pool in slots: its mean, and when it surges. */
typedef struct {
	double mean_slots; /* exponential moving average */
	uint32_t slots;	   /* latest demand */
	uint64_t seen_us;  /* last observation, 0 none */
	bool surging;
	uint64_t started_us;  /* of the latest surge */
	uint64_t interval_us; /* mean time between starts, 0 unknown */
	uint64_t duration_us; /* mean length, 0 unknown */
	uint32_t count;	      /* surges seen */
} surge_t;

void surge_observe(surge_t *, uint32_t slots, uint64_t now_us);
/*
 * Returns when the next surge is expected: now_us during a surge or when it is
 * overdue, UINT64_MAX before two surges were seen.
 */
uint64_t surge_next_us(const surge_t *, uint64_t now_us);

#endif
