#include <string.h>

#include "sched/impl.h"

/*
 * Placement of suspected tasks on trial; crash.c counts the crashes. Tasks of
 * one job are tried together, since the job fails whichever of them is the
 * cause.
 */

/*
 * At most one in so many of the pool's instances hosts a trial, of tasks
 * without and with a crash on trial. The latter most likely crash one more.
 */
static const uint32_t instances_per_trial[] = {2, 4};

static sched_trials_t *
trials_of(sched_pool_t *pool, const sched_task_t *task)
{
	return &pool->trials[task->crashes_alone > 0];
}

/*
 * Returns a task on trial on the instance, or NULL.
 */
static const sched_task_t *
find_trial(const sched_instance_t *instance)
{
	for (guint i = 0; instance->trials > 0 && i < instance->tasks->len; i++)
		if (((sched_task_t *)instance->tasks->pdata[i])->on_trial)
			return instance->tasks->pdata[i];
	return NULL;
}

/*
 * Counts the trials of the pool's instances, also of those that do not respond
 * any more, and sets how many there may be in this round.
 */
void
sched_trial_begin_round(sched_pool_t *pool)
{
	sched_instance_t *instance;
	GHashTableIter iter;
	uint32_t count = 0;

	pool->has_suspects = false;
	memset(pool->trials, 0, sizeof(pool->trials));
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		const sched_task_t *task = find_trial(instance);

		count += instance->listed;
		if (task != NULL)
			trials_of(pool, task)->count++;
	}
	for (guint i = 0; i < G_N_ELEMENTS(pool->trials); i++)
		pool->trials[i].max = MAX(count / instances_per_trial[i], 1);
}

/*
 * Returns whether a trial of the task may begin on the instance, or one be
 * withheld for it (NULL). On an idle instance a crash does little harm, so more
 * tasks that most likely crash it may be tried there.
 */
static bool
may_try(sched_pool_t *pool, const sched_task_t *task,
    const sched_instance_t *instance)
{
	const sched_trials_t *trials = trials_of(pool, task);

	if (trials->count < trials->max)
		return true;
	return instance != NULL && instance->tasks->len == 0 &&
	    pool->trials[0].count + pool->trials[1].count < pool->trials[0].max;
}

/*
 * Counts a trial of the task that begins, or an instance withheld for one.
 */
static void
add_trial(sched_pool_t *pool, const sched_task_t *task)
{
	trials_of(pool, task)->count++;
}

/*
 * Returns the cost of a trial on the instance: what a crash would end. A
 * long-running task counts more than any work. An instance that already hosts a
 * trial of the job comes first.
 */
uint64_t
sched_trial_cost(const sched_instance_t *instance)
{
	uint64_t cost = instance->used.cpu_millis;

	if (instance->trials > 0)
		return 0;
	if (sched_instance_hosts_long_running(instance))
		cost += UINT64_C(1) << 48;
	return cost;
}

/*
 * Returns the instance on which a crash would do the least harm of those that
 * can run the task once runs there have ended or, if needs_room, have settled;
 * NULL: none.
 */
static sched_instance_t *
find_for_trial(sched_pool_t *pool, const sched_task_t *task, bool needs_room,
    uint64_t now_us)
{
	const Gw__JobStep *step = sched_task_step_spec(task);
	sched_instance_t *instance, *best = NULL;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		if (!sched_instance_is_usable(instance, now_us) ||
		    instance->withheld_round == pool->round ||
		    instance->trials > 0 ||
		    (needs_room && !sched_place_fits(instance, step)) ||
		    !sched_place_will_fit(instance, task))
			continue;
		if (best == NULL ||
		    sched_trial_cost(instance) < sched_trial_cost(best))
			best = instance;
	}
	return best;
}

/*
 * Withholds an instance from other tasks in this round, so that the runs that
 * have just begun there settle and the trial of a suspect can follow.
 */
static void
withhold_for_trial(
    sched_pool_t *pool, const sched_task_t *task, uint64_t now_us)
{
	sched_instance_t *best = find_for_trial(pool, task, false, now_us);

	if (best == NULL)
		return;
	best->withheld_round = pool->round;
	add_trial(pool, task);
}

/*
 * Withholds an instance for each member of a gang, or none. They have room, so
 * that the gang can follow as soon as the runs there have settled.
 */
static void
withhold_for_gang(sched_pool_t *pool, const sched_task_t *first, uint32_t count,
    uint64_t now_us)
{
	g_autoptr(GPtrArray) withheld = g_ptr_array_new();

	while (withheld->len < count) {
		sched_instance_t *instance =
		    find_for_trial(pool, first, true, now_us);

		if (instance == NULL)
			break;
		instance->withheld_round = pool->round;
		g_ptr_array_add(withheld, instance);
	}
	for (guint i = 0; withheld->len < count && i < withheld->len; i++)
		((sched_instance_t *)withheld->pdata[i])->withheld_round = 0;
}

/*
 * Places a suspected task, if a trial may begin now.
 */
static void
place_suspect(sched_pool_t *pool, sched_task_t *task, uint64_t now_us)
{
	sched_instance_t *instance;
	bool is_new;

	instance = sched_place_find_instance(pool, task, NULL, now_us);
	/* Or the task joins a trial of its job. */
	is_new = instance == NULL || instance->trials == 0;
	if (is_new && !may_try(pool, task, instance)) {
		sched_place_mark_task_blocked(task, now_us);
		return;
	}
	if (instance == NULL) {
		sched_place_mark_task_blocked(task, now_us);
		withhold_for_trial(pool, task, now_us);
		return;
	}
	if (!sched_quota_allows(task)) {
		sched_quota_note_lacking(task, 1);
		return;
	}
	if (is_new)
		add_trial(pool, task);
	sched_place_reserve(pool, task, instance, task->run + 1);
}

/*
 * Places a gang with suspected members, all of which must wait, or withholds
 * instances for it.
 */
static void
place_suspect_gang(sched_pool_t *pool, sched_occurrence_t *occurrence,
    uint32_t number, uint64_t now_us)
{
	sched_step_t *step = &occurrence->steps[number];
	sched_task_t *first = &occurrence->tasks[step->first_task];
	const Gw__JobStep *spec = sched_task_step_spec(first);
	bool has_suspect = false;

	for (uint32_t i = 0; i < spec->count; i++)
		has_suspect |= sched_crash_is_suspect(&first[i]);
	if (!has_suspect || step->waiting < spec->count ||
	    now_us < first->not_before_us ||
	    !sched_step_is_ready(first->job, occurrence, number) ||
	    !sched_place_ensure_advice(pool, first, step, now_us))
		return;
	sched_place_gang(pool, occurrence, step, spec, now_us);
	if (step->waiting == spec->count)
		withhold_for_gang(pool, first, spec->count, now_us);
}

/*
 * Places suspected tasks of the job, as far as trials may begin now: those that
 * have crashed an instance on trial, or the others.
 */
static void
place_suspects(sched_pool_t *pool, sched_job_t *job, bool crashed_on_trial,
    uint64_t now_us)
{
	bool has_suspect = false;

	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence = job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->task_count; k++) {
			sched_task_t *task = &occurrence->tasks[k];
			sched_step_t *step = &occurrence->steps[task->step];

			has_suspect |= sched_crash_is_suspect(task);
			if (!sched_crash_is_suspect(task) ||
			    (task->crashes_alone > 0) != crashed_on_trial ||
			    task->state != SCHED_TASK_WAITING ||
			    (sched_job_is_part(job) &&
				sched_crash_is_hopeless(task)) ||
			    now_us < task->not_before_us ||
			    sched_task_step_spec(task)->gang ||
			    !sched_step_is_ready(job, occurrence, task->step) ||
			    !sched_place_ensure_advice(
				pool, task, step, now_us))
				continue;
			place_suspect(pool, task, now_us);
		}
		for (uint32_t k = 0; k < occurrence->step_count; k++)
			if (!crashed_on_trial && job->spec->steps[k]->gang)
				place_suspect_gang(pool, occurrence, k, now_us);
	}
	job->has_suspect = has_suspect;
}

/*
 * Places the suspected tasks of the jobs from first up to end, before their
 * other tasks, so that an instance that is withheld for a trial goes to none of
 * these. Those that have crashed an instance on trial come last.
 */
void
sched_trial_place_jobs(sched_pool_t *pool, const GPtrArray *jobs, guint first,
    guint end, uint64_t now_us)
{
	for (int pass = 0; pass < 2; pass++)
		for (guint i = first; i < end; i++) {
			sched_job_t *job = jobs->pdata[i];

			if (!job->has_suspect)
				continue;
			pool->has_suspects = true;
			if (sched_window_may_place(
				pool->window, pool->unsent_bytes))
				place_suspects(pool, job, pass == 1, now_us);
		}
}
