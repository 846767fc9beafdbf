#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/* Body of a start, without the payload. */
#define START_BODY_BYTES 170
#define HELD_LOG_INTERVAL_US (500 * GW_US_PER_MS)
/* Longest extra pause before a renewal while requests wait on the link. */
#define RENEW_DELAY_MAX_US GW_US_PER_S

void
sched_pool_set_window(sched_pool_t *pool, sched_window_t *window)
{
	pool->window = window;
}

/*
 * Returns the bytes on the wire of the start of one of the job's tasks.
 */
uint32_t
sched_task_start_bytes(const sched_job_t *job)
{
	return sched_window_request_bytes(
	    START_BODY_BYTES + (uint32_t)strlen(job->spec->payload));
}

/*
 * Counts the start of a task that has been placed.
 */
void
sched_send_reserved(sched_pool_t *pool, const sched_task_t *task)
{
	pool->unsent_bytes += sched_task_start_bytes(task->job);
}

/*
 * Takes back the start of a task that leaves SCHED_TASK_RESERVED: it is being
 * sent, or the task is no longer placed. Does nothing in any other state.
 */
void
sched_send_unreserved(sched_pool_t *pool, sched_task_t *task)
{
	if (task->state != SCHED_TASK_RESERVED)
		return;
	pool->unsent_bytes -= sched_task_start_bytes(task->job);
	if (task->is_unsent)
		(void)g_ptr_array_remove(pool->unsent, task);
	task->is_unsent = false;
}

/*
 * Queues the start of a task whose run is recorded, unless it is queued
 * already: the job's record may be written again while the start waits.
 */
void
sched_send_recorded(sched_pool_t *pool, sched_task_t *task)
{
	if (task->is_unsent)
		return;
	task->is_unsent = true;
	g_ptr_array_add(pool->unsent, task);
}

/*
 * Returns why a placed task can no longer be started on its instance.
 */
static const char *
requeue_reason(const sched_task_t *task)
{
	return sched_instance_is_full(task->instance) ? "no-room" : "leaves";
}

/*
 * Returns whether a start may still go to the task's instance. It was chosen
 * before the record was written and before the start waited for the window.
 */
static bool
is_still_usable(const sched_task_t *task, uint64_t now_us)
{
	const sched_instance_t *instance = task->instance;

	return !instance->info.leaving && !instance->unreachable &&
	    !sched_instance_is_full(instance) &&
	    now_us >= instance->drain_until_us;
}

/*
 * Returns whether a placed task may still be started. The members of a gang
 * start together or not at all.
 */
static bool
may_start(const sched_task_t *task, uint64_t now_us)
{
	const sched_occurrence_t *occurrence;
	uint32_t first;

	if (!sched_task_step_spec(task)->gang)
		return is_still_usable(task, now_us);
	occurrence = sched_job_find_occurrence(task->job, task->occurrence);
	first = occurrence->steps[task->step].first_task;
	for (uint32_t i = 0; i < sched_task_step_spec(task)->count; i++) {
		const sched_task_t *member = &occurrence->tasks[first + i];

		if (member->state == SCHED_TASK_WAITING ||
		    (member->state == SCHED_TASK_RESERVED &&
			!is_still_usable(member, now_us)))
			return false;
	}
	return true;
}

/*
 * Returns whether the start may be sent now. The members of a gang wait for
 * each other for a limited time only, so that the window holds back all of them
 * or none: once one is sent, the others follow.
 */
static bool
has_room(const sched_task_t *task)
{
	sched_window_t *window = task->instance->pool->window;
	const sched_occurrence_t *occurrence;
	uint32_t first;

	if (sched_window_has_room_at(
		window, task->instance->requests_in_flight))
		return true;
	if (!sched_task_step_spec(task)->gang)
		return false;
	occurrence = sched_job_find_occurrence(task->job, task->occurrence);
	first = occurrence->steps[task->step].first_task;
	for (uint32_t i = 0; i < sched_task_step_spec(task)->count; i++) {
		const sched_task_t *member = &occurrence->tasks[first + i];

		if (member->run == task->run &&
		    (member->state == SCHED_TASK_STARTING ||
			member->state == SCHED_TASK_RUNNING))
			return true;
	}
	return false;
}

/*
 * Logs that starts wait for the window.
 */
static void
log_held(sched_pool_t *pool, uint64_t now_us)
{
	if (gw_elapsed_us(now_us, pool->held_logged_us) < HELD_LOG_INTERVAL_US)
		return;
	pool->held_logged_us = now_us;
	gw_log(GW_EV_STARTS_HELD,
	    "pool=%s starts=%u in_flight=%" PRIu64 " window_bytes=%" PRIu64
	    " queue_ms=%" PRIu64,
	    pool->name, pool->unsent->len, sched_window_in_flight(pool->window),
	    sched_window_size(pool->window),
	    sched_window_queue_us(pool->window, now_us) / GW_US_PER_MS);
}

static gint
compare_tasks(gconstpointer a, gconstpointer b, gpointer pool)
{
	const sched_task_t *x = *(const sched_task_t *const *)a;
	const sched_task_t *y = *(const sched_task_t *const *)b;

	return sched_order_compare(pool, x->job, y->job);
}

/*
 * Sends the starts that wait, in the order of their jobs' rank, while the
 * window has room. A task that may no longer be started on its instance can be
 * placed elsewhere at once, since no start of the run was sent. Sends nothing
 * after the owner's lease, which may have expired while the process was
 * suspended.
 */
void
sched_send_starts(sched_pool_t *pool, uint64_t now_us)
{
	g_autoptr(GPtrArray) tasks = NULL;

	if (pool->unsent->len == 0 ||
	    now_us >= pool->ops->lease_until_us(pool->arg))
		return;
	tasks = g_ptr_array_copy(pool->unsent, NULL, NULL);
	for (guint i = 0; i < tasks->len; i++) {
		sched_task_t *task = tasks->pdata[i];

		(void)sched_job_update_rank(pool, task->job, now_us);
	}
	g_ptr_array_sort_with_data(tasks, compare_tasks, pool);
	for (guint i = 0; i < tasks->len; i++) {
		sched_task_t *task = tasks->pdata[i];

		if (!may_start(task, now_us))
			sched_task_requeue(task, requeue_reason(task));
		else if (has_room(task))
			sched_task_send_start(task, now_us);
	}
	if (pool->unsent->len > 0 && !sched_window_has_room(pool->window))
		log_held(pool, now_us);
}

static uint32_t
spread_of(const sched_task_t *task)
{
	return g_str_hash(task->job->id) + task->index * 7919;
}

/*
 * Repeats the task's start or stop if it had no response and its repeat is due.
 * A start is not repeated on an instance that is leaving or has become too
 * small: the run is stopped, so that its task can run elsewhere.
 */
void
sched_send_repeat(sched_task_t *task, uint64_t now_us)
{
	bool is_start =
	    task->state == SCHED_TASK_STARTING && !task->refused_as_stale;
	bool is_stop =
	    task->state == SCHED_TASK_STOPPING && task->stop_answered_us == 0;
	sched_window_request_t request = {.sent_us = task->sent_us,
	    .attempts = is_stop ? task->stops_sent : task->starts_sent,
	    .in_flight = task->requests_in_flight > 0,
	    .spread = spread_of(task)};
	sched_window_t *window;

	if (!is_start && !is_stop)
		return;
	/*
	 * Unknown runs are stopped first. Each repeat to an instance that does
	 * not respond would lengthen the wait for starts that may come late.
	 */
	if (is_start &&
	    (task->instance->runs_unknown > 0 || task->instance->unreachable))
		return;
	window = task->instance->pool->window;
	if (!sched_window_has_room_at(
		window, task->instance->requests_in_flight) ||
	    !sched_window_repeat_due(window, &request, now_us))
		return;
	if (is_stop || task->instance->info.leaving ||
	    sched_instance_is_full(task->instance))
		sched_task_stop(task);
	else
		sched_task_send_start(task, now_us);
}

/*
 * Returns the pause between a report and the next renewal. While requests wait
 * on the link, reports are requested less often.
 */
uint64_t
sched_renew_delay_us(const sched_pool_t *pool)
{
	uint64_t queue_us =
	    sched_window_queue_us(pool->window, gw_clock_now_us(pool->clock));

	return SCHED_RENEW_DELAY_US + MIN(2 * queue_us, RENEW_DELAY_MAX_US);
}
