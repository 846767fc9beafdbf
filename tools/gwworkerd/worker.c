#include <err.h>
#include <string.h>

#include "worker.h"

#define BODY_MAX_BYTES 65536
#define IDLE_TIMEOUT_MS 60000
#define CONNECTIONS_MAX 64
/* Time from a crash to the next start. */
#define RESTART_MS 1000

static void
run_free(gpointer data)
{
	run_t *run = data;

	gw_timer_stop(&run->timer);
	g_free(run->task);
	g_free(run);
}

/*
 * Returns a worker that listens on addr, or NULL with the error.
 */
worker_t *
worker_new(gw_rt_t *rt, worker_stats_t *stats, const char *id,
    const gw_addr_t *addr, uint32_t work_ms, gw_err_t *err)
{
	const gw_httpd_limits_t limits = {
	    BODY_MAX_BYTES, IDLE_TIMEOUT_MS, CONNECTIONS_MAX};
	worker_t *worker = g_new0(worker_t, 1);

	worker->rt = rt;
	worker->stats = stats;
	g_strlcpy(worker->id, id, sizeof(worker->id));
	worker->born_ms = (uint64_t)g_get_real_time() / 1000;
	worker->work_ms = work_ms;
	worker->late_ms = WORKER_LATE_MS;
	worker->next_end_number = 1;
	worker->runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
	worker->ends =
	    g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	worker->highest_ended_run =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&worker->waiting_renewals);
	worker->httpd =
	    gw_httpd_new(rt, &limits, worker_handle_request, worker);
	if (gw_httpd_listen(worker->httpd, addr, &worker->addr, err) != 0)
		return NULL;
	return worker;
}

/*
 * Returns the worker's monotonic clock.
 */
uint64_t
worker_clock_ms(const worker_t *worker)
{
	return gw_elapsed_us(gw_rt_now_us(worker->rt), worker->started_us) /
	    GW_US_PER_MS;
}

/*
 * Returns whether the worker neither carries out orders nor registers.
 */
bool
worker_is_silent(const worker_t *worker)
{
	return worker->muted || worker->cut || worker->crashed || worker->left;
}

static void
on_restart(gw_timer_t *timer, void *arg)
{
	worker_t *worker = arg;

	(void)timer;
	worker->crashed = false;
	worker->started_us = gw_rt_now_us(worker->rt);
	worker->born_ms = (uint64_t)g_get_real_time() / 1000;
}

static uint64_t
now_ms(void)
{
	return (uint64_t)g_get_real_time() / 1000;
}

static void
note_start(worker_t *worker, const run_t *run)
{
	lasting_t *lasting;

	if (!run->spec.lasting)
		return;
	lasting = g_hash_table_lookup(worker->stats->lasting, run->task);
	if (lasting == NULL) {
		lasting = g_new0(lasting_t, 1);
		lasting->how = "";
		g_hash_table_insert(
		    worker->stats->lasting, g_strdup(run->task), lasting);
	}
	lasting->running++;
	lasting->starts++;
	lasting->started_ms = now_ms();
	lasting->worker = worker;
}

/*
 * Notes the end of a task that lasts. how is a constant.
 */
static void
note_end(worker_t *worker, const run_t *run, const char *how)
{
	lasting_t *lasting;

	if (!run->spec.lasting)
		return;
	lasting = g_hash_table_lookup(worker->stats->lasting, run->task);
	lasting->running--;
	lasting->ended_ms = now_ms();
	lasting->how = how;
}

/*
 * Removes the ends that are not acknowledged from what counts as done: nobody
 * need know of them, so their tasks may run again.
 */
static void
forget_done(worker_t *worker)
{
	for (guint i = 0; i < worker->ends->len; i++) {
		const json_t *end = worker->ends->pdata[i];
		const char *task = json_string_value(json_array_get(end, 1));
		gpointer run = GINT_TO_POINTER(
		    (int)json_integer_value(json_array_get(end, 2)));

		if (g_hash_table_lookup(worker->stats->done, task) == run)
			g_hash_table_remove(worker->stats->done, task);
	}
}

/*
 * Removes the worker's runs, and the ends that are not acknowledged, from what
 * counts as running or done: their tasks must run again.
 */
static void
forget_runs(worker_t *worker, const char *how)
{
	GHashTableIter iter;
	gpointer task, run;

	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, &task, &run)) {
		gang_end_others(run, NULL);
		note_end(worker, run, how);
		g_hash_table_remove(worker->stats->running, task);
	}
	forget_done(worker);
	g_hash_table_remove_all(worker->runs);
	g_ptr_array_set_size(worker->ends, 0);
}

/*
 * Ends the worker's runs without a trace and starts it again under its id after
 * RESTART_MS. Then it knows nothing of before.
 */
void
worker_crash(worker_t *worker)
{
	worker->stats->crashes++;
	worker->crashed = true;
	worker->leaving = false;
	gw_timer_stop(&worker->leave_timer);
	forget_runs(worker, "crashed");
	g_hash_table_remove_all(worker->highest_ended_run);
	worker->next_end_number = 1;
	worker->fence = 0;
	worker->lease_end_ms = 0;
	gw_timer_stop(&worker->lease_timer);
	gw_timer_start(worker->rt, &worker->restart_timer,
	    RESTART_MS * GW_US_PER_MS, on_restart, worker);
}

/*
 * Ends the worker for good, with its runs: its port is closed and its entry
 * removed. how is a constant.
 */
void
worker_leave_now(worker_t *worker, const char *how)
{
	if (worker->left)
		return;
	worker->left = true;
	forget_runs(worker, how);
	gw_timer_stop(&worker->leave_timer);
	gw_timer_stop(&worker->restart_timer);
	gw_timer_stop(&worker->lease_timer);
	worker_cut_renewals(worker);
	gw_httpd_shutdown(worker->httpd);
}

static void
on_leave_due(gw_timer_t *timer, void *arg)
{
	(void)timer;
	worker_leave_now(arg, "left");
}

/*
 * Ends the worker for good after leave_ms.
 */
void
worker_leave_later(worker_t *worker)
{
	gw_timer_start(worker->rt, &worker->leave_timer,
	    worker->leave_ms * GW_US_PER_MS, on_leave_due, worker);
}

/*
 * Ends all runs when the worker's lease has expired.
 */
static void
on_lease_expired(gw_timer_t *timer, void *arg)
{
	worker_t *worker = arg;
	g_autoptr(GPtrArray) tasks = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer task;

	(void)timer;
	forget_done(worker);
	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, &task, NULL))
		g_ptr_array_add(tasks, g_strdup(task));
	for (guint i = 0; i < tasks->len; i++) {
		worker->stats->lapses++;
		worker_end_run(worker, tasks->pdata[i], "lapsed");
	}
}

/*
 * Extends the lease of all runs to the deadline. An earlier deadline than the
 * current one has no effect.
 */
void
worker_extend_lease(worker_t *worker, uint64_t deadline_ms)
{
	uint64_t now_ms = worker_clock_ms(worker);

	deadline_ms = MIN(deadline_ms, now_ms + WORKER_LEASE_MAX_MS);
	worker->lease_end_ms = MAX(worker->lease_end_ms, deadline_ms);
	if (worker->lease_end_ms > now_ms)
		gw_timer_start(worker->rt, &worker->lease_timer,
		    (worker->lease_end_ms - now_ms) * GW_US_PER_MS,
		    on_lease_expired, worker);
}

static void
on_work_done(gw_timer_t *timer, void *arg)
{
	run_t *run = arg;
	g_autofree char *task = g_strdup(run->task);

	(void)timer;
	worker_end_run(
	    run->worker, task, run->spec.failing ? "failed" : "done");
}

static void
on_stopped(gw_timer_t *timer, void *arg)
{
	run_t *run = arg;
	g_autofree char *task = g_strdup(run->task);

	(void)timer;
	worker_end_run(run->worker, task, "stopped");
}

/*
 * Stops the task's run, which ends after stop_ms.
 */
void
worker_stop_run(worker_t *worker, const char *task)
{
	run_t *run = g_hash_table_lookup(worker->runs, task);

	if (run == NULL || run->stopping)
		return;
	if (worker->stop_ms == 0) {
		worker_end_run(worker, task, "stopped");
		return;
	}
	run->stopping = true;
	gw_timer_start(worker->rt, &run->timer, worker->stop_ms * GW_US_PER_MS,
	    on_stopped, run);
}

/*
 * Returns whether the worker's runs exceed its capacity, and says which.
 */
static bool
is_over_capacity(worker_t *worker)
{
	g_autoptr(GString) text = g_string_new(NULL);
	uint32_t cpu_millis = 0;
	GHashTableIter iter;
	run_t *run;

	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&run)) {
		cpu_millis += run->spec.cpu_millis;
		g_string_append_printf(text, " %s:%u%s", run->task, run->number,
		    run->stopping ? ":stopping" : "");
	}
	if (cpu_millis <= worker->cpu_millis)
		return false;
	warnx("over: worker=%s cpu=%u runs=%s", worker->id, cpu_millis,
	    text->str);
	return true;
}

/*
 * Starts a run. Counts a double when a run of the task is in progress on any
 * worker, or the task is done, and a start beyond the worker's capacity.
 */
void
worker_start_run(
    worker_t *worker, const char *task, uint32_t number, const run_spec_t *spec)
{
	worker_stats_t *stats = worker->stats;
	run_t *run = g_new0(run_t, 1);
	uint32_t work_ms = spec->work_ms == 0 ? worker->work_ms : spec->work_ms;

	const worker_t *other = g_hash_table_lookup(stats->running, task);

	stats->starts++;
	if (other != NULL || g_hash_table_contains(stats->done, task)) {
		stats->doubles++;
		warnx("double: task=%s run=%u worker=%s: %s %s", task, number,
		    worker->id, other == NULL ? "done" : "runs on",
		    other == NULL ? "" : other->id);
	}
	run->task = g_strdup(task);
	run->number = number;
	run->spec = *spec;
	run->spec.failing |= worker->failing;
	run->worker = worker;
	if (g_hash_table_contains(worker->runs, task))
		note_end(worker, g_hash_table_lookup(worker->runs, task),
		    "replaced");
	g_hash_table_replace(worker->runs, run->task, run);
	g_hash_table_replace(stats->running, g_strdup(task), worker);
	note_start(worker, run);
	stats->over += is_over_capacity(worker);
	if (run->spec.gang > 0)
		gang_member_started(run, on_work_done, work_ms);
	else if (!run->spec.lasting || run->spec.failing)
		gw_timer_start(worker->rt, &run->timer, work_ms * GW_US_PER_MS,
		    on_work_done, run);
}

/*
 * Ends a run and reports its end to the renewals that wait for one. kind is
 * "done", "failed", "stopped" or "lapsed".
 */
void
worker_end_run(worker_t *worker, const char *task, const char *kind)
{
	run_t *run = g_hash_table_lookup(worker->runs, task);

	if (run == NULL)
		return;
	gang_end_others(run, kind);
	worker->stats->ends++;
	note_end(worker, run, kind);
	g_hash_table_remove(worker->stats->running, task);
	if (strcmp(kind, "done") == 0) {
		g_hash_table_replace(worker->stats->done, g_strdup(task),
		    GUINT_TO_POINTER(run->number));
		g_hash_table_add(worker->stats->ever_done, g_strdup(task));
	}
	if (strcmp(kind, "failed") == 0)
		g_hash_table_replace(worker->stats->failed, g_strdup(task),
		    GUINT_TO_POINTER(1 +
			GPOINTER_TO_UINT(
			    g_hash_table_lookup(worker->stats->failed, task))));
	g_hash_table_replace(worker->highest_ended_run, g_strdup(task),
	    GUINT_TO_POINTER(run->number));
	g_ptr_array_add(worker->ends,
	    json_pack("[I, s, i, s, s]", (json_int_t)worker->next_end_number++,
		task, (int)run->number, kind, ""));
	g_hash_table_remove(worker->runs, task);
	worker_reply_renewals(worker);
}

/*
 * Drops the acknowledged ends, up to this number.
 */
void
worker_ack_ends(worker_t *worker, uint64_t number)
{
	while (worker->ends->len > 0 &&
	    (uint64_t)json_integer_value(
		json_array_get(worker->ends->pdata[0], 0)) <= number)
		g_ptr_array_remove_index(worker->ends, 0);
}

/*
 * Returns the highest run of the task that has ended or was stopped here, or 0.
 */
uint64_t
worker_highest_ended_run(const worker_t *worker, const char *task)
{
	return GPOINTER_TO_UINT(
	    g_hash_table_lookup(worker->highest_ended_run, task));
}
