#include "sched/impl.h"

/* A long-running task is available when it reports this percentage. */
#define AVAILABLE_PERCENT 100

/*
 * An instance reports at least this often while it responds; a task on one that
 * has been silent for longer may have ended.
 */
#define REPORT_AGE_MAX_US (1500 * GW_US_PER_MS)
/* A report may be this old when it is received. */
#define REPORT_DELAY_US (250 * GW_US_PER_MS)

/*
 * Returns whether the instance's last report can be relied on. It cannot if it
 * is old, or if it may still list runs that a previous owner told to stop.
 */
static bool
is_report_current(const sched_instance_t *instance, uint64_t now_us)
{
	const sched_pool_t *pool = instance->pool;

	return !instance->unreachable &&
	    gw_elapsed_us(now_us, instance->report_us) < REPORT_AGE_MAX_US &&
	    gw_elapsed_us(instance->report_us, pool->loaded_us) >=
	    pool->bounds.stop_grace_ms * GW_US_PER_MS + REPORT_DELAY_US;
}

static bool
is_available(const sched_task_t *task, uint64_t now_us)
{
	return task->state == SCHED_TASK_RUNNING &&
	    is_report_current(task->instance, now_us) &&
	    task->percent == AVAILABLE_PERCENT;
}

/*
 * Returns how many tasks of the step that this shard has are unavailable, apart
 * from one.
 */
uint32_t
sched_evacuate_unavailable(const sched_job_t *job,
    const sched_occurrence_t *occurrence, uint32_t step,
    const sched_task_t *except, uint64_t now_us)
{
	uint32_t first = occurrence->steps[step].first_task, unavailable = 0;

	for (uint32_t i = 0; i < job->spec->steps[step]->count; i++) {
		const sched_task_t *task = &occurrence->tasks[first + i];

		unavailable += task != except &&
		    task->state != SCHED_TASK_AWAY &&
		    !is_available(task, now_us);
	}
	return unavailable;
}

/*
 * Returns whether a long-running task may be made unavailable: fewer than
 * max_unavailable of the other tasks of its step are unavailable. The task
 * itself counts as available, since it may have become so after the last
 * report. If the job has parts, the shard that has the job decides for all.
 */
static bool
may_become_unavailable(sched_task_t *task, uint64_t now_us)
{
	const Gw__JobStep *step = sched_task_step_spec(task);
	const sched_occurrence_t *occurrence =
	    sched_job_find_occurrence(task->job, task->occurrence);

	if (!step->limits_unavailable)
		return true;
	if (sched_job_is_part(task->job))
		return sched_part_steps_take(task, now_us);
	return sched_evacuate_unavailable(
		   task->job, occurrence, task->step, task, now_us) +
	    sched_part_steps_unavailable(
		task->job, occurrence, task->step, now_us) <
	    step->max_unavailable;
}

/*
 * Returns whether a run on an instance that is about to leave should be stopped
 * now. Long-running tasks never end by themselves, and tasks with checkpoints
 * lose little work. Other tasks continue if they are likely to end before the
 * instance leaves.
 */
static bool
should_stop_now(const sched_task_t *task, uint64_t left_ms, uint64_t now_us)
{
	const Gw__JobStep *step = sched_task_step_spec(task);
	uint64_t ran_ms = (gw_elapsed_us(now_us, task->sent_us)) / GW_US_PER_MS;

	if (step->lasting || step->checkpoints)
		return true;
	return ran_ms + left_ms < step->estimate_ms;
}

/*
 * Returns whether reports may still list as available runs that a previous
 * owner has told to stop. If so, the number of unavailable tasks is not known.
 */
static bool
reports_may_be_stale(const sched_pool_t *pool, uint64_t now_us)
{
	return gw_elapsed_us(now_us, pool->loaded_us) <
	    pool->bounds.stop_grace_ms * GW_US_PER_MS + SCHED_STOP_MARGIN_US;
}

/*
 * Stops runs on an instance that is leaving or being drained. During a drain,
 * max_unavailable limits how many are stopped at a time; a leaving instance
 * ends its runs in any case.
 */
void
sched_evacuate(sched_instance_t *instance, uint64_t now_us)
{
	bool is_draining = now_us < instance->drain_until_us;
	uint64_t left_ms = instance->info.leaves_in_ms;

	if (instance->unreachable || (!instance->info.leaving && !is_draining))
		return;
	if (!instance->info.leaving &&
	    reports_may_be_stale(instance->pool, now_us))
		return;
	for (guint i = instance->tasks->len; i-- > 0;) {
		sched_task_t *task = instance->tasks->pdata[i];

		if (task->state != SCHED_TASK_RUNNING)
			continue;
		if (instance->info.leaving
			? should_stop_now(task, left_ms, now_us)
			: (sched_task_step_spec(task)->lasting ||
			      sched_task_step_spec(task)->checkpoints) &&
			    may_become_unavailable(task, now_us))
			sched_task_stop(task);
	}
}
