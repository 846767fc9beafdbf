#ifndef POLICY_COST_H
#define POLICY_COST_H

#include <stdint.h>

#include <glib.h>

#include "manifest/manifest.h"

/* Mean slot time of a request, per route and class and per class. */
typedef struct {
	GHashTable *routes; /* cost_key() -> cost_mean_t */
	struct cost_mean {
		uint64_t mean_us;
		uint32_t samples; /* stops at COST_MEAN_SAMPLES */
	} classes[CLASS_COUNT];
} cost_t;

typedef struct cost_mean cost_mean_t;

void cost_init(cost_t *);
void cost_clear(cost_t *);
void cost_mean_add(cost_mean_t *, uint64_t service_us);
void cost_record(
    cost_t *, uint32_t route, request_class_t, uint64_t service_us);
uint64_t cost_estimate_us(const cost_t *, uint32_t route, request_class_t);
uint64_t cost_estimate_class_us(const cost_t *, request_class_t);

#endif
