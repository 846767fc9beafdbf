#ifndef POLICY_JOBS_H
#define POLICY_JOBS_H

#include "policy/place.h"
#include "histogram.h"
#include "user.h"

/* Results of placing jobs on a user's fleet while a rack is lost. */
typedef struct {
	histogram_t urgent, normal; /* waits until the first start */
	uint64_t submitted, refused, never_run_admitted, done;
	uint64_t moves; /* checkpoints and throttles */
	uint64_t unknown, double_runs, losses;
	double used, capacity; /* CPU time that jobs used, that workers had */
} jobs_result_t;

void jobs_run(const user_t *, const place_ops_t *, double load, uint32_t seed,
    jobs_result_t *);

#endif
