#include <stdbool.h>
#include <stdio.h>

#include "gw/log.h"
#include "stats.h"

#define KINDS 4

/* Groups of statuses that an engineer tells apart. */
typedef enum {
	CLASS_OK,	/* 2xx */
	CLASS_ABSENT,	/* 404 and 410 */
	CLASS_REFUSED,	/* 429 and 503: not taken */
	CLASS_UNKNOWN,	/* 502 and 504 */
	CLASS_MALFORMED /* other 4xx */
} status_class_t;

#define CLASSES 5

struct stats {
	gw_metrics_t *set;
	gw_metric_t *requests[KINDS][CLASSES];
	gw_histogram_t *took[KINDS];
	gw_metric_t *pools;
	gw_metric_t *connections;
	gw_metric_t *config_version;
	gw_metric_t *lease_valid;
	gw_metric_t *log_dropped;
};

static const char *const kind_names[KINDS] = {
    "submit", "state", "cancel", "pending"};
static const char *const class_names[CLASSES] = {
    "ok", "absent", "refused", "unknown", "malformed"};

/*
 * Returns the name of a kind of request, for logs and labels.
 */
const char *
stats_kind_name(Gw__CallKind kind)
{
	return (int)kind < KINDS ? kind_names[kind] : "other";
}

/*
 * Registers the metrics.
 */
stats_t *
stats_new(void)
{
	stats_t *stats = g_new0(stats_t, 1);
	char labels[64];

	stats->set = gw_metrics_new();
	for (int k = 0; k < KINDS; k++) {
		for (int c = 0; c < CLASSES; c++) {
			(void)snprintf(labels, sizeof(labels),
			    "kind=\"%s\",outcome=\"%s\"", kind_names[k],
			    class_names[c]);
			stats->requests[k][c] = gw_metrics_add(stats->set,
			    GW_METRIC_COUNTER, "gw_entry_requests_total",
			    labels, "callers' requests answered");
		}
		(void)snprintf(
		    labels, sizeof(labels), "kind=\"%s\"", kind_names[k]);
		stats->took[k] =
		    gw_metrics_add_histogram(stats->set, "gw_entry_answer_us",
			labels, "time from a request to its answer");
	}
	stats->pools = gw_metrics_add(stats->set, GW_METRIC_GAUGE,
	    "gw_entry_pools", "", "pools that this process owns");
	stats->connections = gw_metrics_add(stats->set, GW_METRIC_GAUGE,
	    "gw_entry_connections", "", "callers' connections");
	stats->config_version = gw_metrics_add(stats->set, GW_METRIC_GAUGE,
	    "gw_entry_config_version", "", "configuration in force");
	stats->lease_valid = gw_metrics_add(stats->set, GW_METRIC_GAUGE,
	    "gw_entry_lease_valid", "", "1 while the lease is renewed");
	stats->log_dropped = gw_metrics_add(stats->set, GW_METRIC_COUNTER,
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
 * Counts an answer and its time, in microseconds.
 */
void
stats_request(stats_t *stats, Gw__CallKind kind, int status, uint64_t took_us)
{
	if ((int)kind >= KINDS)
		return;
	stats->requests[kind][classify(status)]->value++;
	gw_histogram_record(stats->took[kind], took_us);
}

/*
 * Sets the values that are read only when asked for.
 */
void
stats_gauges(stats_t *stats, uint32_t pools, uint32_t connections,
    uint64_t config_version, bool lease_valid)
{
	stats->pools->value = pools;
	stats->connections->value = connections;
	stats->config_version->value = config_version;
	stats->lease_valid->value = lease_valid;
	stats->log_dropped->value = gw_log_dropped();
}

/*
 * Returns the text; the caller frees it.
 */
GString *
stats_text(stats_t *stats)
{
	return gw_metrics_text(stats->set);
}
