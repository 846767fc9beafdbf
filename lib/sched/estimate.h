#ifndef SCHED_ESTIMATE_H
#define SCHED_ESTIMATE_H

#include "sched/sched.h"

/* When a job that a pool does not have yet would run. */
typedef struct {
	/* Until it has room after the work that comes before it. */
	uint64_t wait_ms;
	/* The same after all waiting work, with machines on standby. */
	uint64_t wait_all_ms;
	/* Its longest chain of steps, those wider than the room in waves. */
	uint64_t chain_ms;
	const char *scarce; /* what it waits for: cpu, memory, quota or none */
} sched_estimate_t;

/* Tasks of a step that wait only for room on an instance. */
typedef struct {
	sched_resources_t need; /* of each */
	uint64_t tasks;
	uint64_t estimate_ms;
	bool is_ahead; /* of the job that is estimated, and in time */
} sched_waiting_step_t;

/* The waiting work; CPU in core milliseconds. */
typedef struct {
	GArray *steps;		 /* sched_waiting_step_t */
	uint64_t ahead_cpu_ms;	 /* of jobs in time that come first */
	uint64_t in_time_cpu_ms; /* of all jobs in time */
	uint64_t all_cpu_ms;
	uint64_t team_cpu_ms; /* of those ahead, of the job's team */
} sched_backlog_t;

/* Machines that can add room; by a recent report of the planner. */
typedef struct {
	uint32_t coming;
	uint32_t standby;
} sched_arrivals_t;

#endif
