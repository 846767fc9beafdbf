#include <string.h>

#include "sched/impl.h"

/*
 * Starts without a response that may run on an incarnation which this owner has
 * not heard of. An instance that crashes and begins again under its id may
 * carry out a start that was sent to its earlier incarnation, and be cut off
 * before it responds to anything. The lease of the run is then the longest one
 * that there is, from when the start was carried out: the deadline of the start
 * is a time on the clock of the earlier incarnation.
 *
 * Only the task of such a start waits for that. All other runs have ended with
 * the earlier incarnation, or at the latest with the lease that this owner
 * granted.
 *
 * A start may be late by more than the bounds on lost jobs allow a task to
 * wait, should its instance be gone for good, which cannot be told from a cut.
 * These bounds limit the wait.
 */

/* The next run begins this long before the bound. */
#define RESTART_MARGIN_MS 500

/*
 * Returns how long after the last request that extends a lease a start without
 * a response may run.
 */
static uint64_t
late_run_max_us(const sched_bounds_t *bounds)
{
	uint64_t longest_ms = SCHED_LATE_REQUEST_MAX_MS + bounds->hold_max_ms;
	uint64_t allowed_ms =
	    bounds->finish_ms - MIN(bounds->finish_ms, RESTART_MARGIN_MS);

	return MIN(longest_ms, allowed_ms) * GW_US_PER_MS;
}

/*
 * Returns how many starts of the task's run may still be carried out. One that
 * the instance has listed was carried out, even if its response was lost.
 */
uint32_t
sched_late_start_count(const sched_task_t *task)
{
	uint32_t known = MAX(task->starts_settled, task->is_listed ? 1 : 0);

	return task->starts_sent - MIN(known, task->starts_sent);
}

/*
 * Returns whether a previous owner may have sent a start of the run that had no
 * response: the record shows the run as placed, and its instance has not
 * responded to this owner.
 */
static bool
is_unknown(const sched_task_t *task)
{
	return task->starts_sent == 0 && !task->instance->contacted &&
	    task->state != SCHED_TASK_RESERVED;
}

/*
 * Returns whether a start of the run may be carried out by an incarnation that
 * this owner has not heard of. One that has confirmed a stop refuses it.
 */
static bool
may_be_late(const sched_task_t *task)
{
	return task->stop_answered_us == 0 && sched_late_start_count(task) > 0;
}

/*
 * Returns until when a task that lasts waits: the bound on such tasks counts
 * from the loss of the instance, which came after its last sign of life.
 */
static uint64_t
lasting_until_us(const sched_task_t *task)
{
	uint64_t alive_us = task->instance->alive_us;

	if (!may_be_late(task) || alive_us == 0)
		return 0;
	return alive_us +
	    (SCHED_LASTING_IDLE_MAX_MS - RESTART_MARGIN_MS) * GW_US_PER_MS;
}

/*
 * Returns until when the task's run may go on although the lease that was
 * granted to its instance has expired; 0: not at all.
 */
uint64_t
sched_late_start_until_us(const sched_task_t *task)
{
	const sched_instance_t *instance = task->instance;
	const sched_pool_t *pool = instance->pool;

	if (task->job->spec == NULL || sched_task_step_spec(task)->concurrent)
		return 0;
	if (sched_task_step_spec(task)->lasting)
		return lasting_until_us(task);
	if (is_unknown(task))
		return sched_handover_late_until_us(pool, instance->info.id);
	return may_be_late(task)
	    ? instance->extended_us + late_run_max_us(&pool->bounds)
	    : 0;
}

/*
 * Returns when the task's run counts as over if its instance does not respond.
 */
uint64_t
sched_task_lapses_us(const sched_task_t *task)
{
	return MAX(task->instance->expiry_us, sched_late_start_until_us(task));
}

/*
 * Handles that the task's instance has begun again, before the state of the
 * former incarnation is reset. The new one is told to stop the run, and refuses
 * its starts; a third one would not. A run there ends with the incarnation, so
 * that the next run may go to this instance at once, but nowhere else.
 */
void
sched_late_start_begun_again(sched_task_t *task)
{
	sched_job_t *job = task->job;

	if (sched_late_start_count(task) == 0 || job->spec == NULL)
		return;
	task->late_until_us =
	    MAX(task->late_until_us, sched_late_start_until_us(task));
	g_strlcpy(
	    task->late_on, task->instance->info.id, sizeof(task->late_on));
	job->late_until_us = MAX(job->late_until_us, task->late_until_us);
}

/*
 * Returns whether the next run of the task may not go to the instance, since
 * one of its starts may still be carried out on another one.
 */
bool
sched_late_start_excludes(
    const sched_task_t *task, const sched_instance_t *instance)
{
	const sched_pool_t *pool = instance->pool;
	const sched_instance_t *other;

	if (task->late_until_us == 0 ||
	    gw_clock_now_us(pool->clock) >= task->late_until_us ||
	    strcmp(task->late_on, instance->info.id) == 0)
		return false;
	other = g_hash_table_lookup(pool->instances, task->late_on);
	return other != NULL && !other->is_gone;
}

/*
 * Returns until when starts of tasks that do not last may run on the instance,
 * for the next owner, which does not know which of them had a response.
 */
uint64_t
sched_late_start_instance_until_us(const sched_instance_t *instance)
{
	uint64_t until_us = 0;

	for (guint i = 0; i < instance->tasks->len; i++) {
		const sched_task_t *task = instance->tasks->pdata[i];

		if (task->job->spec != NULL &&
		    !sched_task_step_spec(task)->lasting)
			until_us =
			    MAX(until_us, sched_late_start_until_us(task));
	}
	return until_us;
}
