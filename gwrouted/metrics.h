#ifndef GWROUTED_METRICS_H
#define GWROUTED_METRICS_H

#include "gw/metric.h"
#include "reason.h"

typedef enum {
	ROUTER_ANSWERED = 0,
	ROUTER_NOT_RUN,
	ROUTER_UNKNOWN,
	ROUTER_OUTCOME_COUNT
} router_outcome_t;

/* The router's own counters. */
typedef struct {
	gw_metrics_t *set;
	gw_metric_t *outcomes[ROUTER_OUTCOME_COUNT];
	gw_metric_t *reasons[REASON_COUNT];
	gw_metric_t *attempts;
	gw_metric_t *retries;
	gw_metric_t *spills;
	gw_metric_t *requests_in_progress;
	gw_metric_t *connections;
	gw_metric_t *generation;
	gw_metric_t *epoch;
	gw_metric_t *version;
	gw_metric_t *contact;
	gw_metric_t *log_dropped;
	gw_histogram_t *wait;
	gw_histogram_t *total;
} metrics_t;

void metrics_init(metrics_t *);
void metrics_clear(metrics_t *);

#endif
