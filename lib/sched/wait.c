#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * Why tasks do not run, for the log and the metrics. The reasons are those of
 * the functions that decide, so that the two agree.
 */

#define SCAN_INTERVAL_US GW_US_PER_S
/* A long-running task that has not run for this long is logged and counted. */
#define LASTING_MIN_US (2 * GW_US_PER_S)
/* The same for a job without long-running tasks of which nothing runs. */
#define OTHER_MIN_US (10 * GW_US_PER_S)
/* Most lines of a scan, for long-running tasks and for other jobs. */
#define LASTING_LINES_MAX 4
#define OTHER_LINES_MAX 1

/* The tasks of a job with one reason. */
typedef struct {
	const sched_task_t *task; /* that has waited longest; NULL: none */
	uint32_t count;
	uint64_t waited_us;
	sched_finding_t finding;
} group_t;

/*
 * Keeps the time of the task's last run, which is known while it is placed.
 */
void
sched_wait_note_ran(sched_task_t *task)
{
	task->ran_us = MAX(task->ran_us, task->confirmed_us);
	task->job->ran_us = MAX(task->job->ran_us, task->ran_us);
}

static sched_wait_t
placed_reason(
    const sched_pool_t *pool, const sched_task_t *task, uint64_t now_us)
{
	if (task->state == SCHED_TASK_RESERVED && !task->is_unsent)
		return SCHED_WAIT_RECORD;
	if (task->state == SCHED_TASK_RESERVED)
		return now_us < pool->ops->lease_until_us(pool->arg)
		    ? SCHED_WAIT_LINK
		    : SCHED_WAIT_OWNER;
	if (sched_instance_has_no_contact(task->instance))
		return SCHED_WAIT_LEASE;
	if (task->state == SCHED_TASK_STARTING)
		return SCHED_WAIT_START;
	return task->state == SCHED_TASK_STOPPING ? SCHED_WAIT_STOP
						  : SCHED_WAIT_NONE;
}

static void
count_excluded(const sched_pool_t *pool, const sched_task_t *task,
    sched_finding_t *finding, uint64_t now_us)
{
	sched_instance_t *instance;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance))
		finding
		    ->excluded[sched_place_exclusion(instance, task, now_us)]++;
}

/*
 * Returns why a task that is not placed was passed over by the last round, in
 * the order of sched_place_round(). Fills in finding->excluded where the reason
 * depends on it.
 */
static sched_wait_t
waiting_reason(const sched_pool_t *pool, const sched_task_t *task,
    sched_finding_t *finding, uint64_t now_us)
{
	const sched_occurrence_t *occurrence =
	    sched_job_find_occurrence(task->job, task->occurrence);
	const sched_step_t *step = sched_task_step_state(task);
	const Gw__JobStep *spec = sched_task_step_spec(task);
	const sched_task_t *first =
	    spec->gang ? &occurrence->tasks[step->first_task] : task;

	if (task->job->aside_until_us != 0)
		return SCHED_WAIT_ASIDE;
	if (!sched_part_may_start(task->job, now_us))
		return SCHED_WAIT_HOME;
	if (!sched_step_is_ready(task->job, occurrence, task->step))
		return SCHED_WAIT_STEP;
	if (spec->gang && step->waiting < spec->count)
		return SCHED_WAIT_MEMBERS;
	if (now_us < first->not_before_us)
		return SCHED_WAIT_NOT_BEFORE;
	if (!sched_place_has_advice(task->job, step, now_us))
		return SCHED_WAIT_ADVICE;
	count_excluded(pool, task, finding, now_us);
	if (finding->excluded[SCHED_EXCLUDED_NOT] == 0)
		return SCHED_WAIT_NO_INSTANCE;
	if (!sched_quota_allows(task))
		return SCHED_WAIT_QUOTA;
	if (!sched_window_may_place(pool->window, pool->unsent_bytes))
		return SCHED_WAIT_ROUND;
	if (spec->gang)
		return SCHED_WAIT_GANG;
	return sched_crash_is_suspect(task) ? SCHED_WAIT_TRIAL
					    : SCHED_WAIT_NEXT_ROUND;
}

/*
 * Returns why the task, which is not done, does not run.
 */
sched_finding_t
sched_wait_find_reason(
    const sched_pool_t *pool, const sched_task_t *task, uint64_t now_us)
{
	sched_finding_t finding = {0};

	finding.reason = task->instance != NULL
	    ? placed_reason(pool, task, now_us)
	    : waiting_reason(pool, task, &finding, now_us);
	return finding;
}

static void
append_placed(GString *text, const sched_task_t *task, sched_wait_t reason,
    uint64_t now_us)
{
	const sched_instance_t *instance = task->instance;

	g_string_append_printf(text, " instance=%s", instance->info.id);
	if (reason == SCHED_WAIT_LEASE)
		g_string_append_printf(text,
		    " listed=%d contacted=%d lease_left_ms=%" PRIu64,
		    instance->listed, instance->contacted,
		    gw_elapsed_us(sched_task_lapses_us(task), now_us) /
			GW_US_PER_MS);
	if (reason == SCHED_WAIT_START || reason == SCHED_WAIT_STOP)
		g_string_append_printf(text, " starts=%u stops=%u",
		    task->starts_sent, task->stops_sent);
}

static void
append_excluded(
    GString *text, const sched_pool_t *pool, const sched_finding_t *finding)
{
	if (finding->reason < SCHED_WAIT_NO_INSTANCE)
		return;
	g_string_append_printf(
	    text, " instances=%u", g_hash_table_size(pool->instances));
	for (int i = 0; i < SCHED_EXCLUSIONS; i++)
		if (finding->excluded[i] > 0)
			g_string_append_printf(text, " %s=%u",
			    sched_exclusion_name(i), finding->excluded[i]);
}

/*
 * Logs why the group's task does not run.
 */
static void
log_group(gw_event_t event, const sched_pool_t *pool, const group_t *group,
    uint64_t now_us)
{
	g_autoptr(GString) details = g_string_new(NULL);
	const sched_task_t *task = group->task;
	sched_wait_t reason = group->finding.reason;

	if (task->instance != NULL)
		append_placed(details, task, reason, now_us);
	else
		append_excluded(details, pool, &group->finding);
	if (reason == SCHED_WAIT_NOT_BEFORE)
		g_string_append_printf(details, " left_ms=%" PRIu64,
		    gw_elapsed_us(task->not_before_us, now_us) / GW_US_PER_MS);
	gw_log(event,
	    "job=%s task=%u.%u.%u run=%u pool=%s waited_ms=%" PRIu64
	    " state=%s reason=%s tasks=%u%s",
	    task->job->id, task->occurrence, task->step, task->index, task->run,
	    pool->name, group->waited_us / GW_US_PER_MS,
	    sched_task_state_name(task->state), sched_wait_name(reason),
	    group->count, details->str);
}

/*
 * Returns for how long the task is known not to have run, or 0 if it runs, has
 * only just been seen, or depends on earlier steps.
 */
static uint64_t
lasting_waited_us(const sched_pool_t *pool, sched_task_t *task, uint64_t now_us)
{
	const sched_occurrence_t *occurrence =
	    sched_job_find_occurrence(task->job, task->occurrence);
	bool is_due = sched_step_is_ready(task->job, occurrence, task->step);

	sched_wait_note_ran(task);
	if (task->ran_us == 0 || !is_due)
		task->ran_us = now_us;
	if (task->instance != NULL &&
	    placed_reason(pool, task, now_us) == SCHED_WAIT_NONE)
		return 0;
	return gw_elapsed_us(now_us, task->ran_us);
}

/*
 * Adds a task that has waited for long to its group. Tasks of a step that find
 * no instance have the same reason, which is looked for once only.
 */
static void
add_task(const sched_pool_t *pool, const sched_task_t *task, uint64_t waited_us,
    group_t *groups, uint64_t now_us)
{
	group_t *same = &groups[SCHED_WAIT_NO_INSTANCE];
	bool is_same = same->task != NULL && task->instance == NULL &&
	    same->task->step == task->step &&
	    same->task->occurrence == task->occurrence &&
	    now_us >= task->not_before_us &&
	    !sched_crash_is_suspect(same->task) &&
	    !sched_crash_is_suspect(task);
	sched_finding_t finding = is_same
	    ? same->finding
	    : sched_wait_find_reason(pool, task, now_us);
	group_t *group = &groups[finding.reason];

	group->count++;
	if (group->task != NULL && group->waited_us >= waited_us)
		return;
	group->task = task;
	group->waited_us = waited_us;
	group->finding = finding;
}

/*
 * Groups the long-running tasks of a job that have not run for long, by reason.
 */
static void
group_lasting(sched_pool_t *pool, const sched_job_t *job, group_t *groups,
    uint64_t now_us)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence = job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->task_count; k++) {
			sched_task_t *task = &occurrence->tasks[k];
			uint64_t waited_us;

			if (task->state == SCHED_TASK_DONE ||
			    task->state == SCHED_TASK_AWAY ||
			    !sched_task_step_spec(task)->lasting)
				continue;
			waited_us = lasting_waited_us(pool, task, now_us);
			pool->waits.lasting_wait_ms =
			    MAX(pool->waits.lasting_wait_ms,
				waited_us / GW_US_PER_MS);
			if (waited_us >= LASTING_MIN_US)
				add_task(pool, task, waited_us, groups, now_us);
			else if (!sched_step_is_ready(
				     job, occurrence, task->step))
				pool->waits.tasks[SCHED_WAIT_STEP]++;
		}
	}
}

/*
 * Returns the first task of the job whose turn has come and that is not done,
 * or NULL.
 */
static const sched_task_t *
find_due(const sched_job_t *job)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->task_count; k++) {
			const sched_task_t *task = &occurrence->tasks[k];

			if (task->state != SCHED_TASK_DONE &&
			    task->state != SCHED_TASK_AWAY &&
			    sched_step_is_ready(job, occurrence, task->step))
				return task;
		}
	}
	return NULL;
}

/*
 * Notes that jobs run of which an instance in contact runs a task.
 */
static void
note_running(const sched_pool_t *pool, uint64_t now_us)
{
	sched_instance_t *instance;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance))
		for (guint i = 0; i < instance->tasks->len; i++) {
			sched_task_t *task = instance->tasks->pdata[i];

			sched_wait_note_ran(task);
			if (placed_reason(pool, task, now_us) ==
			    SCHED_WAIT_NONE)
				task->job->ran_us = now_us;
		}
}

/*
 * Groups a job without long-running tasks of which nothing has run for long.
 */
static void
group_other(const sched_pool_t *pool, sched_job_t *job, group_t *groups,
    uint64_t now_us)
{
	uint64_t waited_us = gw_elapsed_us(now_us, job->ran_us);
	const sched_task_t *task = find_due(job);

	if (job->ran_us == 0 || task == NULL)
		job->ran_us = now_us;
	else
		add_task(pool, task, waited_us, groups, now_us);
}

/*
 * Counts the jobs' tasks that wait, of long-running or of other jobs, and logs
 * up to lines_max of them. The next scan begins with the jobs that were left
 * out.
 */
static void
scan_jobs(
    sched_pool_t *pool, bool long_running, uint32_t lines_max, uint64_t now_us)
{
	guint first = pool->waits_next[long_running];
	uint32_t lines = 0;

	pool->waits_next[long_running] = 0;
	for (guint i = 0; i < pool->open->len; i++) {
		guint at = (first + i) % pool->open->len;
		sched_job_t *job = pool->open->pdata[at];
		group_t groups[SCHED_WAITS];

		if (job->long_running != long_running ||
		    (!long_running &&
			gw_elapsed_us(now_us, job->ran_us) < OTHER_MIN_US))
			continue;
		memset(groups, 0, sizeof(groups));
		if (long_running)
			group_lasting(pool, job, groups, now_us);
		else
			group_other(pool, job, groups, now_us);
		for (int k = SCHED_WAIT_NONE + 1; k < SCHED_WAITS; k++) {
			pool->waits.tasks[k] += groups[k].count;
			if (groups[k].task == NULL || lines >= lines_max)
				continue;
			log_group(
			    long_running ? GW_EV_TASK_WAITS : GW_EV_JOB_WAITS,
			    pool, &groups[k], now_us);
			if (++lines == lines_max)
				pool->waits_next[long_running] = at + 1;
		}
	}
}

/*
 * Looks for tasks that do not run, once in SCAN_INTERVAL_US.
 */
void
sched_wait_tick(sched_pool_t *pool, uint64_t now_us)
{
	if (pool->waits_scanned_us != 0 &&
	    gw_elapsed_us(now_us, pool->waits_scanned_us) < SCAN_INTERVAL_US)
		return;
	pool->waits_scanned_us = now_us;
	memset(&pool->waits, 0, sizeof(pool->waits));
	note_running(pool, now_us);
	scan_jobs(pool, true, LASTING_LINES_MAX, now_us);
	scan_jobs(pool, false, OTHER_LINES_MAX, now_us);
}

void
sched_pool_add_waits(const sched_pool_t *pool, sched_waits_t *sum)
{
	for (int i = 0; i < SCHED_WAITS; i++)
		sum->tasks[i] += pool->waits.tasks[i];
	sum->lasting_wait_ms =
	    MAX(sum->lasting_wait_ms, pool->waits.lasting_wait_ms);
	sched_estimate_add_errors(pool, &sum->estimates);
}
