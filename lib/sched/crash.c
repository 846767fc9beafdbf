#include "gw/log.h"
#include "sched/impl.h"

/*
 * Tasks that crash the instance that starts them. A crash ends all runs there,
 * so only those that had just begun are suspected. The next run of a suspect is
 * on trial: no other start goes to its instance until the run has lasted
 * START_WINDOW_US, so that a second crash has one possible cause (trial.c).
 * The counts are part of the job's record and so outlive their owner.
 */

/* A run that has lasted this long has not crashed its instance by starting. */
#define START_WINDOW_US (250 * GW_US_PER_MS)
/*
 * A task is given up after this many crashes if so many had no other possible
 * cause, and after CRASHES_MAX whatever their causes.
 */
#define CRASHES_PROVEN 3
#define CRASHES_ALONE_PROVEN 2
#define CRASHES_MAX 5
/*
 * Returns whether the next run of the task is a trial. The runs that a previous
 * owner has started and that are lost with their instance are many, and most of
 * them have lasted, so one such loss is no reason for a trial.
 */
bool
sched_crash_is_suspect(const sched_task_t *task)
{
	return task->crashes > MIN(task->crashes_adopted, 1);
}

/*
 * Counts the run of a task that has been placed on its instance.
 */
void
sched_crash_run_placed(sched_task_t *task)
{
	task->on_trial = sched_crash_is_suspect(task);
	task->instance->runs_new++;
	task->instance->trials += task->on_trial;
	task->job->trials += task->on_trial;
}

/*
 * Takes the run back: it has ended, or has lasted. Does nothing if it has been
 * taken back already.
 */
void
sched_crash_run_settled(sched_task_t *task)
{
	if (task->has_lasted)
		return;
	task->has_lasted = true;
	task->instance->runs_new--;
	task->instance->trials -= task->on_trial;
	task->job->trials -= task->on_trial;
	task->on_trial = false;
}

/*
 * Clears a task whose run has shown that its start does not crash an instance.
 */
void
sched_crash_clear(sched_pool_t *pool, sched_task_t *task)
{
	if (task->crashes == 0)
		return;
	gw_log(GW_EV_TASK_CLEARED, "job=%s task=%u.%u.%u run=%u crashes=%u",
	    task->job->id, task->occurrence, task->step, task->index, task->run,
	    task->crashes);
	task->crashes = task->crashes_alone = task->crashes_adopted = 0;
	if (!sched_job_has_ended(task->job))
		sched_job_mark_dirty(pool, task->job);
}

/*
 * Handles that the instance of the run was alive at at_us.
 */
void
sched_crash_run_survived(sched_pool_t *pool, sched_task_t *task, uint64_t at_us)
{
	if (task->has_lasted || task->begun_us == 0 ||
	    at_us < task->begun_us + START_WINDOW_US)
		return;
	sched_crash_run_settled(task);
	sched_crash_clear(pool, task);
}

/*
 * Returns when the next report may show that the trials on the instance have
 * lasted; 0: there are none.
 */
uint64_t
sched_crash_report_due_us(const sched_instance_t *instance, uint64_t now_us)
{
	return instance->trials == 0 ? 0 : now_us + START_WINDOW_US;
}

/*
 * Handles that the instance does not respond. If runs have just begun there, it
 * may have crashed: until that is known, at the latest when their longest lease
 * has expired, jobs are started apart.
 */
void
sched_crash_note_silence(const sched_instance_t *instance, uint64_t now_us)
{
	sched_pool_t *pool = instance->pool;

	if (instance->runs_new > 0)
		pool->apart_until_us =
		    now_us + sched_drift_bound_us(pool->bounds.hold_max_ms);
}

static bool
is_apart(const sched_pool_t *pool, uint64_t now_us)
{
	return pool->has_suspects || now_us < pool->apart_until_us;
}

/*
 * Returns whether the instance should report soon, so that few runs are
 * suspected if it crashes.
 */
bool
sched_crash_is_watched(const sched_instance_t *instance, uint64_t now_us)
{
	return instance->runs_new > 0 && is_apart(instance->pool, now_us);
}

static bool
hosts_new_run_of_other(const sched_instance_t *instance, const sched_job_t *job)
{
	for (guint i = 0; instance->runs_new > 0 && i < instance->tasks->len;
	     i++) {
		const sched_task_t *other = instance->tasks->pdata[i];

		if (!other->has_lasted && other->job != job)
			return true;
	}
	return false;
}

/*
 * Returns whether another instance is preferred for the task, so that a crash
 * of this one would have one cause.
 */
bool
sched_crash_prefers_other(
    const sched_instance_t *instance, const sched_task_t *task, uint64_t now_us)
{
	return is_apart(instance->pool, now_us) &&
	    hosts_new_run_of_other(instance, task->job);
}

/*
 * Returns whether the task may be started on the instance beside the runs that
 * have just begun there.
 */
bool
sched_crash_may_start(
    const sched_instance_t *instance, const sched_task_t *task)
{
	bool is_suspect = sched_crash_is_suspect(task);

	if (instance->trials == 0 && (!is_suspect || instance->runs_new == 0))
		return true;
	for (guint i = 0; i < instance->tasks->len; i++) {
		const sched_task_t *other = instance->tasks->pdata[i];

		if (!other->has_lasted && (is_suspect || other->on_trial) &&
		    other->job != task->job)
			return false;
	}
	return true;
}

/*
 * Returns whether the result shows that the instance has not carried out the
 * start, and will not.
 */
bool
sched_crash_is_refusal(sched_result_t result)
{
	return result != SCHED_RESULT_OK && result != SCHED_RESULT_STALE &&
	    result != SCHED_RESULT_NO_RESPONSE;
}

/* Returns whether the run may have crashed its instance. */
static bool
may_be_cause(const sched_task_t *task)
{
	if (task->has_lasted)
		return false;
	/* Of a run from the records it is not known when it was started. */
	if (task->starts_sent == 0)
		return task->state != SCHED_TASK_RESERVED;
	return task->begun_us != 0 || task->is_listed ||
	    task->starts_sent > task->starts_refused;
}

/*
 * Returns whether the starts in flight, all that may have been carried out,
 * tell whether the run may be the cause: at the address of an instance that is
 * gone, another one refuses them.
 */
static bool
awaits_results(const sched_task_t *task)
{
	return task->instance->is_gone && task->state == SCHED_TASK_STARTING &&
	    task->begun_us == 0 && task->requests_in_flight > 0 &&
	    task->starts_refused + task->requests_in_flight ==
	    task->starts_sent;
}

/*
 * Returns whether all runs that may have been the cause are of one job, and
 * this owner has started them.
 */
static bool
has_one_cause(const sched_instance_t *instance)
{
	const sched_job_t *cause = NULL;

	for (guint i = 0; i < instance->tasks->len; i++) {
		const sched_task_t *task = instance->tasks->pdata[i];

		if (!may_be_cause(task))
			continue;
		if (task->starts_sent == 0 ||
		    (cause != NULL && cause != task->job))
			return false;
		cause = task->job;
	}
	return cause != NULL;
}

static void
count_crash(sched_task_t *task, uint32_t run, const char *instance,
    bool is_certain, bool is_adopted)
{
	task->crashes++;
	task->crashes_alone += is_certain;
	task->crashes_adopted += is_adopted;
	task->job->has_suspect |= sched_crash_is_suspect(task);
	gw_log(GW_EV_TASK_SUSPECTED,
	    "job=%s task=%u.%u.%u run=%u instance=%s crashes=%u alone=%u "
	    "adopted=%u",
	    task->job->id, task->occurrence, task->step, task->index, run,
	    instance, task->crashes, task->crashes_alone,
	    task->crashes_adopted);
}

/*
 * Counts a crash for a task whose run may have been its cause.
 */
void
sched_crash_count(sched_task_t *task, const char *instance, bool is_certain)
{
	count_crash(
	    task, task->run, instance, is_certain, task->starts_sent == 0);
}

/*
 * The same for a run that is over, once the results of its starts show that it
 * may have been the cause.
 */
void
sched_crash_count_ended(sched_pool_t *pool, const sched_task_ref_t *ref,
    uint32_t run, const char *instance)
{
	sched_task_t *task = sched_pool_find_task(pool, ref);
	g_autoptr(GPtrArray) suspects = g_ptr_array_new();

	if (task == NULL || task->state == SCHED_TASK_DONE ||
	    task->state == SCHED_TASK_AWAY || sched_job_has_ended(task->job))
		return;
	count_crash(task, run, instance, false, false);
	sched_job_mark_dirty(pool, task->job);
	g_ptr_array_add(suspects, task);
	sched_crash_give_up(pool, suspects);
}

/*
 * Counts the crash of an instance for those of its tasks whose runs may have
 * been its cause. Returns these tasks (sched_task_t). An instance that does not
 * respond may only be cut off, which no run has caused.
 */
GPtrArray *
sched_crash_count_runs(
    sched_instance_t *instance, const GPtrArray *tasks, sched_loss_t loss)
{
	GPtrArray *suspects = g_ptr_array_new();
	bool is_certain;

	for (guint i = 0; i < tasks->len; i++)
		sched_crash_run_survived(
		    instance->pool, tasks->pdata[i], instance->alive_us);
	is_certain = loss == SCHED_LOSS_CRASH && has_one_cause(instance);
	for (guint i = 0; i < tasks->len; i++) {
		sched_task_t *task = tasks->pdata[i];

		if (!may_be_cause(task) || sched_job_has_ended(task->job))
			continue;
		if (awaits_results(task)) {
			task->is_crash_open = true;
			continue;
		}
		/* A start without a response may have come after the crash. */
		sched_crash_count(
		    task, instance->info.id, is_certain && task->begun_us != 0);
		sched_job_mark_dirty(instance->pool, task->job);
		g_ptr_array_add(suspects, task);
	}
	return suspects;
}

/*
 * Returns whether the task has crashed too many instances.
 */
bool
sched_crash_is_hopeless(const sched_task_t *task)
{
	return task->crashes >= CRASHES_MAX ||
	    (task->crashes >= CRASHES_PROVEN &&
		task->crashes_alone >= CRASHES_ALONE_PROVEN);
}

/*
 * Fails the jobs of the tasks that have crashed too many instances. Of a job
 * that another shard has, that one does so, once it has the task again.
 */
void
sched_crash_give_up(sched_pool_t *pool, const GPtrArray *suspects)
{
	for (guint i = 0; i < suspects->len; i++) {
		const sched_task_t *task = suspects->pdata[i];

		if (!sched_crash_is_hopeless(task) ||
		    sched_job_has_ended(task->job))
			continue;
		if (sched_job_is_part(task->job)) {
			task->job->has_hopeless = true;
			continue;
		}
		gw_log(GW_EV_TASK_GIVEN_UP,
		    "job=%s task=%u.%u.%u run=%u crashes=%u alone=%u",
		    task->job->id, task->occurrence, task->step, task->index,
		    task->run, task->crashes, task->crashes_alone);
		sched_job_end(pool, task->job, GW__JOB_STATE__JOB_FAILED);
	}
}

static void
add_tasks(GPtrArray *tasks, const sched_job_t *job)
{
	for (guint k = 0; k < job->occurrences->len; k++) {
		sched_occurrence_t *occurrence = job->occurrences->pdata[k];

		for (uint32_t n = 0; n < occurrence->task_count; n++)
			g_ptr_array_add(tasks, &occurrence->tasks[n]);
	}
}

/*
 * The same for all tasks of the job, whose crashes another owner has counted.
 */
void
sched_crash_give_up_job(sched_pool_t *pool, const sched_job_t *job)
{
	g_autoptr(GPtrArray) suspects = g_ptr_array_new();

	add_tasks(suspects, job);
	sched_crash_give_up(pool, suspects);
}

/*
 * The same for all tasks of the pool, after their records have been loaded: the
 * last crash may have been counted then.
 */
void
sched_crash_give_up_loaded(sched_pool_t *pool)
{
	g_autoptr(GPtrArray) suspects = g_ptr_array_new();

	for (guint i = 0; i < pool->open->len; i++)
		add_tasks(suspects, pool->open->pdata[i]);
	sched_crash_give_up(pool, suspects);
}
