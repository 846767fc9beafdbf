#include <stdio.h>
#include <string.h>

#include "soak.h"

#define TICK_MS 100
#define CALL_TIMEOUT_MS 1000
#define WORKER_CPU_MILLIS 4000
/* A task that lasts runs again 6 s after its last run and 3 s more... */
#define STANDS_MAX_MS 9000
/* ...that are calm, with the 4 s before them. */
#define CALM_MS 7000
/* A job with room for it has nothing running for so long at most. */
#define IDLE_MAX_MS 3000
#define HALF_PERCENT 50
#define ATTEMPTS_MAX 3

static gw_timer_t timer;

static json_t *
parse(const gw_http_response_t *response)
{
	return response == NULL ? NULL : json_loads(response->body, 0, NULL);
}

static json_int_t
number(const json_t *row, const char *key)
{
	return json_integer_value(json_object_get(row, key));
}

static const char *
text(const json_t *row, const char *key)
{
	return json_string_value(json_object_get(row, key));
}

/*
 * Returns the job of a task, whose name begins with the job's id.
 */
static job_t *
job_of_task(const soak_t *soak, const char *task)
{
	for (guint i = 0; i < soak->jobs->len; i++) {
		job_t *job = soak->jobs->pdata[i];

		if (g_str_has_prefix(task, job->id))
			return job;
	}
	return NULL;
}

/*
 * Reports each task that lasts and stands too long, once for each of its ends.
 */
static void
check_lasting(soak_t *soak, json_int_t now_ms, const json_t *row)
{
	json_int_t ended_ms = number(row, "ended_ms");
	json_int_t calm_ms = now_ms - (json_int_t)soak->calm_from_ms;
	const job_t *job = job_of_task(soak, text(row, "task"));
	g_autofree char *key = NULL;

	if (number(row, "running") > 0 || job == NULL || job->cancel_sent)
		return;
	soak->longest_stand_ms =
	    MAX(soak->longest_stand_ms, (uint64_t)(now_ms - ended_ms));
	if (soak->disruptions > 0 || now_ms - ended_ms < STANDS_MAX_MS ||
	    calm_ms < CALM_MS)
		return;
	key =
	    g_strdup_printf("%s %lld", text(row, "task"), (long long)ended_ms);
	soak_violation(soak, key,
	    "LOST task=%s worker=%s how=%s ended_ms_ago=%lld calm_ms=%lld",
	    text(row, "task"), text(row, "worker"), text(row, "how"),
	    (long long)(now_ms - ended_ms), (long long)calm_ms);
}

static void
on_lasting(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	json_t *root = parse(response), *row;
	size_t i;

	(void)err;
	json_array_foreach(json_object_get(root, "tasks"), i, row)
	    check_lasting(arg, number(root, "now_ms"), row);
	json_decref(root);
}

static void
on_workers(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	json_t *root = parse(response), *row;
	json_int_t cpu_millis[POOLS_MAX] = {0};
	soak_t *soak = arg;
	size_t i;

	(void)err;
	if (root == NULL)
		return;
	for (uint32_t pool = 0; pool < soak->pool_count; pool++)
		soak->loads[pool] = (pool_load_t){0, 0};
	json_array_foreach(json_object_get(root, "workers"), i, row)
	{
		uint32_t pool = (uint32_t)(text(row, "pool")[1] - '1');

		if (json_is_true(json_object_get(row, "left")) ||
		    pool >= soak->pool_count)
			continue;
		soak->loads[pool].workers++;
		cpu_millis[pool] += number(row, "cpu");
	}
	for (uint32_t pool = 0; pool < soak->pool_count; pool++)
		if (soak->loads[pool].workers > 0)
			soak->loads[pool].load_percent = (uint32_t)(100 *
			    cpu_millis[pool] /
			    (WORKER_CPU_MILLIS * soak->loads[pool].workers));
	json_decref(soak->worker_rows);
	soak->worker_rows = json_incref(json_object_get(root, "workers"));
	json_decref(root);
}

static void
on_stats(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	json_t *root = parse(response);
	soak_t *soak = arg;
	g_autofree char *key = NULL;

	(void)err;
	if (root == NULL)
		return;
	key = g_strdup_printf("%lld doubles, %lld over",
	    (long long)number(root, "doubles"),
	    (long long)number(root, "over"));
	if (number(root, "doubles") > 0 || number(root, "over") > 0)
		soak_violation(soak, key, "TWICE or LIMIT: %s", key);
	soak->moves = (uint32_t)number(root, "moves");
	soak->upkeeps = (uint32_t)number(root, "upkeeps");
	json_decref(root);
}

static bool
runs(const json_t *tasks, const job_t *job)
{
	const json_t *task;
	size_t i;

	json_array_foreach(
	    tasks, i, task) if (g_str_has_prefix(json_string_value(task),
				    job->id)) return true;
	return false;
}

/*
 * Reports each job that does not last and has nothing running though its pool
 * is half empty, once no job has been handed in for FINISH_MS.
 */
static void
on_running(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	json_t *root = parse(response);
	const json_t *tasks = json_object_get(root, "running");
	uint64_t now_ms = soak_now_ms();
	soak_t *soak = arg;

	(void)err;
	if (root != NULL)
		teams_check_running(soak, tasks);
	for (guint i = 0;
	     root != NULL && soak->finishing && i < soak->jobs->len; i++) {
		job_t *job = soak->jobs->pdata[i];

		if (!job->accepted || job->ended || job->kind == JOB_LASTING ||
		    job->kind == JOB_CANCELLED || runs(tasks, job) ||
		    soak->loads[job->pool].load_percent >= HALF_PERCENT ||
		    teams_may_wait(soak, job))
			job->idle_since_ms = 0;
		else if (job->idle_since_ms == 0)
			job->idle_since_ms = now_ms;
		else if (now_ms - job->idle_since_ms > IDLE_MAX_MS)
			soak_violation(soak, job->id,
			    "LOST job=%s has nothing running, load %u percent",
			    job->id, soak->loads[job->pool].load_percent);
	}
	json_decref(root);
}

static void
on_tick(gw_timer_t *tick, void *arg)
{
	soak_t *soak = arg;

	(void)gw_httpc_call(soak->control, "GET", "/lasting", NULL,
	    CALL_TIMEOUT_MS, on_lasting, soak);
	(void)gw_httpc_call(soak->control, "GET", "/workers", NULL,
	    CALL_TIMEOUT_MS, on_workers, soak);
	(void)gw_httpc_call(soak->control, "GET", "/stats", NULL,
	    CALL_TIMEOUT_MS, on_stats, soak);
	if (soak->finishing || soak->has_teams)
		(void)gw_httpc_call(soak->control, "GET", "/running", NULL,
		    CALL_TIMEOUT_MS, on_running, soak);
	gw_timer_start(soak->rt, tick, TICK_MS * GW_US_PER_MS, on_tick, soak);
}

void
check_start(soak_t *soak)
{
	on_tick(&timer, soak);
}

/* A job that was shown as completed or failed. */
typedef struct {
	job_t *job;
	bool failed;
} shown_t;

static GQueue unchecked = G_QUEUE_INIT; /* shown_t */
static guint being_checked;		/* by the call in progress */

static void check_next(soak_t *);

/*
 * Checks that all tasks of a job that is shown as completed are done.
 */
static void
check_done(soak_t *soak, const job_t *job, const json_t *done)
{
	const json_t *row;
	uint32_t count = 0;
	size_t i;

	json_array_foreach(done, i, row) count +=
	    g_str_has_prefix(json_string_value(row), job->id);
	if (count < job->tasks)
		soak_violation(soak, job->id,
		    "MIXED job=%s completed with %u of %u tasks done", job->id,
		    count, job->tasks);
}

/*
 * Checks that a job that is shown as failed has a task that failed as often as
 * its queue allows.
 */
static void
check_failures(soak_t *soak, const job_t *job, json_t *failed)
{
	const char *task;
	json_t *count;

	json_object_foreach(failed, task, count)
	{
		if (g_str_has_prefix(task, job->id) &&
		    json_integer_value(count) >= ATTEMPTS_MAX)
			return;
	}
	soak_violation(soak, job->id,
	    "LOST job=%s failed without cause, kind=%d", job->id, job->kind);
}

static void
on_shown(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	json_t *root = parse(response);
	soak_t *soak = arg;

	if (root == NULL)
		soak_on_control(response, err, soak);
	for (; root != NULL && being_checked > 0; being_checked--) {
		g_autofree shown_t *shown = g_queue_pop_head(&unchecked);

		if (shown->failed)
			check_failures(
			    soak, shown->job, json_object_get(root, "failed"));
		else
			check_done(
			    soak, shown->job, json_object_get(root, "done"));
	}
	being_checked = 0;
	json_decref(root);
	check_next(soak);
}

/*
 * Asks for the tasks that are done or failed. One call at a time checks all
 * jobs that were shown before it, so that
 * many jobs at once do not take all connections of the worker.
 */
static void
check_next(soak_t *soak)
{
	if (being_checked > 0 || unchecked.length == 0)
		return;
	being_checked = unchecked.length;
	(void)gw_httpc_call(soak->control, "GET", "/ends", NULL,
	    CALL_TIMEOUT_MS, on_shown, soak);
}

static void
check_shown(soak_t *soak, job_t *job, bool failed)
{
	shown_t *shown = g_new(shown_t, 1);

	shown->job = job;
	shown->failed = failed;
	g_queue_push_tail(&unchecked, shown);
	check_next(soak);
}

/*
 * Checks a job that is shown as completed.
 */
void
check_completed(soak_t *soak, job_t *job)
{
	check_shown(soak, job, false);
}

/*
 * Checks a job that is shown as failed.
 */
void
check_failed(soak_t *soak, job_t *job)
{
	check_shown(soak, job, true);
}

/*
 * Returns how many jobs that were shown have not been checked.
 */
uint32_t
check_pending(void)
{
	return unchecked.length;
}
