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
	uint64_t run_us;	/* work left at full share */
	uint64_t lease_us;	/* length of the lease */
	uint64_t lease_end_us;
	uint64_t updated_us;
	uint64_t checkpoint; /* number of the last checkpoint */
	uint64_t checkpoint_run_us;
	GHashTable *operations; /* ids of the operations that were applied */
} task_t;

task_t *task_new(const char *id, const json_t *, uint64_t now_us);
void task_free(void *);
void task_update(task_t *, uint64_t now_us);
void task_renew(task_t *, uint64_t now_us);
int task_operate(
    task_t *, const char *operation, const json_t *, uint64_t now_us);
json_t *task_json(const task_t *);

#endif
