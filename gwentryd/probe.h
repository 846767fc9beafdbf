#ifndef GWENTRYD_PROBE_H
#define GWENTRYD_PROBE_H

#include <stdbool.h>

#include "inspect.h"
#include "http/budget.h"
#include "platform/settings.h"
#include "sched/wait.h"
#include "stats.h"

/*
 * HTTP servers for the load balancer's readiness check and for metrics. Both
 * paths are served at both addresses, operators' requests at that of the
 * metrics only.
 */
typedef struct probe probe_t;

/* The current state of the process. */
typedef struct {
	bool draining;
	bool lease_valid; /* cannot have expired at the store */
	bool has_config;
	uint64_t config_version; /* 0: no configuration yet */
	/* Since it is known to have been the newest one in the store. */
	uint64_t config_age_ms;
	uint32_t shards_owned; /* without the planner role */
	sched_waits_t waits;
	uint32_t connections;
	const gw_budget_t *callers;
} probe_state_t;

typedef probe_state_t (*probe_read_t)(void *arg);

/* Returns NULL and sets err when it cannot listen at an address. */
probe_t *probe_new(gw_rt_t *, const plat_settings_t *, stats_t *,
    const inspect_t *, probe_read_t, void *arg, gw_err_t *);
/* Sets the address at which the metrics are served. */
int probe_metrics_addr(const plat_settings_t *, gw_addr_t *, gw_err_t *);

#endif
