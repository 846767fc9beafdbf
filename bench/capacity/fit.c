#include <math.h>
#include <stdio.h>

#include <glib.h>

#include "fit.h"

/* Of several measurements the lowest is taken, as noise only adds to it. */
#define REPEATS 5

/*
 * Measures each size REPEATS times and stores the lowest value in fit.
 */
void
fit_run(fit_t *fit, const uint32_t *sizes, uint32_t count,
    fit_measure_t measure, void *arg)
{
	double value, lowest;

	g_assert(count <= FIT_POINTS_MAX);
	fit->point_count = count;
	for (uint32_t i = 0; i < count; i++) {
		lowest = INFINITY;
		for (uint32_t repeat = 0; repeat < REPEATS; repeat++) {
			value = measure(sizes[i], arg);
			lowest = MIN(lowest, value);
		}
		fit->x[i] = sizes[i];
		fit->y[i] = lowest;
	}
}

/*
 * Fits the line y = intercept + slope * x by least squares.
 */
static void
least_squares(const fit_t *fit, double *intercept, double *slope)
{
	double n = fit->point_count, sx = 0, sy = 0, sxx = 0, sxy = 0;

	for (uint32_t i = 0; i < fit->point_count; i++) {
		sx += fit->x[i];
		sy += fit->y[i];
		sxx += fit->x[i] * fit->x[i];
		sxy += fit->x[i] * fit->y[i];
	}
	*slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	*intercept = (sy - *slope * sx) / n;
}

/*
 * Prints the values, the fitted line and its largest error, in per cent of the
 * largest value.
 */
void
fit_print(const fit_t *fit)
{
	double intercept, slope, max_error = 0, largest = 0;

	least_squares(fit, &intercept, &slope);
	for (uint32_t i = 0; i < fit->point_count; i++) {
		max_error = MAX(
		    max_error, fabs(intercept + slope * fit->x[i] - fit->y[i]));
		largest = MAX(largest, fabs(fit->y[i]));
	}
	printf("%-34s", fit->name);
	for (uint32_t i = 0; i < fit->point_count; i++)
		printf(" %.0f:%.4g", fit->x[i], fit->y[i]);
	printf("\n%-34s %.4g + %.4g per %s, in %s, error %.1f%%\n", "",
	    intercept, slope, fit->x_unit, fit->y_unit,
	    largest > 0 ? 100 * max_error / largest : 0);
}
