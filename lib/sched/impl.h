#ifndef SCHED_IMPL_H
#define SCHED_IMPL_H

#include "sched/sched.h"

/*
 * How far ahead what runs is held. Longer than a takeover (lease of the owner
 * and the load), shorter than the platform's bound.
 */
#define SCHED_HOLD_MS 4000
/* An instance's clock may run 2% slow; 1% more for rounding. */
#define SCHED_DRIFT_PERMILLE 30
/* An instance is looked at this often while something runs on it. */
#define SCHED_HOLD_WAIT_MS 1000
/* Reports are gathered for this long before the next look. */
#define SCHED_HOLD_PAUSE_US (45 * GW_US_PER_MS)
/* A start without an answer is sent again after this. */
#define SCHED_START_RETRY_US (400 * GW_US_PER_MS)
/* Beyond the time of a stop, for its end to be listed and reported. */
#define SCHED_STOP_MARGIN_US (500 * GW_US_PER_MS)
/* Ends that one report lists at most. */
#define SCHED_ENDS_PAGE 500
/* A failed hold is tried again after this. */
#define SCHED_HOLD_RETRY_US (150 * GW_US_PER_MS)
/* Acknowledgements are sent only on a report as fresh as this. */
#define SCHED_ACK_FRESH_US (2 * GW_US_PER_S)
/* Time without work after which an instance's report is taken again first. */
#define SCHED_CLOCK_FRESH_US (20 * GW_US_PER_S)
/* Pause of an instance that refused a start. */
#define SCHED_AVOID_REFUSED_US (500 * GW_US_PER_MS)
/* Runs that failed in a row before an instance is avoided, and for how long. */
#define SCHED_FAILURES_MAX 3
#define SCHED_AVOID_FAILING_US (5 * GW_US_PER_S)

/* A job is late up to this many times its objective, then overdue. */
#define SCHED_LATE_FACTOR 3

typedef struct sched_job sched_job_t;
typedef struct sched_refusals sched_refusals_t;
typedef struct sched_instance sched_instance_t;

typedef enum {
	SCHED_WAITING,
	SCHED_RESERVED, /* placed; the record is not yet written */
	SCHED_STARTING, /* ordered; no answer yet */
	SCHED_RUNNING,
	SCHED_STOPPING, /* told to stop; its end is not listed yet */
	SCHED_DONE
} sched_task_state_t;

typedef struct {
	sched_job_t *job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	sched_task_state_t state;
	uint32_t run; /* the last run */
	uint32_t failures;
	sched_instance_t *instance; /* NULL while waiting or done */
	char *checkpoint;
	char *ticket;
	bool refused_as_old;	/* the next report decides */
	uint32_t orders;	/* sent for this run, answered or not */
	uint64_t stopped_us;	/* when the stop was answered; 0: not yet */
	uint64_t sent_us;	/* the last order */
	uint64_t confirmed_us;	/* when it was known to run; 0: not yet */
	uint64_t not_before_us; /* a pause before the next start */
	uint32_t percent;
	char failed_on[SCHED_NAME_BYTES]; /* instance of the last failure */
} sched_task_t;

/* Counts of one step of one occurrence. */
typedef struct {
	uint32_t first; /* its first task */
	uint32_t waiting;
	uint32_t open; /* not done */
	/* Advice: which instances may run it. */
	GHashTable *tickets; /* instance -> ticket; NULL: not asked */
	uint64_t tickets_until_us;
	uint64_t ask_after_us;
	bool asking;
} sched_step_t;

typedef struct {
	uint32_t number;
	uint32_t task_count;
	uint32_t step_count;
	uint32_t open;
	sched_task_t *tasks;
	sched_step_t *steps;
} sched_occurrence_t;

/* An end that is recorded with the job. */
typedef struct {
	char instance[SCHED_NAME_BYTES];
	uint64_t born_ms;
	uint64_t number;
} sched_ack_t;

typedef struct {
	sched_reply_cb_t cb;
	void *arg;
} sched_waiter_t;

/* Jobs are served class by class. */
typedef enum {
	SCHED_RANK_LASTING, /* its tasks should run at any time */
	SCHED_RANK_IN_TIME, /* can still meet its objective */
	SCHED_RANK_LATE,    /* can still end before it is overdue */
	SCHED_RANK_OVERDUE
} sched_rank_t;

/* Tasks that could run now if there were room, by their estimates. */
typedef struct {
	uint64_t cpu_ms; /* processors times duration, in core milliseconds */
	uint64_t cpu_millis;
	uint64_t memory_mib_ms;
	uint64_t lasting; /* tasks that last */
} sched_ready_t;

struct sched_job {
	Gw__JobSpec *spec; /* NULL once it has ended */
	char id[SCHED_JOB_ID_BYTES];
	char *queue;
	Gw__JobState state;
	Gw__JobState recorded;	/* what the store has */
	GPtrArray *occurrences; /* sched_occurrence_t that are not done */
	uint32_t next_occurrence;
	uint64_t accepted_us; /* on the pool's clock */
	uint64_t finished_wall_ms;
	uint64_t ended_us;
	Gw__JobState taken; /* the state in the batch under way */
	bool spec_recorded;
	bool dirty;
	bool in_batch;
	bool expired; /* its record is to be removed */
	bool begun;   /* a task has started */
	bool lasting;
	uint32_t placed;   /* tasks with an instance */
	GArray *acks;	   /* sched_ack_t */
	GArray *waiters;   /* sched_waiter_t */
	uint32_t chain_ms; /* estimate of its longest chain of steps */
	/* When it was ranked last. */
	sched_rank_t rank_class;
	uint64_t rank;
};

struct sched_instance {
	sched_pool_t *pool;
	sched_info_t info;
	bool listed;	      /* in the registry */
	bool contacted;	      /* answered with this owner's fence */
	bool unreachable;     /* the last call had no answer */
	bool holding;	      /* a hold is under way */
	uint64_t hold_due_us; /* 0: none wanted */
	uint64_t hold_sent_us;
	uint64_t clock_ms; /* last reading of its clock, and when */
	uint64_t clock_us;
	uint64_t report_us;   /* when the last report came */
	uint64_t deadline_ms; /* what runs there is held until */
	uint64_t lapse_us;    /* by then the lease has surely lapsed */
	uint64_t seen_number; /* ends handled */
	uint64_t ack_number;  /* ends recorded, without a gap */
	GHashTable *recorded; /* ends recorded beyond a gap */
	GPtrArray *tasks;     /* sched_task_t placed on it */
	sched_size_t used;
	uint64_t avoid_until_us;
	uint64_t drain_until_us;
	uint32_t failed_in_row;
	uint64_t kept_round; /* the round in which it is kept for a task */
	const char *rack;    /* label in info, or NULL */
};

/* A run that is ordered once its record is written. */
typedef struct {
	sched_task_t *task;
	uint32_t run;
} sched_planned_t;

struct sched_batch {
	GArray *writes; /* sched_write_t */
	GPtrArray *jobs;
	GArray *starts;	 /* sched_planned_t */
	GArray *acks;	 /* sched_ack_t */
	GArray *waiters; /* sched_waiter_t */
};

/* Whether a job is taken; varies, so that a baseline runs on the same load. */
struct sched_admission {
	const char *name;
	bool (*admit)(const sched_pool_t *, const Gw__JobSpec *,
	    uint64_t age_ms, uint64_t now_us, uint32_t *retry_after_ms);
};

struct sched_pool {
	char name[SCHED_NAME_BYTES];
	char data_centre[SCHED_NAME_BYTES];
	const gw_clock_t *clock;
	sched_bounds_t bounds;
	const sched_ops_t *ops;
	void *arg;
	GHashTable *jobs;      /* id -> sched_job_t */
	GPtrArray *open;       /* sched_job_t that have not ended */
	GHashTable *instances; /* id -> sched_instance_t */
	GQueue *dirty;	       /* sched_job_t */
	GQueue *ended;	       /* sched_job_t in the order of their end */
	GPtrArray *settling;   /* ended, with tasks or a specification left */
	bool loaded;
	uint64_t loaded_us;	/* when this owner began */
	uint64_t round;		/* of placement */
	uint64_t demand_cpu_ms; /* work placed or refused so far */
	const sched_admission_t *admission;
	sched_refusals_t *refusals;
	uint32_t coming;  /* machines on their way to the pool */
	uint32_t standby; /* machines that it may still get */
	uint64_t coming_us;
	bool former_gone;	   /* no former owner holds anything */
	GHashTable *former_leases; /* instance -> lapse (uint64_t *) */
	uint64_t wall_ms;	   /* at the last tick */
};

/* job.c */
sched_job_t *sched_job_new(sched_pool_t *, const char *id);
void sched_job_free(gpointer);
void sched_job_set_spec(sched_job_t *, Gw__JobSpec *);
void sched_job_open_occurrences(sched_job_t *, uint64_t wall_ms);
sched_occurrence_t *sched_job_occurrence(const sched_job_t *, uint32_t number);
sched_occurrence_t *sched_occurrence_new(sched_job_t *, uint32_t number);
void sched_occurrence_free(gpointer);
const Gw__JobStep *sched_task_step(const sched_task_t *);
sched_step_t *sched_task_counts(const sched_task_t *);
bool sched_step_ready(
    const sched_job_t *, const sched_occurrence_t *, uint32_t step);
bool sched_spec_lasts(const Gw__JobSpec *);
uint64_t sched_step_work(const Gw__JobStep *, uint64_t count);
void sched_job_add_ready(const sched_job_t *, sched_ready_t *);
bool sched_job_ended(const sched_job_t *);
void sched_step_forget_tickets(sched_step_t *);
void sched_job_mark(sched_pool_t *, sched_job_t *);
void sched_job_end(sched_pool_t *, sched_job_t *, Gw__JobState);
sched_task_t *sched_pool_task(const sched_pool_t *, const sched_ref_t *);
sched_ref_t sched_task_ref(const sched_task_t *);

/* record.c */
GBytes *sched_record_encode(const sched_job_t *);
int sched_record_apply(sched_pool_t *, sched_job_t *, const Gw__JobRecord *);

/* instance.c */
sched_instance_t *sched_instance_get(sched_pool_t *, const char *id);
void sched_instance_free(gpointer);
bool sched_instance_usable(const sched_instance_t *, uint64_t now_us);
bool sched_instance_hosts_lasting(const sched_instance_t *);
void sched_instance_take(sched_instance_t *, sched_task_t *);
void sched_instance_release(sched_task_t *);
uint64_t sched_instance_clock_ms(const sched_instance_t *, uint64_t now_us);
uint64_t sched_instance_extend(sched_instance_t *, uint64_t now_us);
void sched_instance_begin_life(sched_instance_t *, uint64_t born_ms);
void sched_instance_ack(sched_instance_t *, uint64_t number);
void sched_instance_lost(sched_instance_t *, const char *reason);
void sched_instance_hold_at(sched_instance_t *, uint64_t due_us);
void sched_instance_tick(sched_instance_t *, uint64_t now_us);

uint64_t sched_drifted_us(uint64_t ms);

/* batch.c */
extern const sched_reply_t sched_owner_gone;
void sched_tell_waiters(const GArray *waiters, const sched_reply_t *);
GBytes *sched_spec_encode(const Gw__JobSpec *);

/* pool.c */
uint64_t sched_pool_former_lapse_us(
    const sched_pool_t *, const char *instance, uint64_t now_us);

/* run.c */
void sched_task_requeue(sched_task_t *, const char *reason);
void sched_task_order(sched_task_t *, uint64_t now_us);
void sched_task_stop(sched_task_t *);
void sched_task_ended(sched_task_t *, sched_instance_t *, const sched_end_t *);

/* place.c */
sched_instance_t *sched_place_task(
    sched_pool_t *, const sched_task_t *, uint64_t now_us);
void sched_place_round(sched_pool_t *, uint64_t now_us);
bool sched_place_fits(const sched_instance_t *, const Gw__JobStep *);
uint64_t sched_step_cpu(const Gw__JobStep *);

/* evacuate.c */
void sched_evacuate(sched_instance_t *, uint64_t now_us);

/* admit.c */
sched_refusals_t *sched_refusals_new(void);
void sched_refusals_free(sched_refusals_t *);
bool sched_admit(sched_pool_t *, const Gw__JobSpec *, uint64_t *since_us,
    uint32_t *retry_after_ms);

/* order.c */
sched_rank_t sched_job_rank(sched_job_t *, uint64_t now_us);
uint64_t sched_objective_ms(const Gw__JobSpec *, uint64_t chain_ms);
void sched_order_jobs(GPtrArray *jobs, uint64_t now_us);
uint32_t sched_chain_ms(const Gw__JobSpec *, const sched_occurrence_t *);

#endif
