#ifndef GWENTRYD_OWNER_IMPL_H
#define GWENTRYD_OWNER_IMPL_H

#include "agents.h"
#include "gw/id.h"
#include "owner.h"
#include "quota.h"
#include "roles.h"

/* Delay before a failed store call is retried; for commits it doubles. */
#define RETRY_MIN_MS 40
#define RETRY_MAX_MS 400

/* What is read from the store, in this order. */
typedef enum {
	LOAD_SPECS,	/* jobs as submitted */
	LOAD_RECORDS,	/* progress of the jobs */
	LOAD_HANDED,	/* tasks that other shards have handed to this one */
	LOAD_TRANSFERS, /* jobs that other shards have */
	LOAD_QUEUES,	/* queues that have jobs */
	LOAD_SEQUENCE,	/* revision of the sequence key */
	LOAD_LAPSING,	/* instances whose leases lapse */
	LOADED
} load_step_t;

struct owner {
	gw_rt_t *rt;
	store_t *store;
	char shard[SCHED_NAME_BYTES];
	char role_key[ROLE_KEY_BYTES];
	char sequence_key[ROLE_KEY_BYTES];
	char lapsing_key[ROLE_KEY_BYTES];
	char boot_id[GW_ID_TEXT_BYTES]; /* random, to recognize own writes */
	uint64_t fence; /* revision that the role key must still have */
	const owner_ops_t *ops;
	void *arg;
	sched_pool_t *pool;
	agents_t *agents;
	quota_t *quota;
	load_step_t load_step;
	char *load_after_key; /* last key of a truncated page, or NULL */
	gw_timer_t load_timer;
	gw_timer_t tick_timer;
	void (*on_tick)(gw_timer_t *, void *arg);
	/*
	 * The records of the commit in progress, or NULL. The commit is retried
	 * unchanged until its outcome is known.
	 */
	sched_batch_t *batch;
	/* Of the configuration, a condition of a batch that accepts jobs. */
	uint64_t batch_config_revision;
	uint64_t sequence_revision; /* of the sequence key; 0: absent */
	uint64_t written_revision;  /* of this owner's last commit; 0: none */
	/* The last commit was by an owner that knows the list. */
	bool lapsing_is_current;
	uint64_t sequence; /* number of the last commit; 0: none yet */
	gw_timer_t commit_timer;
	uint32_t retry_ms;	    /* delay of the next retry of a commit */
	uint64_t commit_started_us; /* first attempt; 0: none in progress */
	uint64_t last_commit_us;    /* 0: none yet */
	bool call_in_progress;	    /* a call to the store */
	bool closing;		    /* to be freed after the call in progress */
};

/*
 * The end of the sequence key's value; versions that do not know the list of
 * lapsing leases write none.
 */
#define SEQUENCE_MARK " lapsing"

/* owner_base.c */
void owner_destroy(owner_t *);
void owner_schedule_tick_in(owner_t *, uint64_t delay_us);
void owner_report_lost(owner_t *, const char *reason);
/*
 * Marks the call to the store as ended. Returns false when owner_free() was
 * called during the call; the owner has then been destroyed.
 */
bool owner_end_call(owner_t *);

/* owner_commit.c */
void owner_schedule_commit(owner_t *);

/* owner_load.c */
void owner_load_next_page(owner_t *);

#endif
