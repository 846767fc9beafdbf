#include "sched/impl.h"

/* Room that is kept free for tasks that smaller ones would keep from it. */

/*
 * Withholds an instance for each task of the step, so that all get room in the
 * time that one takes.
 */
static void
withhold_for_step(sched_pool_t *pool, sched_occurrence_t *occurrence,
    const sched_step_t *step, const Gw__JobStep *spec, uint64_t now_us)
{
	for (uint32_t i = 0; i < spec->count && step->waiting > 0; i++) {
		const sched_task_t *task =
		    &occurrence->tasks[step->first_task + i];

		if (task->state != SCHED_TASK_WAITING ||
		    now_us < task->not_before_us ||
		    sched_crash_is_suspect(task))
			continue;
		if (!sched_quota_allows(task))
			return;
		if (!sched_place_withhold(pool, task, now_us))
			return;
	}
}

/*
 * Withholds instances for the long-running tasks of the job that have found no
 * room.
 */
void
sched_withhold_for_job(
    sched_pool_t *pool, const sched_job_t *job, uint64_t now_us)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence = job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->step_count; k++) {
			const Gw__JobStep *spec = job->spec->steps[k];

			if (spec->lasting && !spec->gang &&
			    sched_step_is_ready(job, occurrence, k))
				withhold_for_step(pool, occurrence,
				    &occurrence->steps[k], spec, now_us);
		}
	}
}

/*
 * Withholds an instance for the first waiting task of the job, unless it is of
 * a gang.
 */
void
sched_withhold_for_first(
    sched_pool_t *pool, const sched_job_t *job, uint64_t now_us)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->task_count; k++) {
			const sched_task_t *task = &occurrence->tasks[k];

			if (task->state != SCHED_TASK_WAITING ||
			    now_us < task->not_before_us ||
			    sched_task_step_spec(task)->gang ||
			    sched_crash_is_suspect(task) ||
			    !sched_step_is_ready(job, occurrence, task->step) ||
			    !sched_quota_allows(task))
				continue;
			(void)sched_place_withhold(pool, task, now_us);
			return;
		}
	}
}
