#include <string.h>

#include "gw/clock.h"
#include "task.h"

#define LEASE_INITIAL_MS 10000
#define PERCENT 100

static const char *const state_names[] = {
    "running", "finished", "stopped", "expired", "lost"};

static uint64_t
number(const json_t *from, const char *key, uint64_t initial)
{
	const json_t *value = json_object_get(from, key);

	if (!json_is_integer(value))
		return initial;
	return (uint64_t)json_integer_value(value);
}

/*
 * Starts a task from {instance, lease_ms, run_ms, cpu_millis, memory_mib}.
 * Returns NULL when the instance is not named.
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
	task->cpu_millis = (uint32_t)number(from, "cpu_millis", 1000);
	task->memory_mib = (uint32_t)number(from, "memory_mib", 1024);
	task->share_percent = PERCENT;
	task->run_us = number(from, "run_ms", 1000) * GW_US_PER_MS;
	task->lease_us =
	    number(from, "lease_ms", LEASE_INITIAL_MS) * GW_US_PER_MS;
	task->updated_us = now_us;
	task->lease_end_us = now_us + task->lease_us;
	task->operations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return task;
}

/*
 * Frees a task. Takes void * to serve as a GDestroyNotify.
 */
void
task_free(void *ptr)
{
	task_t *task = ptr;

	g_hash_table_destroy(task->operations);
	g_free(task);
}

/*
 * Brings the work done and the state up to now_us.
 */
void
task_update(task_t *task, uint64_t now_us)
{
	uint64_t end_us, done_us;

	if (task->state != TASK_RUNNING)
		return;
	end_us = MIN(now_us, task->lease_end_us);
	if (end_us > task->updated_us) {
		done_us =
		    (end_us - task->updated_us) * task->share_percent / PERCENT;
		task->run_us -= MIN(done_us, task->run_us);
		task->updated_us = end_us;
	}
	if (task->run_us == 0)
		task->state = TASK_FINISHED;
	else if (now_us >= task->lease_end_us)
		task->state = TASK_EXPIRED;
}

/*
 * Extends the lease of a running task.
 */
void
task_renew(task_t *task, uint64_t now_us)
{
	task_update(task, now_us);
	if (task->state == TASK_RUNNING)
		task->lease_end_us = now_us + task->lease_us;
}

/*
 * Applies "checkpoint", "throttle" or "stop" once per operation id. Returns 0,
 * or -1 when the operation is not known or has no id.
 */
int
task_operate(
    task_t *task, const char *operation, const json_t *body, uint64_t now_us)
{
	const char *id = json_string_value(json_object_get(body, "operation"));

	if (id == NULL)
		return -1;
	task_update(task, now_us);
	if (g_hash_table_contains(task->operations, id))
		return 0;
	if (strcmp(operation, "checkpoint") == 0) {
		task->checkpoint++;
		task->checkpoint_run_us = task->run_us;
	} else if (strcmp(operation, "throttle") == 0) {
		task->share_percent = (uint32_t)MIN(
		    number(body, "share_percent", PERCENT), PERCENT);
	} else if (strcmp(operation, "stop") == 0) {
		if (task->state == TASK_RUNNING)
			task->state = TASK_STOPPED;
	} else {
		return -1;
	}
	g_hash_table_add(task->operations, g_strdup(id));
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
	    (json_int_t)(task->checkpoint_run_us / GW_US_PER_MS), "left_ms",
	    (json_int_t)(task->run_us / GW_US_PER_MS));
}
