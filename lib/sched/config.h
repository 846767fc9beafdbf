#ifndef SCHED_CONFIG_H
#define SCHED_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "sched/sched.h"

/* A queue: where callers reach it, and what its jobs are owed. */
typedef struct {
	char *name;
	char *host;
	char *path_prefix;
	char pool[SCHED_NAME_BYTES];
	uint32_t priority; /* 0 comes first */
	uint32_t max_attempts;
	uint32_t objective_ms;	   /* beside stretch times the chain */
	uint32_t stretch_permille; /* of the longest chain of steps */
	uint32_t timeout_ms;
	/* Advice on placement; advice_valid_ms 0: none. */
	uint32_t advice_decide_ms;
	uint32_t advice_per_item_ms;
	uint32_t advice_valid_ms;
} sched_queue_t;

typedef struct {
	char name[SCHED_NAME_BYTES];
	bool guards_capacity; /* its instances refuse what does not fit */
	bool standby;	      /* its instances are off */
} sched_pool_config_t;

/* One version of the operators' configuration. */
typedef struct {
	uint64_t version;
	GArray *queues; /* sched_queue_t */
	GArray *pools;	/* sched_pool_config_t */
	uint32_t body_max_bytes;
	uint32_t idle_timeout_ms;
} sched_config_t;

sched_config_t *sched_config_new(void);
void sched_config_free(sched_config_t *);
const sched_queue_t *sched_config_match(const sched_config_t *,
    const char *host, size_t host_bytes, const char *path, size_t path_bytes);

#endif
