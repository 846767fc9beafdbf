#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "gw/log.h"
#include "sched/describe.h"
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
	gw_metric_t *keys_missing; /* gw_entry_keys_refused_total */
	gw_metric_t *keys_unknown;
	gw_metric_t *shards_owned; /* gw_entry_pools */
	gw_metric_t *tasks_waiting[SCHED_WAITS];
	gw_metric_t *lasting_wait_ms;
	gw_histogram_t *estimate_error_us[2]; /* early, late */
	gw_metric_t *promises[2];	      /* held, broken */
	gw_metric_t *connections;
	gw_metric_t *held_bytes[GW_CALLER_STATES + 1]; /* forwarded ones last */
	gw_metric_t *held_max_bytes;
	gw_metric_t *closed[GW_CLOSE_REASONS];
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
add_keys(stats_t *stats)
{
	static const char name[] = "gw_entry_keys_refused_total";
	static const char help[] = "callers' requests refused for their key";

	stats->keys_missing = gw_metrics_add(stats->registry, GW_METRIC_COUNTER,
	    name, "reason=\"no-key\"", help);
	stats->keys_unknown = gw_metrics_add(stats->registry, GW_METRIC_COUNTER,
	    name, "reason=\"unknown-key\"", help);
}

static void
add_callers(stats_t *stats)
{
	static const char *const kinds[GW_CALLER_STATES + 1] = {"new", "idle",
	    "header", "body", "handled", "response", "forwarded"};
	char labels[64];

	for (int i = 0; i <= GW_CALLER_STATES; i++) {
		(void)snprintf(labels, sizeof(labels), "kind=\"%s\"", kinds[i]);
		stats->held_bytes[i] = gw_metrics_add(stats->registry,
		    GW_METRIC_GAUGE, "gw_entry_callers_bytes", labels,
		    "bytes held for callers");
	}
	stats->held_max_bytes = gw_metrics_add(stats->registry, GW_METRIC_GAUGE,
	    "gw_entry_callers_bytes_max", "",
	    "limit on the bytes held for callers; 0: none");
	for (int i = 0; i < GW_CLOSE_REASONS; i++) {
		(void)snprintf(labels, sizeof(labels), "reason=\"%s\"",
		    gw_close_reason_name(i));
		stats->closed[i] = gw_metrics_add(stats->registry,
		    GW_METRIC_COUNTER, "gw_entry_callers_closed_total", labels,
		    "callers' connections closed because of a limit");
	}
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
set_callers(stats_t *stats, const gw_budget_t *callers)
{
	for (int i = 0; i < GW_CALLER_STATES; i++)
		stats->held_bytes[i]->value = callers->held_bytes[i];
	stats->held_bytes[GW_CALLER_STATES]->value = callers->forwarded_bytes;
	stats->held_max_bytes->value = callers->limits.held_max_bytes;
	for (int i = 0; i < GW_CLOSE_REASONS; i++)
		stats->closed[i]->value = callers->closed[i];
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
	add_keys(stats);
	stats->shards_owned = gw_metrics_add(stats->registry, GW_METRIC_GAUGE,
	    "gw_entry_pools", "", "shards that this process owns");
	add_waits(stats);
	add_estimates(stats);
	stats->connections = gw_metrics_add(stats->registry, GW_METRIC_GAUGE,
	    "gw_entry_connections", "", "callers' connections");
	add_callers(stats);
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

static gw_metric_t *
key_metric(const stats_t *stats, sched_key_verdict_t verdict)
{
	return verdict == SCHED_KEY_MISSING ? stats->keys_missing
					    : stats->keys_unknown;
}

void
stats_record_key_refused(stats_t *stats, sched_key_verdict_t verdict)
{
	key_metric(stats, verdict)->value++;
}

uint64_t
stats_keys_refused(const stats_t *stats, sched_key_verdict_t verdict)
{
	return key_metric(stats, verdict)->value;
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
	set_callers(stats, gauges->callers);
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

/* One metric of each team. */
typedef struct {
	const char *name;
	const char
	    *labels; /* besides the team's name, with a comma; or empty */
	const char *type;
	const char *help;
	uint64_t (*value)(const sched_team_view_t *);
} team_metric_t;

#define TEAM_VALUE(member, expression)                        \
	static uint64_t member(const sched_team_view_t *team) \
	{                                                     \
		return team->expression;                      \
	}

TEAM_VALUE(running_cpu, running.cpu_millis)
TEAM_VALUE(running_memory, running.memory_mib)
TEAM_VALUE(held_cpu, held.cpu_millis)
TEAM_VALUE(held_memory, held.memory_mib)
TEAM_VALUE(quota_cpu, quota.cpu_millis)
TEAM_VALUE(quota_memory, quota.memory_mib)
TEAM_VALUE(jobs_waiting, waiting)
TEAM_VALUE(jobs_submitted, submitted)
TEAM_VALUE(refused_by_share, refused_by_share)
TEAM_VALUE(refused_by_overload, refused_by_overload)

static const team_metric_t team_metrics[] = {
    {"gw_entry_team_running_cpu_millis", "", "gauge",
	"CPU of the team's placed tasks in the shards owned", running_cpu},
    {"gw_entry_team_running_memory_mib", "", "gauge",
	"memory of the team's placed tasks in the shards owned",
	running_memory},
    {"gw_entry_team_held_cpu_millis", "", "gauge",
	"CPU of the team's quota that the shards owned hold", held_cpu},
    {"gw_entry_team_held_memory_mib", "", "gauge",
	"memory of the team's quota that the shards owned hold", held_memory},
    {"gw_entry_team_quota_cpu_millis", "", "gauge",
	"the team's quota over all shards; 0: no limit", quota_cpu},
    {"gw_entry_team_quota_memory_mib", "", "gauge",
	"the team's quota over all shards; 0: no limit", quota_memory},
    {"gw_entry_team_jobs_waiting", "", "gauge",
	"open jobs of the team of which nothing is placed", jobs_waiting},
    {"gw_entry_team_submitted_total", "", "counter",
	"jobs that the team has submitted to the shards owned", jobs_submitted},
    {"gw_entry_team_refused_total", ",reason=\"share\"", "counter",
	"refused submissions of the team", refused_by_share},
    {"gw_entry_team_refused_total", ",reason=\"overload\"", "counter",
	"refused submissions of the team", refused_by_overload},
};

/*
 * Appends the value of a label.
 */
static void
append_label(GString *text, const char *value)
{
	for (const char *at = value; *at != '\0'; at++) {
		if (*at == '\n') {
			g_string_append(text, "\\n");
			continue;
		}
		if (*at == '"' || *at == '\\')
			g_string_append_c(text, '\\');
		g_string_append_c(text, *at);
	}
}

static void
append_team(
    GString *text, const team_metric_t *metric, const sched_team_view_t *team)
{
	g_string_append_printf(text, "%s{team=\"", metric->name);
	append_label(text, team->name);
	g_string_append_printf(
	    text, "\"%s} %" PRIu64 "\n", metric->labels, metric->value(team));
}

void
stats_append_teams(GString *text, const GPtrArray *teams)
{
	const char *last = "";

	for (size_t i = 0; teams->len > 0 && i < G_N_ELEMENTS(team_metrics);
	     i++) {
		const team_metric_t *metric = &team_metrics[i];

		if (strcmp(metric->name, last) != 0)
			g_string_append_printf(text,
			    "# HELP %s %s\n# TYPE %s %s\n", metric->name,
			    metric->help, metric->name, metric->type);
		last = metric->name;
		for (guint k = 0; k < teams->len; k++)
			append_team(text, metric, teams->pdata[k]);
	}
}
