#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * Tells whether the steps can be walked in order, each after earlier ones.
 */
bool
sched_spec_valid(const Gw__JobSpec *spec)
{
	if (spec->n_steps == 0 || spec->n_steps > SCHED_STEPS_MAX)
		return false;
	for (size_t i = 0; i < spec->n_steps; i++)
		for (size_t k = 0; k < spec->steps[i]->n_after; k++)
			if (spec->steps[i]->after[k] >= i)
				return false;
	return true;
}

/*
 * Returns a job without a specification.
 */
sched_job_t *
sched_job_new(sched_pool_t *pool, const char *id)
{
	sched_job_t *job;

	job = g_new0(sched_job_t, 1);
	g_strlcpy(job->id, id, sizeof(job->id));
	job->occurrences =
	    g_ptr_array_new_with_free_func(sched_occurrence_free);
	job->acks = g_array_new(FALSE, FALSE, sizeof(sched_ack_t));
	job->waiters = g_array_new(FALSE, FALSE, sizeof(sched_waiter_t));
	job->accepted_us = gw_clock_now_us(pool->clock);
	g_hash_table_insert(pool->jobs, job->id, job);
	return job;
}

/*
 * Frees a job and its tasks. None may be placed.
 */
void
sched_job_free(gpointer data)
{
	sched_job_t *job = data;

	g_ptr_array_free(job->occurrences, TRUE);
	if (job->spec != NULL)
		gw__job_spec__free_unpacked(job->spec, NULL);
	g_array_free(job->acks, TRUE);
	g_array_free(job->waiters, TRUE);
	g_free(job->queue);
	g_free(job);
}

/*
 * Tells whether a step's tasks run until the job is cancelled.
 */
bool
sched_spec_lasts(const Gw__JobSpec *spec)
{
	for (size_t i = 0; i < spec->n_steps; i++)
		if (spec->steps[i]->lasting)
			return true;
	return false;
}

/*
 * Gives the job its specification, which it owns from now on.
 */
void
sched_job_set_spec(sched_job_t *job, Gw__JobSpec *spec)
{
	job->spec = spec;
	g_free(job->queue);
	job->queue = g_strdup(spec->queue);
	job->chain_ms = sched_chain_ms(spec, NULL);
	job->lasting = sched_spec_lasts(spec);
}

/*
 * Returns an occurrence with all its tasks waiting.
 */
sched_occurrence_t *
sched_occurrence_new(sched_job_t *job, uint32_t number)
{
	sched_occurrence_t *occurrence = g_new0(sched_occurrence_t, 1);
	const Gw__JobSpec *spec = job->spec;
	uint32_t at = 0;

	occurrence->number = number;
	occurrence->step_count = (uint32_t)spec->n_steps;
	for (size_t i = 0; i < spec->n_steps; i++)
		occurrence->task_count += spec->steps[i]->count;
	occurrence->open = occurrence->task_count;
	occurrence->tasks = g_new0(sched_task_t, occurrence->task_count);
	occurrence->steps = g_new0(sched_step_t, spec->n_steps);
	for (size_t i = 0; i < spec->n_steps; i++) {
		sched_step_t *step = &occurrence->steps[i];

		step->first = at;
		step->waiting = step->open = spec->steps[i]->count;
		for (uint32_t k = 0; k < spec->steps[i]->count; k++, at++) {
			sched_task_t *task = &occurrence->tasks[at];

			task->job = job;
			task->occurrence = number;
			task->step = (uint32_t)i;
			task->index = k;
		}
	}
	return occurrence;
}

/*
 * Frees an occurrence. None of its tasks may be placed.
 */
void
sched_occurrence_free(gpointer data)
{
	sched_occurrence_t *occurrence = data;

	for (uint32_t i = 0; i < occurrence->task_count; i++) {
		g_free(occurrence->tasks[i].checkpoint);
		g_free(occurrence->tasks[i].ticket);
	}
	for (uint32_t i = 0; i < occurrence->step_count; i++)
		if (occurrence->steps[i].tickets != NULL)
			g_hash_table_destroy(occurrence->steps[i].tickets);
	g_free(occurrence->tasks);
	g_free(occurrence->steps);
	g_free(occurrence);
}

/*
 * Opens the occurrences that are due at the time of day; a job without a
 * schedule has one, due at once.
 */
void
sched_job_open_occurrences(sched_job_t *job, uint64_t wall_ms)
{
	const Gw__JobSpec *spec = job->spec;
	uint32_t total = MAX(spec->repeats, 1);

	while (job->next_occurrence < total) {
		uint64_t due_ms = spec->repeats == 0 ? 0
						     : spec->first_due_wall_ms +
			job->next_occurrence * spec->interval_ms;

		if (due_ms > wall_ms)
			return;
		g_ptr_array_add(job->occurrences,
		    sched_occurrence_new(job, job->next_occurrence));
		job->next_occurrence++;
	}
}

/*
 * Returns an open occurrence, or NULL.
 */
sched_occurrence_t *
sched_job_occurrence(const sched_job_t *job, uint32_t number)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence = job->occurrences->pdata[i];

		if (occurrence->number == number)
			return occurrence;
	}
	return NULL;
}

/*
 * Returns the specification of the task's step.
 */
const Gw__JobStep *
sched_task_step(const sched_task_t *task)
{
	return task->job->spec->steps[task->step];
}

/*
 * Returns the counts of the task's step in its occurrence.
 */
sched_step_t *
sched_task_counts(const sched_task_t *task)
{
	sched_occurrence_t *occurrence =
	    sched_job_occurrence(task->job, task->occurrence);

	return &occurrence->steps[task->step];
}

/*
 * Tells whether all steps that this one comes after are done.
 */
bool
sched_step_ready(
    const sched_job_t *job, const sched_occurrence_t *occurrence, uint32_t step)
{
	const Gw__JobStep *spec = job->spec->steps[step];

	for (size_t i = 0; i < spec->n_after; i++)
		if (occurrence->steps[spec->after[i]].open > 0)
			return false;
	return true;
}

/*
 * Estimates the work of so many tasks of a step, in core milliseconds.
 */
uint64_t
sched_step_work(const Gw__JobStep *step, uint64_t count)
{
	return count * sched_step_cpu(step) * step->estimate_ms / 1000;
}

static void
add_ready(sched_ready_t *ready, const Gw__JobStep *step, uint64_t waiting)
{
	ready->cpu_ms += sched_step_work(step, waiting);
	ready->cpu_millis += waiting * sched_step_cpu(step);
	ready->memory_mib_ms += waiting * step->memory_mib * step->estimate_ms;
	if (step->lasting)
		ready->lasting += waiting;
}

/*
 * Adds what waits for room of the job: the tasks of steps whose earlier steps
 * are done. Later steps take the room of those that they wait for.
 */
void
sched_job_add_ready(const sched_job_t *job, sched_ready_t *ready)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->step_count; k++)
			if (occurrence->steps[k].waiting > 0 &&
			    sched_step_ready(job, occurrence, k))
				add_ready(ready, job->spec->steps[k],
				    occurrence->steps[k].waiting);
	}
}

/*
 * Forgets the advice on a step, so that it is asked for again.
 */
void
sched_step_forget_tickets(sched_step_t *step)
{
	if (step->tickets != NULL)
		g_hash_table_destroy(step->tickets);
	step->tickets = NULL;
}

/*
 * Tells whether the job has reached its last state.
 */
bool
sched_job_ended(const sched_job_t *job)
{
	return job->state >= GW__JOB_STATE__JOB_COMPLETED;
}

/*
 * Notes that the job's record has to be written.
 */
void
sched_job_mark(sched_pool_t *pool, sched_job_t *job)
{
	if (job->dirty)
		return;
	job->dirty = true;
	g_queue_push_tail(pool->dirty, job);
}

/*
 * Stops what still runs of an ended job.
 */
static void
stop_tasks(sched_job_t *job)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence = job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->task_count; k++)
			sched_task_stop(&occurrence->tasks[k]);
	}
}

/*
 * Puts the job into its last state. Tasks that run are stopped; callers see the
 * state once it is recorded.
 */
void
sched_job_end(sched_pool_t *pool, sched_job_t *job, Gw__JobState state)
{
	job->state = state;
	job->finished_wall_ms = pool->wall_ms;
	job->ended_us = gw_clock_now_us(pool->clock);
	g_ptr_array_remove_fast(pool->open, job);
	g_queue_push_tail(pool->ended, job);
	g_ptr_array_add(pool->settling, job);
	stop_tasks(job);
	sched_job_mark(pool, job);
	gw_log(GW_EV_SCHED_ENDED,
	    "job=%s pool=%s queue=%s state=%s age_ms=%" PRIu64, job->id,
	    pool->name, job->queue,
	    state == GW__JOB_STATE__JOB_COMPLETED    ? "completed"
		: state == GW__JOB_STATE__JOB_FAILED ? "failed"
						     : "cancelled",
	    gw_elapsed_us(gw_clock_now_us(pool->clock), job->accepted_us) /
		GW_US_PER_MS);
}

/*
 * Returns the task that ref names, or NULL.
 */
sched_task_t *
sched_pool_task(const sched_pool_t *pool, const sched_ref_t *ref)
{
	const sched_job_t *job = g_hash_table_lookup(pool->jobs, ref->job);
	sched_occurrence_t *occurrence;

	if (job == NULL || job->spec == NULL ||
	    ref->step >= job->spec->n_steps ||
	    ref->index >= job->spec->steps[ref->step]->count)
		return NULL;
	occurrence = sched_job_occurrence(job, ref->occurrence);
	if (occurrence == NULL)
		return NULL;
	return &occurrence
		    ->tasks[occurrence->steps[ref->step].first + ref->index];
}

/*
 * Returns the name of a task.
 */
sched_ref_t
sched_task_ref(const sched_task_t *task)
{
	sched_ref_t ref = {.occurrence = task->occurrence,
	    .step = task->step,
	    .index = task->index};

	g_strlcpy(ref.job, task->job->id, sizeof(ref.job));
	return ref;
}
