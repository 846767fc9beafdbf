#ifndef POLICY_HISTOGRAM_H
#define POLICY_HISTOGRAM_H

#include <stdint.h>

/* Waits in steps of a millisecond; the last step holds all longer ones. */
#define HISTOGRAM_STEPS 65536

typedef struct {
	uint32_t counts[HISTOGRAM_STEPS];
	uint64_t total;
} histogram_t;

void histogram_add(histogram_t *, uint64_t value_us);
uint64_t histogram_ms(const histogram_t *, double quantile);

#endif
