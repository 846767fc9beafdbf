#ifndef SCHED_SCHED_H
#define SCHED_SCHED_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/clock.h"
#include "sched/name.h"
#include "sched/wait.h"
#include "sched/window.h"
#include "wire/gw.pb-c.h"

/*
 * The jobs of one pool, or of one shard of it, and the instances that run them,
 * as the owner sees them. The library does no input or output: events come in
 * through functions, and requests go out through sched_ops_t.
 * docs/notes/platform.md describes it.
 */
typedef struct sched_pool sched_pool_t;

#define SCHED_JOB_ID_BYTES 17
/* Size of the key of a queue; see sched_queue_t. */
#define SCHED_QUEUE_KEY_BYTES 17
/*
 * A task in the record of its job takes no more than this, without its
 * checkpoint.
 */
#define SCHED_TASK_RECORD_BYTES 100
/* Size of the name of a row with tasks that are handed over. */
#define SCHED_ROW_BYTES 64
/* What such a row takes beside the specification and the record. */
#define SCHED_ROW_OVERHEAD_BYTES 64
/* Most steps in a job; a job with more is refused. */
#define SCHED_STEPS_MAX 64

/* Names one task: job, occurrence, step, and the task's index in the step. */
typedef struct {
	char job[SCHED_JOB_ID_BYTES];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} sched_task_ref_t;

/*
 * Names a queue: jobs belong to it that were submitted under its name or its
 * key. An operator may give a queue another name, or its name to another one.
 */
typedef struct {
	const char *name;
	const char *key; /* empty: not known */
	/* Of the caller, who sees its jobs only; NULL or empty: all jobs. */
	const char *team;
} sched_queue_ref_t;

/* Capacity of an instance, or a part of it. */
typedef struct {
	uint64_t cpu_millis; /* thousandths of a core */
	uint64_t memory_mib;
	uint64_t accelerators;
} sched_resources_t;

/* A team, by the operators' configuration. */
typedef struct {
	char name[SCHED_NAME_BYTES];
	uint32_t priority;
	/*
	 * Its share of a pool that is full. Also the jobs that it may submit a
	 * second, in thousandths, before others come first.
	 */
	uint32_t weight_permille;
	/* What it may run over all pools; a member that is 0 has no limit. */
	sched_resources_t quota;
} sched_team_config_t;

#define SCHED_KEY_DIGEST_BYTES 32
/* SHA-256 of a caller's key; the key itself is kept nowhere. */
typedef struct {
	uint8_t bytes[SCHED_KEY_DIGEST_BYTES];
} sched_key_digest_t;

/* By what a job was submitted that no batch has accepted yet. */
typedef struct {
	const char *queue_key;
	const char *team;	       /* empty: none */
	const sched_key_digest_t *key; /* NULL: none */
} sched_submitter_t;

/* An instance's entry in the platform's registry. */
typedef struct {
	char id[SCHED_NAME_BYTES];
	char pool[SCHED_NAME_BYTES];
	char address[SCHED_NAME_BYTES]; /* IP:PORT */
	char data_centre[SCHED_NAME_BYTES];
	char machine[SCHED_NAME_BYTES]; /* empty when the registry has none */
	uint64_t born_ms; /* start of this incarnation, ms since 1970 */
	bool leaving;
	uint32_t leaves_in_ms; /* shortest time left; 0 unless leaving */
	sched_resources_t capacity;
	GStrv labels;
} sched_instance_info_t;

/* How a run of a task ended. */
typedef enum {
	SCHED_END_DONE,
	SCHED_END_FAILED,
	SCHED_END_STOPPED,
	SCHED_END_EXPIRED,
	SCHED_END_GANG_BROKEN, /* another member of the gang ended */
	SCHED_END_GANG_TIMEOUT /* the other members did not start in time */
} sched_end_kind_t;

typedef struct {
	uint64_t number; /* counts 1, 2, ... in one incarnation */
	sched_task_ref_t ref;
	uint32_t run;
	sched_end_kind_t kind;
	const char *checkpoint;
} sched_run_end_t;

typedef struct {
	sched_task_ref_t ref;
	uint32_t run;
	const char *checkpoint;
	/* Progress; 100 when a long-running task is serving. */
	uint32_t percent;
	/*
	 * Tail latency in ms of a serving task, else CPU in use in thousandths
	 * of a core.
	 */
	uint32_t gauge;
} sched_run_status_t;

/* An instance's response to a renewal. */
typedef struct {
	uint64_t clock_ms; /* reading of the instance's clock */
	uint64_t born_ms;  /* 0 when the instance did not send it */
	const sched_run_status_t *running;
	uint32_t running_count;
	const sched_run_end_t *ends;
	uint32_t end_count;
} sched_report_t;

/*
 * The result of a request to an instance: to start or stop a run, or to renew
 * its lease.
 */
typedef enum {
	SCHED_RESULT_OK,
	SCHED_RESULT_FENCED, /* the instance has seen a higher fence */
	/* This run, or a later one of the task, has ended there. */
	SCHED_RESULT_STALE,
	SCHED_RESULT_LATE, /* its deadline had passed on arrival */
	SCHED_RESULT_NO_ROOM,
	SCHED_RESULT_BAD_TICKET,
	SCHED_RESULT_REFUSED,	  /* not carried out: unhealthy, or malformed */
	SCHED_RESULT_REPLACED,	  /* another incarnation has the address */
	SCHED_RESULT_NO_RESPONSE, /* may be carried out, now or later */
	SCHED_RESULT_NOT_SENT	  /* will not be carried out */
} sched_result_t;

/* A request to start a run. Valid during the call. */
typedef struct {
	const char *instance;
	const char *address;
	sched_task_ref_t ref;
	uint32_t run;
	const char *payload;
	const char *checkpoint; /* empty: none */
	const char *ticket;	/* NULL: none */
	uint64_t deadline_ms;	/* end of the lease, on the instance's clock */
	uint64_t fence;		/* see sched_pool_set_fence() */
} sched_start_t;

/*
 * A request to renew the lease of an instance's runs and to report on them.
 * Valid during the call.
 */
typedef struct {
	const char *instance;
	const char *address;
	/* New end of the lease, on the instance's clock; 0: not extended. */
	uint64_t deadline_ms;
	uint64_t ack_number; /* ends up to this number are in the store */
	uint32_t wait_ms;    /* longest wait for a change to report */
	uint64_t fence;	     /* see sched_pool_set_fence() */
} sched_renewal_t;

/* The response to a caller's request. */
typedef struct {
	Gw__CallOutcome outcome;
	Gw__JobState state;
	uint32_t pending;	 /* jobs of the queue that have not started */
	uint32_t retry_after_ms; /* of a refusal */
	const char *reason;
	/* Of a refusal: the shard that has the job; NULL: none, or not yet. */
	const char *moved_to;
} sched_response_t;

typedef void (*sched_response_cb_t)(const sched_response_t *, void *arg);

typedef enum {
	SCHED_WRITE_SPEC,     /* a job as submitted */
	SCHED_WRITE_RECORD,   /* its progress */
	SCHED_WRITE_QUEUE,    /* that the pool has jobs of a queue */
	SCHED_WRITE_LAPSING,  /* the instances whose leases lapse; one value */
	SCHED_WRITE_TRANSFER, /* which shard has a job; see transfer.c */
	SCHED_WRITE_HANDED,   /* tasks that are handed over; see part.c */
	SCHED_WRITE_OLD_ROW   /* the same, of a job that is gone */
} sched_write_kind_t;

/* A record to write to the store or to remove from it. */
typedef struct {
	sched_write_kind_t kind;
	/* Of the job, the queue's key or the row's name; empty: not needed. */
	char id[SCHED_ROW_BYTES];
	GBytes *value;		      /* NULL: remove the record */
	char shard[SCHED_NAME_BYTES]; /* of the record; empty: this one */
} sched_write_t;

/*
 * Records that are written together, with the starts, acknowledgements and
 * responses that must wait until the records are in the store.
 */
typedef struct sched_batch sched_batch_t;

/* A job that no instance of its shard can run, or none has room for. */
typedef struct {
	const char *id;
	const Gw__JobSpec *spec;
	const bool *is_open; /* for each step: it has tasks that are not done */
	/*
	 * Any number of the tasks is looked for, and spec has the one step with
	 * this number, and as many of its tasks as wait.
	 */
	bool is_part;
	uint32_t step;
} sched_seeker_t;

/*
 * The tasks of one step that a shard with a part of the job has. In an answer,
 * unavailable is how many more it may stop on purpose.
 */
typedef struct {
	uint32_t occurrence;
	uint32_t step;
	uint32_t tasks;
	uint32_t unavailable; /* of these, not at work */
	uint32_t leaving;     /* of the others, to be stopped on purpose */
} sched_part_step_t;

/* A call to the owner of another shard about a job. Valid during the call. */
typedef struct {
	const char *shard; /* that is called */
	const char *id;
	bool is_ended;	     /* the job has ended */
	bool is_part;	     /* from a part: is the job open? */
	bool has_rows;	     /* tasks may have been handed to the shard */
	const GArray *steps; /* of the part (sched_part_step_t), or NULL */
} sched_part_call_t;

typedef struct {
	void (*start)(const sched_start_t *, void *arg);
	void (*stop)(const char *instance, const char *address,
	    const sched_task_ref_t *, uint32_t run, uint64_t fence, void *arg);
	/* Sends a renewal; at most one per instance is in flight. */
	void (*renew)(const sched_renewal_t *, void *arg);
	/* Requests advice on which of the instances may run the step. */
	void (*advise)(
	    const sched_task_ref_t *, const GPtrArray *instances, void *arg);
	/*
	 * Returns the time until which no other process can own the pool. Later
	 * no start is sent, and leases are extended for renew_grace_ms only.
	 */
	uint64_t (*lease_until_us)(void *arg);
	/*
	 * Returns the store's revision after the last write of this owner; 0:
	 * none yet.
	 */
	uint64_t (*written_revision)(void *arg);
	/*
	 * An instance has seen a higher fence. Another process owns the pool,
	 * unless the request was meant for an earlier incarnation.
	 */
	void (*fenced)(const char *instance, void *arg);
	/* The instance was removed from the pool; no more requests go to it. */
	void (*instance_removed)(const char *instance, void *arg);
	/*
	 * Finds a shard of the pool to which the job is transferred. Returns
	 * false if there is none.
	 */
	bool (*find_shard)(
	    const sched_seeker_t *, char shard[SCHED_NAME_BYTES], void *arg);
	/*
	 * Asks the shard's owner whether it has room for the job now.
	 * sched_pool_apply_room_answer() follows.
	 */
	void (*ask_room)(const sched_seeker_t *, const char *shard, void *arg);
	/*
	 * Tells the shard's owner that the store has the job there.
	 * sched_pool_apply_adopt_result() follows.
	 */
	void (*tell_adopt)(const char *shard, const char *id, void *arg);
	/*
	 * Reads a job's records in this shard. sched_pool_adopt() follows, or
	 * sched_pool_forget_transfer() if there are none.
	 */
	void (*find_records)(const char *id, void *arg);
	/*
	 * Tells the shard's owner that tasks of the job may have been handed to
	 * it, or that the job has ended; or asks, on behalf of a part, whether
	 * it is open. sched_pool_apply_part_result() follows.
	 */
	void (*tell_part)(const sched_part_call_t *, void *arg);
} sched_ops_t;

/*
 * Time between the end of a move or maintenance and the registration of the
 * next instance on the machine.
 */
#define SCHED_REGISTER_MARGIN_MS 300

/* Limits that the platform's settings and the owner's lease set. */
typedef struct {
	uint32_t hold_max_ms; /* longest lease that an instance accepts */
	/* Time that a stopped run has to end. */
	uint32_t stop_grace_ms;
	/* Time that the members of a gang wait for each other. */
	uint32_t gang_timeout_ms;
	/* How long the state of an ended job can be queried. */
	uint32_t status_s;
	/*
	 * Time after the last submission within which a job that can run must.
	 */
	uint32_t finish_ms;
	/*
	 * Run time of a task away from the rack of its data, in thousandths of
	 * its run time in that rack.
	 */
	uint32_t remote_permille;
	/*
	 * These five are read from the settings but not used by the scheduler;
	 * neither are gang_timeout_ms and remote_permille.
	 */
	uint32_t early_ms;
	uint32_t restore_ms;
	uint32_t notice_ms;
	uint32_t harm_ms;
	uint32_t pace_ms;
	/* Time for which a machine is away when it changes pool. */
	uint32_t move_ms;
	/*
	 * How long an owner renews leases after its own lease may have expired.
	 */
	uint32_t renew_grace_ms;
	/*
	 * How long a previous owner may renew leases after its key was removed:
	 * renew_grace_ms and the length of its own lease.
	 */
	uint32_t previous_renew_max_ms;
	uint32_t value_max_bytes; /* of a record in the store */
} sched_bounds_t;

sched_pool_t *sched_pool_new(const char *name, const char *data_centre,
    const gw_clock_t *, const sched_bounds_t *, const sched_ops_t *, void *arg);
void sched_pool_free(sched_pool_t *);
/*
 * Sets the window that bounds the starts in flight, which outlives the pool.
 * Without one there is no bound.
 */
void sched_pool_set_window(sched_pool_t *, sched_window_t *);

/*
 * Sets the fence of the owner's requests: the revision of its role, which is
 * higher than all writes of earlier owners. An instance that has begun again
 * under its id gets requests with a higher one, the revision of a later write
 * of this owner, so that it refuses those that were meant for its earlier
 * incarnations.
 */
void sched_pool_set_fence(sched_pool_t *, uint64_t fence);
/* Sets the number of this shard and of all; without it there is only one. */
void sched_pool_set_shard(sched_pool_t *, uint32_t number, uint32_t count);

bool sched_spec_is_valid(const Gw__JobSpec *);
bool sched_spec_fits(const Gw__JobSpec *, uint64_t value_max_bytes);

/*
 * Takeover: load every specification, then every record, every note on a
 * transferred job, every queue and the list of lapsing leases of the store,
 * then call sched_pool_finish_load().
 */
int sched_pool_load_spec(
    sched_pool_t *, const char *id, const void *, size_t size_bytes);
int sched_pool_load_record(
    sched_pool_t *, const char *id, const void *, size_t size_bytes);
int sched_pool_load_transfer(sched_pool_t *, const char *id, const char *value);
void sched_pool_load_queue(sched_pool_t *, const char *key);
/*
 * Loads the list of instances whose leases lapse. It was in the store at
 * seen_us. Unless it is current, a later owner may have renewed the leases all
 * the same. Returns -1 when it is malformed.
 */
int sched_pool_load_lapsing(sched_pool_t *, const void *, size_t size_bytes,
    uint64_t seen_us, bool is_current);
void sched_pool_finish_load(sched_pool_t *);
/*
 * The previous owner has released the pool and sends no more starts or
 * renewals. An instance that cannot be reached is waited for until the lease
 * given here has expired.
 */
void sched_pool_previous_owner_gone(
    sched_pool_t *, Gw__LeaseLeft *const *leases, size_t lease_count);
/* What a process saw of a pool's last owner before it gained the pool. */
typedef struct {
	/* Since when there was no owner, as it saw; 0: it did not see that. */
	uint64_t vacant_since_us;
	/* The last owner's lease had ended, so it did not only lose the key. */
	bool lease_ended;
	/* No other process can have owned the pool since. */
	bool last_owner_certain;
} sched_vacancy_t;
/*
 * Bounds the time of the last renewals by previous owners. Called before any
 * instance is added.
 */
void sched_pool_set_vacancy(sched_pool_t *, const sched_vacancy_t *);
/*
 * Any earlier owner has seen these runs end. May be called before the records
 * are loaded.
 */
void sched_pool_runs_ended(
    sched_pool_t *, Gw__EndedRun *const *runs, size_t run_count);

/* The lease of an instance's runs, as handed to the next owner. */
typedef struct {
	char instance[SCHED_NAME_BYTES];
	uint64_t born_ms;
	uint64_t expiry_us; /* latest end of the lease, on the pool's clock */
	/*
	 * Until when starts without a response may run all the same, of tasks
	 * that do not last; 0: there are none.
	 */
	uint64_t late_until_us;
} sched_lease_t;
/* What an owner that releases the pool has to tell later ones. */
typedef struct {
	uint64_t made_us; /* on the pool's clock */
	GArray *leases;	  /* of all instances (sched_lease_t) */
	GPtrArray *ended; /* ends that the store may not show (Gw__EndedRun) */
} sched_handover_t;
sched_handover_t *sched_handover_new(const sched_pool_t *);
uint32_t sched_handover_end_count(const sched_handover_t *, uint64_t now_us);
void sched_handover_free(sched_handover_t *);

/* Instances. */
void sched_pool_set_instance(sched_pool_t *, const sched_instance_info_t *);
void sched_pool_remove_instance(sched_pool_t *, const char *id);
void sched_pool_end_instance(
    sched_pool_t *, const char *id, const char *reason);
void sched_pool_end_superseded(sched_pool_t *, const sched_instance_info_t *);
void sched_pool_apply_report(
    sched_pool_t *, const char *id, const sched_report_t *, uint64_t sent_us);
void sched_pool_renewal_failed(sched_pool_t *, const char *id, sched_result_t);
void sched_pool_apply_start_result(sched_pool_t *, const char *id,
    const sched_task_ref_t *, uint32_t run, sched_result_t, uint64_t clock_ms);
void sched_pool_apply_stop_result(sched_pool_t *, const char *id,
    const sched_task_ref_t *, uint32_t run, sched_result_t);

/*
 * Sets the instances that may run a step of a job. tickets[i] belongs to
 * instances[i]; the advice expires after valid_ms.
 */
void sched_pool_set_advice(sched_pool_t *, const sched_task_ref_t *,
    const char *const *instances, const char *const *tickets, uint32_t count,
    uint32_t valid_ms);
void sched_pool_advice_failed(sched_pool_t *, const sched_task_ref_t *);

/* A policy that decides whether a job is accepted. */
typedef struct sched_admission sched_admission_t;
extern const sched_admission_t sched_admission_all; /* baseline: accepts all */
/* Accepts jobs that can meet their objectives. */
extern const sched_admission_t sched_admission_in_time;
/* The same, by an estimate of when each would end. */
extern const sched_admission_t sched_admission_estimate;
void sched_pool_set_admission(sched_pool_t *, const sched_admission_t *);
/*
 * Sets how many machines are moving to the pool, and how many machines on
 * standby the planner can still move there.
 */
void sched_pool_set_incoming(
    sched_pool_t *, uint32_t machines, uint32_t standby);

/* Sets the teams of the configuration in force; see also quota.h. */
void sched_pool_set_teams(
    sched_pool_t *, const sched_team_config_t *, uint32_t count);

/*
 * How a full pool is shared among teams. There are several, so that a policy
 * can be compared with the baseline.
 */
typedef struct sched_sharing sched_sharing_t;
extern const sched_sharing_t sched_sharing_none; /* baseline */
extern const sched_sharing_t sched_sharing_weighted;
void sched_pool_set_sharing(sched_pool_t *, const sched_sharing_t *);
/* Sets what a team submits to all pools, as the planner has just reported. */
void sched_pool_set_team_rate(
    sched_pool_t *, const char *name, uint64_t jobs_per_1000s);

/*
 * Callers' requests. The callback is called once, possibly before the function
 * returns.
 */
/* key: with which the job was submitted; NULL: none, or not known. */
void sched_pool_submit(sched_pool_t *, const Gw__JobSpec *,
    const sched_key_digest_t *key, sched_response_cb_t, void *arg);
void sched_pool_resubmit(
    sched_pool_t *, const char *id, sched_response_cb_t, void *arg);
void sched_pool_cancel(sched_pool_t *, const sched_queue_ref_t *,
    const char *id, sched_response_cb_t, void *arg);
bool sched_pool_has_job(const sched_pool_t *, const char *id);
sched_response_t sched_pool_state(
    const sched_pool_t *, const sched_queue_ref_t *, const char *id);
uint32_t sched_pool_count_pending(
    const sched_pool_t *, const sched_queue_ref_t *);

/* The records of a job in the store. */
typedef struct {
	const void *spec;
	size_t spec_bytes;
	const void *record;
	size_t record_bytes;
} sched_job_rows_t;
/* Jobs that change their shard; see transfer.c. */
/* Returns whether this shard has the job, and not only a note on it. */
bool sched_pool_holds_job(const sched_pool_t *, const char *id);
/*
 * Returns how many jobs this owner has transferred. Records that were read
 * before the last transfer may be those of a job that has gone.
 */
uint64_t sched_pool_transfer_count(const sched_pool_t *);
int sched_pool_adopt(sched_pool_t *, const char *id, const sched_job_rows_t *,
    sched_response_cb_t, void *arg);
/*
 * Returns for how many tasks the shard offers room, 0 for none; 1 means all if
 * it is asked for a whole job.
 */
uint32_t sched_pool_offer_room(sched_pool_t *, const sched_seeker_t *);
void sched_pool_apply_room_answer(
    sched_pool_t *, const char *id, const char *shard, uint32_t tasks);
void sched_pool_apply_adopt_result(
    sched_pool_t *, const char *id, Gw__CallOutcome);
void sched_pool_forget_transfer(sched_pool_t *, const char *id);
/*
 * Parts of jobs; see part.c. Takes the tasks of a row that the store has for
 * this shard, when the records are loaded or later. Returns -1 if it is
 * malformed.
 */
int sched_pool_receive(
    sched_pool_t *, const char *row, const void *, size_t size_bytes);
/*
 * Handle that the owner of a job has told of it, or that one of a part of it
 * asks whether it is open, after the job's rows were received. Reply once what
 * they have is in the store.
 */
void sched_pool_part_told(sched_pool_t *, const char *id, bool is_ended,
    sched_response_cb_t, void *arg);
/*
 * The part is that of the shard from, with these steps (sched_part_step_t).
 * Appends to may_stop how many tasks it may stop on purpose.
 */
void sched_pool_part_asks(sched_pool_t *, const char *id, const char *from,
    const GArray *steps, GArray *may_stop, sched_response_cb_t, void *arg);
void sched_pool_apply_part_result(sched_pool_t *, const char *id,
    const char *shard, Gw__CallOutcome, const GArray *may_stop);

/*
 * Writes to the store, one batch at a time. sched_pool_take_batch() returns
 * NULL when there is nothing to write.
 */
sched_batch_t *sched_pool_take_batch(sched_pool_t *, uint32_t writes_max);
uint32_t sched_batch_write_count(const sched_batch_t *);
const sched_write_t *sched_batch_write(const sched_batch_t *, uint32_t i);
/*
 * Returns whether the batch accepts jobs. It may then be written only while the
 * configuration by which they were submitted is the newest one.
 */
bool sched_batch_accepts_jobs(const sched_batch_t *);
void sched_pool_batch_done(sched_pool_t *, sched_batch_t *);
/*
 * Nothing of the batch was written, since there is a newer configuration. Its
 * jobs are kept for the next batch.
 */
void sched_pool_batch_outdated(sched_pool_t *, sched_batch_t *);
/*
 * Refuses the jobs that no batch has accepted yet and that the newer
 * configuration does not allow. get_reason() returns why, or NULL.
 */
void sched_pool_refuse_outdated(sched_pool_t *,
    const char *(*get_reason)(const sched_submitter_t *, void *arg), void *arg);
/* The store has refused the batch as it is, and has written nothing of it. */
void sched_pool_batch_refused(sched_pool_t *, sched_batch_t *);
/* Frees a batch whose outcome is not known, when the pool is released. */
void sched_batch_drop(sched_batch_t *);
bool sched_pool_is_dirty(const sched_pool_t *);

/*
 * Runs one round: sends renewals that are due, repeats requests without a
 * response, places tasks and expires ended jobs. wall_ms is the time of day in
 * ms since 1970, for jobs with a schedule. Returns the time in us until the
 * next call is due.
 */
uint64_t sched_pool_tick(sched_pool_t *, uint64_t wall_ms);

/*
 * Drains the instance for maintenance or a move of its machine: no task is
 * placed there for for_ms. Returns true once nothing runs on it.
 */
bool sched_pool_drain(sched_pool_t *, const char *instance, uint32_t for_ms);
void sched_pool_get_load(const sched_pool_t *, Gw__PoolLoad *);
void sched_load_clear(Gw__PoolLoad *);
/* Adds what waits in the pool to the sums; the longest wait is a maximum. */
void sched_pool_add_waits(const sched_pool_t *, sched_waits_t *);

#endif
