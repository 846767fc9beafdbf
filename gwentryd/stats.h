#ifndef GWENTRYD_STATS_H
#define GWENTRYD_STATS_H

#include <stdbool.h>

#include "gw/metric.h"
#include "sched/config.h"
#include "http/budget.h"
#include "sched/wait.h"
#include "wire/gw.pb-c.h"

/* Counters and histograms of the process, served as text. */
typedef struct stats stats_t;

stats_t *stats_new(void);
const char *stats_kind_name(Gw__CallKind);
/* Counts the response to a caller's request, and its latency. */
void stats_record_request(
    stats_t *, Gw__CallKind, int status, uint64_t took_us);
/* Counts a request that was refused for its key. */
void stats_record_key_refused(stats_t *, sched_key_verdict_t);
uint64_t stats_keys_refused(const stats_t *, sched_key_verdict_t);
typedef struct {
	uint32_t shards_owned;
	sched_waits_t waits;
	uint32_t connections;
	const gw_budget_t *callers;
	uint64_t config_version;
	uint64_t config_age_ms;
	bool lease_valid;
} stats_gauges_t;
/* Sets the gauges; called before stats_text(). */
void stats_set_gauges(stats_t *, const stats_gauges_t *);
GString *stats_text(stats_t *);
/*
 * Appends the metrics of the configuration's teams (sched_team_view_t *), whose
 * number changes with each version.
 */
void stats_append_teams(GString *, const GPtrArray *teams);

#endif
