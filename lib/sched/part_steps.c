#include "sched/impl.h"

/*
 * How many tasks of a step may be unavailable at a time, if several shards have
 * tasks of the job. The owner of the shard that has the job counts for all. The
 * others report what is unavailable of theirs, and ask before they stop a task
 * on purpose; a permission counts as used until the next report.
 */

/* An older report counts as if all tasks of the part were unavailable. */
#define REPORT_AGE_MAX_US (2500 * GW_US_PER_MS)
/*
 * A permission is void if the answer took longer, or if it is not used within
 * this time.
 */
#define MAY_STOP_US (300 * GW_US_PER_MS)

static const sched_part_step_t *
find_step(const GArray *steps, uint32_t occurrence, uint32_t step)
{
	for (guint i = 0; steps != NULL && i < steps->len; i++) {
		const sched_part_step_t *row =
		    &g_array_index(steps, sched_part_step_t, i);

		if (row->occurrence == occurrence && row->step == step)
			return row;
	}
	return NULL;
}

/*
 * Keeps what the owner of a part has reported.
 */
void
sched_part_steps_report(
    sched_peer_t *peer, const GArray *steps, uint64_t now_us)
{
	if (peer->steps != NULL)
		g_array_unref(peer->steps);
	peer->steps = g_array_copy((GArray *)steps);
	peer->steps_us = now_us;
}

/*
 * Counts a task that this shard has, and whether it is to be stopped on
 * purpose.
 */
static void
count_task(sched_part_step_t *row, const sched_task_t *task, uint64_t now_us)
{
	const sched_instance_t *instance = task->instance;

	row->tasks++;
	row->leaving += task->state == SCHED_TASK_RUNNING &&
	    !instance->info.leaving && now_us < instance->drain_until_us;
}

/*
 * Returns the report on one step of a part; tasks is 0 if it has none.
 */
static sched_part_step_t
report_step(const sched_job_t *job, const sched_occurrence_t *occurrence,
    uint32_t number, uint64_t now_us)
{
	const sched_step_t *step = &occurrence->steps[number];
	sched_part_step_t row = {
	    .occurrence = occurrence->number, .step = number};

	for (uint32_t i = 0; i < job->spec->steps[number]->count; i++) {
		const sched_task_t *task =
		    &occurrence->tasks[step->first_task + i];

		if (task->state != SCHED_TASK_AWAY)
			count_task(&row, task, now_us);
	}
	row.unavailable =
	    sched_evacuate_unavailable(job, occurrence, number, NULL, now_us);
	if (now_us < step->may_stop_until_us)
		row.unavailable += step->may_stop;
	return row;
}

/*
 * Returns the report on a part of a job, which the caller frees.
 */
GArray *
sched_part_steps_new(const sched_job_t *job, uint64_t now_us)
{
	GArray *steps = g_array_new(FALSE, FALSE, sizeof(sched_part_step_t));

	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->step_count; k++) {
			const Gw__JobStep *spec = job->spec->steps[k];
			sched_part_step_t row;

			if (!spec->lasting || !spec->limits_unavailable)
				continue;
			row = report_step(job, occurrence, k, now_us);
			if (row.tasks > 0)
				g_array_append_val(steps, row);
		}
	}
	return steps;
}

bool
sched_part_steps_have_leaving(const GArray *steps)
{
	for (guint i = 0; i < steps->len; i++)
		if (g_array_index(steps, sched_part_step_t, i).leaving > 0)
			return true;
	return false;
}

/*
 * Returns how many tasks of the step that other shards have are unavailable, as
 * far as that is not excluded.
 */
uint32_t
sched_part_steps_unavailable(const sched_job_t *job,
    const sched_occurrence_t *occurrence, uint32_t step, uint64_t now_us)
{
	uint32_t first = occurrence->steps[step].first_task;
	uint32_t away = 0, reported = 0, unavailable = 0;

	for (uint32_t i = 0; i < job->spec->steps[step]->count; i++)
		away += occurrence->tasks[first + i].state == SCHED_TASK_AWAY;
	for (guint i = 0; job->peers != NULL && i < job->peers->len; i++) {
		const sched_peer_t *peer = job->peers->pdata[i];
		const sched_part_step_t *row =
		    find_step(peer->steps, occurrence->number, step);

		if (row == NULL ||
		    gw_elapsed_us(now_us, peer->steps_us) > REPORT_AGE_MAX_US)
			continue;
		reported += row->tasks;
		unavailable += row->unavailable;
	}
	return unavailable + (away > reported ? away - reported : 0);
}

/*
 * Decides how many tasks the part may stop on purpose, and counts them as
 * unavailable.
 */
void
sched_part_steps_grant(const sched_job_t *job, sched_peer_t *peer,
    GArray *may_stop, uint64_t now_us)
{
	for (guint i = 0; i < peer->steps->len; i++) {
		sched_part_step_t *row =
		    &g_array_index(peer->steps, sched_part_step_t, i);
		const sched_occurrence_t *occurrence =
		    sched_job_find_occurrence(job, row->occurrence);
		sched_part_step_t granted = *row;
		uint32_t limit, unavailable;

		if (occurrence == NULL || row->step >= job->spec->n_steps ||
		    row->leaving == 0)
			continue;
		limit = job->spec->steps[row->step]->max_unavailable;
		unavailable = sched_evacuate_unavailable(
				  job, occurrence, row->step, NULL, now_us) +
		    sched_part_steps_unavailable(
			job, occurrence, row->step, now_us);
		granted.unavailable =
		    MIN(row->leaving, limit - MIN(limit, unavailable));
		row->unavailable += granted.unavailable;
		if (granted.unavailable > 0)
			g_array_append_val(may_stop, granted);
	}
}

/*
 * Handles the answer to a report that was sent at sent_us.
 */
void
sched_part_steps_allow(
    sched_job_t *job, const GArray *may_stop, uint64_t sent_us, uint64_t now_us)
{
	if (gw_elapsed_us(now_us, sent_us) >= MAY_STOP_US)
		return;
	for (guint i = 0; may_stop != NULL && i < may_stop->len; i++) {
		const sched_part_step_t *row =
		    &g_array_index(may_stop, sched_part_step_t, i);
		const sched_occurrence_t *occurrence =
		    sched_job_find_occurrence(job, row->occurrence);
		sched_step_t *step;

		if (occurrence == NULL || row->step >= occurrence->step_count)
			continue;
		step = &occurrence->steps[row->step];
		step->may_stop = row->unavailable;
		step->may_stop_until_us = now_us + MAY_STOP_US;
	}
}

/*
 * Returns whether the task of a part may be stopped on purpose, and uses up the
 * permission.
 */
bool
sched_part_steps_take(sched_task_t *task, uint64_t now_us)
{
	sched_step_t *step = sched_task_step_state(task);

	if (step->may_stop == 0 || now_us >= step->may_stop_until_us)
		return false;
	step->may_stop--;
	return true;
}
