#ifndef SCHED_SCHED_H
#define SCHED_SCHED_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/clock.h"
#include "sched/name.h"
#include "wire/gw.pb-c.h"

/*
 * The jobs of one pool and the instances that run them, as the pool's owner
 * sees them. Pure state: what happened comes in through functions, what is to
 * be done goes out through sched_ops_t. docs/notes/platform.md describes it.
 */
typedef struct sched_pool sched_pool_t;

#define SCHED_JOB_ID_BYTES 17
/* Steps of a job; more are refused. */
#define SCHED_STEPS_MAX 64

/* One task: a job, an occurrence of it, a step and a number in the step. */
typedef struct {
	char job[SCHED_JOB_ID_BYTES];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} sched_ref_t;

typedef struct {
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t accelerators;
} sched_size_t;

/* What the platform's registry says of an instance. */
typedef struct {
	char id[SCHED_NAME_BYTES];
	char pool[SCHED_NAME_BYTES];
	char address[SCHED_NAME_BYTES]; /* IP:PORT */
	char data_centre[SCHED_NAME_BYTES];
	char machine[SCHED_NAME_BYTES]; /* empty when not said */
	uint64_t born_ms;		/* start of this life, since 1970 */
	bool leaving;
	uint32_t leaves_in_ms; /* while leaving: the least time left */
	sched_size_t capacity;
	GStrv labels;
} sched_info_t;

/* How a run ended. */
typedef enum {
	SCHED_END_DONE,
	SCHED_END_FAILED,
	SCHED_END_STOPPED,
	SCHED_END_LAPSED,
	SCHED_END_BROKEN, /* another member of the gang ended */
	SCHED_END_ALONE	  /* the other members did not come */
} sched_end_kind_t;

typedef struct {
	uint64_t number; /* 1, 2, ... in one life of the instance */
	sched_ref_t ref;
	uint32_t run;
	sched_end_kind_t kind;
	const char *checkpoint;
} sched_end_t;

typedef struct {
	sched_ref_t ref;
	uint32_t run;
	const char *checkpoint;
	uint32_t percent; /* of the work; 100 for a lasting task at work */
	uint32_t gauge;	  /* tail in ms of a serving task, else cpu millis */
} sched_running_t;

/* An instance's answer to a hold. */
typedef struct {
	uint64_t clock_ms; /* of the instance */
	uint64_t born_ms;  /* 0 when not said */
	const sched_running_t *running;
	uint32_t running_count;
	const sched_end_t *ends;
	uint32_t end_count;
} sched_report_t;

/* How an order was answered. */
typedef enum {
	SCHED_ORDER_OK,
	SCHED_ORDER_FENCED, /* the instance has seen a higher fence */
	SCHED_ORDER_OLD,    /* a run as high as this has ended there */
	SCHED_ORDER_LATE,   /* its deadline had passed */
	SCHED_ORDER_NO_ROOM,
	SCHED_ORDER_TICKET,
	SCHED_ORDER_REFUSED,  /* not done: unhealthy, or malformed */
	SCHED_ORDER_REPLACED, /* another life answers at the address */
	SCHED_ORDER_NO_ANSWER /* may have been done, or may yet be */
} sched_answer_t;

/* An order to start a run. Valid during the call. */
typedef struct {
	const char *instance;
	const char *address;
	sched_ref_t ref;
	uint32_t run;
	const char *payload;
	const char *checkpoint; /* empty: none */
	const char *ticket;	/* NULL: none */
	uint64_t deadline_ms;	/* on the instance's clock */
} sched_start_t;

/* An order to hold what runs, and to report. Valid during the call. */
typedef struct {
	const char *instance;
	const char *address;
	uint64_t deadline_ms; /* 0: do not extend */
	uint64_t ack_number;  /* ends up to here are recorded */
	uint32_t wait_ms;
} sched_hold_t;

/* The answer to a caller. */
typedef struct {
	Gw__CallOutcome outcome;
	Gw__JobState state;
	uint32_t pending;
	uint32_t retry_after_ms;
	const char *reason;
} sched_reply_t;

typedef void (*sched_reply_cb_t)(const sched_reply_t *, void *arg);

/* A record to write or remove. */
typedef struct {
	char job[SCHED_JOB_ID_BYTES];
	bool is_spec;  /* the job as submitted, else its progress */
	GBytes *value; /* NULL: remove */
} sched_write_t;

/* Records to be written together, and what follows once they are. */
typedef struct sched_batch sched_batch_t;

typedef struct {
	void (*start)(const sched_start_t *, void *arg);
	void (*stop)(const char *instance, const char *address,
	    const sched_ref_t *, uint32_t run, void *arg);
	/* A hold is due; at most one per instance is under way. */
	void (*hold)(const sched_hold_t *, void *arg);
	/* An instance that is asked which instances may run the step. */
	void (*advise)(
	    const sched_ref_t *, const GPtrArray *instances, void *arg);
	/*
	 * Until when no other process can own the pool. Starts are ordered
	 * before, and what runs is held for hold_grace_ms longer.
	 */
	uint64_t (*lease_until_us)(void *arg);
	/* An instance refuses the owner's fence. */
	void (*fenced)(const char *instance, void *arg);
	/* Nothing more will be sent to the instance. */
	void (*forgotten)(const char *instance, void *arg);
} sched_ops_t;

/*
 * Beyond the platform's time for an order to a machine, until its next instance
 * has registered.
 */
#define SCHED_AWAY_MARGIN_MS 300

/* The platform's bounds that decisions depend on. */
typedef struct {
	uint32_t hold_max_ms; /* longest lease of what runs */
	uint32_t stop_grace_ms;
	uint32_t gang_timeout_ms;
	uint32_t status_s;	  /* how long a finished job stays known */
	uint32_t remote_permille; /* slow-down away from the data's rack */
	uint32_t early_ms;
	uint32_t restore_ms;
	uint32_t notice_ms;
	uint32_t harm_ms;
	uint32_t pace_ms;
	uint32_t move_ms; /* a machine is away that long when it changes pool */
	/* How long an owner holds on after its lease may have ended. */
	uint32_t hold_grace_ms;
	/* Longest time for which a former owner may hold on, from takeover. */
	uint32_t former_holds_ms;
} sched_bounds_t;

sched_pool_t *sched_pool_new(const char *name, const char *data_centre,
    const gw_clock_t *, const sched_bounds_t *, const sched_ops_t *, void *arg);
void sched_pool_free(sched_pool_t *);

/* False for a specification that no entry process makes. */
bool sched_spec_valid(const Gw__JobSpec *);

/* Takeover: every record of the store, then sched_pool_loaded(). */
int sched_pool_load_spec(
    sched_pool_t *, const char *id, const void *, size_t size_bytes);
int sched_pool_load_record(
    sched_pool_t *, const char *id, const void *, size_t size_bytes);
void sched_pool_loaded(sched_pool_t *);
/*
 * The former owner surely orders and holds nothing any more. With its leases,
 * an instance that cannot be reached is waited out no longer than they run.
 */
void sched_pool_former_gone(
    sched_pool_t *, Gw__LeaseLeft *const *leases, size_t lease_count);
/* Until when what runs on an instance may be held, for the next owner. */
typedef struct {
	char instance[SCHED_NAME_BYTES];
	uint64_t born_ms;
	uint64_t lapse_us; /* on the pool's clock */
} sched_lease_t;
/* The pool's leases (sched_lease_t); freed with g_array_free(). */
GArray *sched_pool_leases(const sched_pool_t *);

/* Instances. */
void sched_pool_set_instance(sched_pool_t *, const sched_info_t *);
void sched_pool_remove_instance(sched_pool_t *, const char *id);
void sched_pool_end_instance(
    sched_pool_t *, const char *id, const char *reason);
void sched_pool_machine_runs(sched_pool_t *, const sched_info_t *);
void sched_pool_report(
    sched_pool_t *, const char *id, const sched_report_t *, uint64_t sent_us);
void sched_pool_hold_failed(sched_pool_t *, const char *id, sched_answer_t);
void sched_pool_started(sched_pool_t *, const char *id, const sched_ref_t *,
    uint32_t run, sched_answer_t);
void sched_pool_stopped(sched_pool_t *, const char *id, const sched_ref_t *,
    uint32_t run, sched_answer_t);

/* Advice on a step of a job. tickets[i] belongs to instances[i]. */
void sched_pool_advised(sched_pool_t *, const sched_ref_t *,
    const char *const *instances, const char *const *tickets, uint32_t count,
    uint32_t valid_ms);
void sched_pool_advice_failed(sched_pool_t *, const sched_ref_t *);

/* Whether a job is taken. */
typedef struct sched_admission sched_admission_t;
extern const sched_admission_t sched_admission_all; /* baseline */
extern const sched_admission_t sched_admission_in_time;
void sched_pool_set_admission(sched_pool_t *, const sched_admission_t *);
/*
 * Machines that the planner has ordered to the pool and that are not there, and
 * those on standby that it may still order.
 */
void sched_pool_set_coming(sched_pool_t *, uint32_t machines, uint32_t standby);

/* Callers. The callback comes once, perhaps before the call returns. */
void sched_pool_submit(
    sched_pool_t *, const Gw__JobSpec *, sched_reply_cb_t, void *arg);
void sched_pool_cancel(sched_pool_t *, const char *queue, const char *id,
    sched_reply_cb_t, void *arg);
sched_reply_t sched_pool_state(
    const sched_pool_t *, const char *queue, const char *id);
uint32_t sched_pool_pending(const sched_pool_t *, const char *queue);

/* Store. One batch at a time; NULL when nothing is to be written. */
sched_batch_t *sched_pool_take_batch(sched_pool_t *, uint32_t writes_max);
uint32_t sched_batch_writes(const sched_batch_t *);
const sched_write_t *sched_batch_write(const sched_batch_t *, uint32_t i);
void sched_pool_batch_done(sched_pool_t *, sched_batch_t *);
/*
 * Frees a batch whose outcome does not matter any more, since the pool is given
 * up. Its callers are told that the outcome is unknown.
 */
void sched_batch_drop(sched_batch_t *);
bool sched_pool_dirty(const sched_pool_t *);

/*
 * Decides what is to be done now. wall_ms is the time of day, for jobs with a
 * schedule. Returns the time until the next call is due.
 */
uint64_t sched_pool_tick(sched_pool_t *, uint64_t wall_ms);

/* Planned work: no more starts there; true once nothing runs on it. */
bool sched_pool_drain(sched_pool_t *, const char *instance, uint32_t for_ms);
void sched_pool_load_of(const sched_pool_t *, Gw__PoolLoad *);

#endif
