#include <stdlib.h>
#include <string.h>

#include "gw/log.h"
#include "jobs_state.h"

/* Delay before a failed call about a task is repeated. */
#define TASK_CALL_RETRY_MS 300
/* CPU share of a throttled task; the placement assumes the same value. */
#define THROTTLE_SHARE_PERCENT 25
#define USAGE_POLL_INTERVAL_MS 5000
#define TASKS_TIMEOUT_MS 3000

static void
send_put(fleet_t *fleet, job_t *job)
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
	job->call_pending = true;
	fleet->jobs->ops->task_put(fleet->jobs->ctx, id, text);
	free(text);
	json_decref(body);
}

/*
 * Sends an operation. Its name is also its id: the platform applies each
 * operation once per task.
 */
static void
send_operation(fleet_t *fleet, job_t *job, const char *operation)
{
	char id[GW_NAME_BYTES], body[96];

	job_task_id(job, id);
	(void)g_snprintf(body, sizeof(body),
	    "{\"operation\":\"%s\",\"share_percent\":%d}", operation,
	    THROTTLE_SHARE_PERCENT);
	job->call_pending = true;
	fleet->jobs->ops->task_operate(fleet->jobs->ctx, id, operation, body);
}

static void
start_task(fleet_t *fleet, job_t *job)
{
	if (!job_committed(fleet, job))
		return;
	if (job->cancelling) {
		job_end(
		    fleet, job, JOB_CANCELLED, "cancelled before its start");
		return;
	}
	job->task_may_exist = true;
	job->started_here = true;
	send_put(fleet, job);
}

/*
 * Sends the call that the job's task needs next. Only the planner that sent a
 * start repeats it, with the same task id: the platform starts a task at most
 * once per id.
 */
static void
send_next_call(fleet_t *fleet, job_t *job)
{
	uint64_t now_us = fleet_now_us(fleet);

	if (job->call_pending || now_us < job->next_call_us || !job_placed(job))
		return;
	if (!job->task_may_exist) {
		start_task(fleet, job);
	} else if (!job->confirmed) {
		if (job->started_here && !job->cancelling)
			send_put(fleet, job);
	} else if (job->cancelling) {
		if (job_committed(fleet, job))
			send_operation(fleet, job, "stop");
	} else if (job->state == JOB_CHECKPOINTING) {
		send_operation(
		    fleet, job, job->checkpoint_done ? "stop" : "checkpoint");
	} else if (job->throttle_pending) {
		send_operation(fleet, job, "throttle");
	} else if (now_us >= job->next_renewal_us) {
		send_put(fleet, job);
	}
}

static bool
any_task_may_exist(const jobs_t *jobs)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (job_placed(value) && ((job_t *)value)->task_may_exist)
			return true;
	return false;
}

static void
poll_platform(fleet_t *fleet)
{
	jobs_t *jobs = fleet->jobs;
	uint64_t now_us = fleet_now_us(fleet);

	if (jobs->tasks_requested_us != 0 &&
	    now_us >=
		jobs->tasks_requested_us + TASKS_TIMEOUT_MS * GW_US_PER_MS)
		jobs->tasks_requested_us = 0;
	if (!any_task_may_exist(jobs))
		return;
	if (jobs->tasks_requested_us == 0 &&
	    now_us >= jobs->next_tasks_poll_us) {
		jobs->tasks_requested_us = now_us;
		jobs->next_tasks_poll_us =
		    now_us + TASKS_POLL_INTERVAL_MS * GW_US_PER_MS;
		jobs->ops->tasks(jobs->ctx, ++jobs->tasks_call);
	}
	if (now_us >= jobs->next_usage_poll_us) {
		jobs->next_usage_poll_us =
		    now_us + USAGE_POLL_INTERVAL_MS * GW_US_PER_MS;
		jobs->ops->usage(jobs->ctx, ++jobs->usage_call);
	}
}

/*
 * Sends the calls that are due, and polls the platform for task states and
 * usage.
 */
void
job_task_tick(fleet_t *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_next_call(fleet, value);
	poll_platform(fleet);
}

static job_t *
lookup_job_of_task(const fleet_t *fleet, const char *task_id)
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
confirm_task(fleet_t *fleet, job_t *job)
{
	uint64_t now_us = fleet_now_us(fleet);

	if (job->state == JOB_STARTING)
		job->state = JOB_RUNNING;
	if (job->confirmed)
		return;
	job->confirmed = true;
	job->started_us = now_us;
	fleet->jobs->metrics.starts->value++;
	if (job->spec.urgent && job->started_here)
		gw_histogram_record(fleet->jobs->metrics.urgent_start_us,
		    now_us - job->accepted_us);
}

static void
delay_next_call(
    fleet_t *fleet, job_t *job, const job_msg_t *msg, const char *what)
{
	job->next_call_us =
	    fleet_now_us(fleet) + TASK_CALL_RETRY_MS * GW_US_PER_MS;
	gw_log(GW_EV_JOB_TASK_RETRY, "task=%s call=%s status=%d sent=%d",
	    msg->id, what, msg->status, !msg->not_sent);
}

/*
 * Handles the reply to a start or a lease renewal. After a refused start the
 * job is requeued. If an earlier start may have taken effect, the next task
 * list decides.
 */
void
job_handle_put(fleet_t *fleet, const job_msg_t *msg)
{
	job_t *job = lookup_job_of_task(fleet, msg->id);

	if (job == NULL || !job_placed(job))
		return;
	job->call_pending = false;
	job->task_known_us = fleet_now_us(fleet);
	if (msg->status == 200) {
		job->next_renewal_us = fleet_now_us(fleet) +
		    JOB_RENEWAL_INTERVAL_MS * GW_US_PER_MS;
		confirm_task(fleet, job);
		return;
	}
	if (msg->status >= 400 && msg->status < 500 && !job->confirmed) {
		if (job->start_uncertain)
			job->started_here = false;
		else
			job_requeue(fleet, job, "the platform refused it");
		return;
	}
	job->start_uncertain |= !msg->not_sent;
	delay_next_call(fleet, job, msg, "put");
}

/*
 * Handles the reply to a checkpoint, throttle or stop. The resulting task state
 * is read from the next task list.
 */
void
job_handle_operation(fleet_t *fleet, const job_msg_t *msg)
{
	job_t *job = lookup_job_of_task(fleet, msg->id);

	if (job == NULL || !job_placed(job))
		return;
	job->call_pending = false;
	if (msg->status != 200) {
		delay_next_call(fleet, job, msg, msg->operation);
		return;
	}
	if (strcmp(msg->operation, "throttle") == 0)
		job->throttle_pending = false;
	else if (strcmp(msg->operation, "checkpoint") == 0)
		job->checkpoint_done = true;
	else
		job->next_call_us = fleet_now_us(fleet) + GW_US_PER_S;
	fleet->jobs->next_tasks_poll_us = 0;
	send_next_call(fleet, job);
	poll_platform(fleet);
}

static void
handle_lost_task(fleet_t *fleet, job_t *job, const char *reason)
{
	if (job->spec.idempotent)
		job_requeue(fleet, job, reason);
	else
		job_end(fleet, job, JOB_UNKNOWN, reason);
}

/*
 * Handles a task that the platform does not list. A list that was requested
 * before the last reply to a start or renewal may be older than the task and is
 * ignored.
 */
static void
handle_missing_task(fleet_t *fleet, job_t *job, uint64_t requested_us)
{
	if (job->call_pending || requested_us <= job->task_known_us ||
	    (job->started_here && !job->confirmed && !job->cancelling))
		return;
	if (job->cancelling && job->spec.idempotent)
		job_end(fleet, job, JOB_CANCELLED,
		    "the platform does not know the task");
	else
		handle_lost_task(
		    fleet, job, "the platform does not know the task");
}

static void
handle_stopped_task(fleet_t *fleet, job_t *job, const json_t *task)
{
	json_int_t saved =
	    json_integer_value(json_object_get(task, "checkpoint"));

	if (job->cancelling) {
		job_end(fleet, job, JOB_CANCELLED, "stopped");
		return;
	}
	if (!job->spec.checkpointable || saved == 0) {
		handle_lost_task(
		    fleet, job, "the task was stopped without a checkpoint");
		return;
	}
	job->left_ms = (uint64_t)json_integer_value(
	    json_object_get(task, "checkpoint_left_ms"));
	job_requeue(fleet, job, "checkpointed for an urgent job");
	job->retry_us = 0;
}

static void
handle_task(fleet_t *fleet, job_t *job, const json_t *task)
{
	const char *state = json_string_value(json_object_get(task, "state"));
	const json_t *share = json_object_get(task, "share_percent");

	job->task_known_us = fleet_now_us(fleet);
	if (g_strcmp0(state, "running") == 0) {
		if (json_is_integer(share) && json_integer_value(share) < 100)
			job->place.throttled = true;
		confirm_task(fleet, job);
	} else if (g_strcmp0(state, "finished") == 0) {
		confirm_task(fleet, job);
		job_end(fleet, job, JOB_FINISHED, "finished");
	} else if (g_strcmp0(state, "stopped") == 0) {
		handle_stopped_task(fleet, job, task);
	} else if (job->cancelling) {
		job_end(fleet, job, JOB_CANCELLED, "the task has ended");
	} else {
		handle_lost_task(fleet, job,
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
 * Updates all jobs from the platform's task list.
 */
void
job_handle_tasks(fleet_t *fleet, const job_msg_t *msg)
{
	uint64_t requested_us = fleet->jobs->tasks_requested_us;
	char id[GW_NAME_BYTES];
	GHashTableIter iter;
	GHashTable *index;
	gpointer value;
	const json_t *task;

	if (msg->call != fleet->jobs->tasks_call || requested_us == 0)
		return;
	fleet->jobs->tasks_requested_us = 0;
	if (!json_is_array(json_object_get(msg->list, "tasks")))
		return;
	index = index_tasks(msg->list);
	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!job_placed(value) || !((job_t *)value)->task_may_exist)
			continue;
		job_task_id(value, id);
		task = g_hash_table_lookup(index, id);
		if (task != NULL)
			handle_task(fleet, value, task);
		else
			handle_missing_task(fleet, value, requested_us);
	}
	g_hash_table_destroy(index);
}
