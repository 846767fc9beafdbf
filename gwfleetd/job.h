#ifndef FLEET_JOB_H
#define FLEET_JOB_H

#include "fleet.h"
#include "policy/place.h"

/*
 * A task's id is the job's id, a dot and the attempt number; together they stay
 * below the 64 bytes of GW_NAME_BYTES.
 */
#define JOB_ID_MAX_BYTES 48
#define JOB_SERVICE_TIME_MAX_MS (30 * 86400 * UINT64_C(1000))

typedef enum {
	JOB_WAITING,
	JOB_STARTING, /* recorded before the platform is asked for the task */
	JOB_RUNNING,
	JOB_CHECKPOINTING, /* preempted: saved, stopped, then waits */
	JOB_FINISHED,	   /* this and the states below are final */
	JOB_CANCELLED,
	JOB_FAILED,
	JOB_UNKNOWN, /* not idempotent; may have run in part or whole */
	JOB_STATES
} job_state_t;

/* The job as submitted; a repeated submission must be equal in every field. */
typedef struct {
	char id[GW_NAME_BYTES];
	char team[GW_NAME_BYTES];
	char kind[GW_NAME_BYTES];
	uint64_t service_ms; /* declared run time */
	place_size_t size;
	bool urgent, idempotent, checkpointable, throttleable;
} job_spec_t;

/* A job's record, and what this planner knows about its task. */
typedef struct {
	job_spec_t spec;
	job_state_t state;
	bool cancelling;  /* cancellation requested */
	uint32_t attempt; /* number of the last start; 0: none */
	uint64_t left_ms; /* service time left; reduced by a checkpoint */
	char node[GW_NAME_BYTES]; /* instance of the last start */
	char reason[96];	  /* of the last decision */

	/* Not stored. */
	guint shard;
	uint64_t serial; /* shard serial of the job's last change */
	place_job_t place;
	bool enqueued;	     /* is in the queue of the placement */
	bool in_write;	     /* is part of the pending write of the shard */
	bool recorded;	     /* the store has a version of the job */
	bool task_may_exist; /* a start may have reached the platform */
	bool started_here;   /* this planner sent the start and may repeat it */
	bool start_uncertain; /* it is not known whether a start took effect */
	bool confirmed;	   /* the platform has answered that it has the task */
	bool call_pending; /* a call about the task has no reply yet */
	bool throttle_pending; /* throttling is decided, not yet confirmed */
	bool checkpoint_done;  /* the checkpoint is confirmed; a stop follows */
	uint64_t task_known_us;	  /* task lists requested later must show it */
	uint64_t next_call_us;	  /* earliest time of the next call */
	uint64_t started_us;	  /* when this planner saw the task confirmed */
	uint64_t next_renewal_us; /* of the task's lease */
	uint64_t retry_us;    /* earliest time of the next start; 0: at once */
	uint64_t accepted_us; /* received, or read by a new planner */
	uint64_t ended_us;    /* ended, or read by a new planner */
} job_t;

const char *job_state_name(job_state_t);
bool job_ended(const job_t *);
/* Whether a task of the job may occupy resources of its instance. */
bool job_placed(const job_t *);
bool job_parse(job_spec_t *, const json_t *, gw_err_t *);
bool job_spec_equal(const job_spec_t *, const job_spec_t *);
job_t *job_new(const job_spec_t *);
void job_task_id(const job_t *, char id[GW_NAME_BYTES]);
json_t *job_encode(const job_t *);
job_t *job_decode(const json_t *);

#endif
