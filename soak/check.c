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
 * Reports each task that lasts and stands too long, once for each of its ends.
 */
static void
on_lasting(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	json_t *root = parse(response), *row;
	soak_t *soak = arg;
	size_t i;

	(void)err;
	json_array_foreach(json_object_get(root, "tasks"), i, row)
	{
		json_int_t now_ms = number(root, "now_ms");
		json_int_t ended_ms = number(row, "ended_ms");
		json_int_t calm_ms = now_ms - (json_int_t)soak->calm_from_ms;
		g_autofree char *key = NULL;

		if (number(row, "running") > 0)
			continue;
		soak->longest_stand_ms =
		    MAX(soak->longest_stand_ms, (uint64_t)(now_ms - ended_ms));
		if (soak->disruptions > 0 ||
		    now_ms - ended_ms < STANDS_MAX_MS || calm_ms < CALM_MS)
			continue;
		key = g_strdup_printf(
		    "%s %lld", text(row, "task"), (long long)ended_ms);
		soak_violation(soak, key,
		    "LOST task=%s worker=%s how=%s ended_ms_ago=%lld "
		    "calm_ms=%lld",
		    text(row, "task"), text(row, "worker"), text(row, "how"),
		    (long long)(now_ms - ended_ms), (long long)calm_ms);
	}
	json_decref(root);
}

static void
on_workers(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	json_t *root = parse(response), *row;
	json_int_t cpu_millis = 0, room_millis = 0;
	soak_t *soak = arg;
	size_t i;

	(void)err;
	if (root == NULL)
		return;
	json_array_foreach(json_object_get(root, "workers"), i, row)
	{
		if (json_is_true(json_object_get(row, "left")))
			continue;
		room_millis += WORKER_CPU_MILLIS;
		cpu_millis += number(row, "cpu");
	}
	if (room_millis > 0)
		soak->load_percent = (uint32_t)(100 * cpu_millis / room_millis);
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
	gw_timer_start(soak->rt, tick, TICK_MS * GW_US_PER_MS, on_tick, soak);
}

void
check_start(soak_t *soak)
{
	on_tick(&timer, soak);
}

static GQueue unchecked = G_QUEUE_INIT; /* completed jobs (job_t) */
static guint being_checked;		 /* by the call in progress */

static void check_next(soak_t *);

static void
check_done(soak_t *soak, const job_t *job, json_t *done)
{
	uint32_t count = 0;
	json_t *row;
	size_t i;

	json_array_foreach(done, i, row) count +=
	    g_str_has_prefix(json_string_value(row), job->id);
	if (count < job->tasks)
		soak_violation(soak, job->id,
		    "MIXED job=%s completed with %u of %u tasks done", job->id,
		    count, job->tasks);
}

static void
on_done(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	json_t *root = parse(response);
	soak_t *soak = arg;

	if (root == NULL)
		soak_on_control(response, err, soak);
	else
		for (; being_checked > 0; being_checked--)
			check_done(soak, g_queue_pop_head(&unchecked),
			    json_object_get(root, "done"));
	being_checked = 0;
	json_decref(root);
	check_next(soak);
}

/*
 * Asks for the tasks that are done. One call at a time checks all jobs that
 * were shown as completed before it: the worker serves 16 connections.
 */
static void
check_next(soak_t *soak)
{
	if (being_checked > 0 || unchecked.length == 0)
		return;
	being_checked = unchecked.length;
	(void)gw_httpc_call(soak->control, "GET", "/done", NULL,
	    CALL_TIMEOUT_MS, on_done, soak);
}

/*
 * Checks that all tasks of a job that is shown as completed are done.
 */
void
check_completed(soak_t *soak, job_t *job)
{
	g_queue_push_tail(&unchecked, job);
	check_next(soak);
}

/*
 * Returns how many completed jobs have not been checked.
 */
uint32_t
check_pending(void)
{
	return unchecked.length;
}
