#ifndef SCHED_DESCRIBE_H
#define SCHED_DESCRIBE_H

#include "sched/sched.h"

/*
 * What operators see of the teams and jobs of a shard. Nothing here changes the
 * shard or logs.
 */

/* A team in one shard, or in several that were added up. */
typedef struct {
	char name[SCHED_NAME_BYTES];
	bool is_configured; /* by the configuration in force */
	uint32_t weight_permille;
	sched_resources_t running; /* by tasks that are placed */
	sched_resources_t held;	   /* of its quota */
	sched_resources_t quota;   /* over all shards; 0: no limit */
	bool is_lacking;	   /* tasks have room, but wait for quota */
	uint64_t rate_permille;	   /* jobs it submits in 1000 s; see share.c */
	uint64_t waiting;	   /* open jobs of which nothing is placed */
	uint64_t submitted;	   /* these count from the owner's takeover */
	uint64_t refused_by_share;
	uint64_t refused_by_overload;
} sched_team_view_t;

/* Teams by name: char * -> sched_team_view_t, both inside the view. */
GHashTable *sched_team_views_new(void);
/* Adds the teams that the shard knows. */
void sched_pool_add_team_views(const sched_pool_t *, GHashTable *views);
/* Returns the views by name; the caller frees the array, not its members. */
GPtrArray *sched_team_views_sorted(GHashTable *views);

/* A task that is placed. */
typedef struct {
	sched_task_ref_t ref;
	uint32_t run;
	char instance[SCHED_NAME_BYTES];
	const char *state;
	sched_wait_t reason; /* SCHED_WAIT_NONE: it runs */
	uint32_t failures;
	uint32_t percent; /* progress */
} sched_run_view_t;

/* The tasks of a job that do not run for one reason. */
typedef struct {
	sched_finding_t finding; /* of the first one */
	sched_task_ref_t first;
	uint32_t tasks;
	uint64_t left_ms; /* of a pause or a lease; 0: there is none */
} sched_wait_view_t;

/* More placed tasks than this are only counted. */
#define SCHED_VIEW_RUNS_MAX 64

typedef struct {
	char *queue;		     /* its name when the job was submitted */
	char team[SCHED_NAME_BYTES]; /* empty: none */
	const char *state;	     /* as callers see it */
	bool is_recorded;	     /* the job is in the store */
	const char *part_of; /* the shard that has the job; empty: this one */
	uint64_t age_ms;     /* since its first submission */
	uint64_t objective_ms;
	const char *rank; /* class in the order of placement; empty: ended */
	bool is_beyond_share;
	uint32_t tasks; /* of the occurrences that are open */
	uint32_t done;	/* of these */
	uint32_t away;	/* of these: another shard has them */
	uint32_t placed;
	uint32_t run_count; /* of these tasks, up to now */
	uint32_t failures;
	uint32_t crashes;
	uint32_t instances; /* of the shard */
	GArray *runs;	    /* sched_run_view_t */
	GArray *waits;	    /* sched_wait_view_t */
} sched_job_view_t;

typedef enum {
	SCHED_JOB_FOUND,
	SCHED_JOB_MOVED, /* another shard has it */
	SCHED_JOB_ABSENT
} sched_job_place_t;

/*
 * Describes a job. Fills in the view if the shard has the job, to be cleared
 * with sched_job_view_clear(); sets moved_to if another one has it.
 */
sched_job_place_t sched_pool_describe_job(const sched_pool_t *, const char *id,
    sched_job_view_t *, char moved_to[SCHED_NAME_BYTES]);
void sched_job_view_clear(sched_job_view_t *);

#endif
