#ifndef POLICY_PLACE_H
#define POLICY_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "member/member.h"

/* Processors in thousandths, memory, accelerators. */
typedef enum {
	PLACE_CPU_MILLIS = 0,
	PLACE_MEMORY_MIB,
	PLACE_ACCELERATORS,
	PLACE_RESOURCES
} place_resource_t;

typedef struct {
	uint64_t of[PLACE_RESOURCES];
} place_size_t;

typedef enum {
	PLACE_WAITING = 0,
	PLACE_RUNNING,
	PLACE_STOPPING, /* told to checkpoint; holds its room until it has */
	PLACE_DONE,
	PLACE_UNKNOWN /* non-idempotent and its end is unknown */
} place_state_t;

typedef struct place_node place_node_t;

/* A job; the caller fills the upper part and keeps it until it is done. */
typedef struct {
	char id[GW_NAME_BYTES];
	char team[GW_NAME_BYTES];
	char kind[GW_NAME_BYTES]; /* jobs of one kind are of similar size */
	place_size_t declared;
	bool urgent, idempotent, can_throttle, can_checkpoint;

	place_state_t state;
	uint64_t submitted_us;
	place_size_t reserved;
	bool throttled;
	place_node_t *node;
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
	char reason[96];
} place_decision_t;

typedef struct place place_t;

/* Order and sizes vary; first come with declared sizes is the baseline. */
typedef struct place_ops place_ops_t;
extern const place_ops_t place_declared;
extern const place_ops_t place_fair;

place_t *place_new(const place_ops_t *);
void place_free(place_t *);
/* A quota of 0 means no limit on the resource. */
void place_set_team(
    place_t *, const char *name, uint32_t weight, const place_size_t *quota);
void place_set_node(
    place_t *, const char *id, const char *rack, const place_size_t *);
/* False with a reason when the job can never run. */
bool place_submit(
    place_t *, place_job_t *, uint64_t now_us, char *reason, uint32_t bytes);
/* Decides what starts and what gives way now (place_decision_t). */
void place_round(place_t *, uint64_t now_us, GPtrArray *decisions);
/* A usage report, however late it arrives. */
void place_usage(place_t *, place_job_t *, const place_size_t *);
void place_checkpointed(place_t *, place_job_t *, uint64_t now_us);
void place_done(place_t *, place_job_t *);
/* Takes a job that already runs on the node; false when that is not known. */
bool place_adopt(place_t *, place_job_t *, const char *node_id);
/* Takes a waiting job out of its queue. */
void place_withdraw(place_t *, place_job_t *);
void place_node_lost(place_t *, const char *id, uint64_t now_us);

#endif
