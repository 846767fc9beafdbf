#include <sys/socket.h>

#include <stdlib.h>
#include <string.h>

#include "worker.h"

/* A renewal that waits until a run ends; allocated from the request's pool. */
typedef struct {
	worker_t *worker;
	h2o_req_t *req;
	gw_timer_t timer;
	GList link;
} waiting_renewal_t;

/* A start that is applied later. */
typedef struct {
	worker_t *worker;
	json_t *request;
	gw_timer_t timer;
} delayed_start_t;

static void
reply(worker_t *worker, h2o_req_t *req, int status, json_t *body)
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
get_u64(const json_t *request, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(request, key));
}

/*
 * Returns whether the order's fence is lower than the highest one seen. Counts
 * such an order, else notes the fence.
 */
static bool
is_fenced(worker_t *worker, const json_t *request)
{
	uint64_t fence = get_u64(request, "fencing_token");

	if (fence < worker->fence) {
		worker->stats->fenced++;
		return true;
	}
	worker->fence = fence;
	return false;
}

/*
 * Reads the words of a specification: "lasting", "failing", "deadly", "cpu=N",
 * "ms=N" and "gang=N". Others have no meaning.
 */
static run_spec_t
parse_spec(const char *text)
{
	g_auto(GStrv) words = g_strsplit(text == NULL ? "" : text, " ", -1);
	run_spec_t spec = {0};

	for (char **word = words; *word != NULL; word++) {
		if (strcmp(*word, "lasting") == 0)
			spec.lasting = true;
		else if (strcmp(*word, "failing") == 0)
			spec.failing = true;
		else if (strcmp(*word, "deadly") == 0)
			spec.deadly = true;
		else if (g_str_has_prefix(*word, "cpu="))
			spec.cpu_millis = (uint32_t)atoi(*word + 4);
		else if (g_str_has_prefix(*word, "gang="))
			spec.gang = (uint32_t)atoi(*word + 5);
		else if (g_str_has_prefix(*word, "ms="))
			spec.work_ms = (uint32_t)atoi(*word + 3);
	}
	return spec;
}

/*
 * Applies an order to start a run. Returns the reason of a refusal, or NULL.
 */
static const char *
apply_start(worker_t *worker, const json_t *request)
{
	const char *task = json_string_value(json_object_get(request, "task"));
	uint32_t run = (uint32_t)get_u64(request, "run");
	uint64_t deadline_ms = get_u64(request, "deadline_ms");
	const run_t *current = g_hash_table_lookup(worker->runs, task);
	run_spec_t spec =
	    parse_spec(json_string_value(json_object_get(request, "spec")));

	if (is_fenced(worker, request))
		return "fence";
	if (deadline_ms < worker_clock_ms(worker))
		return "late";
	worker_extend_lease(worker, deadline_ms);
	if (current != NULL && current->number == run)
		return NULL;
	if (run <= worker_highest_ended_run(worker, task))
		return "old";
	worker_start_run(worker, task, run, &spec);
	if (spec.deadly)
		worker_crash(worker);
	return NULL;
}

static void
on_start_due(gw_timer_t *timer, void *arg)
{
	delayed_start_t *delayed = arg;
	const worker_t *worker = delayed->worker;

	(void)timer;
	if (!worker->muted && !worker->crashed && !worker->left)
		(void)apply_start(delayed->worker, delayed->request);
	json_decref(delayed->request);
	g_free(delayed);
}

static void
delay_start(worker_t *worker, const json_t *request)
{
	delayed_start_t *delayed = g_new0(delayed_start_t, 1);

	delayed->worker = worker;
	delayed->request = json_deep_copy(request);
	gw_timer_start(worker->rt, &delayed->timer,
	    worker->late_ms * GW_US_PER_MS, on_start_due, delayed);
}

static void
handle_start(worker_t *worker, h2o_req_t *req, const json_t *request)
{
	const char *reason;

	if (worker->late_starts > 0) {
		worker->late_starts--;
		delay_start(worker, request);
		return;
	}
	reason = apply_start(worker, request);
	if (worker->crashed)
		return;
	if (worker->lose_starts > 0) {
		worker->lose_starts--;
		return;
	}
	if (reason == NULL)
		reply(worker, req, 200, json_object());
	else
		reply(worker, req, 409, json_pack("{s:s}", "reason", reason));
}

static void
handle_stop(worker_t *worker, h2o_req_t *req, const json_t *request)
{
	const char *task = json_string_value(json_object_get(request, "task"));

	if (is_fenced(worker, request)) {
		reply(worker, req, 409, json_pack("{s:s}", "reason", "fence"));
		return;
	}
	worker_stop_run(worker, task);
	g_hash_table_replace(worker->highest_ended_run, g_strdup(task),
	    GUINT_TO_POINTER(MAX(get_u64(request, "run"),
		worker_highest_ended_run(worker, task))));
	reply(worker, req, 200, json_object());
}

static json_t *
report_json(const worker_t *worker)
{
	json_t *running = json_array(), *ends = json_array();
	GHashTableIter iter;
	run_t *run;

	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&run))
		json_array_append_new(running,
		    json_pack("[s, i, s, i, i]", run->task, (int)run->number,
			"", run->spec.lasting ? 100 : 50, 0));
	for (guint i = 0; i < worker->ends->len; i++)
		json_array_append(ends, worker->ends->pdata[i]);
	return json_pack("{s:I, s:o, s:o}", "born", (json_int_t)worker->born_ms,
	    "running", running, "finished", ends);
}

static void
reply_renewal(waiting_renewal_t *renewal)
{
	worker_t *worker = renewal->worker;

	gw_timer_stop(&renewal->timer);
	g_queue_unlink(&worker->waiting_renewals, &renewal->link);
	renewal->link.data = NULL;
	reply(worker, renewal->req, 200, report_json(worker));
}

static void
on_renewal_timeout(gw_timer_t *timer, void *arg)
{
	(void)timer;
	reply_renewal(arg);
}

static void
on_renewal_disposed(void *arg)
{
	waiting_renewal_t *renewal = arg;

	gw_timer_stop(&renewal->timer);
	if (renewal->link.data != NULL)
		g_queue_unlink(
		    &renewal->worker->waiting_renewals, &renewal->link);
}

/*
 * Replies to the waiting renewals after a run has ended.
 */
void
worker_reply_renewals(worker_t *worker)
{
	while (worker->waiting_renewals.head != NULL)
		reply_renewal(worker->waiting_renewals.head->data);
}

/*
 * Breaks the connection of a request.
 */
static void
cut(h2o_req_t *req)
{
	int fd = gw_http_caller_fd(req);

	if (fd >= 0)
		(void)shutdown(fd, SHUT_RDWR);
}

/*
 * Breaks the connections of the waiting renewals, as the end of the worker's
 * process does.
 */
void
worker_cut_renewals(worker_t *worker)
{
	while (worker->waiting_renewals.head != NULL) {
		waiting_renewal_t *renewal =
		    worker->waiting_renewals.head->data;

		cut(renewal->req);
		reply_renewal(renewal);
	}
}

static void
handle_renewal(worker_t *worker, h2o_req_t *req, const json_t *request)
{
	uint64_t wait_ms = get_u64(request, "wait_ms");
	waiting_renewal_t *renewal;

	if (is_fenced(worker, request)) {
		reply(worker, req, 409, json_pack("{s:s}", "reason", "fence"));
		return;
	}
	worker_ack_ends(worker, get_u64(request, "ack_cursor"));
	if (get_u64(request, "deadline_ms") > 0)
		worker_extend_lease(worker, get_u64(request, "deadline_ms"));
	renewal = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*renewal), on_renewal_disposed);
	memset(renewal, 0, sizeof(*renewal));
	renewal->worker = worker;
	renewal->req = req;
	renewal->link.data = renewal;
	g_queue_push_tail_link(&worker->waiting_renewals, &renewal->link);
	if (wait_ms == 0 || worker->ends->len > 0)
		reply_renewal(renewal);
	else
		gw_timer_start(worker->rt, &renewal->timer,
		    wait_ms * GW_US_PER_MS, on_renewal_timeout, renewal);
}

/*
 * Returns whether the request is for the path, with any query.
 */
bool
worker_path_is(const h2o_req_t *req, const char *path)
{
	return h2o_memis(req->path_normalized.base, req->path_normalized.len,
	    path, strlen(path));
}

/*
 * Returns whether the order is meant for another instance than this one.
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
 * Handles an order. A silent worker neither applies it nor replies.
 */
int
worker_handle_request(h2o_req_t *req, void *arg)
{
	worker_t *worker = arg;
	json_t *request;

	if (worker->left) {
		cut(req);
		reply(worker, req, 503, json_object());
		return 0;
	}
	if (worker_is_silent(worker))
		return 0;
	if (is_misdirected(worker, req)) {
		reply(worker, req, 421, json_object());
		return 0;
	}
	request = json_loadb(req->entity.base, req->entity.len, 0, NULL);
	if (!json_is_object(request))
		reply(worker, req, 400, json_object());
	else if (worker_path_is(req, "/run-start"))
		handle_start(worker, req, request);
	else if (worker_path_is(req, "/run-stop"))
		handle_stop(worker, req, request);
	else if (worker_path_is(req, "/hold"))
		handle_renewal(worker, req, request);
	else
		reply(worker, req, 200, json_object());
	json_decref(request);
	return 0;
}
