#ifndef FLEET_JOBS_STATE_H
#define FLEET_JOBS_STATE_H

#include "fleet_state.h"
#include "job.h"
#include "jobs.h"

/*
 * A record of a job is at most 1000 bytes, so that a shard has at most
 * 320,000, below the store's limit of 1 MB; 64 shards hold 20,480 jobs.
 */
#define JOB_SHARDS 64
#define JOB_SHARD_JOBS_MAX 320
/*
 * Writes of job records per data centre: 11 data centres make 220 of the
 * several hundred that the store bears from all its users.
 */
#define JOB_WRITES_PER_S 20
#define JOB_WRITES_BURST 8
/* An ended job stays this long, so that a repeated id is recognised. */
#define JOB_KEEP_MS (300 * UINT64_C(1000))
/* Longest wait of a submitter for the store. */
#define JOB_ANSWER_MS 2000
/* A task's lease outlives the election of a new planner (8 s). */
#define JOB_LEASE_MS 20000
#define JOB_RENEW_MS 5000
#define JOB_POLL_MS 500
/* Starts of one idempotent job before it counts as failed. */
#define JOB_ATTEMPTS_MAX 16
#define JOB_RETRY_MS 500

typedef struct {
	record_t record;
	guint number;
	bool loaded;
	bool pressing;		   /* somebody waits for the next write */
	uint64_t serial;	   /* of the last change */
	uint64_t draft_serial;	   /* of the draft on its way */
	uint64_t committed_serial; /* of what is in the store */
	guint jobs;
} job_shard_t;

/* A request that is answered once the change it made is in the store. */
typedef struct {
	void *request;
	char id[GW_NAME_BYTES];
	guint shard;
	uint64_t serial;
	uint64_t since_us;
	bool submits; /* the job is new with this request */
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
	guint loaded; /* shards read in this term */
	GPtrArray *waiters;
	GHashTable *nodes; /* id -> place_size_t given to the placement */
	place_t *place;
	bool adopted; /* running jobs hold their room in the placement */
	double write_tokens;
	uint64_t tokens_us;
	uint64_t tasks_call, usage_call;
	uint64_t tasks_asked_us; /* 0: no call on its way */
	uint64_t tasks_next_us;
	uint64_t usage_next_us;
};

bool jobs_ready(const fleet_t *);
job_t *jobs_find(const fleet_t *, const char *id);

/* Answers to the requests that wait for a record. */
void job_answer_accepted(fleet_t *, job_waiter_t *);
void job_answer_unknown(fleet_t *, job_waiter_t *);
void job_answer_refused(fleet_t *, job_waiter_t *, const char *why);
void job_answer_overdue(fleet_t *);
void job_answers_sweep(jobs_t *);

/* The store. */
void job_commit_init(fleet_t *);
void job_commit_read(fleet_t *);
void job_commit_end(fleet_t *);
void job_commit_tick(fleet_t *);
void job_commit_flush(fleet_t *);
bool job_commit_add(fleet_t *, job_t *);
void job_commit_remove(fleet_t *, job_t *);
void job_changed(fleet_t *, job_t *);
bool job_committed(const fleet_t *, const job_t *);
void job_wait(
    fleet_t *, const job_t *, void *request, bool submits, bool repeated);

/* Placement. */
bool job_impossible(
    const fleet_t *, const job_spec_t *, char *reason, uint32_t size_bytes);
void job_place_round(fleet_t *);
void job_set_state(fleet_t *, job_t *, job_state_t, const char *reason);
void job_restart(fleet_t *, job_t *, const char *reason);
void job_place_forget(fleet_t *, job_t *);

/* Tasks. */
void job_task_tick(fleet_t *);
void job_task_list(fleet_t *, const job_msg_t *);
void job_task_usage(fleet_t *, const job_msg_t *);
void job_task_put_done(fleet_t *, const job_msg_t *);
void job_task_operated(fleet_t *, const job_msg_t *);

#endif
