#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "gw/log.h"
#include "stats.h"

#define REQUEST_KINDS 4

/* Groups of HTTP statuses, the outcome label of the request counter. */
typedef enum {
	CLASS_OK,	/* 2xx */
	CLASS_ABSENT,	/* 404 and 410 */
	CLASS_REFUSED,	/* 429 and 503: not accepted */
	CLASS_UNKNOWN,	/* 502, 504 and other 5xx: may have been accepted */
	CLASS_MALFORMED /* other 4xx */
} status_class_t;

#define STATUS_CLASSES 5

struct stats {
	gw_metrics_t *registry;
	gw_metric_t *requests[REQUEST_KINDS][STATUS_CLASSES];
	gw_histogram_t *response_us[REQUEST_KINDS];
	gw_metric_t *shards_owned; /* gw_entry_pools */
	gw_metric_t *tasks_waiting[SCHED_WAITS];
	gw_metric_t *lasting_wait_ms;
	gw_histogram_t *estimate_error_us[2]; /* early, late */
	gw_metric_t *promises[2];	      /* held, broken */
	gw_metric_t *connections;
	gw_metric_t *config_version;
	gw_metric_t *config_age_ms;
	gw_metric_t *lease_valid;
	gw_metric_t *log_dropped;
};

static const char *const kind_names[REQUEST_KINDS] = {
    "submit", "state", "cancel", "pending"};
static const char *const class_names[STATUS_CLASSES] = {
    "ok", "absent", "refused", "unknown", "malformed"};

/*
 * Returns the name of a kind of request, for logs and labels.
 */
const char *
stats_kind_name(Gw__CallKind kind)
{
	return (int)kind < REQUEST_KINDS ? kind_names[kind] : "other";
}

static void
add_waits(stats_t *stats)
{
	char labels[64];

	for (int i = SCHED_WAIT_NONE + 1; i < SCHED_WAITS; i++) {
		(void)snprintf(labels, sizeof(labels), "reason=\"%s\"",
		    sched_wait_name(i));
		stats->tasks_waiting[i] = gw_metrics_add(stats->registry,
		    GW_METRIC_GAUGE, "gw_entry_tasks_waiting", labels,
		    "long-running tasks that do not run, and other jobs of "
		    "which nothing runs");
	}
	stats->lasting_wait_ms = gw_metrics_add(stats->registry,
	    GW_METRIC_GAUGE, "gw_entry_lasting_wait_ms", "",
	    "longest time that a long-running task has not run");
}

static void
add_estimates(stats_t *stats)
{
	static const char *const ends[] = {"end=\"early\"", "end=\"late\""};
	static const char *const promises[] = {
	    "outcome=\"held\"", "outcome=\"broken\""};

	for (int i = 0; i < 2; i++) {
		stats->estimate_error_us[i] = gw_metrics_add_histogram(
		    stats->registry, "gw_entry_estimate_error_us", ends[i],
		    "how far jobs ended from the estimate of their admission");
		stats->promises[i] = gw_metrics_add(stats->registry,
		    GW_METRIC_COUNTER, "gw_entry_promises_total", promises[i],
		    "refused jobs that returned after their Retry-After");
	}
}

static void
copy_histogram(gw_histogram_t *to, const gw_histogram_t *from)
{
	memcpy(to->buckets, from->buckets, sizeof(to->buckets));
	to->count = from->count;
	to->sum_us = from->sum_us;
}

static void
set_estimates(stats_t *stats, const sched_estimate_errors_t *errors)
{
	copy_histogram(stats->estimate_error_us[0], &errors->early_us);
	copy_histogram(stats->estimate_error_us[1], &errors->late_us);
	stats->promises[0]->value = errors->promises_held;
	stats->promises[1]->value = errors->promises_broken;
}

stats_t *
stats_new(void)
{
	stats_t *stats = g_new0(stats_t, 1);
	char labels[64];

	stats->registry = gw_metrics_new();
	for (int k = 0; k < REQUEST_KINDS; k++) {
		for (int c = 0; c < STATUS_CLASSES; c++) {
			(void)snprintf(labels, sizeof(labels),
			    "kind=\"%s\",outcome=\"%s\"", kind_names[k],
			    class_names[c]);
			stats->requests[k][c] = gw_metrics_add(stats->registry,
			    GW_METRIC_COUNTER, "gw_entry_requests_total",
			    labels, "callers' requests answered");
		}
		(void)snprintf(
		    labels, sizeof(labels), "kind=\"%s\"", kind_names[k]);
		stats->response_us[k] = gw_metrics_add_histogram(
		    stats->registry, "gw_entry_answer_us", labels,
		    "time from a request to the response");
	}
	stats->shards_owned = gw_metrics_add(stats->registry, GW_METRIC_GAUGE,
	    "gw_entry_pools", "", "shards that this process owns");
	add_waits(stats);
	add_estimates(stats);
	stats->connections = gw_metrics_add(stats->registry, GW_METRIC_GAUGE,
	    "gw_entry_connections", "", "callers' connections");
	stats->config_version = gw_metrics_add(stats->registry, GW_METRIC_GAUGE,
	    "gw_entry_config_version", "", "configuration in force");
	stats->config_age_ms = gw_metrics_add(stats->registry, GW_METRIC_GAUGE,
	    "gw_entry_config_age_ms", "",
	    "time since the configuration was known to be the newest one");
	stats->lease_valid = gw_metrics_add(stats->registry, GW_METRIC_GAUGE,
	    "gw_entry_lease_valid", "", "1 while the lease is renewed");
	stats->log_dropped = gw_metrics_add(stats->registry, GW_METRIC_COUNTER,
	    "gw_entry_log_dropped_total", "",
	    "log lines dropped because they were not read");
	return stats;
}

static status_class_t
classify(int status)
{
	if (status < 300)
		return CLASS_OK;
	if (status == 404 || status == 410)
		return CLASS_ABSENT;
	if (status == 429 || status == 503)
		return CLASS_REFUSED;
	return status >= 500 ? CLASS_UNKNOWN : CLASS_MALFORMED;
}

/*
 * Counts a response and its time, in microseconds.
 */
void
stats_record_request(
    stats_t *stats, Gw__CallKind kind, int status, uint64_t took_us)
{
	if ((int)kind >= REQUEST_KINDS)
		return;
	stats->requests[kind][classify(status)]->value++;
	gw_histogram_record(stats->response_us[kind], took_us);
}

/*
 * Sets the values that are read only when the metrics are scraped.
 */
void
stats_set_gauges(stats_t *stats, const stats_gauges_t *gauges)
{
	stats->shards_owned->value = gauges->shards_owned;
	for (int i = SCHED_WAIT_NONE + 1; i < SCHED_WAITS; i++)
		stats->tasks_waiting[i]->value = gauges->waits.tasks[i];
	stats->lasting_wait_ms->value = gauges->waits.lasting_wait_ms;
	set_estimates(stats, &gauges->waits.estimates);
	stats->connections->value = gauges->connections;
	stats->config_version->value = gauges->config_version;
	stats->config_age_ms->value = gauges->config_age_ms;
	stats->lease_valid->value = gauges->lease_valid;
	stats->log_dropped->value = gw_log_dropped();
}

/*
 * Returns the metrics as text; the caller frees it.
 */
GString *
stats_text(stats_t *stats)
{
	return gw_metrics_text(stats->registry);
}
