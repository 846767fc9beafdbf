#ifndef SCHED_WAIT_H
#define SCHED_WAIT_H

#include <stdint.h>

#include "gw/metric.h"

/*
 * Why an instance gets no start of a task: the first reason that applies. The
 * placement asks for SCHED_EXCLUDED_NOT; the log names the others.
 */
typedef enum {
	SCHED_EXCLUDED_NOT,
	/* Any start; see sched_instance_exclusion(). */
	SCHED_EXCLUDED_NOT_LISTED,
	SCHED_EXCLUDED_NOT_CONTACTED,
	SCHED_EXCLUDED_UNREACHABLE,
	SCHED_EXCLUDED_LEAVING,
	SCHED_EXCLUDED_RUNS_UNKNOWN,
	SCHED_EXCLUDED_AVOIDED, /* it refused a start */
	SCHED_EXCLUDED_DRAINING,
	SCHED_EXCLUDED_STRAYS,
	SCHED_EXCLUDED_LAPSING, /* its lease may not be extended */
	SCHED_EXCLUDED_FAILING, /* it failed several runs in a row */
	/* A start of the task; see sched_place_exclusion(). */
	SCHED_EXCLUDED_FULL,
	SCHED_EXCLUDED_LABEL,
	SCHED_EXCLUDED_CRASH, /* other runs there have just begun */
	SCHED_EXCLUDED_TICKET,
	SCHED_EXCLUDED_APART,	 /* max_per_instance */
	SCHED_EXCLUDED_WITHHELD, /* has room, kept for another task */
	SCHED_EXCLUSIONS
} sched_exclusion_t;

/* Why a task does not run; see wait.c. */
typedef enum {
	SCHED_WAIT_NONE, /* it runs */
	/* It is placed on an instance. */
	SCHED_WAIT_LEASE,  /* of the instance, which is out of contact */
	SCHED_WAIT_STOP,   /* the end of the stopped run is not known */
	SCHED_WAIT_RECORD, /* the record of the run is not written */
	SCHED_WAIT_START,  /* the start has no response */
	SCHED_WAIT_LINK,   /* the window holds the start */
	SCHED_WAIT_OWNER,  /* the owner's own lease may have expired */
	/* It waits for an instance. */
	SCHED_WAIT_ASIDE,      /* the store refuses the job's record */
	SCHED_WAIT_HOME,       /* the shard with the job has not responded */
	SCHED_WAIT_STEP,       /* earlier steps are not done */
	SCHED_WAIT_NOT_BEFORE, /* a pause after a failure */
	SCHED_WAIT_ADVICE,     /* no valid tickets */
	SCHED_WAIT_MEMBERS,    /* other members of its gang are placed */
	SCHED_WAIT_NO_INSTANCE,
	SCHED_WAIT_QUOTA, /* the shard holds too little of its team's quota */
	SCHED_WAIT_TRIAL, /* a suspect: other trials come first */
	SCHED_WAIT_GANG,  /* not enough room for all members */
	SCHED_WAIT_ROUND, /* too many starts wait; the round has ended */
	SCHED_WAIT_NEXT_ROUND,
	SCHED_WAITS
} sched_wait_t;

/* Why a task does not run. */
typedef struct {
	sched_wait_t reason;
	/*
	 * The pool's instances, by why they get no start of it; all 0 unless
	 * the reason depends on them.
	 */
	uint32_t excluded[SCHED_EXCLUSIONS];
} sched_finding_t;

/* How estimates of admission have held, since the owner has the pool. */
typedef struct {
	/* Jobs that were completed, by how far from their estimate. */
	gw_histogram_t early_us;
	gw_histogram_t late_us;
	/* Refused jobs that were accepted later, or returned too early. */
	uint64_t promises_held;
	uint64_t promises_broken;
} sched_estimate_errors_t;

/* What waits, by reason, as counted a second ago at most. */
typedef struct {
	/*
	 * Long-running tasks that have not run for 2 s, or whose earlier steps
	 * are not done, and other jobs of which nothing has run for 10 s.
	 */
	uint64_t tasks[SCHED_WAITS];
	/* The longest time that a long-running task has not run. */
	uint64_t lasting_wait_ms;
	sched_estimate_errors_t estimates;
} sched_waits_t;

const char *sched_wait_name(sched_wait_t);
const char *sched_exclusion_name(sched_exclusion_t);

#endif
