#ifndef POLICY_OUTLIER_H
#define POLICY_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#include "gw/clock.h"

/*
 * Outlier detection: ejects instances of a pool that fail far more often than
 * their peers, limits how many are ejected at once, and readmits an instance
 * after successful requests on probation.
 */
typedef struct outlier outlier_t;

typedef enum {
	OUTLIER_HEALTHY = 0,
	OUTLIER_EJECTED,  /* gets no requests */
	OUTLIER_PROBATION /* gets one request at a time */
} outlier_state_t;

typedef enum {
	OUTLIER_SUCCESS = 0,
	OUTLIER_FAILURE,     /* the instance failed: 5xx, reset, time-out */
	OUTLIER_CALLER_FAULT /* 4xx, caller gone: not counted */
} outlier_result_t;

/* max_out_percent limits how many instances are ejected at once. */
outlier_t *outlier_new(const gw_clock_t *, uint32_t max_out_percent);
void outlier_free(outlier_t *);
void outlier_add(outlier_t *, const char *instance_id);
void outlier_remove(outlier_t *, const char *instance_id);
void outlier_report(outlier_t *, const char *instance_id, outlier_result_t);
outlier_state_t outlier_state(outlier_t *, const char *instance_id);
bool outlier_needs_peers(const outlier_t *);
uint32_t outlier_ejected_count(const outlier_t *);

#endif
