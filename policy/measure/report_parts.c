#include <inttypes.h>
#include <stdio.h>

#include "jobs.h"
#include "optimum.h"
#include "report.h"
#include "speed.h"

/* Bounds of docs/design.md, section 1.3. */
#define MAX_URGENT_START_MS 2300
#define JOB_LOAD 0.9
#define MAX_MOVES_FACTOR 1.5
#define MAX_CHOICE_US 1
#define MAX_ROUND_MS 5
#define FULL_INSTANCES 1800
#define FULL_POOLS 253
#define OPTIMUM_SEED 1

static void
print_jobs(const user_t *user, const place_ops_t *ops, const char *name,
    uint32_t seed, jobs_result_t *r)
{
	jobs_run(user, ops, JOB_LOAD, seed, r);
	printf("%-10s %-9s %4u %6" PRIu64 " %6" PRIu64 " %6" PRIu64 " %6" PRIu64
	       " %7" PRIu64 " %6" PRIu64 " %5" PRIu64 " %4" PRIu64 " %4" PRIu64
	       " %4" PRIu64 "\n",
	    user->name, name, seed, r->submitted, r->refused, r->moves,
	    histogram_ms(&r->urgent, 0.5), histogram_ms(&r->urgent, 0.99),
	    histogram_ms(&r->normal, 0.5), r->unknown, r->double_runs,
	    r->losses, r->never_run_admitted);
}

void
report_jobs(report_t *report, uint32_t seeds)
{
	jobs_result_t *r = g_new0(jobs_result_t, 1);
	uint64_t worst_ms = 0, doubles = 0, losses = 0;

	printf("\njobs at %.1f load, a rack lost\n%-10s %-9s %4s %6s %6s %6s "
	       "%6s %7s %6s %5s %4s %4s %4s\n",
	    JOB_LOAD, "user", "variant", "seed", "jobs", "refuse", "moves",
	    "urg50", "urg99ms", "norm50", "unkn", "dbl", "loss", "nev");
	for (uint32_t u = 0; u < USER_COUNT; u++)
		for (uint32_t seed = 1; seed <= seeds; seed++) {
			print_jobs(
			    &users[u], &place_declared, "declared", seed, r);
			print_jobs(
			    &users[u], &place_fair, "successor", seed, r);
			worst_ms =
			    MAX(worst_ms, histogram_ms(&r->urgent, 0.99));
			doubles += r->double_runs;
			losses += r->losses + r->never_run_admitted;
		}
	report_target(report, "urgent jobs: p99 of the start, ms",
	    (double)worst_ms, MAX_URGENT_START_MS, false);
	report_target(report, "jobs: double runs", (double)doubles, 0, false);
	report_target(report, "jobs: losses", (double)losses, 0, false);
	g_free(r);
}

void
report_optimum(report_t *report, uint32_t cases)
{
	optimum_t result;

	optimum_run(cases, OPTIMUM_SEED, &result);
	printf("\nmoves on %u small cases: %u, fewest possible %u, worst case "
	       "%.2f times, demands not met %u\n",
	    result.cases, result.moves, result.least, result.worst,
	    result.unmet);
	report_target(report, "moves over the offline optimum, all cases",
	    (double)result.moves / MAX(result.least, 1), MAX_MOVES_FACTOR,
	    false);
	report_target(report, "demands not met at the end of a phase",
	    result.unmet, 0, false);
}

void
report_speed(report_t *report)
{
	static const uint32_t parts[] = {8, 4, 2, 1};
	double round_ms = 0;

	printf("\ninstances  pools  round_ms\n");
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		round_ms = speed_round_ms(
		    FULL_INSTANCES / parts[i], FULL_POOLS / parts[i]);
		printf("%9u %6u %9.3f\n", FULL_INSTANCES / parts[i],
		    FULL_POOLS / parts[i], round_ms);
	}
	report_target(
	    report, "planner round, ms", round_ms, MAX_ROUND_MS, false);
	report_target(report, "endpoint choice, half full, us",
	    speed_choice_us(FULL_INSTANCES, 50), MAX_CHOICE_US, false);
	report_target(report, "endpoint choice, 99 in 100 full, us",
	    speed_choice_us(FULL_INSTANCES, 99), MAX_CHOICE_US, false);
}
