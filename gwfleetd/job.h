#ifndef FLEET_JOB_H
#define FLEET_JOB_H

#include "fleet.h"
#include "policy/place.h"

/* A task's id is the job's id, a dot and the attempt, below 64 bytes. */
#define JOB_ID_MAX_BYTES 48
#define JOB_SERVICE_MAX_MS (30 * 86400 * UINT64_C(1000))

typedef enum {
	JOB_WAITING,
	JOB_STARTING, /* in the store before the task is started */
	JOB_RUNNING,
	JOB_CHECKPOINTING, /* gives way: saved and stopped, then waits */
	JOB_FINISHED,	   /* this state and those below are ends */
	JOB_CANCELLED,
	JOB_FAILED,
	JOB_UNKNOWN, /* non-idempotent, may have run in part or whole */
	JOB_STATES
} job_state_t;

/* What a team asks for; two submissions of one job are equal in all of it. */
typedef struct {
	char id[GW_NAME_BYTES];
	char team[GW_NAME_BYTES];
	char kind[GW_NAME_BYTES];
	uint64_t service_ms;
	place_size_t size;
	bool urgent, idempotent, checkpointable, throttleable;
} job_spec_t;

/* A job as recorded, and what the planner knows of its task. */
typedef struct {
	job_spec_t spec;
	job_state_t state;
	bool cancelling;
	uint32_t attempt;
	uint64_t left_ms; /* service time left after a checkpoint */
	char node[GW_NAME_BYTES];
	char reason[96];

	/* Not recorded. */
	guint shard;
	uint64_t serial; /* of the shard's change that is the job's last one */
	place_job_t place;
	bool queued;	   /* waits in the placement */
	bool in_draft;	   /* part of a write on its way */
	bool recorded;	   /* in the store in some form */
	bool may_run;	   /* the task may have been started */
	bool own;	   /* this planner's start; it may be repeated */
	bool uncertain;	   /* a start had no certain answer */
	bool confirmed;	   /* the platform has the task */
	bool calling;	   /* a call about the task is on its way */
	bool throttle_due; /* the platform has yet to confirm it */
	bool saved;	   /* the checkpoint is confirmed; stop is next */
	uint64_t known_us; /* a task list asked for later shows the task */
	uint64_t call_us;  /* no call about the task before */
	uint64_t started_us;
	uint64_t renew_us;
	uint64_t retry_us; /* waits at least until then */
	uint64_t accepted_us;
	uint64_t ended_us;
} job_t;

const char *job_state_name(job_state_t);
bool job_ended(const job_t *);
/* Whether a task of the job may hold room on its instance. */
bool job_placed(const job_t *);
bool job_parse(job_spec_t *, const json_t *, gw_err_t *);
bool job_spec_equal(const job_spec_t *, const job_spec_t *);
job_t *job_new(const job_spec_t *);
void job_task_id(const job_t *, char id[GW_NAME_BYTES]);
json_t *job_encode(const job_t *);
job_t *job_decode(const json_t *);

#endif
