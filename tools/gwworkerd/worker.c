#include <string.h>

#include "worker.h"

#define BODY_MAX_BYTES 65536
#define IDLE_MS 60000
#define CONNECTIONS_MAX 64

static void
run_free(gpointer data)
{
	run_t *run = data;

	gw_timer_stop(&run->timer);
	g_free(run->task);
	g_free(run);
}

/*
 * Returns a worker that listens at addr, or NULL with the error.
 */
worker_t *
worker_new(gw_rt_t *rt, ledger_t *ledger, const char *id, const gw_addr_t *addr,
    uint32_t work_ms, gw_err_t *err)
{
	const gw_httpd_limits_t limits = {
	    BODY_MAX_BYTES, IDLE_MS, CONNECTIONS_MAX};
	worker_t *worker = g_new0(worker_t, 1);

	worker->rt = rt;
	worker->ledger = ledger;
	g_strlcpy(worker->id, id, sizeof(worker->id));
	worker->born_ms = (uint64_t)g_get_real_time() / 1000;
	worker->work_ms = work_ms;
	worker->next_number = 1;
	worker->runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
	worker->ends =
	    g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	worker->highest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&worker->holds);
	worker->httpd = gw_httpd_new(rt, &limits, worker_request, worker);
	if (gw_httpd_listen(worker->httpd, addr, &worker->addr, err) != 0)
		return NULL;
	return worker;
}

/*
 * Reads the worker's own steady clock.
 */
uint64_t
worker_clock_ms(const worker_t *worker)
{
	return gw_rt_now_us(worker->rt) / GW_US_PER_MS;
}

static void
on_lapse(gw_timer_t *timer, void *arg)
{
	worker_t *worker = arg;
	GList *tasks = g_hash_table_get_keys(worker->runs);

	(void)timer;
	for (GList *link = tasks; link != NULL; link = link->next) {
		worker->ledger->lapses++;
		worker_end(worker, link->data, "lapsed");
	}
	g_list_free(tasks);
}

/*
 * Holds what runs until the deadline; it never becomes earlier.
 */
void
worker_hold_until(worker_t *worker, uint64_t deadline_ms)
{
	uint64_t now_ms = worker_clock_ms(worker);

	worker->held_until_ms = MAX(worker->held_until_ms, deadline_ms);
	if (worker->held_until_ms > now_ms)
		gw_timer_start(worker->rt, &worker->lapse,
		    (worker->held_until_ms - now_ms) * GW_US_PER_MS, on_lapse,
		    worker);
}

static void
on_work_done(gw_timer_t *timer, void *arg)
{
	run_t *run = arg;
	g_autofree char *task = g_strdup(run->task);

	(void)timer;
	worker_end(run->worker, task, "done");
}

/*
 * Starts a run, and counts it when the task runs elsewhere or was done.
 */
void
worker_start(worker_t *worker, const char *task, uint32_t number)
{
	ledger_t *ledger = worker->ledger;
	run_t *run = g_new0(run_t, 1);

	ledger->starts++;
	ledger->doubles += g_hash_table_contains(ledger->running, task) ||
	    g_hash_table_contains(ledger->done, task);
	run->task = g_strdup(task);
	run->run = number;
	run->worker = worker;
	g_hash_table_replace(worker->runs, run->task, run);
	g_hash_table_replace(ledger->running, g_strdup(task), worker);
	gw_timer_start(worker->rt, &run->timer, worker->work_ms * GW_US_PER_MS,
	    on_work_done, run);
}

/*
 * Ends a run and lists its end.
 */
void
worker_end(worker_t *worker, const char *task, const char *how)
{
	run_t *run = g_hash_table_lookup(worker->runs, task);

	if (run == NULL)
		return;
	worker->ledger->ends++;
	g_hash_table_remove(worker->ledger->running, task);
	if (strcmp(how, "done") == 0)
		g_hash_table_add(worker->ledger->done, g_strdup(task));
	g_hash_table_replace(
	    worker->highest, g_strdup(task), GUINT_TO_POINTER(run->run));
	g_ptr_array_add(worker->ends,
	    json_pack("[I, s, i, s, s]", (json_int_t)worker->next_number++,
		task, (int)run->run, how, ""));
	g_hash_table_remove(worker->runs, task);
	worker_answer_holds(worker);
}

/*
 * Forgets the ends up to the number.
 */
void
worker_ack(worker_t *worker, uint64_t number)
{
	while (worker->ends->len > 0 &&
	    (uint64_t)json_integer_value(
		json_array_get(worker->ends->pdata[0], 0)) <= number)
		g_ptr_array_remove_index(worker->ends, 0);
}

/*
 * Returns the highest run of the task that has ended or was stopped here.
 */
uint64_t
worker_highest(const worker_t *worker, const char *task)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(worker->highest, task));
}
