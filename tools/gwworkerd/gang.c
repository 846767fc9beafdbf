#include <string.h>

#include "worker.h"

/* A member that waits longer for the others ends as alone. */
#define ALONE_MS 3000

/*
 * Gangs: the members of a run work only once all are there, and end together.
 */

/*
 * Returns the length of the part of a task's name that its gang shares: all but
 * the index.
 */
static size_t
prefix_bytes(const char *task)
{
	return (size_t)(strrchr(task, '.') + 1 - task);
}

/*
 * Returns the running members of the run's gang, with the run itself.
 */
static GPtrArray *
find_members(const run_t *run)
{
	const worker_stats_t *stats = run->worker->stats;
	GPtrArray *members = g_ptr_array_new();
	GHashTableIter iter;
	const char *task;
	worker_t *worker;

	g_hash_table_iter_init(&iter, stats->running);
	while (g_hash_table_iter_next(
	    &iter, (gpointer *)&task, (gpointer *)&worker)) {
		run_t *member = g_hash_table_lookup(worker->runs, task);

		if (member != NULL && member->number == run->number &&
		    strncmp(task, run->task, prefix_bytes(run->task)) == 0)
			g_ptr_array_add(members, member);
	}
	return members;
}

static void
on_alone(gw_timer_t *timer, void *arg)
{
	run_t *run = arg;
	g_autofree char *task = g_strdup(run->task);

	(void)timer;
	worker_end_run(run->worker, task, "alone");
}

/*
 * Handles the start of a member: with the last one all begin to work.
 */
void
gang_member_started(run_t *run, gw_timer_cb_t on_work_done, uint32_t work_ms)
{
	g_autoptr(GPtrArray) members = find_members(run);

	if (members->len < run->spec.gang) {
		gw_timer_start(run->worker->rt, &run->timer,
		    ALONE_MS * GW_US_PER_MS, on_alone, run);
		return;
	}
	for (guint i = 0; i < members->len; i++) {
		run_t *member = members->pdata[i];

		gw_timer_start(member->worker->rt, &member->timer,
		    work_ms * GW_US_PER_MS, on_work_done, member);
	}
}

/*
 * Ends the other members of a run that ends: as done with it, else as broken.
 * how is NULL when the run's worker is lost.
 */
void
gang_end_others(run_t *run, const char *how)
{
	g_autoptr(GPtrArray) members = NULL;
	bool is_done = g_strcmp0(how, "done") == 0;

	if (run->spec.gang == 0 || run->ending)
		return;
	members = find_members(run);
	for (guint i = 0; i < members->len; i++)
		((run_t *)members->pdata[i])->ending = true;
	for (guint i = 0; i < members->len; i++) {
		run_t *member = members->pdata[i];
		g_autofree char *task = g_strdup(member->task);

		/* A worker that is lost forgets its other runs itself. */
		if (member != run &&
		    (how != NULL || member->worker != run->worker))
			worker_end_run(
			    member->worker, task, is_done ? "done" : "broken");
	}
}
