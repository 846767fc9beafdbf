#ifndef GWENTRYD_PROBE_H
#define GWENTRYD_PROBE_H

#include <stdbool.h>

#include "platform/settings.h"
#include "stats.h"

/*
 * What the process tells about itself: readiness to the balancer, metrics to
 * engineers. Both are answered at both addresses.
 */
typedef struct probe probe_t;

/* The state of the process at a moment. */
typedef struct {
	bool draining;
	bool lease_valid;
	bool has_config;
	uint64_t config_version;
	uint32_t pools;
	uint32_t connections;
} probe_state_t;

typedef probe_state_t (*probe_read_t)(void *arg);

/* Returns NULL with the error when an address cannot be had. */
probe_t *probe_new(gw_rt_t *, const plat_settings_t *, stats_t *, probe_read_t,
    void *arg, gw_err_t *);

#endif
