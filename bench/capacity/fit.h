#ifndef CAPACITY_FIT_H
#define CAPACITY_FIT_H

#include <stdint.h>

#define FIT_POINTS_MAX 8

/* Measurements at several sizes, for a straight-line fit. */
typedef struct {
	const char *name;   /* of the benchmark, for the output */
	const char *y_unit; /* of the measured values */
	const char *x_unit; /* of the sizes */
	uint32_t point_count;
	double x[FIT_POINTS_MAX]; /* sizes */
	double y[FIT_POINTS_MAX]; /* measured values */
} fit_t;

/* Returns the value measured at a size. */
typedef double (*fit_measure_t)(uint32_t size, void *arg);

void fit_run(
    fit_t *, const uint32_t *sizes, uint32_t count, fit_measure_t, void *arg);
void fit_print(const fit_t *);

#endif
