#include "sched/impl.h"

/* New advice is requested this long before the step's tickets expire. */
#define TICKET_MARGIN_US (200 * GW_US_PER_MS)
#define ADVICE_INSTANCES_MAX 100
/* Fewer instances may well fail runs at the same time by their own fault. */
#define FAILING_MIN 3

/*
 * Takes room on the instance for this run of a waiting task.
 */
static void
take_room(sched_pool_t *pool, sched_task_t *task, sched_instance_t *instance,
    uint32_t run)
{
	sched_step_t *step = sched_task_step_state(task);
	const GHashTable *tickets = step->tickets;

	sched_instance_assign(instance, task);
	task->placed_late =
	    task->job->key_in_order.rank_class > SCHED_RANK_IN_TIME;
	step->waiting--;
	if (step->waiting == 0)
		step->blocked_since_us = 0;
	task->state = SCHED_TASK_RESERVED;
	task->run = run;
	sched_send_reserved(pool, task);
	if (tickets != NULL)
		task->ticket = g_strdup(g_hash_table_lookup(
		    (GHashTable *)tickets, instance->info.id));
}

/*
 * Places a task that has room. Its start is sent once the record is written.
 */
static void
confirm(sched_pool_t *pool, sched_task_t *task)
{
	pool->demand_cpu_ms +=
	    sched_step_work_cpu_ms(sched_task_step_spec(task), 1);
	sched_share_note_placed(pool, task);
	sched_order_note_placed(pool, task);
	sched_kind_note_placed(pool, task);
	task->job->blocked_since_us = 0;
	sched_job_mark_dirty(pool, task->job);
}

/*
 * Places a waiting task on the instance as this run.
 */
void
sched_place_reserve(sched_pool_t *pool, sched_task_t *task,
    sched_instance_t *instance, uint32_t run)
{
	take_room(pool, task, instance, run);
	confirm(pool, task);
}

/*
 * Returns whether the step needs no advice, or has some that is still valid.
 */
bool
sched_place_has_advice(
    const sched_job_t *job, const sched_step_t *step, uint64_t now_us)
{
	return job->spec->advice == NULL ||
	    (step->tickets != NULL &&
		now_us + TICKET_MARGIN_US < step->tickets_expiry_us);
}

/*
 * Requests advice when the step has no tickets or they are about to expire.
 * Returns whether tasks of the step can be placed now.
 */
bool
sched_place_ensure_advice(
    sched_pool_t *pool, sched_task_t *task, sched_step_t *step, uint64_t now_us)
{
	g_autoptr(GPtrArray) ids = NULL;
	sched_instance_t *instance;
	GHashTableIter iter;
	sched_task_ref_t ref;

	if (sched_place_has_advice(task->job, step, now_us))
		return true;
	if (step->advice_pending || now_us < step->advice_retry_us)
		return false;
	ids = g_ptr_array_new();
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance))
		if ((sched_instance_is_usable(instance, now_us) ||
			(sched_task_step_spec(task)->lasting &&
			    sched_instance_may_start(instance, now_us))) &&
		    ids->len < ADVICE_INSTANCES_MAX)
			g_ptr_array_add(ids, instance->info.id);
	if (ids->len == 0)
		return false;
	step->advice_pending = true;
	ref = sched_task_ref(task);
	pool->ops->advise(&ref, ids, pool->arg);
	return false;
}

/*
 * Notes that a ready task of the job finds no instance, for the planner.
 */
void
sched_place_mark_blocked(sched_job_t *job, uint64_t now_us)
{
	if (job->blocked_since_us == 0)
		job->blocked_since_us = now_us;
}

/*
 * The same, for the task's step, of which tasks may be handed to another shard.
 */
void
sched_place_mark_task_blocked(sched_task_t *task, uint64_t now_us)
{
	sched_step_t *step = sched_task_step_state(task);

	sched_place_mark_blocked(task->job, now_us);
	if (step->blocked_since_us == 0)
		step->blocked_since_us = now_us;
}

static void
place_tasks(sched_pool_t *pool, sched_occurrence_t *occurrence,
    const sched_step_t *step, uint32_t count, uint64_t now_us)
{
	for (uint32_t i = 0; i < count && step->waiting > 0; i++) {
		sched_task_t *task = &occurrence->tasks[step->first_task + i];
		sched_instance_t *instance;

		if (task->state != SCHED_TASK_WAITING ||
		    now_us < task->not_before_us)
			continue;
		if (sched_crash_is_suspect(task))
			continue; /* by sched_trial_place_jobs() */
		instance = sched_place_find_instance(pool, task, NULL, now_us);
		if (instance == NULL) {
			sched_place_mark_task_blocked(task, now_us);
			if (!sched_task_step_spec(task)->lasting ||
			    sched_place_takes_last_choice(task, now_us))
				return; /* nor does the next one */
			continue;
		}
		if (!sched_quota_allows(task)) {
			sched_quota_note_lacking(task, step->waiting);
			return;
		}
		sched_place_reserve(pool, task, instance, task->run + 1);
	}
}

/*
 * Places all members of a gang, or none. Returns whether they were placed.
 */
static bool
reserve_gang(sched_pool_t *pool, sched_occurrence_t *occurrence,
    const sched_step_t *step, uint32_t count, const char *rack, uint64_t now_us)
{
	uint32_t *run_before = g_new(uint32_t, count);
	uint32_t run = 0, placed;
	bool is_placed;

	for (uint32_t i = 0; i < count; i++)
		run = MAX(run, occurrence->tasks[step->first_task + i].run);
	for (uint32_t i = 0; i < count; i++)
		run_before[i] = occurrence->tasks[step->first_task + i].run;
	for (placed = 0; placed < count; placed++) {
		sched_task_t *task =
		    &occurrence->tasks[step->first_task + placed];
		sched_instance_t *instance =
		    sched_place_find_instance(pool, task, rack, now_us);

		if (instance == NULL)
			break;
		if (!sched_quota_allows(task)) {
			sched_quota_note_lacking(task, count);
			break;
		}
		take_room(pool, task, instance, run + 1);
	}
	is_placed = placed == count;
	for (uint32_t i = 0; is_placed && i < count; i++)
		confirm(pool, &occurrence->tasks[step->first_task + i]);
	while (!is_placed && placed-- > 0) {
		sched_task_t *task =
		    &occurrence->tasks[step->first_task + placed];

		sched_instance_release(task);
		task->state = SCHED_TASK_WAITING;
		task->run = run_before[placed];
		g_clear_pointer(&task->ticket, g_free);
		sched_task_step_state(task)->waiting++;
	}
	g_free(run_before);
	return is_placed;
}

/*
 * Gives all members of a gang the newest checkpoint of any member. A checkpoint
 * of one member is valid for all.
 */
static void
share_checkpoint(
    sched_occurrence_t *occurrence, const sched_step_t *step, uint32_t count)
{
	const char *newest = NULL;
	uint32_t best_run = 0;

	for (uint32_t i = 0; i < count; i++) {
		const sched_task_t *task =
		    &occurrence->tasks[step->first_task + i];

		if (task->checkpoint != NULL &&
		    (newest == NULL || task->run > best_run)) {
			newest = task->checkpoint;
			best_run = task->run;
		}
	}
	for (uint32_t i = 0; newest != NULL && i < count; i++) {
		sched_task_t *task = &occurrence->tasks[step->first_task + i];

		if (task->checkpoint == newest)
			continue;
		g_free(task->checkpoint);
		task->checkpoint = g_strdup(newest);
	}
}

/*
 * Places a gang once all its members wait. same_rack is a preference only: when
 * no rack has room for all members, they are spread over several racks.
 */
void
sched_place_gang(sched_pool_t *pool, sched_occurrence_t *occurrence,
    const sched_step_t *step, const Gw__JobStep *spec, uint64_t now_us)
{
	g_autoptr(GHashTable) racks = g_hash_table_new(g_str_hash, g_str_equal);
	sched_instance_t *instance;
	GHashTableIter iter;
	gpointer rack;

	if (step->waiting < spec->count ||
	    now_us < occurrence->tasks[step->first_task].not_before_us)
		return;
	share_checkpoint(occurrence, step, spec->count);
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance))
		if (instance->rack != NULL)
			g_hash_table_add(racks, (gpointer)instance->rack);
	g_hash_table_iter_init(&iter, racks);
	while (spec->same_rack && g_hash_table_iter_next(&iter, &rack, NULL))
		if (reserve_gang(
			pool, occurrence, step, spec->count, rack, now_us))
			return;
	if (!reserve_gang(pool, occurrence, step, spec->count, NULL, now_us))
		sched_place_mark_task_blocked(
		    &occurrence->tasks[step->first_task], now_us);
}

static void
place_occurrence(sched_pool_t *pool, sched_job_t *job,
    sched_occurrence_t *occurrence, uint64_t now_us)
{
	for (size_t i = 0; i < job->spec->n_steps; i++) {
		const Gw__JobStep *spec = job->spec->steps[i];
		sched_step_t *step = &occurrence->steps[i];

		if (step->waiting == 0 ||
		    !sched_step_is_ready(job, occurrence, (uint32_t)i) ||
		    !sched_place_ensure_advice(pool,
			&occurrence->tasks[step->first_task], step, now_us))
			continue;
		if (spec->gang)
			sched_place_gang(pool, occurrence, step, spec, now_us);
		else
			place_tasks(
			    pool, occurrence, step, spec->count, now_us);
	}
}

static bool
has_waiting(const sched_job_t *job)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->step_count; k++)
			if (occurrence->steps[k].waiting > 0 &&
			    sched_step_is_ready(job, occurrence, k))
				return true;
	}
	return false;
}

/*
 * Places waiting tasks of the jobs from first up to end, as long as their
 * starts can be sent soon.
 */
static void
place_jobs(sched_pool_t *pool, const GPtrArray *jobs, guint first, guint end,
    uint64_t now_us)
{
	for (guint i = first; i < end; i++) {
		sched_job_t *job = jobs->pdata[i];

		if (!sched_window_may_place(pool->window, pool->unsent_bytes))
			return;
		for (guint k = 0; k < job->occurrences->len; k++)
			place_occurrence(
			    pool, job, job->occurrences->pdata[k], now_us);
	}
}

/*
 * Places the overdue job whose turn it is. If it finds no room, an instance is
 * withheld for it: smaller tasks would take what becomes free.
 */
static void
place_overdue(sched_pool_t *pool, const GPtrArray *jobs, uint64_t now_us)
{
	sched_job_t *job = sched_order_next_overdue(pool, jobs);

	if (job == NULL)
		return;
	for (guint i = 0; i < job->occurrences->len; i++)
		place_occurrence(pool, job, job->occurrences->pdata[i], now_us);
	if (job->blocked_since_us != 0)
		sched_withhold_for_first(pool, job, now_us);
}

/*
 * Returns how many of the sorted jobs are long-running; they come first.
 */
static guint
count_long_running(const GPtrArray *jobs)
{
	guint count = 0;

	while (count < jobs->len &&
	    ((const sched_job_t *)jobs->pdata[count])->long_running)
		count++;
	return count;
}

/*
 * Returns whether most instances have failed several runs in a row lately. Then
 * jobs fail wherever they run, and to avoid these instances would only keep the
 * other jobs from their room.
 */
static bool
are_jobs_at_fault(const sched_pool_t *pool, uint64_t now_us)
{
	sched_instance_t *instance;
	uint32_t failing = 0, count = 0;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		if (!sched_instance_may_start(instance, now_us))
			continue;
		count++;
		failing += now_us < instance->failing_until_us;
	}
	return failing >= FAILING_MIN && failing > count / 2;
}

/*
 * Places waiting tasks of the sorted jobs. Instances are withheld for
 * long-running tasks once all of these have been tried, so that none keeps
 * another from room that is free, and before the trials of other jobs, which
 * may be many.
 */
static void
place_all(sched_pool_t *pool, const GPtrArray *jobs, uint64_t now_us)
{
	guint long_running = count_long_running(jobs);

	sched_trial_begin_round(pool);
	sched_trial_place_jobs(pool, jobs, 0, long_running, now_us);
	place_jobs(pool, jobs, 0, long_running, now_us);
	if (!sched_window_may_place(pool->window, pool->unsent_bytes))
		return;
	for (guint i = 0; i < long_running; i++)
		sched_withhold_for_job(pool, jobs->pdata[i], now_us);
	place_overdue(pool, jobs, now_us);
	sched_trial_place_jobs(pool, jobs, long_running, jobs->len, now_us);
	place_jobs(pool, jobs, long_running, jobs->len, now_us);
}

/*
 * Places the waiting tasks for which there is room, in the order of
 * sched_order_sort() and of the teams' shares.
 */
void
sched_place_round(sched_pool_t *pool, uint64_t now_us)
{
	g_autoptr(GPtrArray) jobs = g_ptr_array_new();

	pool->round++;
	pool->jobs_at_fault = are_jobs_at_fault(pool, now_us);
	for (guint i = 0; i < pool->open->len; i++) {
		sched_job_t *job = pool->open->pdata[i];

		if (job->aside_until_us == 0 && job->move_to[0] == '\0' &&
		    has_waiting(job) && sched_part_may_start(job, now_us) &&
		    !sched_overflow_holds(pool, job, now_us))
			g_ptr_array_add(jobs, job);
	}
	sched_order_sort(pool, jobs, now_us);
	sched_share_order(pool, jobs);
	sched_quota_begin_round(pool);
	place_all(pool, jobs, now_us);
	sched_quota_end_round(pool, now_us);
}
