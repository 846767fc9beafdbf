#include <stdlib.h>
#include <string.h>

#include "gw/log.h"
#include "jobs_state.h"

/* Wait before a call about a task is repeated. */
#define CALL_RETRY_MS 300
/* Processors that a throttled task keeps, percent; as the placement counts. */
#define THROTTLE_SHARE_PERCENT 25
/* Usage is as old as 10 s; a job that started later is not judged by it. */
#define USAGE_SETTLE_MS 15000
#define USAGE_POLL_MS 5000
#define TASKS_TIMEOUT_MS 3000

static void
put(fleet_t *fleet, job_t *job)
{
	char id[GW_NAME_BYTES], *text;
	json_t *body;

	job_task_id(job, id);
	body = json_pack("{s:s, s:i, s:I, s:I, s:I, s:I}", "instance",
	    job->node, "lease_ms", JOB_LEASE_MS, "run_ms",
	    (json_int_t)MAX(job->left_ms, 1), "cpu_millis",
	    (json_int_t)job->spec.size.of[PLACE_CPU_MILLIS], "memory_mib",
	    (json_int_t)job->spec.size.of[PLACE_MEMORY_MIB], "accelerators",
	    (json_int_t)job->spec.size.of[PLACE_ACCELERATORS]);
	text = json_dumps(body, JSON_COMPACT);
	job->calling = true;
	fleet->jobs->ops->task_put(fleet->jobs->ctx, id, text);
	free(text);
	json_decref(body);
}

/* The operation's id is its name: each is done once per task. */
static void
operate(fleet_t *fleet, job_t *job, const char *operation)
{
	char id[GW_NAME_BYTES], body[96];

	job_task_id(job, id);
	(void)g_snprintf(body, sizeof(body),
	    "{\"operation\":\"%s\",\"share_percent\":%d}", operation,
	    THROTTLE_SHARE_PERCENT);
	job->calling = true;
	fleet->jobs->ops->task_operate(fleet->jobs->ctx, id, operation, body);
}

static void
begin_task(fleet_t *fleet, job_t *job)
{
	if (!job_committed(fleet, job))
		return;
	if (job->cancelling) {
		job_set_state(
		    fleet, job, JOB_CANCELLED, "cancelled before its start");
		return;
	}
	job->may_run = true;
	job->own = true;
	put(fleet, job);
}

/*
 * Makes the next call that the job's task needs. A start is repeated only by
 * the planner that made it, under the same task id, which the platform starts
 * at most once.
 */
static void
step(fleet_t *fleet, job_t *job)
{
	uint64_t now_us = fleet_now_us(fleet);

	if (job->calling || now_us < job->call_us || !job_placed(job))
		return;
	if (!job->may_run) {
		begin_task(fleet, job);
	} else if (!job->confirmed) {
		if (job->own && !job->cancelling)
			put(fleet, job);
	} else if (job->cancelling) {
		if (job_committed(fleet, job))
			operate(fleet, job, "stop");
	} else if (job->state == JOB_CHECKPOINTING) {
		operate(fleet, job, job->saved ? "stop" : "checkpoint");
	} else if (job->throttle_due) {
		operate(fleet, job, "throttle");
	} else if (now_us >= job->renew_us) {
		put(fleet, job);
	}
}

static bool
any_task(const jobs_t *jobs)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (job_placed(value) && ((job_t *)value)->may_run)
			return true;
	return false;
}

static void
ask_platform(fleet_t *fleet)
{
	jobs_t *jobs = fleet->jobs;
	uint64_t now_us = fleet_now_us(fleet);

	if (jobs->tasks_asked_us != 0 &&
	    now_us >= jobs->tasks_asked_us + TASKS_TIMEOUT_MS * GW_US_PER_MS)
		jobs->tasks_asked_us = 0;
	if (!any_task(jobs))
		return;
	if (jobs->tasks_asked_us == 0 && now_us >= jobs->tasks_next_us) {
		jobs->tasks_asked_us = now_us;
		jobs->tasks_next_us = now_us + JOB_POLL_MS * GW_US_PER_MS;
		jobs->ops->tasks(jobs->ctx, ++jobs->tasks_call);
	}
	if (now_us >= jobs->usage_next_us) {
		jobs->usage_next_us = now_us + USAGE_POLL_MS * GW_US_PER_MS;
		jobs->ops->usage(jobs->ctx, ++jobs->usage_call);
	}
}

/*
 * Makes the calls that are due, and asks the platform for the tasks' states.
 */
void
job_task_tick(fleet_t *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		step(fleet, value);
	ask_platform(fleet);
}

static job_t *
job_of_task(const fleet_t *fleet, const char *task_id)
{
	const char *dot = strrchr(task_id, '.');
	g_autofree char *id =
	    dot == NULL ? NULL : g_strndup(task_id, (gsize)(dot - task_id));
	char current[GW_NAME_BYTES];
	job_t *job = id == NULL ? NULL : jobs_find(fleet, id);

	if (job == NULL)
		return NULL;
	job_task_id(job, current);
	return strcmp(current, task_id) == 0 ? job : NULL;
}

static void
confirm(fleet_t *fleet, job_t *job)
{
	uint64_t now_us = fleet_now_us(fleet);

	if (job->state == JOB_STARTING)
		job->state = JOB_RUNNING;
	if (job->confirmed)
		return;
	job->confirmed = true;
	job->started_us = now_us;
	fleet->jobs->metrics.starts->value++;
	if (job->spec.urgent && job->own)
		gw_histogram_record(fleet->jobs->metrics.urgent_start_us,
		    now_us - job->accepted_us);
}

static void
call_later(fleet_t *fleet, job_t *job, const job_msg_t *msg, const char *what)
{
	job->call_us = fleet_now_us(fleet) + CALL_RETRY_MS * GW_US_PER_MS;
	gw_log(GW_EV_JOB_TASK_RETRY, "task=%s call=%s status=%d sent=%d",
	    msg->id, what, msg->status, !msg->surely_not);
}

/*
 * Takes the answer to a start or a renewal. A start that was surely refused
 * lets the job wait again; one without a certain answer is left to the list.
 */
void
job_task_put_done(fleet_t *fleet, const job_msg_t *msg)
{
	job_t *job = job_of_task(fleet, msg->id);

	if (job == NULL || !job_placed(job))
		return;
	job->calling = false;
	job->known_us = fleet_now_us(fleet);
	if (msg->status == 200) {
		job->renew_us =
		    fleet_now_us(fleet) + JOB_RENEW_MS * GW_US_PER_MS;
		confirm(fleet, job);
		return;
	}
	if (msg->status >= 400 && msg->status < 500 && !job->confirmed) {
		if (job->uncertain)
			job->own = false;
		else
			job_restart(fleet, job, "the platform refused it");
		return;
	}
	job->uncertain |= !msg->surely_not;
	call_later(fleet, job, msg, "put");
}

/*
 * Takes the answer to checkpoint, throttle or stop. What it changed is read
 * from the next list.
 */
void
job_task_operated(fleet_t *fleet, const job_msg_t *msg)
{
	job_t *job = job_of_task(fleet, msg->id);

	if (job == NULL || !job_placed(job))
		return;
	job->calling = false;
	if (msg->status != 200) {
		call_later(fleet, job, msg, msg->operation);
		return;
	}
	if (strcmp(msg->operation, "throttle") == 0)
		job->throttle_due = false;
	else if (strcmp(msg->operation, "checkpoint") == 0)
		job->saved = true;
	else
		job->call_us = fleet_now_us(fleet) + GW_US_PER_S;
	fleet->jobs->tasks_next_us = 0;
	step(fleet, job);
	ask_platform(fleet);
}

static void
lose(fleet_t *fleet, job_t *job, const char *reason)
{
	if (job->spec.idempotent)
		job_restart(fleet, job, reason);
	else
		job_set_state(fleet, job, JOB_UNKNOWN, reason);
}

/*
 * Decides about a job whose task the platform does not list. An answer that was
 * asked for before the start was answered proves nothing.
 */
static void
take_absence(fleet_t *fleet, job_t *job, uint64_t asked_us)
{
	if (job->calling || asked_us <= job->known_us ||
	    (job->own && !job->confirmed && !job->cancelling))
		return;
	if (job->cancelling && job->spec.idempotent)
		job_set_state(fleet, job, JOB_CANCELLED,
		    "the platform does not know the task");
	else
		lose(fleet, job, "the platform does not know the task");
}

static void
take_stopped(fleet_t *fleet, job_t *job, const json_t *task)
{
	json_int_t saved =
	    json_integer_value(json_object_get(task, "checkpoint"));

	if (job->cancelling) {
		job_set_state(fleet, job, JOB_CANCELLED, "stopped");
		return;
	}
	if (!job->spec.checkpointable || saved == 0) {
		lose(fleet, job, "the task was stopped without a checkpoint");
		return;
	}
	job->left_ms = (uint64_t)json_integer_value(
	    json_object_get(task, "checkpoint_left_ms"));
	job_restart(fleet, job, "checkpointed for an urgent job");
	job->retry_us = 0;
}

static void
take_task(fleet_t *fleet, job_t *job, const json_t *task)
{
	const char *state = json_string_value(json_object_get(task, "state"));
	const json_t *share = json_object_get(task, "share_percent");

	job->known_us = fleet_now_us(fleet);
	if (g_strcmp0(state, "running") == 0) {
		if (json_is_integer(share) && json_integer_value(share) < 100)
			job->place.throttled = true;
		confirm(fleet, job);
	} else if (g_strcmp0(state, "finished") == 0) {
		confirm(fleet, job);
		job_set_state(fleet, job, JOB_FINISHED, "finished");
	} else if (g_strcmp0(state, "stopped") == 0) {
		take_stopped(fleet, job, task);
	} else if (job->cancelling) {
		job_set_state(fleet, job, JOB_CANCELLED, "the task has ended");
	} else {
		lose(fleet, job,
		    g_strcmp0(state, "expired") == 0
			? "the task's lease ran out"
			: "the task was lost with its instance");
	}
}

static GHashTable *
index_tasks(const json_t *body)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);
	const json_t *task;
	const char *id;
	size_t i;

	json_array_foreach(json_object_get(body, "tasks"), i, task)
	{
		id = json_string_value(json_object_get(task, "id"));
		if (id != NULL)
			g_hash_table_insert(
			    index, (gpointer)id, (gpointer)task);
	}
	return index;
}

/*
 * Takes the states of all tasks from the platform's list.
 */
void
job_task_list(fleet_t *fleet, const job_msg_t *msg)
{
	uint64_t asked_us = fleet->jobs->tasks_asked_us;
	char id[GW_NAME_BYTES];
	GHashTableIter iter;
	GHashTable *index;
	gpointer value;
	const json_t *task;

	if (msg->call != fleet->jobs->tasks_call || asked_us == 0)
		return;
	fleet->jobs->tasks_asked_us = 0;
	if (!json_is_array(json_object_get(msg->list, "tasks")))
		return;
	index = index_tasks(msg->list);
	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!job_placed(value) || !((job_t *)value)->may_run)
			continue;
		job_task_id(value, id);
		task = g_hash_table_lookup(index, id);
		if (task != NULL)
			take_task(fleet, value, task);
		else
			take_absence(fleet, value, asked_us);
	}
	g_hash_table_destroy(index);
}

/* Sum of the declared sizes of an instance's jobs that usage can judge. */
static bool
sum_declared(const fleet_t *fleet, const char *node, place_size_t *sum)
{
	uint64_t now_us = fleet_now_us(fleet);
	GHashTableIter iter;
	gpointer value;

	memset(sum, 0, sizeof(*sum));
	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const job_t *job = value;

		if (strcmp(job->node, node) != 0 || !job->may_run)
			continue;
		if (job->place.throttled || !job_placed(job) ||
		    !job->confirmed ||
		    now_us < job->started_us + USAGE_SETTLE_MS * GW_US_PER_MS)
			return false;
		for (int r = 0; r < PLACE_RESOURCE_COUNT; r++)
			sum->of[r] += job->spec.size.of[r];
	}
	return sum->of[PLACE_CPU_MILLIS] > 0;
}

static void
share_usage(fleet_t *fleet, const char *node, const json_t *from)
{
	static const char *const names[] = {"cpu_millis", "memory_mib"};
	place_size_t sum, part;
	GHashTableIter iter;
	gpointer value;

	if (!sum_declared(fleet, node, &sum))
		return;
	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_t *job = value;

		if (strcmp(job->node, node) != 0 || !job_placed(job))
			continue;
		part = job->spec.size;
		for (int r = 0; r < PLACE_ACCELERATORS; r++)
			part.of[r] = (uint64_t)json_integer_value(
					 json_object_get(from, names[r])) *
			    part.of[r] / MAX(sum.of[r], 1);
		place_record_usage(fleet->jobs->place, &job->place, &part);
	}
}

/*
 * Takes the platform's usage, which is late and per instance: it is divided
 * among the instance's jobs by declared size, and only when all of them ran
 * long enough and none ended there lately.
 */
void
job_task_usage(fleet_t *fleet, const job_msg_t *msg)
{
	const json_t *from;
	const char *id;
	size_t i;

	if (msg->call != fleet->jobs->usage_call)
		return;
	json_array_foreach(json_object_get(msg->list, "instances"), i, from)
	{
		id = json_string_value(json_object_get(from, "id"));
		if (id != NULL)
			share_usage(fleet, id, from);
	}
}
