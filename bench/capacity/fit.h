#ifndef CAPACITY_FIT_H
#define CAPACITY_FIT_H

#include <stdint.h>

/* Measurements at several sizes, for a straight-line fit. */
#define FIT_POINTS_MAX 8

typedef struct {
	const char *name;
	const char *unit; /* of y */
	const char *size; /* what x counts */
	uint32_t points;
	double x[FIT_POINTS_MAX];
	double y[FIT_POINTS_MAX];
} fit_t;

/* Measures one value at a size; state is the measurement's own. */
typedef double (*fit_measure_t)(uint32_t size, void *state);

void fit_run(
    fit_t *, const uint32_t *sizes, uint32_t count, fit_measure_t, void *state);
void fit_print(const fit_t *);

#endif
