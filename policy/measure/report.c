#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "report.h"

/* Bounds of docs/design.md, section 1.3. */
#define MAX_BUFFER_COST 0.5
#define MIN_SHARE 0.95
#define MAX_WAVE_FACTOR 1.25

static void
print_waits(const result_t *r)
{
	for (int c = 0; c < CLASS_COUNT; c++)
		printf(" %4" PRIu64 "/%-5" PRIu64,
		    histogram_ms(&r->waits[c], 0.5),
		    histogram_ms(&r->waits[c], 0.99));
}

static void
print_row(const series_t *series)
{
	const result_t *r = &series->sum;

	printf("%-22s %-11s %8.0f", series->scenario->name,
	    series->variant->name, r->idle_s / series->seeds);
	if (series->scenario->waves == 0)
		printf("           -");
	else if (r->wave_s >= 999)
		printf(" open  (%3.0f)", r->wave_bound_s);
	else
		printf(" %5.0f (%3.0f)", r->wave_s, r->wave_bound_s);
	printf(" %5" PRIu64 " %6" PRIu64, r->moves / series->seeds,
	    r->refused / series->seeds);
	print_waits(r);
	printf(" %5.3f %4" PRIu64 " %4" PRIu64 " %4" PRIu64 " %4" PRIu64
	       " %5" PRIu64 " %5" PRIu64 "\n",
	    r->min_share, r->violations, r->excused, r->double_runs, r->losses,
	    r->unknown, r->errors);
}

/*
 * Prints a line per scenario and variant of the user's fleet. Idle time, moves
 * and refusals are means over the seeds, wave and share are those of the worst
 * seed, and the other counts are sums.
 */
void
report_table(const GPtrArray *all, const char *user)
{
	printf("\n%s\n%-22s %-11s %8s %11s %5s %6s %10s %10s %10s %5s %4s "
	       "%4s %4s %4s %5s %5s\n",
	    user, "scenario", "variant", "idle_s", "wave (min)", "moves",
	    "refuse", "quick ms", "settle ms", "archive ms", "share", "viol",
	    "exc", "dbl", "loss", "unkn", "error");
	for (uint32_t i = 0; i < all->len; i++) {
		const series_t *series = all->pdata[i];
		if (strcmp(series->user->name, user) == 0)
			print_row(series);
	}
}

void
report_target(report_t *report, const char *what, double value, double bound,
    bool at_least)
{
	bool met = at_least ? value >= bound : value <= bound;

	printf("%-6s %-58s %10.3f %s %.3f\n", met ? "met" : "MISSED", what,
	    value, at_least ? ">=" : "<=", bound);
	report->met += met;
	report->missed += !met;
}

static void
target(report_t *report, const char *user, const char *what, double value,
    double bound, bool at_least)
{
	char text[96];

	g_snprintf(text, sizeof(text), "%s: %s", user, what);
	report_target(report, text, value, bound, at_least);
}

static void
buffer_targets(report_t *report, const GPtrArray *all, const char *user)
{
	const series_t *own = series_find(all, user, "successor", "surges");
	const series_t *peak = series_find(all, user, "static-peak", "surges");

	target(report, user, "buffer cost over static peak pools'",
	    own->sum.idle_s / peak->sum.idle_s, MAX_BUFFER_COST, false);
	target(report, user, "refusals, static peak pools' as the bound",
	    (double)own->sum.refused, (double)peak->sum.refused, false);
}

/*
 * Prints the targets of each user: those over all scenarios and those of the
 * scenarios "surges" and "wave".
 */
void
report_fleet_targets(report_t *report, const GPtrArray *all)
{
	for (uint32_t u = 0; u < USER_COUNT; u++) {
		const char *user = users[u].name;
		double violations = 0, doubles = 0, losses = 0, wave, share;

		for (uint32_t i = 0; i < all->len; i++) {
			const series_t *series = all->pdata[i];

			if (series->variant != &series_variants[0] ||
			    series->user != &users[u])
				continue;
			violations += (double)series->sum.violations;
			doubles += (double)series->sum.double_runs;
			losses += (double)series->sum.losses;
		}
		target(report, user, "budget violations, all scenarios",
		    violations, 0, false);
		target(report, user, "double runs, all scenarios", doubles, 0,
		    false);
		target(report, user, "losses, all scenarios", losses, 0, false);
		buffer_targets(report, all, user);
		share = series_find(all, user, "successor", "surges")
			    ->sum.min_share;
		target(report, user, "least share of due while others surge",
		    share, MIN_SHARE, true);
		wave = series_find(all, user, "successor", "wave")->worst_wave;
		target(report, user, "wave over its lower bound", wave,
		    MAX_WAVE_FACTOR, false);
	}
}
