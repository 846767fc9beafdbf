#include <string.h>

#include "series.h"

/* The first variant is that of godwitline, the others are baselines. */
const variant_t series_variants[] = {
    {"successor", &fairq_fair, &plan_lending_adaptive, SIZE_HOME, true},
    {"static-peak", &fairq_fair, &plan_lending_static, SIZE_PEAK, false},
    {"static-mean", &fairq_fair, &plan_lending_static, SIZE_MEAN, false},
    {"static-home", &fairq_fair, &plan_lending_static, SIZE_HOME, false},
    {"one-fifo", &fairq_fifo, &plan_lending_adaptive, SIZE_HOME, true},
};
const uint32_t series_variant_count = G_N_ELEMENTS(series_variants);

const scenario_t series_scenarios[] = {
    {.name = "surges", .in_short = true},
    {.name = "usage-late", .late_usage = true},
    {.name = "runs-10x-longer", .run_time_factor = 10},
    {.name = "runs-10x-shorter", .run_time_factor = 0.1},
    {.name = "workers-broken", .broken = true},
    {.name = "cancellation", .cancel = true},
    {.name = "wave", .waves = 1, .in_short = true},
    {.name = "two-waves", .waves = 2},
    {.name = "wave+rack", .waves = 1, .rack_loss = true},
    {.name = "wave+dc", .waves = 1, .dc_loss = true},
    {.name = "wave+change", .waves = 1, .change = true},
    {.name = "two-waves+rack+change",
	.waves = 2,
	.rack_loss = true,
	.change = true,
	.in_short = true},
    {.name = "wave+dc+change",
	.waves = 1,
	.dc_loss = true,
	.change = true,
	.in_short = true},
    {.name = "wave+broken+change", .waves = 1, .broken = true, .change = true},
    {.name = "late+cancel+change",
	.late_usage = true,
	.cancel = true,
	.change = true},
};
const uint32_t series_scenario_count = G_N_ELEMENTS(series_scenarios);

/* One run of a series, as a task of the thread pool. */
typedef struct {
	series_t *series;
	uint32_t seed;
	GMutex *lock;
} job_t;

const variant_t *
series_variant(const char *name)
{
	for (uint32_t i = 0; i < series_variant_count; i++)
		if (strcmp(series_variants[i].name, name) == 0)
			return &series_variants[i];
	return NULL;
}

const scenario_t *
series_scenario(const char *name)
{
	for (uint32_t i = 0; i < series_scenario_count; i++)
		if (strcmp(series_scenarios[i].name, name) == 0)
			return &series_scenarios[i];
	return NULL;
}

series_t *
series_new(const user_t *user, const variant_t *variant,
    const scenario_t *scenario, uint32_t seeds)
{
	series_t *series = g_new0(series_t, 1);

	series->user = user;
	series->variant = variant;
	series->scenario = scenario;
	series->seeds = seeds;
	series->sum.min_share = 1;
	return series;
}

series_t *
series_find(const GPtrArray *all, const char *user, const char *variant,
    const char *scenario)
{
	for (uint32_t i = 0; i < all->len; i++) {
		series_t *series = all->pdata[i];

		if (strcmp(series->user->name, user) == 0 &&
		    strcmp(series->variant->name, variant) == 0 &&
		    strcmp(series->scenario->name, scenario) == 0)
			return series;
	}
	return NULL;
}

static void
add_counts(result_t *sum, const result_t *one)
{
	sum->idle_s += one->idle_s;
	sum->moves += one->moves;
	sum->requests += one->requests;
	sum->refused += one->refused;
	sum->errors += one->errors;
	sum->unknown += one->unknown;
	sum->cancelled += one->cancelled;
	sum->violations += one->violations;
	sum->excused += one->excused;
	sum->double_runs += one->double_runs;
	sum->losses += one->losses;
	sum->drains += one->drains;
	sum->drain_us += one->drain_us;
	sum->min_share = MIN(sum->min_share, one->min_share);
	sum->wave_s = MAX(sum->wave_s, one->wave_s);
	sum->wave_bound_s = MAX(sum->wave_bound_s, one->wave_bound_s);
}

static void
add_waits(result_t *sum, const result_t *one)
{
	for (int c = 0; c < CLASS_COUNT; c++) {
		sum->waits[c].total += one->waits[c].total;
		for (uint32_t i = 0; i < HISTOGRAM_STEPS; i++)
			sum->waits[c].counts[i] += one->waits[c].counts[i];
	}
}

static void
run_job(gpointer data, gpointer unused)
{
	result_t *result = g_new0(result_t, 1);
	job_t *job = data;
	series_t *series = job->series;

	(void)unused;
	fleet_run(series->user, series->variant, series->scenario, job->seed,
	    NULL, result);
	g_mutex_lock(job->lock);
	add_counts(&series->sum, result);
	add_waits(&series->sum, result);
	if (result->wave_bound_s > 0)
		series->worst_wave = MAX(
		    series->worst_wave, result->wave_s / result->wave_bound_s);
	g_mutex_unlock(job->lock);
	g_free(result);
	g_free(job);
}

void
series_run(GPtrArray *all)
{
	GThreadPool *pool =
	    g_thread_pool_new(run_job, NULL, SERIES_THREADS, TRUE, NULL);
	GMutex lock;

	g_mutex_init(&lock);
	for (uint32_t i = 0; i < all->len; i++) {
		series_t *series = all->pdata[i];

		for (uint32_t seed = 1; seed <= series->seeds; seed++) {
			job_t *job = g_new0(job_t, 1);

			*job = (job_t){series, seed, &lock};
			g_thread_pool_push(pool, job, NULL);
		}
	}
	g_thread_pool_free(pool, FALSE, TRUE);
	g_mutex_clear(&lock);
}
