#ifndef GWENTRYD_OWNER_IMPL_H
#define GWENTRYD_OWNER_IMPL_H

#include "agents.h"
#include "gw/id.h"
#include "owner.h"
#include "roles.h"

/* A prefix and a job's id. */
#define RECORD_KEY_BYTES (ROLE_KEY_BYTES + SCHED_JOB_ID_BYTES)
/* Pause before a failed call is repeated, doubled up to the maximum. */
#define RETRY_MIN_MS 40
#define RETRY_MAX_MS 400

typedef enum {
	LOAD_SPECS,
	LOAD_RECORDS,
	LOAD_SEQUENCE,
	LOADED
} load_step_t;

struct owner {
	gw_rt_t *rt;
	store_t *store;
	char pool_name[SCHED_NAME_BYTES];
	char role_key[ROLE_KEY_BYTES];
	char spec_prefix[ROLE_KEY_BYTES];
	char record_prefix[ROLE_KEY_BYTES];
	char sequence_key[ROLE_KEY_BYTES];
	char boot[GW_ID_TEXT_BYTES];
	uint64_t fence;
	const owner_ops_t *ops;
	void *arg;
	sched_pool_t *pool;
	agents_t *agents;
	load_step_t step;
	char *load_after; /* last key of a truncated page */
	gw_timer_t load;
	gw_timer_t tick;
	void (*on_tick)(gw_timer_t *, void *arg);
	/* The write under way, repeated as it is until its outcome is known. */
	sched_batch_t *batch;
	uint64_t sequence_revision;
	uint64_t sequence;
	gw_timer_t commit;
	uint32_t retry_ms;
	uint64_t commit_since_us;
	uint64_t committed_us;
	bool calling;
	bool dead; /* freed once the call under way has ended */
};

/* owner_base.c */
void owner_destroy(owner_t *);
void owner_kick_in(owner_t *, uint64_t delay_us);
void owner_depose(owner_t *, const char *reason);
/* Ends a call; false when the owner was given up meanwhile, and is freed. */
bool owner_call_ended(owner_t *);

/* owner_commit.c */
void owner_commit_soon(owner_t *);

/* owner_load.c */
void owner_load(owner_t *);

#endif
