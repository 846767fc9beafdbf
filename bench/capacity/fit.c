#include <math.h>
#include <stdio.h>

#include <glib.h>

#include "fit.h"

/* A measurement is repeated and the lowest value taken, against noise. */
#define REPEATS 5

/*
 * Measures each size REPEATS times and keeps the lowest value.
 */
void
fit_run(fit_t *fit, const uint32_t *sizes, uint32_t count,
    fit_measure_t measure, void *state)
{
	double value, best;

	g_assert(count <= FIT_POINTS_MAX);
	fit->points = count;
	for (uint32_t i = 0; i < count; i++) {
		best = INFINITY;
		for (uint32_t r = 0; r < REPEATS; r++) {
			value = measure(sizes[i], state);
			best = MIN(best, value);
		}
		fit->x[i] = sizes[i];
		fit->y[i] = best;
	}
}

/*
 * Fits y = base + slope * x by least squares.
 */
static void
least_squares(const fit_t *fit, double *base, double *slope)
{
	double n = fit->points, sx = 0, sy = 0, sxx = 0, sxy = 0;

	for (uint32_t i = 0; i < fit->points; i++) {
		sx += fit->x[i];
		sy += fit->y[i];
		sxx += fit->x[i] * fit->x[i];
		sxy += fit->x[i] * fit->y[i];
	}
	*slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	*base = (sy - *slope * sx) / n;
}

/*
 * Prints the values, the fitted line and its largest error, as a share of the
 * largest value.
 */
void
fit_print(const fit_t *fit)
{
	double base, slope, error = 0, top = 0;

	least_squares(fit, &base, &slope);
	for (uint32_t i = 0; i < fit->points; i++) {
		error = MAX(error, fabs(base + slope * fit->x[i] - fit->y[i]));
		top = MAX(top, fabs(fit->y[i]));
	}
	printf("%-34s", fit->name);
	for (uint32_t i = 0; i < fit->points; i++)
		printf(" %.0f:%.4g", fit->x[i], fit->y[i]);
	printf("\n%-34s %.4g + %.4g per %s, in %s, error %.1f%%\n", "", base,
	    slope, fit->size, fit->unit, top > 0 ? 100 * error / top : 0);
}
