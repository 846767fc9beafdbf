#include <glib.h>

#include "histogram.h"

void
histogram_add(histogram_t *hist, uint64_t value_us)
{
	hist->counts[MIN(value_us / 1000, HISTOGRAM_STEPS - 1)]++;
	hist->total++;
}

uint64_t
histogram_ms(const histogram_t *hist, double quantile)
{
	uint64_t seen = 0;

	if (hist->total == 0)
		return 0;
	for (uint64_t i = 0; i < HISTOGRAM_STEPS; i++) {
		seen += hist->counts[i];
		if (seen >= quantile * hist->total)
			return i;
	}
	return HISTOGRAM_STEPS;
}
