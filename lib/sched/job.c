#include <string.h>

#include <openssl/crypto.h>

#include "gw/log.h"
#include "sched/impl.h"
#include "wire/frame.h"

/* A call without its specification. */
#define CALL_OVERHEAD_BYTES 4096

/*
 * Returns whether the specification has 1 to SCHED_STEPS_MAX steps, each of
 * which depends on earlier ones only.
 */
bool
sched_spec_is_valid(const Gw__JobSpec *spec)
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
 * Returns whether the store takes the specification and any record of the job,
 * and a call between processes the specification.
 */
bool
sched_spec_fits(const Gw__JobSpec *spec, uint64_t value_max_bytes)
{
	uint64_t size_bytes = gw__job_spec__get_packed_size(spec);
	uint64_t tasks = 0;

	for (size_t i = 0; i < spec->n_steps; i++)
		tasks += spec->steps[i]->count;
	return size_bytes <= value_max_bytes &&
	    size_bytes + CALL_OVERHEAD_BYTES <= GW_FRAME_MAX_BYTES &&
	    tasks * SCHED_TASK_RECORD_BYTES <= value_max_bytes;
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
 * Wipes the key that the job was submitted with.
 */
void
sched_job_clear_key(sched_job_t *job)
{
	if (job->key != NULL)
		OPENSSL_cleanse(job->key, sizeof(*job->key));
	g_free(job->key);
	job->key = NULL;
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
	sched_team_job_removed(job);
	sched_job_clear_key(job);
	sched_part_free(job);
	g_free(job->queue);
	g_free(job);
}

/*
 * Returns whether the job has a step whose tasks run until the job is
 * cancelled.
 */
bool
sched_spec_is_long_running(const Gw__JobSpec *spec)
{
	for (size_t i = 0; i < spec->n_steps; i++)
		if (spec->steps[i]->lasting)
			return true;
	return false;
}

/*
 * Sets the job's specification, of which the job takes ownership.
 */
void
sched_job_set_spec(sched_job_t *job, Gw__JobSpec *spec)
{
	job->spec = spec;
	g_free(job->queue);
	job->queue = g_strdup(spec->queue);
	job->critical_path_ms = sched_critical_path_ms(spec, NULL);
	job->long_running = sched_spec_is_long_running(spec);
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

		step->first_task = at;
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
 * Returns whether another occurrence may be opened. The record has the tasks of
 * all that are open, at most tasks_max, and may not outgrow the store's limit.
 */
static bool
may_open(const sched_job_t *job, uint64_t tasks_max)
{
	uint64_t tasks = 0, waiting = 0;

	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		tasks += occurrence->task_count;
		for (uint32_t k = 0; k < occurrence->step_count; k++)
			waiting += occurrence->steps[k].waiting;
	}
	for (size_t i = 0; tasks > 0 && i < job->spec->n_steps; i++)
		tasks += job->spec->steps[i]->count;
	return tasks <= tasks_max && waiting < SCHED_WAITING_TASKS_MAX;
}

/*
 * Creates the occurrences that are due at wall_ms, and others later if they are
 * many. A job without a schedule has one occurrence, which is due at once. A
 * part of a job has those of which it was given tasks.
 */
void
sched_job_open_occurrences(
    const sched_pool_t *pool, sched_job_t *job, uint64_t wall_ms)
{
	uint64_t tasks_max =
	    pool->bounds.value_max_bytes / SCHED_TASK_RECORD_BYTES;
	const Gw__JobSpec *spec = job->spec;
	uint32_t total = MAX(spec->repeats, 1);

	if (sched_job_is_part(job))
		return;
	while (job->next_occurrence < total) {
		uint64_t due_ms = spec->repeats == 0 ? 0
						     : spec->first_due_wall_ms +
			job->next_occurrence * spec->interval_ms;

		if (due_ms > wall_ms || !may_open(job, tasks_max))
			return;
		g_ptr_array_add(job->occurrences,
		    sched_occurrence_new(job, job->next_occurrence));
		job->next_occurrence++;
	}
}

/*
 * Frees the occurrences whose tasks are all done, once that is in the store. A
 * record without them says the same.
 */
void
sched_job_close_occurrences(sched_job_t *job)
{
	if (job->dirty || job->in_batch || job->aside_until_us != 0)
		return;
	for (guint i = job->occurrences->len; i-- > 0;) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		if (occurrence->open == 0)
			g_ptr_array_remove_index(job->occurrences, i);
	}
}

/*
 * Returns the open occurrence with this number, or NULL. They are in the order
 * of their numbers.
 */
sched_occurrence_t *
sched_job_find_occurrence(const sched_job_t *job, uint32_t number)
{
	guint first = 0, end = job->occurrences->len;

	while (first < end) {
		guint middle = first + (end - first) / 2;
		sched_occurrence_t *occurrence =
		    job->occurrences->pdata[middle];

		if (occurrence->number == number)
			return occurrence;
		if (occurrence->number < number)
			first = middle + 1;
		else
			end = middle;
	}
	return NULL;
}

/*
 * Returns the specification of the task's step.
 */
const Gw__JobStep *
sched_task_step_spec(const sched_task_t *task)
{
	return task->job->spec->steps[task->step];
}

/*
 * Returns the state of the task's step in its occurrence.
 */
sched_step_t *
sched_task_step_state(const sched_task_t *task)
{
	sched_occurrence_t *occurrence =
	    sched_job_find_occurrence(task->job, task->occurrence);

	return &occurrence->steps[task->step];
}

/*
 * Returns whether all steps that the step depends on are done.
 */
bool
sched_step_is_ready(
    const sched_job_t *job, const sched_occurrence_t *occurrence, uint32_t step)
{
	const Gw__JobStep *spec = job->spec->steps[step];

	for (size_t i = 0; i < spec->n_after; i++)
		if (occurrence->steps[spec->after[i]].open > 0)
			return false;
	return true;
}

/*
 * Estimates the work of count tasks of a step, in core milliseconds. That of
 * long-running tasks is not known, and counts as 0.
 */
uint64_t
sched_step_work_cpu_ms(const Gw__JobStep *step, uint64_t count)
{
	if (step->lasting)
		return 0;
	return count * sched_step_cpu_millis(step) * step->estimate_ms / 1000;
}

static void
add_ready(sched_ready_t *ready, const Gw__JobStep *step, uint64_t waiting)
{
	if (step->lasting) {
		ready->long_running += waiting;
		ready->long_running_cpu_millis +=
		    waiting * sched_step_cpu_millis(step);
		ready->long_running_memory_mib += waiting * step->memory_mib;
		return;
	}
	ready->cpu_ms += sched_step_work_cpu_ms(step, waiting);
	ready->cpu_millis += waiting * sched_step_cpu_millis(step);
	ready->memory_mib_ms += waiting * step->memory_mib * step->estimate_ms;
}

/*
 * Adds the job's tasks that wait only for room on an instance. The tasks of
 * steps that are not ready are left out: they will use the room that earlier
 * steps free.
 */
void
sched_job_add_ready(const sched_job_t *job, sched_ready_t *ready)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->step_count; k++)
			if (occurrence->steps[k].waiting > 0 &&
			    sched_step_is_ready(job, occurrence, k))
				add_ready(ready, job->spec->steps[k],
				    occurrence->steps[k].waiting);
	}
}

/*
 * Discards the advice on a step, so that it is requested again.
 */
void
sched_step_clear_tickets(sched_step_t *step)
{
	if (step->tickets != NULL)
		g_hash_table_destroy(step->tickets);
	step->tickets = NULL;
}

/*
 * Returns whether the job is completed, failed or cancelled.
 */
bool
sched_job_has_ended(const sched_job_t *job)
{
	return job->state >= GW__JOB_STATE__JOB_COMPLETED;
}

/*
 * Queues the job for the next write to the store.
 */
void
sched_job_mark_dirty(sched_pool_t *pool, sched_job_t *job)
{
	if (job->dirty || job->aside_until_us != 0)
		return;
	job->dirty = true;
	job->dirty_since_us = gw_clock_now_us(pool->clock);
	g_queue_push_tail(pool->dirty, job);
}

/*
 * Stops all tasks of the job that are placed.
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
 * Ends the job in a final state and stops its tasks. Callers see the state once
 * it is in the store.
 */
void
sched_job_end(sched_pool_t *pool, sched_job_t *job, Gw__JobState state)
{
	job->state = state;
	job->finished_wall_ms = pool->wall_ms;
	job->ended_us = gw_clock_now_us(pool->clock);
	g_ptr_array_remove_fast(pool->open, job);
	g_queue_push_tail(pool->ended, job);
	g_ptr_array_add(pool->cleanup, job);
	stop_tasks(job);
	sched_part_job_ended(pool, job);
	sched_aside_end(pool, job);
	sched_job_mark_dirty(pool, job);
	if (state == GW__JOB_STATE__JOB_COMPLETED)
		sched_estimate_record_end(pool, job);
	gw_log(GW_EV_SCHED_ENDED,
	    "job=%s pool=%s queue=%s state=%s age_ms=%" PRIu64
	    " estimate_ms=%" PRIu64,
	    job->id, pool->name, job->queue,
	    state == GW__JOB_STATE__JOB_COMPLETED    ? "completed"
		: state == GW__JOB_STATE__JOB_FAILED ? "failed"
						     : "cancelled",
	    gw_elapsed_us(gw_clock_now_us(pool->clock), job->accepted_us) /
		GW_US_PER_MS,
	    job->estimate_ms);
}

/*
 * Returns the task that ref names, or NULL.
 */
sched_task_t *
sched_pool_find_task(const sched_pool_t *pool, const sched_task_ref_t *ref)
{
	const sched_job_t *job = g_hash_table_lookup(pool->jobs, ref->job);
	sched_occurrence_t *occurrence;

	if (job == NULL || job->spec == NULL ||
	    ref->step >= job->spec->n_steps ||
	    ref->index >= job->spec->steps[ref->step]->count)
		return NULL;
	occurrence = sched_job_find_occurrence(job, ref->occurrence);
	if (occurrence == NULL)
		return NULL;
	return &occurrence->tasks[occurrence->steps[ref->step].first_task +
	    ref->index];
}

/*
 * Returns a reference to the task.
 */
sched_task_ref_t
sched_task_ref(const sched_task_t *task)
{
	sched_task_ref_t ref = {.occurrence = task->occurrence,
	    .step = task->step,
	    .index = task->index};

	g_strlcpy(ref.job, task->job->id, sizeof(ref.job));
	return ref;
}

/*
 * Sets is_open for each step of which a task is not done.
 */
void
sched_job_find_open_steps(const sched_job_t *job, bool is_open[SCHED_STEPS_MAX])
{
	memset(is_open, 0, SCHED_STEPS_MAX * sizeof(is_open[0]));
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->step_count; k++)
			is_open[k] |= occurrence->steps[k].open > 0;
	}
}
