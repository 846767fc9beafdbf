#include "sched/impl.h"

/* A task is at work when its percent is this. */
#define AT_WORK_PERCENT 100

static bool
at_work(const sched_task_t *task)
{
	return task->state == SCHED_RUNNING && !task->instance->unreachable &&
	    task->percent == AT_WORK_PERCENT;
}

/*
 * Tells whether a lasting task may be made unavailable: fewer others of its
 * step than the bound are away. It counts as at work itself, whatever the last
 * report said: it may have begun since.
 */
static bool
within_bound(const sched_task_t *task)
{
	const Gw__JobStep *step = sched_task_step(task);
	const sched_occurrence_t *occurrence =
	    sched_job_occurrence(task->job, task->occurrence);
	uint32_t away = 0;

	if (!step->limits_unavailable)
		return true;
	for (uint32_t i = 0; i < step->count; i++) {
		const sched_task_t *other =
		    &occurrence->tasks[occurrence->steps[task->step].first + i];

		away += other != task && !at_work(other);
	}
	return away < step->max_unavailable;
}

/*
 * Tells whether a run on an instance that is about to stop should go now:
 * lasting ones never end by themselves, those that save lose little, and the
 * others are let go on if they are likely to end in time.
 */
static bool
should_move(const sched_task_t *task, uint64_t left_ms, uint64_t now_us)
{
	const Gw__JobStep *step = sched_task_step(task);
	uint64_t ran_ms = (gw_elapsed_us(now_us, task->sent_us)) / GW_US_PER_MS;

	if (step->lasting || step->checkpoints)
		return true;
	return ran_ms + left_ms < step->estimate_ms;
}

/*
 * Tells whether runs that a former owner told to stop may still be listed as at
 * work: until then nobody knows how many are away.
 */
static bool
is_new_owner(const sched_pool_t *pool, uint64_t now_us)
{
	return gw_elapsed_us(now_us, pool->loaded_us) <
	    pool->bounds.stop_grace_ms * GW_US_PER_MS + SCHED_STOP_MARGIN_US;
}

/*
 * Takes the runs off an instance that leaves or is to be stopped, as the bounds
 * on unavailable tasks allow. An instance that leaves by itself ends them in
 * any case.
 */
void
sched_evacuate(sched_instance_t *instance, uint64_t now_us)
{
	bool is_draining = now_us < instance->drain_until_us;
	uint64_t left_ms = instance->info.leaves_in_ms;

	if (instance->unreachable || (!instance->info.leaving && !is_draining))
		return;
	if (!instance->info.leaving && is_new_owner(instance->pool, now_us))
		return;
	for (guint i = instance->tasks->len; i-- > 0;) {
		sched_task_t *task = instance->tasks->pdata[i];

		if (task->state != SCHED_RUNNING)
			continue;
		if (instance->info.leaving
			? should_move(task, left_ms, now_us)
			: (sched_task_step(task)->lasting ||
			      sched_task_step(task)->checkpoints) &&
			    within_bound(task))
			sched_task_stop(task);
	}
}
