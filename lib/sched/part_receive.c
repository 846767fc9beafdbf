#include <stdlib.h>
#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * Tasks that another shard has handed to this one, in a row of the store: see
 * part.c.
 */

static void
receive_task(sched_task_t *task, const Gw__TaskRecord *from)
{
	task->state = SCHED_TASK_WAITING;
	task->run = task->recorded_run = from->run;
	task->failures = from->failures;
	task->crashes = from->crashes;
	task->crashes_alone = from->crashes_alone;
	task->crashes_adopted = from->crashes_adopted;
	task->job->has_suspect |= sched_crash_is_suspect(task);
	task->not_before_us = 0;
	task->ran_us = 0;
	g_clear_pointer(&task->checkpoint, g_free);
	if (from->checkpoint[0] != '\0')
		task->checkpoint = g_strdup(from->checkpoint);
}

/*
 * Returns the occurrence with this number; a part gets one, with all tasks
 * away, if it has none yet. NULL if it is over.
 */
static sched_occurrence_t *
get_occurrence(sched_job_t *job, uint32_t number)
{
	sched_occurrence_t *occurrence = sched_job_find_occurrence(job, number);
	guint at = 0;

	if (occurrence != NULL || !sched_job_is_part(job))
		return occurrence;
	occurrence = sched_occurrence_new(job, number);
	for (uint32_t i = 0; i < occurrence->task_count; i++)
		occurrence->tasks[i].state = SCHED_TASK_AWAY;
	for (uint32_t i = 0; i < occurrence->step_count; i++)
		occurrence->steps[i].waiting = 0;
	while (at < job->occurrences->len &&
	    ((sched_occurrence_t *)job->occurrences->pdata[at])->number <
		number)
		at++;
	g_ptr_array_insert(job->occurrences, (gint)at, occurrence);
	return occurrence;
}

/*
 * Sets the tasks of earlier steps that are done by now: a part has none of
 * them.
 */
static void
receive_done(sched_occurrence_t *occurrence, sched_task_t *task)
{
	task->state = SCHED_TASK_DONE;
	occurrence->steps[task->step].open--;
	occurrence->open--;
}

/*
 * Takes the waiting tasks of the record that are away here. Returns -1 if the
 * record is not one of this job.
 */
static int
receive_tasks(sched_job_t *job, const Gw__JobRecord *record)
{
	for (size_t i = 0; i < record->n_occurrences; i++) {
		const Gw__OccurrenceRecord *from = record->occurrences[i];
		sched_occurrence_t *occurrence =
		    get_occurrence(job, from->number);

		if (occurrence == NULL)
			continue;
		if (from->n_tasks != occurrence->task_count)
			return -1;
		for (uint32_t k = 0; k < occurrence->task_count; k++) {
			sched_task_t *task = &occurrence->tasks[k];
			const Gw__TaskRecord *row = from->tasks[k];

			if (row->away || task->state != SCHED_TASK_AWAY)
				continue;
			if (row->state == GW__TASK_STATE__TASK_DONE) {
				if (sched_job_is_part(job))
					receive_done(occurrence, task);
				continue;
			}
			receive_task(task, row);
			occurrence->steps[task->step].waiting++;
		}
	}
	return 0;
}

/*
 * Returns a new part of a job, with the tasks that are waiting in the record;
 * NULL if it is malformed.
 */
static sched_job_t *
new_part(sched_pool_t *pool, const char *id, Gw__HandedTasks *handed)
{
	sched_job_t *job;

	if (!sched_spec_is_valid(handed->spec) || handed->record->n_hosts > 0)
		return NULL;
	job = sched_job_new(pool, id);
	sched_job_set_spec(job, g_steal_pointer(&handed->spec));
	sched_job_set_queue_key(pool, job, job->spec->queue_key);
	sched_job_set_team(pool, job, job->spec->team);
	if (sched_record_apply(pool, job, handed->record) != 0) {
		sched_queue_job_removed(pool, job);
		g_hash_table_remove(pool->jobs, job->id);
		return NULL;
	}
	g_strlcpy(job->part_of, handed->record->part_of, sizeof(job->part_of));
	/* Kept by an owner that knows no parts, unlike that in the record. */
	if (job->spec->part_of != protobuf_c_empty_string)
		free(job->spec->part_of);
	job->spec->part_of = strdup(job->part_of);
	job->state = GW__JOB_STATE__JOB_RUNNING;
	job->started = true;
	/* Accepted by the shard that has the job. */
	job->spec_recorded = true;
	job->spec_unwritten = true;
	if (pool->loaded)
		g_ptr_array_add(pool->open, job);
	sched_part_tell(pool, job, job->part_of);
	return job;
}

static bool
has_row(const sched_job_t *job, const char *row)
{
	for (guint i = 0; job->received != NULL && i < job->received->len; i++)
		if (strcmp(job->received->pdata[i], row) == 0)
			return true;
	return false;
}

/*
 * Removes the row with the job's next record, which has the tasks.
 */
static void
add_row(sched_pool_t *pool, sched_job_t *job, const char *row)
{
	if (job->received == NULL)
		job->received = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(job->received, g_strdup(row));
	sched_job_mark_dirty(pool, job);
}

/*
 * Removes the row of a job that is gone.
 */
static void
drop_row(sched_pool_t *pool, const char *row)
{
	if (g_queue_find_custom(pool->old_rows, row, (GCompareFunc)strcmp) ==
	    NULL)
		g_queue_push_tail(pool->old_rows, g_strdup(row));
}

/*
 * Takes the tasks of a row that was found in the store. Those of a job that has
 * ended are dropped. Returns -1 if the row is malformed, or not for this shard.
 */
static int
receive(sched_pool_t *pool, const char *id, const char *row,
    Gw__HandedTasks *handed)
{
	sched_job_t *job = g_hash_table_lookup(pool->jobs, id);
	bool is_part = handed->record->part_of[0] != '\0';
	int rc = 0;

	if (job != NULL && has_row(job, row))
		return 0;
	if (job == NULL ? !is_part : job->expired) {
		drop_row(pool, row);
		return 0;
	}
	if (job == NULL) {
		job = new_part(pool, id, handed);
		rc = job == NULL ? -1 : 0;
	} else if (strcmp(job->part_of, handed->record->part_of) != 0) {
		rc = -1;
	} else if (!sched_job_has_ended(job)) {
		rc = receive_tasks(job, handed->record);
	}
	if (rc != 0)
		return -1;
	if (strcmp(pool->offered_to, id) == 0)
		pool->offer_until_us = 0;
	gw_log(GW_EV_TASKS_RECEIVED, "job=%s pool=%s row=%s part=%d state=%d",
	    id, pool->name, row, is_part, job->state);
	add_row(pool, job, row);
	if (pool->loaded && !is_part && !sched_job_has_ended(job))
		sched_crash_give_up_job(pool, job);
	return 0;
}

int
sched_pool_receive(
    sched_pool_t *pool, const char *row, const void *data, size_t size_bytes)
{
	Gw__HandedTasks *handed =
	    gw__handed_tasks__unpack(NULL, size_bytes, data);
	const char *end = strchr(row, '.');
	char id[SCHED_JOB_ID_BYTES];
	int rc = -1;

	if (handed != NULL && handed->spec != NULL && handed->record != NULL &&
	    end != NULL && (size_t)(end - row) < sizeof(id) &&
	    strlen(row) < SCHED_ROW_BYTES) {
		g_strlcpy(id, row, (gsize)(end - row) + 1);
		rc = receive(pool, id, row, handed);
	}
	if (handed != NULL)
		gw__handed_tasks__free_unpacked(handed, NULL);
	return rc;
}
