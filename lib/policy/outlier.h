#ifndef POLICY_OUTLIER_H
#define POLICY_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#include "gw/clock.h"

/*
 * Finds instances that fail far more than their peers, takes them out with a
 * limit on how many are out at once, and lets them prove themselves.
 */
typedef struct outlier outlier_t;

typedef enum {
	OUTLIER_IN = 0,
	OUTLIER_OUT,
	OUTLIER_PROBATION /* takes one request at a time */
} outlier_state_t;

typedef enum {
	OUTLIER_SUCCESS = 0,
	OUTLIER_FAILURE,     /* the instance failed: 5xx, reset, time-out */
	OUTLIER_CALLER_FAULT /* 4xx, caller gone: says nothing */
} outlier_result_t;

outlier_t *outlier_new(const gw_clock_t *, uint32_t max_out_percent);
void outlier_free(outlier_t *);
void outlier_add(outlier_t *, const char *instance_id);
void outlier_remove(outlier_t *, const char *instance_id);
void outlier_report(outlier_t *, const char *instance_id, outlier_result_t);
outlier_state_t outlier_state(outlier_t *, const char *instance_id);
bool outlier_needs_peers(const outlier_t *);
uint32_t outlier_out_count(const outlier_t *);

#endif
