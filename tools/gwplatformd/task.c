#include <string.h>

#include "gw/clock.h"
#include "task.h"

#define LEASE_DEFAULT_MS 10000
#define FULL_SHARE_PERCENT 100

static const char *const state_names[] = {
    "running", "finished", "stopped", "expired", "lost"};

static uint64_t
get_number(const json_t *from, const char *key, uint64_t default_value)
{
	const json_t *value = json_object_get(from, key);

	if (!json_is_integer(value))
		return default_value;
	return (uint64_t)json_integer_value(value);
}

/*
 * Returns a running task made from {instance, lease_ms, run_ms, cpu_millis,
 * memory_mib}, or NULL when the instance is missing.
 */
task_t *
task_new(const char *id, const json_t *from, uint64_t now_us)
{
	const char *instance_id;
	task_t *task;

	instance_id = json_string_value(json_object_get(from, "instance"));
	if (instance_id == NULL)
		return NULL;
	task = g_new0(task_t, 1);
	g_strlcpy(task->id, id, sizeof(task->id));
	g_strlcpy(task->instance_id, instance_id, sizeof(task->instance_id));
	task->cpu_millis = (uint32_t)get_number(from, "cpu_millis", 1000);
	task->memory_mib = (uint32_t)get_number(from, "memory_mib", 1024);
	task->share_percent = FULL_SHARE_PERCENT;
	task->work_left_us = get_number(from, "run_ms", 1000) * GW_US_PER_MS;
	task->lease_length_us =
	    get_number(from, "lease_ms", LEASE_DEFAULT_MS) * GW_US_PER_MS;
	task->updated_us = now_us;
	task->lease_end_us = now_us + task->lease_length_us;
	task->operation_ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return task;
}

/*
 * Frees a task; a GDestroyNotify.
 */
void
task_free(void *ptr)
{
	task_t *task = ptr;

	g_hash_table_destroy(task->operation_ids);
	g_free(task);
}

/*
 * Updates the remaining work and the state to now_us. The task works until the
 * end of its lease only.
 */
void
task_update(task_t *task, uint64_t now_us)
{
	uint64_t end_us, done_us;

	if (task->state != TASK_RUNNING)
		return;
	end_us = MIN(now_us, task->lease_end_us);
	if (end_us > task->updated_us) {
		done_us = (end_us - task->updated_us) * task->share_percent /
		    FULL_SHARE_PERCENT;
		task->work_left_us -= MIN(done_us, task->work_left_us);
		task->updated_us = end_us;
	}
	if (task->work_left_us == 0)
		task->state = TASK_FINISHED;
	else if (now_us >= task->lease_end_us)
		task->state = TASK_EXPIRED;
}

/*
 * Extends the lease of a running task.
 */
void
task_renew_lease(task_t *task, uint64_t now_us)
{
	task_update(task, now_us);
	if (task->state == TASK_RUNNING)
		task->lease_end_us = now_us + task->lease_length_us;
}

/*
 * Applies "checkpoint", "throttle" or "stop", once per operation id. Returns 0,
 * or -1 when the operation is unknown or has no id.
 */
int
task_apply_operation(
    task_t *task, const char *operation, const json_t *body, uint64_t now_us)
{
	const char *id = json_string_value(json_object_get(body, "operation"));

	if (id == NULL)
		return -1;
	task_update(task, now_us);
	if (g_hash_table_contains(task->operation_ids, id))
		return 0;
	if (strcmp(operation, "checkpoint") == 0) {
		task->checkpoint++;
		task->checkpoint_left_us = task->work_left_us;
	} else if (strcmp(operation, "throttle") == 0) {
		task->share_percent = (uint32_t)MIN(
		    get_number(body, "share_percent", FULL_SHARE_PERCENT),
		    FULL_SHARE_PERCENT);
	} else if (strcmp(operation, "stop") == 0) {
		if (task->state == TASK_RUNNING)
			task->state = TASK_STOPPED;
	} else {
		return -1;
	}
	g_hash_table_add(task->operation_ids, g_strdup(id));
	return 0;
}

/*
 * Returns the task as the platform reports it.
 */
json_t *
task_json(const task_t *task)
{
	return json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:I, s:I, s:I}", "id",
	    task->id, "instance", task->instance_id, "state",
	    state_names[task->state], "cpu_millis", (int)task->cpu_millis,
	    "memory_mib", (int)task->memory_mib, "share_percent",
	    (int)task->share_percent, "checkpoint",
	    (json_int_t)task->checkpoint, "checkpoint_left_ms",
	    (json_int_t)(task->checkpoint_left_us / GW_US_PER_MS), "left_ms",
	    (json_int_t)(task->work_left_us / GW_US_PER_MS));
}
