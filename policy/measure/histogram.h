#ifndef POLICY_HISTOGRAM_H
#define POLICY_HISTOGRAM_H

#include <stdint.h>

/* Counts of waits per millisecond; the last count has all longer ones. */
#define HISTOGRAM_STEPS 65536

typedef struct {
	uint32_t counts[HISTOGRAM_STEPS];
	uint64_t total;
} histogram_t;

void histogram_add(histogram_t *, uint64_t value_us);
/* Returns the quantile (0 to 1) in milliseconds, 0 when nothing was added. */
uint64_t histogram_ms(const histogram_t *, double quantile);

#endif
