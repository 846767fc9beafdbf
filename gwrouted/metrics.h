#ifndef GWROUTED_METRICS_H
#define GWROUTED_METRICS_H

#include "gw/metric.h"
#include "reason.h"

typedef enum {
	ROUTER_OUTCOME_ANSWERED = 0,
	ROUTER_OUTCOME_NOT_RUN,
	ROUTER_OUTCOME_UNKNOWN,
	ROUTER_OUTCOME_COUNT
} router_outcome_t;

/* The router's metrics. */
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
	gw_histogram_t *queue_wait;
	gw_histogram_t *response_time;
} metrics_t;

void metrics_init(metrics_t *);
void metrics_clear(metrics_t *);

#endif
