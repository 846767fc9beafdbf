#ifndef FLEET_JOBS_STATE_H
#define FLEET_JOBS_STATE_H

#include "fleet_state.h"
#include "job.h"
#include "jobs.h"

/*
 * A job's record has at most 1000 bytes. A shard of 320 jobs therefore has at
 * most 320,000 bytes, below the store's limit of 1 MB for a value. 64 shards
 * hold 20,480 jobs.
 */
#define JOB_SHARDS 64
#define JOB_SHARD_JOBS_MAX 320
/*
 * Limit of shard writes per data centre. 11 data centres make 220 writes per
 * second, of the several hundred that the store sustains for all its users.
 */
#define JOB_WRITES_PER_S 20
#define JOB_WRITES_BURST 8
/* Ended jobs are kept for this time, to recognise repeated submissions. */
#define JOB_ENDED_RETENTION_MS (300 * UINT64_C(1000))
/* Replies "unknown" to a client if the change is not stored by then. */
#define JOB_COMMIT_TIMEOUT_MS 2000
/* A task's lease outlives the election of a new planner (8 s). */
#define JOB_LEASE_MS 20000
#define JOB_RENEWAL_INTERVAL_MS 5000
#define TASKS_POLL_INTERVAL_MS 500
/* Starts of an idempotent job before it is recorded as failed. */
#define JOB_ATTEMPTS_MAX 16
/* Delay before a restart, times the number of earlier restarts. */
#define JOB_RESTART_DELAY_MS 500

typedef struct {
	record_t record;
	guint number;
	bool loaded;
	bool write_first;	   /* a client or a start waits for the write */
	uint64_t serial;	   /* counts the changes of the shard */
	uint64_t writing_serial;   /* serial in the pending write */
	uint64_t committed_serial; /* serial in the store */
	guint jobs;
} job_shard_t;

/* A client's request that is replied to once its change is in the store. */
typedef struct {
	void *request;
	char id[GW_NAME_BYTES];
	guint shard;
	uint64_t serial;
	uint64_t since_us;
	bool creates_job; /* the store may not have the job yet */
	bool repeated;
} job_waiter_t;

typedef struct {
	gw_metric_t *states[JOB_STATES];
	gw_metric_t *accepted, *repeated, *refused, *writes, *starts;
	gw_histogram_t *urgent_start_us;
} job_metrics_t;

struct jobs {
	const job_ops_t *ops;
	void *ctx;
	job_metrics_t metrics;
	GHashTable *by_id; /* id -> job_t */
	job_shard_t shards[JOB_SHARDS];
	guint loaded; /* number of shards read in this term */
	GPtrArray *waiters;
	GHashTable *nodes; /* id -> place_size_t last passed to place */
	place_t *place;
	bool adopted; /* jobs already running are known to place */
	double write_tokens;
	uint64_t tokens_us;
	uint64_t tasks_call, usage_call;
	uint64_t tasks_requested_us; /* 0: no call is pending */
	uint64_t next_tasks_poll_us;
	uint64_t next_usage_poll_us;
};

bool jobs_ready(const fleet_t *);
job_t *jobs_find(const fleet_t *, const char *id);

/* Requests that wait for a write (job_answer.c). */
void job_reply_committed(fleet_t *, job_waiter_t *);
void job_reply_unknown(fleet_t *, job_waiter_t *);
void job_reply_refused(fleet_t *, job_waiter_t *, const char *why);
void job_waiters_expire(fleet_t *);
void job_waiters_remove_answered(jobs_t *);

/* Records in the store (job_commit.c). */
void job_commit_init(fleet_t *);
void job_commit_read(fleet_t *);
void job_commit_end(fleet_t *);
void job_commit_tick(fleet_t *);
void job_commit_flush(fleet_t *);
bool job_commit_add(fleet_t *, job_t *);
void job_commit_remove(fleet_t *, job_t *);
void job_mark_changed(fleet_t *, job_t *);
bool job_committed(const fleet_t *, const job_t *);
void job_wait_for_commit(
    fleet_t *, const job_t *, void *request, bool creates_job, bool repeated);

/* Placement (job_place.c). */
bool job_can_never_run(
    const fleet_t *, const job_spec_t *, char *reason, uint32_t size_bytes);
void job_place_schedule(fleet_t *);
void job_end(fleet_t *, job_t *, job_state_t, const char *reason);
void job_requeue(fleet_t *, job_t *, const char *reason);
void job_place_remove(fleet_t *, job_t *);

/* Tasks of the platform (job_task.c). */
void job_task_tick(fleet_t *);
void job_handle_tasks(fleet_t *, const job_msg_t *);
void job_handle_usage(fleet_t *, const job_msg_t *);
void job_handle_put(fleet_t *, const job_msg_t *);
void job_handle_operation(fleet_t *, const job_msg_t *);

#endif
