#ifndef SCHED_STATE_H
#define SCHED_STATE_H

/*
 * Bounds and state of a pool's scheduler: what its modules share. Their
 * functions are in impl.h.
 */

#include "policy/share.h"
#include "sched/estimate.h"
#include "sched/order.h"
#include "sched/quota.h"
#include "sched/sched.h"
#include "sched/turns.h"
#include "sched/wait.h"
#include "sched/window.h"

/*
 * Length of the lease of an instance's runs. Longer than a takeover (the expiry
 * of the owner's lease and the load of the records), so that the runs survive
 * one; shorter than the platform's hold_max_ms.
 */
#define SCHED_LEASE_MS 4000
/* An instance's clock may run 2% slow; 1% more for rounding. */
#define SCHED_CLOCK_DRIFT_PERMILLE 30
/*
 * A busy instance responds to a renewal after this time at the latest, and
 * earlier when it has something to report.
 */
#define SCHED_RENEW_WAIT_MS 1000
/*
 * The same while runs that have just begun may crash their instance, or its
 * lease waits to be extended.
 */
#define SCHED_RENEW_WATCH_MS 250
/*
 * Pause between a report and the next renewal, so that one report collects
 * several changes.
 */
#define SCHED_RENEW_DELAY_US (45 * GW_US_PER_MS)
/* The stop of a run that is still listed is repeated after this time. */
#define SCHED_REQUEST_RETRY_US (400 * GW_US_PER_MS)
/* Time beyond stop_grace_ms until the end of the run is reported. */
#define SCHED_STOP_MARGIN_US (500 * GW_US_PER_MS)
/* Most ends of runs in one report. */
#define SCHED_REPORT_ENDS_MAX 500
/* A failed renewal is retried after this time. */
#define SCHED_RENEW_RETRY_US (150 * GW_US_PER_MS)
/* Ends are acknowledged only while the last report is newer than this. */
#define SCHED_ACK_REPORT_AGE_MAX_US (2 * GW_US_PER_S)
/*
 * How long a request without a response may be carried out after it was sent;
 * the platform says seconds.
 */
#define SCHED_LATE_REQUEST_MAX_MS 60000
/*
 * A long-running task counts as lost if it has not run for this long in calm,
 * counted from the loss of its instance at the earliest.
 */
#define SCHED_LASTING_IDLE_MAX_MS 7000
/* How long an instance that refused a start gets no starts. */
#define SCHED_AVOID_REFUSED_US (500 * GW_US_PER_MS)
/*
 * An instance on which this many runs failed in a row gets no starts for
 * SCHED_AVOID_FAILING_US, but as the last choice; see choose.c and place.c.
 */
#define SCHED_CONSECUTIVE_FAILURES_MAX 3
#define SCHED_AVOID_FAILING_US (5 * GW_US_PER_S)

/* Retry-After of a job whose record the store refuses. */
#define SCHED_REFUSED_RETRY_AFTER_MS 60000
/*
 * A job's due occurrences are opened while fewer of its tasks wait than this:
 * more would not run earlier.
 */
#define SCHED_WAITING_TASKS_MAX 1024

/* How long a job finds no room before owners of other shards are asked. */
#define SCHED_BLOCKED_MIN_US GW_US_PER_S
/* How long a job is not split after a row of it was refused or too large. */
#define SCHED_HAND_PAUSE_US (60 * GW_US_PER_S)
/* Most rows that are removed with one record. */
#define SCHED_ROWS_REMOVED_MAX 8

/* A job is late until this many times its objective, then overdue. */
#define SCHED_OVERDUE_FACTOR 3

typedef struct sched_refusals sched_refusals_t;
typedef struct sched_instance sched_instance_t;
typedef struct sched_queue_use sched_queue_use_t;

/* A team's jobs in this shard; see team.c. */
typedef struct {
	sched_team_config_t config; /* the name only, unless is_configured */
	bool is_configured;	    /* by the configuration in force */
	uint32_t jobs;		    /* in the pool, ended ones too */
	sched_resources_t used;	    /* by its tasks that are placed */
	uint64_t submitted; /* jobs; a repeated submission counts once */
	uint64_t refused;   /* submissions, repeated ones too */
	uint64_t refused_beyond_share; /* of these */
	/* Its part of the quota, in the store; see quota.c. */
	sched_resources_t held;
	sched_resources_t
	    others;	       /* the sum of the other shards' parts, or more */
	bool is_held_known;    /* the store was asked */
	uint64_t held_read_us; /* when it last said */
	/* A write that may still take effect must be settled by another. */
	bool is_held_uncertain;
	/* What tasks lacked in the last round that had room but no quota. */
	sched_resources_t lacking;
	sched_resources_t largest; /* the most that one of them takes */
	uint64_t short_since_us;   /* since when tasks lack quota; 0: none */
	uint64_t spare_since_us;   /* since when too much is held; 0: not */
	uint64_t yield_until_us;   /* another shard lacks quota */
	/* Of the work placed here; see share.c. */
	share_account_t account;
	uint64_t jobs_per_1000s; /* submitted to all pools */
	uint64_t rate_us;	 /* when that was reported; 0: not yet */
} sched_team_t;

/* Why the runs on an instance have ended. */
typedef enum {
	SCHED_LOSS_PLANNED, /* its machine was ordered to move or stop */
	SCHED_LOSS_LAPSED,  /* it has not responded within their lease */
	SCHED_LOSS_CRASH    /* it runs no more */
} sched_loss_t;

typedef enum {
	SCHED_TASK_WAITING,
	SCHED_TASK_RESERVED, /* placed; its record is not written yet */
	SCHED_TASK_STARTING, /* start sent; no response yet */
	SCHED_TASK_RUNNING,
	/* Stop sent; the end has not been reported yet. */
	SCHED_TASK_STOPPING,
	SCHED_TASK_DONE,
	SCHED_TASK_AWAY /* another shard has it; see part.c */
} sched_task_state_t;

typedef struct {
	sched_job_t *job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	sched_task_state_t state;
	uint32_t run;		    /* number of the last run; 0: none */
	uint32_t recorded_run;	    /* the last one that the store has */
	uint32_t failures;	    /* runs that failed */
	sched_instance_t *instance; /* NULL while waiting or done */
	char *checkpoint;
	char *ticket;
	/*
	 * The result of the start was SCHED_RESULT_STALE; the next report shows
	 * the end of the run.
	 */
	bool refused_as_stale;
	bool is_handed;	      /* by the hand-over in progress; see part.c */
	bool is_unsent;	      /* its start waits in the pool's unsent */
	uint32_t starts_sent; /* for this run, answered or not */
	/* Of these, with a response from any incarnation, or not sent. */
	uint32_t starts_settled;
	uint32_t starts_refused; /* of these, known not to be carried out */
	uint32_t stops_sent;	 /* for this run, answered or not */
	/* Starts and stops of this run without a result so far. */
	uint32_t requests_in_flight;
	uint64_t stop_answered_us; /* when the stop was answered; 0: not yet */
	uint64_t sent_us;	   /* when the last start or stop was sent */
	/* When the run was last known to be on the instance; 0: never. */
	uint64_t confirmed_us;
	uint64_t begun_us; /* when the run was first known there; 0: not */
	bool is_listed;	   /* a report of the incarnation has listed the run */
	/* The job could no longer be in time when the run was placed. */
	bool placed_late;
	/* The placed run has lasted beyond its start. */
	bool has_lasted;
	bool on_trial; /* no other start goes to the instance; see crash.c */
	/* The results of its starts tell whether it may be the cause. */
	bool is_crash_open;
	/* Instances that ended just after they had started the task. */
	uint32_t crashes;
	uint32_t crashes_alone;	  /* of these, caused by the job for certain */
	uint32_t crashes_adopted; /* of these, of a previous owner's runs */
	uint64_t not_before_us;	  /* earliest time of the next run */
	/*
	 * Until then a start of an earlier run may be carried out by yet
	 * another incarnation of this instance, so the next run goes nowhere
	 * else.
	 */
	uint64_t late_until_us;
	char late_on[SCHED_NAME_BYTES];
	uint64_t ran_us;  /* it has not run since; see wait.c; 0: not known */
	uint32_t percent; /* progress, from the last report */
	/* Where the last run failed or found no room; empty: nowhere. */
	char failed_on[SCHED_NAME_BYTES];
} sched_task_t;

/* State of one step of one occurrence. */
typedef struct {
	uint32_t first_task; /* index of its first task in tasks */
	uint32_t waiting;    /* tasks that are neither placed nor done */
	uint32_t open;	     /* tasks that are not done */
	/* Advice on which instances may run the step. */
	GHashTable *tickets; /* instance -> ticket; NULL: no advice yet */
	uint64_t tickets_expiry_us; /* on the pool's clock */
	uint64_t advice_retry_us;   /* no request for advice before */
	bool advice_pending;	    /* a request for advice is in flight */
	/* Since when a task of it has found no room; 0: all that wait may. */
	uint64_t blocked_since_us;
	/* Of a part: tasks that may be stopped on purpose, and until when. */
	uint32_t may_stop;
	uint64_t may_stop_until_us;
} sched_step_t;

typedef struct {
	uint32_t number;
	uint32_t task_count;
	uint32_t step_count;
	uint32_t open;	     /* tasks that are not done */
	sched_task_t *tasks; /* step by step */
	sched_step_t *steps;
} sched_occurrence_t;

/* The end of a run, to be acknowledged once the job's record is written. */
typedef struct {
	char instance[SCHED_NAME_BYTES];
	uint64_t born_ms;
	uint64_t number;
} sched_ack_t;

typedef struct {
	sched_response_cb_t cb;
	void *arg;
} sched_waiter_t;

/* Pause after a call to another owner that did not succeed; it doubles. */
#define SCHED_PEER_RETRY_US (200 * GW_US_PER_MS)
/* Another shard that is told of a job; see part.c. */
typedef struct {
	char shard[SCHED_NAME_BYTES];
	bool is_told;
	bool in_flight;	       /* a call to its owner */
	uint64_t due_us;       /* of the next call */
	uint64_t sent_us;      /* when the last call was made */
	uint64_t retry_us;     /* pause after the next failure */
	uint32_t failures;     /* of calls in a row */
	uint32_t version;      /* of what it is to be told */
	uint32_t sent_version; /* with the last call */
	/* What its part has reported (sched_part_step_t), and when; or NULL. */
	GArray *steps;
	uint64_t steps_us;
	/* Of a part: when its job was last known to be open; 0: never. */
	uint64_t confirmed_us;
} sched_peer_t;

/* Tasks of a job that are being handed to another shard. */
typedef struct {
	char shard[SCHED_NAME_BYTES];
	char row[SCHED_ROW_BYTES];
	GBytes *value;
	uint32_t step;
	uint32_t tasks;
	bool in_batch; /* the row is being written */
} sched_hand_t;

/* Classes of jobs, in the order of placement. */
typedef enum {
	SCHED_RANK_LONG_RUNNING, /* tasks should run at all times */
	SCHED_RANK_IN_TIME,	 /* can still meet the objective */
	SCHED_RANK_LATE,	 /* can still end before being overdue */
	SCHED_RANK_OVERDUE
} sched_rank_t;

/*
 * By what jobs are ordered. Within a class the lowest rank comes first: the
 * least work left, or the earliest submission.
 */
typedef struct {
	sched_rank_t rank_class;
	bool is_beyond_share; /* of its team, when it was submitted */
	uint32_t priority;    /* of its queue; 0 comes first */
	uint64_t rank;
} sched_order_key_t;

/* Estimated need of the tasks that wait only for room on an instance. */
typedef struct {
	uint64_t cpu_ms; /* core milliseconds: CPU times estimated run time */
	uint64_t cpu_millis;
	uint64_t memory_mib_ms;
	/* Long-running tasks, which the above leave out, and what they take. */
	uint64_t long_running;
	uint64_t long_running_cpu_millis;
	uint64_t long_running_memory_mib;
} sched_ready_t;

struct sched_job {
	/* NULL once the job has ended and its tasks are freed. */
	Gw__JobSpec *spec;
	char id[SCHED_JOB_ID_BYTES];
	char *queue; /* its name when the job was submitted */
	char queue_key[SCHED_QUEUE_KEY_BYTES];
	sched_team_t *team; /* NULL: submitted without a key */
	/* With which it was submitted; NULL once it is recorded, or none. */
	sched_key_digest_t *key;
	Gw__JobState state;
	Gw__JobState recorded;	  /* the state in the store */
	GPtrArray *occurrences;	  /* those that are open (sched_occurrence_t) */
	uint32_t next_occurrence; /* number of the next one to open */
	/* First submission, even if it was refused; on the pool's clock. */
	uint64_t accepted_us;
	uint64_t finished_wall_ms; /* end, ms since 1970; 0: open */
	uint64_t ended_us;	   /* end, or when the ended job was loaded */
	/* The state in the batch that is being written. */
	Gw__JobState batch_state;
	/* The specification has been written to the store. */
	bool spec_recorded;
	bool dirty; /* the record must be written */
	uint64_t dirty_since_us;
	bool in_batch; /* the record is being written */
	/* The store has refused a batch with the record: it is written alone.
	 */
	bool write_alone;
	uint64_t aside_until_us; /* set aside; see aside.c; 0: not */
	/* It was cancelled, and has not been submitted so far. */
	bool cancelled_first;
	bool expired; /* the record is to be removed from the store */
	bool started; /* a task has started */
	bool long_running;
	bool has_suspect; /* a task may be suspected; see crash.c */
	uint32_t trials;  /* tasks on trial */
	uint32_t placed;  /* number of tasks that are placed on an instance */
	/* Since when a ready task fits on no instance; 0: none. */
	uint64_t blocked_since_us;
	/* Since when the shard has been unable to run it; 0: it can. */
	uint64_t misfit_since_us;
	uint64_t fit_check_us; /* not checked before */
	/* Questions to owners of other shards for room; see overflow.c. */
	uint32_t room_asked;
	uint32_t room_answered; /* of these */
	uint32_t room_rounds;	/* in which all others were asked */
	/* The step that a question for room for some tasks is about. */
	uint32_t asked_occurrence;
	uint32_t asked_step;
	uint64_t room_ask_us;	/* no question before */
	uint64_t late_until_us; /* the latest of its tasks */
	/* Since when it waits for room for all its tasks; 0: it does not. */
	uint64_t held_since_us;
	/* The shard that it is being transferred to; empty: none. */
	char move_to[SCHED_NAME_BYTES];
	/* Of a part: the shard that has the job; empty: this one. */
	char part_of[SCHED_NAME_BYTES];
	/* Shards that may have a part, or have the job (sched_peer_t); or NULL.
	 */
	GPtrArray *peers;
	sched_hand_t *hand;   /* in progress, or NULL */
	uint64_t hand_due_us; /* nothing is handed over before */
	/* Rows to be removed with the next record (char *), or NULL. */
	GPtrArray *received;
	guint received_in_batch; /* of these */
	/* Of a part: the specification is not in the store here yet. */
	bool spec_unwritten;
	bool has_hopeless; /* of a part: a task is to be given up */
	/* The record is kept beyond status_s until all peers were told. */
	bool is_overdue_expiry;
	uint64_t ran_us;	   /* as that of a task, of all its tasks */
	GArray *acks;		   /* sched_ack_t */
	GArray *waiters;	   /* sched_waiter_t */
	uint32_t critical_path_ms; /* estimate of the longest chain of steps */
	sched_order_key_t key_in_order; /* by sched_job_update_rank() */
	/* When admission expected it to end, from accepted_us; 0: not known. */
	uint64_t estimate_ms;
	bool is_out_of_turn; /* placed before jobs in time, once overdue */
};

struct sched_instance {
	sched_pool_t *pool;
	sched_instance_info_t info;
	bool listed;	  /* has an entry in the registry */
	bool contacted;	  /* has answered a request with this owner's fence */
	bool unreachable; /* the last renewal failed */
	bool renewing;	  /* a renewal is in flight */
	uint64_t fence;	  /* of the requests to this incarnation */
	uint64_t fence_since_us; /* 0: from the beginning */
	bool has_had_fence;	 /* a request with it was sent */
	bool awaits_fence;    /* it needs a higher one, after the next write */
	bool is_gone;	      /* no incarnation can begin again under its id */
	bool has_begun_again; /* this owner knew an earlier incarnation */
	/* The renewal in flight has a deadline, or acknowledges ends. */
	bool renewal_has_effect;
	/* Until then one without a response may still be carried out. */
	uint64_t late_renewal_until_us;
	uint64_t renew_due_us; /* when the next renewal is due; 0: none */
	uint64_t renew_sent_us;
	/* Last reading of the instance's clock, and when it was received. */
	uint64_t clock_ms;
	uint64_t clock_read_us;
	uint64_t report_us;   /* when the last report was received */
	uint64_t deadline_ms; /* end of the lease, on the instance's clock */
	uint64_t extended_us; /* when a request with a deadline was last sent */
	uint64_t expiry_us;   /* latest end of the lease, on the pool's clock */
	/*
	 * Until then a start that was meant for an earlier incarnation may run;
	 * 0: there is none.
	 */
	uint64_t late_start_until_us;
	uint64_t seen_number; /* number of the last end that was handled */
	uint64_t ack_number;  /* ends up to this number are in the store */
	/* Numbers of the ends that are in the store, beyond a gap. */
	GHashTable *recorded_ends;
	GPtrArray *tasks;  /* tasks placed on it (sched_task_t) */
	GArray *strays;	   /* starts of runs that are over; see stray.c */
	uint32_t runs_new; /* placed runs that have not lasted; see crash.c */
	uint32_t trials;   /* of these, runs of suspected tasks */
	/* When a request was sent that it has responded to. */
	uint64_t alive_us;
	/* Runs in the last report that are not placed here; being stopped. */
	uint32_t runs_unknown;
	uint32_t requests_in_flight; /* starts and stops without a result */
	sched_resources_t used;	     /* by the tasks placed on it */
	uint64_t avoid_until_us;     /* no starts until then, after refusals */
	/* After failures: until then it is the last choice, see choose.c. */
	uint64_t failing_until_us;
	uint64_t drain_until_us; /* no starts until then, for maintenance */
	uint32_t consecutive_failures;
	/* Since when its lease has not been renewed; 0: it is. */
	uint64_t unrenewed_since_us;
	/* Last round in which it was withheld for one task. */
	uint64_t withheld_round;
	const char *rack; /* rack label in info, or NULL */
};

/* A job in a batch, with what to undo if the store refuses the batch. */
typedef struct {
	sched_job_t *job;
	guint first_ack;    /* in the batch's acks, up to the next job's */
	guint first_waiter; /* the same in its waiters */
} sched_batch_job_t;

/* A run that is started once its record is written. */
typedef struct {
	sched_task_t *task;
	uint32_t run;
} sched_pending_start_t;

struct sched_batch {
	bool has_new_jobs;	 /* it accepts jobs */
	bool has_lapsing;	 /* the list of lapse.c is one of the writes */
	uint64_t dirty_since_us; /* of the job that has waited longest */
	uint64_t taken_us;
	GArray *writes;	     /* sched_write_t */
	uint64_t size_bytes; /* of the values */
	GArray *jobs;	     /* sched_batch_job_t */
	GArray *starts;	     /* sched_pending_start_t */
	GArray *acks;	     /* sched_ack_t */
	GArray *waiters;     /* sched_waiter_t */
};

/* What admission has decided on a job. */
typedef struct {
	uint64_t since_us; /* its first submission */
	uint32_t retry_after_ms;
	bool is_estimated;
	sched_estimate_t estimate;
} sched_verdict_t;

/*
 * Admission policy. There are several, so that a policy can be compared with
 * the baseline on the same load.
 */
struct sched_admission {
	const char *name;
	bool (*admit)(const sched_pool_t *, const Gw__JobSpec *,
	    const sched_order_key_t *, uint64_t age_ms, uint64_t now_us,
	    sched_verdict_t *);
};

/* Trials in a pool, with the instances that are withheld for one. */
typedef struct {
	uint32_t count;
	uint32_t max;
} sched_trials_t;

struct sched_pool {
	char name[SCHED_NAME_BYTES];
	char data_centre[SCHED_NAME_BYTES];
	const gw_clock_t *clock;
	sched_bounds_t bounds;
	const sched_ops_t *ops;
	void *arg;
	GHashTable *jobs;      /* id -> sched_job_t */
	GPtrArray *open;       /* jobs that have not ended (sched_job_t) */
	GHashTable *instances; /* id -> sched_instance_t */
	GHashTable *queues;    /* key -> sched_queue_use_t; see queue.c */
	GHashTable *teams;     /* name -> sched_team_t; see team.c */
	uint32_t quota_parts;  /* shards among which a quota is divided */
	const sched_quota_policy_t *quota_policy;
	const sched_sharing_t *sharing;
	const sched_order_t *order;
	sched_resources_t capacity; /* of the instances in use */
	bool overdue_waits;	    /* an overdue job, in the last round */
	/*
	 * Work that overdue jobs may take before others, in core milliseconds;
	 * negative: they have taken more.
	 */
	int64_t overdue_credit;
	share_t share; /* of the work placed, among the teams */
	share_account_t no_team_account; /* of jobs without a team */
	share_t kind_share;		 /* of the same, among queues */
	GHashTable *kinds; /* name of a queue -> share_account_t */
	uint64_t fence;	   /* of instances that have not begun again */
	uint32_t shard_number;
	uint32_t shard_count;
	/* Jobs that other shards have; see transfer.c. */
	GHashTable *transfers; /* id -> note_t */
	uint64_t transfer_count;
	bool is_asking_room;  /* a question to another owner is in flight */
	bool is_asking_part;  /* it is about tasks of a job */
	uint64_t room_ask_us; /* no question before */
	/* The job to which this shard offered room last, and until when. */
	char offered_to[SCHED_JOB_ID_BYTES];
	uint64_t offer_until_us;
	GQueue *old_transfers; /* ids whose rows are to be removed (char *) */
	GPtrArray *split;      /* jobs with peers (sched_job_t); see part.c */
	GQueue *old_rows;    /* of jobs that are gone, to be removed (char *) */
	uint32_t hand_count; /* rows written by this owner */
	bool has_unused_queues; /* one of them may be without jobs */
	GQueue *dirty;	  /* jobs whose record must be written (sched_job_t) */
	GPtrArray *aside; /* jobs set aside (sched_job_t); see aside.c */
	GQueue *ended;	  /* ended jobs, oldest first (sched_job_t) */
	/* Ended jobs that still have tasks or a specification (sched_job_t). */
	GPtrArray *cleanup;
	bool loaded;
	uint64_t created_us;
	uint64_t loaded_us; /* when the records had been loaded */
	uint64_t round;	    /* number of placement rounds */
	/* So many instances fail runs that the jobs are at fault. */
	bool jobs_at_fault;
	/* Of tasks without and with a crash on trial; see trial.c. */
	sched_trials_t trials[2];
	bool has_suspects;	 /* a suspected task waited in the last round */
	uint64_t apart_until_us; /* jobs are started apart; see crash.c */
	/* Work placed or refused by this owner, in core milliseconds. */
	uint64_t demand_cpu_ms;
	const sched_admission_t *admission;
	sched_refusals_t *refusals;
	sched_estimate_errors_t estimates;
	uint32_t incoming_machines; /* moving to the pool */
	uint32_t standby;     /* machines on standby that can be moved to it */
	uint64_t incoming_us; /* when the planner reported these two */
	/* When previous owners send no more renewals. */
	uint64_t previous_renewals_end_us;
	bool previous_gone; /* the previous owner has released the pool */
	/* What they have told of leases: instance -> previous_lease_t. */
	GHashTable *previous_leases;
	GPtrArray *handed_ends; /* not applied yet (Gw__EndedRun) */
	/* Instances whose leases lapse; see lapse.c. */
	GHashTable *lapsing;	/* in the last list taken: id -> lapsing_t */
	GHashTable *may_lapse;	/* ids that the store's list may have */
	bool lapsing_is_stale;	/* the list must be written */
	bool awaits_fence;	/* so that a write is needed */
	uint64_t wall_ms;	/* time of day at the last tick */
	sched_window_t *window; /* of the process, or own_window */
	sched_window_t *own_window; /* without a bound */
	/* Tasks whose run is recorded and whose start waits to be sent. */
	GPtrArray *unsent;	    /* sched_task_t, in SCHED_TASK_RESERVED */
	uint64_t unsent_bytes;	    /* starts of all tasks in that state */
	uint64_t held_logged_us;    /* when GW_EV_STARTS_HELD was logged last */
	uint64_t records_logged_us; /* the same for GW_EV_RECORDS_HELD */
	sched_waits_t waits;	    /* at the last scan; see wait.c */
	uint64_t waits_scanned_us;
	/* First job in open to be logged, of long-running and other jobs. */
	guint waits_next[2];
};

#endif
