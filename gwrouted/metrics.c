#include <stdio.h>

#include "metrics.h"

static gw_metric_t *
add_counter(
    metrics_t *m, const char *name, const char *labels, const char *help)
{
	return gw_metrics_add(m->set, GW_METRIC_COUNTER, name, labels, help);
}

static gw_metric_t *
add_gauge(metrics_t *m, const char *name, const char *help)
{
	return gw_metrics_add(m->set, GW_METRIC_GAUGE, name, "", help);
}

static void
add_labelled_counters(metrics_t *m)
{
	static const char *const outcomes[ROUTER_OUTCOME_COUNT] = {
	    "answered", "not-run", "unknown"};
	char labels[64];

	for (int i = 0; i < ROUTER_OUTCOME_COUNT; i++) {
		(void)snprintf(
		    labels, sizeof(labels), "outcome=\"%s\"", outcomes[i]);
		m->outcomes[i] = add_counter(m, "gw_router_requests_total",
		    labels, "requests that have ended");
	}
	for (int i = 0; i < REASON_COUNT; i++) {
		(void)snprintf(labels, sizeof(labels), "reason=\"%s\"",
		    reason_info((reason_t)i)->name);
		m->reasons[i] = add_counter(m, "gw_router_refused_total",
		    labels, "requests that no endpoint answered");
	}
}

/*
 * Registers the router's metrics.
 */
void
metrics_init(metrics_t *m)
{
	m->set = gw_metrics_new();
	add_labelled_counters(m);
	m->attempts = add_counter(m, "gw_router_attempts_total", "",
	    "requests sent to an endpoint, each attempt");
	m->retries = add_counter(
	    m, "gw_router_retries_total", "", "attempts after the first");
	m->spills = add_counter(m, "gw_router_spills_total", "",
	    "requests sent to another data centre");
	m->requests_in_progress = add_gauge(
	    m, "gw_router_requests", "requests queued or running now");
	m->connections = add_gauge(
	    m, "gw_router_connections", "callers' connections, idle ones too");
	m->generation = add_gauge(
	    m, "gw_router_generation", "manifest generation in force");
	m->epoch =
	    add_gauge(m, "gw_router_epoch", "epoch of the view in force");
	m->version = add_gauge(
	    m, "gw_router_table_version", "version of the view in force");
	m->contact = add_gauge(m, "gw_router_contact",
	    "1 while contact with the planner is fresh");
	m->log_dropped = add_counter(m, "gw_router_log_dropped_total", "",
	    "log lines dropped because they were not read");
	m->queue_wait = gw_metrics_add_histogram(
	    m->set, "gw_router_wait_us", "", "time in the queue");
	m->response_time =
	    gw_metrics_add_histogram(m->set, "gw_router_answer_us", "",
		"time from the request to the whole answer of an endpoint");
}

/*
 * Frees the metrics.
 */
void
metrics_clear(metrics_t *m)
{
	gw_metrics_free(m->set);
}
