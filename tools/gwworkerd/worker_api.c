#include <stdlib.h>
#include <string.h>

#include "worker.h"

/* When a start that was not answered is carried out after all. */
#define LATE_MS 1500

/* A hold that waits for an end; lives in the request's pool. */
typedef struct {
	worker_t *worker;
	h2o_req_t *req;
	gw_timer_t timer;
	GList link;
} hold_t;

/* A start that is carried out later. */
typedef struct {
	worker_t *worker;
	json_t *request;
	gw_timer_t timer;
} late_t;

static void
answer(worker_t *worker, h2o_req_t *req, int status, json_t *body)
{
	char *text;

	json_object_set_new(body, "clock_ms",
	    json_integer((json_int_t)worker_clock_ms(worker)));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	gw_http_reply(req, status, "application/json", text, strlen(text));
	free(text);
}

static uint64_t
number(const json_t *request, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(request, key));
}

/*
 * Tells whether an order's fence is lower than one seen before.
 */
static bool
is_fenced(worker_t *worker, const json_t *request)
{
	uint64_t fence = number(request, "fencing_token");

	if (fence < worker->fence) {
		worker->ledger->fenced++;
		return true;
	}
	worker->fence = fence;
	return false;
}

/*
 * Carries out a start. Returns the reason of a refusal, or NULL.
 */
static const char *
do_start(worker_t *worker, const json_t *request)
{
	const char *task = json_string_value(json_object_get(request, "task"));
	uint32_t run = (uint32_t)number(request, "run");
	uint64_t deadline_ms = number(request, "deadline_ms");
	const run_t *there = g_hash_table_lookup(worker->runs, task);

	if (is_fenced(worker, request))
		return "fence";
	if (deadline_ms < worker_clock_ms(worker))
		return "late";
	worker_hold_until(worker, deadline_ms);
	if (there != NULL && there->run == run)
		return NULL;
	if (run <= worker_highest(worker, task))
		return "old";
	worker_start(worker, task, run);
	return NULL;
}

static void
on_late(gw_timer_t *timer, void *arg)
{
	late_t *late = arg;

	(void)timer;
	(void)do_start(late->worker, late->request);
	json_decref(late->request);
	g_free(late);
}

static void
start_later(worker_t *worker, const json_t *request)
{
	late_t *late = g_new0(late_t, 1);

	late->worker = worker;
	late->request = json_deep_copy(request);
	gw_timer_start(
	    worker->rt, &late->timer, LATE_MS * GW_US_PER_MS, on_late, late);
}

static void
handle_start(worker_t *worker, h2o_req_t *req, const json_t *request)
{
	const char *reason;

	if (worker->late_starts > 0) {
		worker->late_starts--;
		start_later(worker, request);
		return;
	}
	reason = do_start(worker, request);
	if (worker->lose_starts > 0) {
		worker->lose_starts--;
		return;
	}
	if (reason == NULL)
		answer(worker, req, 200, json_object());
	else
		answer(worker, req, 409, json_pack("{s:s}", "reason", reason));
}

static void
handle_stop(worker_t *worker, h2o_req_t *req, const json_t *request)
{
	const char *task = json_string_value(json_object_get(request, "task"));

	if (is_fenced(worker, request)) {
		answer(worker, req, 409, json_pack("{s:s}", "reason", "fence"));
		return;
	}
	if (g_hash_table_contains(worker->runs, task))
		worker_end(worker, task, "stopped");
	g_hash_table_replace(worker->highest, g_strdup(task),
	    GUINT_TO_POINTER(
		MAX(number(request, "run"), worker_highest(worker, task))));
	answer(worker, req, 200, json_object());
}

static json_t *
report(const worker_t *worker)
{
	json_t *running = json_array(), *ends = json_array();
	GHashTableIter iter;
	run_t *run;

	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&run))
		json_array_append_new(running,
		    json_pack("[s, i, s, i, i]", run->task, (int)run->run, "",
			50, 0));
	for (guint i = 0; i < worker->ends->len; i++)
		json_array_append(ends, worker->ends->pdata[i]);
	return json_pack("{s:I, s:o, s:o}", "born", (json_int_t)worker->born_ms,
	    "running", running, "finished", ends);
}

static void
hold_answer(hold_t *hold)
{
	worker_t *worker = hold->worker;

	gw_timer_stop(&hold->timer);
	g_queue_unlink(&worker->holds, &hold->link);
	hold->link.data = NULL;
	answer(worker, hold->req, 200, report(worker));
}

static void
on_hold_timeout(gw_timer_t *timer, void *arg)
{
	(void)timer;
	hold_answer(arg);
}

static void
on_hold_disposed(void *arg)
{
	hold_t *hold = arg;

	gw_timer_stop(&hold->timer);
	if (hold->link.data != NULL)
		g_queue_unlink(&hold->worker->holds, &hold->link);
}

/*
 * Answers the holds that wait, since an end was listed.
 */
void
worker_answer_holds(worker_t *worker)
{
	while (worker->holds.head != NULL)
		hold_answer(worker->holds.head->data);
}

static void
handle_hold(worker_t *worker, h2o_req_t *req, const json_t *request)
{
	uint64_t wait_ms = number(request, "wait_ms");
	hold_t *hold;

	if (is_fenced(worker, request)) {
		answer(worker, req, 409, json_pack("{s:s}", "reason", "fence"));
		return;
	}
	worker_ack(worker, number(request, "ack_cursor"));
	if (number(request, "deadline_ms") > 0)
		worker_hold_until(worker, number(request, "deadline_ms"));
	hold =
	    h2o_mem_alloc_shared(&req->pool, sizeof(*hold), on_hold_disposed);
	memset(hold, 0, sizeof(*hold));
	hold->worker = worker;
	hold->req = req;
	hold->link.data = hold;
	g_queue_push_tail_link(&worker->holds, &hold->link);
	if (wait_ms == 0 || worker->ends->len > 0)
		hold_answer(hold);
	else
		gw_timer_start(worker->rt, &hold->timer, wait_ms * GW_US_PER_MS,
		    on_hold_timeout, hold);
}

/*
 * Tells whether the request is for the path, whatever its query.
 */
bool
worker_path_is(const h2o_req_t *req, const char *path)
{
	return h2o_memis(req->path_normalized.base, req->path_normalized.len,
	    path, strlen(path));
}

/*
 * Tells whether the order names another instance than this one.
 */
static bool
is_misdirected(const worker_t *worker, const h2o_req_t *req)
{
	ssize_t at = h2o_find_header_by_str(
	    &req->headers, H2O_STRLIT("x-expect-instance"), -1);

	return at >= 0 &&
	    !h2o_memis(req->headers.entries[at].value.base,
		req->headers.entries[at].value.len, worker->id,
		strlen(worker->id));
}

/*
 * Handles an order. A muted worker leaves it without an answer.
 */
int
worker_request(h2o_req_t *req, void *arg)
{
	worker_t *worker = arg;
	json_t *request;

	if (worker->muted)
		return 0;
	if (is_misdirected(worker, req)) {
		answer(worker, req, 421, json_object());
		return 0;
	}
	request = json_loadb(req->entity.base, req->entity.len, 0, NULL);
	if (!json_is_object(request))
		answer(worker, req, 400, json_object());
	else if (worker_path_is(req, "/run-start"))
		handle_start(worker, req, request);
	else if (worker_path_is(req, "/run-stop"))
		handle_stop(worker, req, request);
	else if (worker_path_is(req, "/hold"))
		handle_hold(worker, req, request);
	else
		answer(worker, req, 200, json_object());
	json_decref(request);
	return 0;
}
