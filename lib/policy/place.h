#ifndef POLICY_PLACE_H
#define POLICY_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "member/member.h"

/*
 * Placement of jobs on workers (nodes): which waiting job starts on which
 * worker, and which running jobs make room for urgent ones.
 */

/* Resources of a worker; CPU is in thousandths of one processor. */
typedef enum {
	PLACE_CPU_MILLIS = 0,
	PLACE_MEMORY_MIB,
	PLACE_ACCELERATORS,
	PLACE_RESOURCE_COUNT
} place_resource_t;

/* An amount of each resource. */
typedef struct {
	uint64_t of[PLACE_RESOURCE_COUNT];
} place_size_t;

typedef enum {
	PLACE_WAITING = 0,
	PLACE_RUNNING,
	PLACE_STOPPING, /* asked to checkpoint; keeps its resources until then
			 */
	PLACE_DONE,
	PLACE_UNKNOWN /* non-idempotent, and not known whether it ran to its end
		       */
} place_state_t;

typedef struct place_node place_node_t;

/*
 * A job. The caller fills the members before state and keeps the job until it
 * is done; place writes the others.
 */
typedef struct {
	char id[GW_NAME_BYTES];
	char team[GW_NAME_BYTES];
	char kind[GW_NAME_BYTES]; /* jobs of a kind and team use similar amounts
				   */
	place_size_t declared;
	bool urgent, idempotent, can_throttle, can_checkpoint;

	place_state_t state;
	uint64_t submitted_us;
	place_size_t reserved; /* on the node and in the team's quota */
	bool throttled;
	place_node_t *node; /* NULL unless running or stopping */
} place_job_t;

typedef enum {
	PLACE_START = 1,
	PLACE_THROTTLE,
	PLACE_CHECKPOINT,
	PLACE_REPORT_UNKNOWN
} place_action_t;

typedef struct {
	place_action_t action;
	place_job_t *job;
	char node_id[GW_NAME_BYTES];
	char reason[96]; /* for the log, empty for most actions */
} place_decision_t;

typedef struct place place_t;

/*
 * Policies. place_declared is the baseline: in each team first come, first
 * served, with declared sizes. place_fair uses observed sizes, starts jobs out
 * of order and makes running jobs give way to urgent ones.
 */
typedef struct place_ops place_ops_t;
extern const place_ops_t place_declared;
extern const place_ops_t place_fair;

place_t *place_new(const place_ops_t *);
void place_free(place_t *);
/* Sets a team's weight and quota; a quota of 0 does not limit the resource. */
void place_set_team(
    place_t *, const char *name, uint32_t weight, const place_size_t *quota);
void place_set_node(
    place_t *, const char *id, const char *rack, const place_size_t *);
/* Queues the job, or returns false with a reason when it can never run. */
bool place_submit(
    place_t *, place_job_t *, uint64_t now_us, char *reason, uint32_t bytes);
/* Appends which jobs start and which give way now (place_decision_t). */
void place_schedule(place_t *, uint64_t now_us, GPtrArray *decisions);
/* Records the usage of a job, which may have ended meanwhile. */
void place_record_usage(place_t *, place_job_t *, const place_size_t *);
void place_checkpointed(place_t *, place_job_t *, uint64_t now_us);
void place_complete(place_t *, place_job_t *);
/*
 * Adds a job that already runs on the node. Returns false when its team or the
 * node is not known, or the node is lost.
 */
bool place_adopt(place_t *, place_job_t *, const char *node_id);
/* Removes a waiting job from its queue. */
void place_dequeue(place_t *, place_job_t *);
void place_node_lost(place_t *, const char *id, uint64_t now_us);

#endif
