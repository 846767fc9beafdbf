#ifndef PLATFORM_TASK_H
#define PLATFORM_TASK_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

typedef enum {
	TASK_RUNNING,
	TASK_FINISHED,
	TASK_STOPPED,
	TASK_EXPIRED,
	TASK_LOST
} task_state_t;

/* A task that runs under a lease on one instance. */
typedef struct {
	char id[64];
	char instance_id[64];
	uint32_t incarnation; /* of the instance when the task was started */
	task_state_t state;
	uint32_t cpu_millis;
	uint32_t memory_mib;
	uint32_t share_percent; /* below 100 when throttled */
	uint64_t work_left_us;	/* at a share of 100 % */
	uint64_t lease_length_us;
	uint64_t lease_end_us;
	uint64_t updated_us; /* time to which work_left_us is computed */
	uint64_t checkpoint; /* number of the last checkpoint; 0: none */
	uint64_t checkpoint_left_us; /* work left at that checkpoint */
	GHashTable *operation_ids;   /* operations applied */
} task_t;

task_t *task_new(const char *id, const json_t *, uint64_t now_us);
void task_free(void *);
void task_update(task_t *, uint64_t now_us);
void task_renew_lease(task_t *, uint64_t now_us);
int task_apply_operation(
    task_t *, const char *operation, const json_t *, uint64_t now_us);
json_t *task_json(const task_t *);

#endif
