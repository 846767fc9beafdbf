#include <inttypes.h>
#include <stdio.h>

#include "stats.h"

static const char *const outcome_names[OUTCOME_COUNT] = {
    "answered", "not_run", "unknown", "broken"};

const char *
outcome_name(outcome_t outcome)
{
	return outcome_names[outcome];
}

void
stats_init(stats_t *stats)
{
	*stats = (stats_t){0};
	stats->latency_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

void
stats_clear(stats_t *stats)
{
	g_array_unref(stats->latency_us);
}

/*
 * Adds the results of another route.
 */
void
stats_merge(stats_t *stats, const stats_t *other)
{
	stats->sent += other->sent;
	stats->unsent += other->unsent;
	stats->mismatched += other->mismatched;
	for (int i = 0; i < OUTCOME_COUNT; i++)
		stats->outcomes[i] += other->outcomes[i];
	g_array_append_vals(
	    stats->latency_us, other->latency_us->data, other->latency_us->len);
}

/*
 * Records the outcome of a request. latency_us is measured from the intended
 * sending time.
 */
void
stats_record(stats_t *stats, outcome_t outcome, uint64_t latency_us)
{
	uint32_t value = (uint32_t)MIN(latency_us, UINT32_MAX);

	stats->outcomes[outcome]++;
	if (outcome == OUTCOME_ANSWERED)
		g_array_append_val(stats->latency_us, value);
}

static gint
compare_u32(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * Returns a percentile of the latency of answered requests, or 0 when there are
 * none.
 */
uint32_t
stats_percentile_us(stats_t *stats, double percent)
{
	GArray *values = stats->latency_us;
	guint index;

	if (values->len == 0)
		return 0;
	g_array_sort(values, compare_u32);
	index = (guint)((double)values->len * percent / 100.0);
	return g_array_index(values, uint32_t, MIN(index, values->len - 1));
}

json_t *
stats_json(stats_t *stats, const char *route, double elapsed_s)
{
	json_t *root;

	root = json_pack("{s:s, s:I, s:I, s:I, s:f, s:I, s:I, s:I, s:I}",
	    "route", route, "sent", (json_int_t)stats->sent, "unsent",
	    (json_int_t)stats->unsent, "mismatched",
	    (json_int_t)stats->mismatched, "answered_per_s",
	    (double)stats->outcomes[OUTCOME_ANSWERED] / elapsed_s, "p50_us",
	    (json_int_t)stats_percentile_us(stats, 50), "p90_us",
	    (json_int_t)stats_percentile_us(stats, 90), "p99_us",
	    (json_int_t)stats_percentile_us(stats, 99), "p999_us",
	    (json_int_t)stats_percentile_us(stats, 99.9));
	for (int i = 0; i < OUTCOME_COUNT; i++)
		(void)json_object_set_new(root, outcome_names[i],
		    json_integer((json_int_t)stats->outcomes[i]));
	return root;
}

/*
 * Prints the header line of the table.
 */
void
stats_print_header(void)
{
	printf("%-20s %8s %8s %8s %8s %8s %9s %8s %8s %8s\n", "route", "sent",
	    "answered", "not-run", "unknown", "broken", "per-s", "p50-us",
	    "p99-us", "p999-us");
}

void
stats_print(stats_t *stats, const char *route, double elapsed_s)
{
	const uint64_t *outcomes = stats->outcomes;

	printf("%-20s %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %8" PRIu64
	       " %8" PRIu64 " %9.1f %8" PRIu32 " %8" PRIu32 " %8" PRIu32 "\n",
	    route, stats->sent, outcomes[OUTCOME_ANSWERED],
	    outcomes[OUTCOME_NOT_RUN], outcomes[OUTCOME_UNKNOWN],
	    outcomes[OUTCOME_BROKEN],
	    (double)outcomes[OUTCOME_ANSWERED] / elapsed_s,
	    stats_percentile_us(stats, 50), stats_percentile_us(stats, 99),
	    stats_percentile_us(stats, 99.9));
}
