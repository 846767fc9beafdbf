#ifndef POLICY_SERIES_H
#define POLICY_SERIES_H

#include "fleet.h"

#define SERIES_THREADS 4

/* Runs of one user, variant and scenario with several seeds. */
typedef struct {
	const user_t *user;
	const variant_t *variant;
	const scenario_t *scenario;
	uint32_t seeds;
	result_t sum;	   /* min_share and wave_s are of the worst seed */
	double worst_wave; /* largest ratio of a wave to its bound */
} series_t;

extern const variant_t series_variants[];
extern const uint32_t series_variant_count;
extern const scenario_t series_scenarios[];
extern const uint32_t series_scenario_count;

const variant_t *series_variant(const char *name);
const scenario_t *series_scenario(const char *name);
/* Runs all series on SERIES_THREADS threads; the runs share no state. */
void series_run(GPtrArray *all);
series_t *series_new(
    const user_t *, const variant_t *, const scenario_t *, uint32_t seeds);
series_t *series_find(const GPtrArray *, const char *user, const char *variant,
    const char *scenario);

#endif
