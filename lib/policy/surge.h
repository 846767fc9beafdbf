#ifndef POLICY_SURGE_H
#define POLICY_SURGE_H

#include <stdbool.h>
#include <stdint.h>

/* Demand of one pool over time: its mean, and when it surges. */
typedef struct {
	double mean_slots;
	uint32_t slots; /* latest demand */
	uint64_t seen_us;
	bool surging;
	uint64_t started_us;  /* of the latest surge */
	uint64_t interval_us; /* mean time between starts, 0 unknown */
	uint64_t duration_us; /* mean length, 0 unknown */
	uint32_t count;
} surge_t;

void surge_observe(surge_t *, uint32_t slots, uint64_t now_us);
/* When the next surge is expected; UINT64_MAX when none was seen. */
uint64_t surge_next_us(const surge_t *, uint64_t now_us);

#endif
