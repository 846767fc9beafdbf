#include "sched/describe.h"

#include <string.h>

#include "sched/impl.h"

static const char *const rank_names[] = {
    [SCHED_RANK_LONG_RUNNING] = "long-running",
    [SCHED_RANK_IN_TIME] = "in-time",
    [SCHED_RANK_LATE] = "late",
    [SCHED_RANK_OVERDUE] = "overdue"};

/* Teams. */

GHashTable *
sched_team_views_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

static sched_team_view_t *
get_view(GHashTable *views, const sched_team_t *team)
{
	sched_team_view_t *view = g_hash_table_lookup(views, team->config.name);

	if (view != NULL)
		return view;
	view = g_new0(sched_team_view_t, 1);
	g_strlcpy(view->name, team->config.name, sizeof(view->name));
	g_hash_table_insert(views, view->name, view);
	return view;
}

static void
add_resources(sched_resources_t *sum, const sched_resources_t *more)
{
	sum->cpu_millis += more->cpu_millis;
	sum->memory_mib += more->memory_mib;
	sum->accelerators += more->accelerators;
}

/*
 * Adds a team's figures in this shard. Those of the configuration and of the
 * planner are the same in all shards.
 */
static void
add_team(sched_team_view_t *view, const sched_team_t *team)
{
	view->is_configured |= team->is_configured;
	if (team->is_configured) {
		view->weight_permille = team->config.weight_permille;
		view->quota = team->config.quota;
	}
	add_resources(&view->running, &team->used);
	add_resources(&view->held, &team->held);
	view->is_lacking |= team->short_since_us != 0;
	view->rate_permille = MAX(view->rate_permille, team->jobs_per_1000s);
	view->submitted += team->submitted;
	view->refused_by_share += team->refused_beyond_share;
	view->refused_by_overload += team->refused - team->refused_beyond_share;
}

void
sched_pool_add_team_views(const sched_pool_t *pool, GHashTable *views)
{
	const sched_team_t *team;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team))
		add_team(get_view(views, team), team);
	for (guint i = 0; i < pool->open->len; i++) {
		const sched_job_t *job = pool->open->pdata[i];

		if (job->team != NULL && job->placed == 0)
			get_view(views, job->team)->waiting++;
	}
}

static gint
compare_names(gconstpointer x, gconstpointer y)
{
	const sched_team_view_t *const *first = x, *const *second = y;

	return strcmp((*first)->name, (*second)->name);
}

GPtrArray *
sched_team_views_sorted(GHashTable *views)
{
	GPtrArray *sorted = g_ptr_array_new();
	sched_team_view_t *view;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, views);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&view))
		g_ptr_array_add(sorted, view);
	g_ptr_array_sort(sorted, compare_names);
	return sorted;
}

/* Jobs. */

static const char *
state_name(const sched_job_t *job)
{
	switch (job->recorded) {
	case GW__JOB_STATE__JOB_COMPLETED:
		return "completed";
	case GW__JOB_STATE__JOB_FAILED:
		return "failed";
	case GW__JOB_STATE__JOB_CANCELLED:
		return "cancelled";
	default:
		return job->started ? "running" : "queued";
	}
}

static void
add_run(sched_job_view_t *view, const sched_task_t *task, sched_wait_t reason)
{
	sched_run_view_t run = {.ref = sched_task_ref(task),
	    .run = task->run,
	    .state = sched_task_state_name(task->state),
	    .reason = reason,
	    .failures = task->failures,
	    .percent = task->percent};

	view->placed++;
	if (view->runs->len >= SCHED_VIEW_RUNS_MAX)
		return;
	g_strlcpy(run.instance, task->instance->info.id, sizeof(run.instance));
	g_array_append_val(view->runs, run);
}

static uint64_t
left_ms(const sched_task_t *task, sched_wait_t reason, uint64_t now_us)
{
	uint64_t until_us = 0;

	if (reason == SCHED_WAIT_LEASE)
		until_us = sched_task_lapses_us(task);
	else if (reason == SCHED_WAIT_NOT_BEFORE)
		until_us = task->not_before_us;
	return gw_elapsed_us(until_us, now_us) / GW_US_PER_MS;
}

static void
add_wait(sched_job_view_t *view, const sched_task_t *task,
    const sched_finding_t *finding, uint64_t now_us)
{
	sched_wait_view_t wait = {.finding = *finding,
	    .first = sched_task_ref(task),
	    .tasks = 1,
	    .left_ms = left_ms(task, finding->reason, now_us)};

	for (guint i = 0; i < view->waits->len; i++) {
		sched_wait_view_t *known =
		    &g_array_index(view->waits, sched_wait_view_t, i);

		if (known->finding.reason == finding->reason) {
			known->tasks++;
			return;
		}
	}
	g_array_append_val(view->waits, wait);
}

/* A task that waits, and why; others of its step wait for the same. */
typedef struct {
	const sched_task_t *task; /* NULL: none yet */
	sched_finding_t finding;
} waiting_t;

/*
 * Returns whether the task waits for the same as the last one. To look at all
 * instances for each task of a large step would stall the owner.
 */
static bool
is_same_wait(const waiting_t *last, const sched_task_t *task, uint64_t now_us)
{
	return last->task != NULL && task->instance == NULL &&
	    last->task->step == task->step &&
	    now_us >= last->task->not_before_us &&
	    now_us >= task->not_before_us &&
	    !sched_crash_is_suspect(last->task) &&
	    !sched_crash_is_suspect(task);
}

static void
add_task(const sched_pool_t *pool, sched_job_view_t *view,
    const sched_task_t *task, waiting_t *last, uint64_t now_us)
{
	sched_finding_t finding;

	view->tasks++;
	view->run_count += task->run;
	view->failures += task->failures;
	view->crashes += task->crashes;
	if (task->state == SCHED_TASK_DONE) {
		view->done++;
		return;
	}
	if (task->state == SCHED_TASK_AWAY) {
		view->away++;
		return;
	}
	finding = is_same_wait(last, task, now_us)
	    ? last->finding
	    : sched_wait_find_reason(pool, task, now_us);
	if (task->instance != NULL)
		add_run(view, task, finding.reason);
	else
		*last = (waiting_t){.task = task, .finding = finding};
	if (finding.reason != SCHED_WAIT_NONE)
		add_wait(view, task, &finding, now_us);
}

static void
add_tasks(const sched_pool_t *pool, const sched_job_t *job,
    sched_job_view_t *view, uint64_t now_us)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];
		waiting_t last = {0};

		for (uint32_t k = 0; k < occurrence->task_count; k++)
			add_task(
			    pool, view, &occurrence->tasks[k], &last, now_us);
	}
}

static void
fill_view(
    const sched_pool_t *pool, const sched_job_t *job, sched_job_view_t *view)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);

	*view = (sched_job_view_t){.queue = g_strdup(job->queue),
	    .state = state_name(job),
	    .is_recorded = job->spec_recorded,
	    .rank = "",
	    .part_of = job->part_of,
	    .is_beyond_share = job->key_in_order.is_beyond_share,
	    .age_ms = gw_elapsed_us(now_us, job->accepted_us) / GW_US_PER_MS,
	    .instances = g_hash_table_size(pool->instances),
	    .runs = g_array_new(FALSE, TRUE, sizeof(sched_run_view_t)),
	    .waits = g_array_new(FALSE, TRUE, sizeof(sched_wait_view_t))};
	if (job->team != NULL)
		g_strlcpy(
		    view->team, job->team->config.name, sizeof(view->team));
	if (sched_job_has_ended(job) || job->spec == NULL)
		return;
	view->rank = rank_names[job->key_in_order.rank_class];
	view->objective_ms =
	    sched_objective_ms(job->spec, job->critical_path_ms);
	add_tasks(pool, job, view, now_us);
}

sched_job_place_t
sched_pool_describe_job(const sched_pool_t *pool, const char *id,
    sched_job_view_t *view, char moved_to[SCHED_NAME_BYTES])
{
	const sched_job_t *job = g_hash_table_lookup(pool->jobs, id);
	const char *place = sched_transfer_place(pool, id);

	if (job != NULL && job->queue != NULL && !job->cancelled_first) {
		fill_view(pool, job, view);
		return SCHED_JOB_FOUND;
	}
	if (job != NULL || place == NULL)
		return SCHED_JOB_ABSENT;
	g_strlcpy(moved_to, place, SCHED_NAME_BYTES);
	return SCHED_JOB_MOVED;
}

void
sched_job_view_clear(sched_job_view_t *view)
{
	g_free(view->queue);
	g_array_free(view->runs, TRUE);
	g_array_free(view->waits, TRUE);
}
