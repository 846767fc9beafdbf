#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "front.h"
#include "gw/log.h"
#include "http/httpd.h"
#include "platform/caller.h"
#include "sched/parts.h"

#define BODY_MAX_BYTES (1024 * 1024)
#define IDLE_TIMEOUT_MS 60000
#define CONNECTIONS_MAX 3000
/* Callers wait this long unless they say otherwise. */
#define DEADLINE_DEFAULT_MS 3000
#define DEADLINE_MAX_MS 60000
/* The answer leaves this long before the caller stops to wait. */
#define DEADLINE_MARGIN_MS 60
#define RETRY_AFTER_DEFAULT_MS 1000
#define MS_PER_S 1000

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_BAD_METHOD 405
#define STATUS_GONE 410
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504

struct front {
	gw_rt_t *rt;
	dispatch_t *dispatch;
	stats_t *stats;
	gw_httpd_t *httpd;
	const sched_config_t *config;
	uint32_t parts; /* in which each pool is owned; 0: not known yet */
	GQueue open;	/* request_t that were not answered yet */
	uint32_t requests;
	bool closing; /* nothing more is taken */
};

/* One request, from its arrival until its answer and its reply. */
typedef struct {
	front_t *front;
	h2o_req_t *req; /* NULL once answered, or the caller has gone */
	Gw__CallKind kind;
	char id[SCHED_JOB_ID_BYTES];
	char queue[SCHED_NAME_BYTES];
	uint64_t arrived_us;
	gw_timer_t deadline;
	uint32_t waiting; /* replies of owners that are still to come */
	uint32_t pending; /* the sum of those that came */
	bool failed;	  /* one did not tell */
	uint32_t refs;
	GList link; /* in front->open */
	bool is_open;
} request_t;

/* In the memory of libh2o's request, to learn when that is released. */
typedef struct {
	request_t *request;
} guard_t;

/*
 * Takes the request from the open ones: it was answered, or its caller has
 * gone.
 */
static void
request_close(request_t *request)
{
	if (request->is_open)
		g_queue_unlink(&request->front->open, &request->link);
	request->is_open = false;
	request->req = NULL;
	gw_timer_stop(&request->deadline);
}

static void
request_unref(request_t *request)
{
	if (--request->refs == 0)
		g_free(request);
}

/*
 * Called when libh2o releases the request's memory: it was answered, or the
 * caller has gone.
 */
static void
on_disposed(void *arg)
{
	request_t *request = ((guard_t *)arg)->request;

	request_close(request);
	request->front->requests--;
	request_unref(request);
}

static request_t *
request_new(front_t *front, h2o_req_t *req)
{
	request_t *request = g_new0(request_t, 1);
	guard_t *guard;

	request->front = front;
	request->req = req;
	request->arrived_us = gw_rt_now_us(front->rt);
	request->refs = 1;
	request->link.data = request;
	request->is_open = true;
	g_queue_push_tail_link(&front->open, &request->link);
	front->requests++;
	guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard), on_disposed);
	guard->request = request;
	return request;
}

static const char *
kind_name(Gw__CallKind kind)
{
	static const char *const names[] = {
	    "submit", "state", "cancel", "pending"};

	return names[kind];
}

static void
add_retry_after(h2o_req_t *req, uint32_t retry_after_ms)
{
	char *text = h2o_mem_alloc_pool(&req->pool, 16);
	uint32_t seconds = (retry_after_ms + MS_PER_S - 1) / MS_PER_S;

	(void)snprintf(text, 16, "%u", MAX(seconds, 1));
	h2o_add_header_by_str(&req->pool, &req->res.headers,
	    H2O_STRLIT("retry-after"), 1, NULL, text, strlen(text));
}

/*
 * Sends the answer and logs the decision. Reads of a state that succeed are
 * only counted: callers ask often.
 */
static void
answer(request_t *request, int status, const char *body, const char *reason,
    uint32_t retry_after_ms)
{
	front_t *front = request->front;
	h2o_req_t *req = request->req;
	uint64_t took_us =
	    gw_elapsed_us(gw_rt_now_us(front->rt), request->arrived_us);
	bool is_read = request->kind == GW__CALL_KIND__CALL_STATE ||
	    request->kind == GW__CALL_KIND__CALL_PENDING;

	if (req == NULL)
		return;
	request_close(request);
	stats_request(front->stats, request->kind, status, took_us);
	if (status != STATUS_OK || !is_read)
		gw_log(GW_EV_REQUEST,
		    "job=%s queue=%s kind=%s status=%d reason=%s "
		    "took_us=%" PRIu64 " retry_after_ms=%u config=%" PRIu64,
		    request->id, request->queue, kind_name(request->kind),
		    status, reason, took_us, retry_after_ms,
		    front->config == NULL ? 0 : front->config->version);
	if (status == STATUS_UNAVAILABLE)
		add_retry_after(req, retry_after_ms);
	gw_http_reply(req, status, "application/json", body, strlen(body));
}

static void
refuse(request_t *request, int status, const char *reason)
{
	char body[96];

	(void)snprintf(body, sizeof(body), "{\"error\":\"%s\"}", reason);
	answer(request, status, body, reason, RETRY_AFTER_DEFAULT_MS);
}

static void
answer_ok(request_t *request, const Gw__Reply *reply)
{
	char body[64];

	switch (request->kind) {
	case GW__CALL_KIND__CALL_STATE:
		answer(
		    request, STATUS_OK, plat_state_body(reply->state), "ok", 0);
		return;
	case GW__CALL_KIND__CALL_PENDING:
		plat_pending_body(body, sizeof(body), request->pending);
		answer(request, STATUS_OK, body, "ok", 0);
		return;
	default:
		answer(request, STATUS_OK, "{}", "ok", 0);
	}
}

/*
 * Sums up the replies of a pool's parts. One that is missing leaves the sum
 * unknown.
 */
static bool
all_parts_replied(request_t *request, const Gw__Reply *reply)
{
	request->waiting--;
	request->pending += reply->pending;
	request->failed |= reply->outcome != GW__CALL_OUTCOME__CALL_OK;
	return request->waiting == 0 || request->failed;
}

/*
 * Turns the owner's reply into the answer. Refused means that nothing was
 * taken; a read that got no reply is safe to repeat in any case.
 */
static void
on_reply(const Gw__Reply *reply, void *arg)
{
	request_t *request = arg;
	bool is_read = request->kind == GW__CALL_KIND__CALL_STATE ||
	    request->kind == GW__CALL_KIND__CALL_PENDING;
	const char *reason = reply->reason == NULL ? "" : reply->reason;
	char body[96];

	if (!all_parts_replied(request, reply)) {
		request_unref(request);
		return;
	}
	(void)snprintf(body, sizeof(body), "{\"error\":\"%.60s\"}", reason);
	if (reply->outcome == GW__CALL_OUTCOME__CALL_OK)
		answer_ok(request, reply);
	else if (reply->outcome == GW__CALL_OUTCOME__CALL_ABSENT)
		answer(request, STATUS_GONE, body, reason, 0);
	else if (reply->outcome == GW__CALL_OUTCOME__CALL_REFUSED || is_read)
		answer(request, STATUS_UNAVAILABLE, body, reason,
		    reply->retry_after_ms);
	else
		answer(request, STATUS_TIMEOUT, body, reason, 0);
	request_unref(request);
}

/*
 * The caller is about to stop to wait, and the owner has not replied: whether a
 * change was made is not known.
 */
static void
on_deadline(gw_timer_t *timer, void *arg)
{
	request_t *request = arg;

	(void)timer;
	refuse(request, STATUS_TIMEOUT, "deadline");
}

static uint64_t
deadline_ms(const h2o_req_t *req)
{
	static const char name[] = "x-deadline-ms";
	ssize_t at =
	    h2o_find_header_by_str(&req->headers, name, sizeof(name) - 1, -1);
	char text[24];
	uint64_t wait_ms = DEADLINE_DEFAULT_MS;

	if (at >= 0 && req->headers.entries[at].value.len < sizeof(text)) {
		const h2o_iovec_t *value = &req->headers.entries[at].value;

		memcpy(text, value->base, value->len);
		text[value->len] = '\0';
		if (strtoull(text, NULL, 10) > 0)
			wait_ms = strtoull(text, NULL, 10);
	}
	wait_ms = MIN(wait_ms, DEADLINE_MAX_MS);
	return wait_ms > 2 * DEADLINE_MARGIN_MS ? wait_ms - DEADLINE_MARGIN_MS
						: wait_ms / 2;
}

/*
 * Sends the request to the owner of one part of the pool.
 */
static void
send_to_part(
    request_t *request, Gw__Call *call, const char *pool, uint32_t part)
{
	front_t *front = request->front;
	uint64_t wait_ms = deadline_ms(request->req);
	char name[SCHED_NAME_BYTES];

	parts_name(pool, part, front->parts, name);
	call->pool = name;
	request->refs++;
	dispatch_call(front->dispatch, call, wait_ms, on_reply, request);
}

/*
 * Passes the request on to the owner of the job, or, to count a queue, to the
 * owners of all parts of its pool.
 */
static void
pass_on(request_t *request, const sched_queue_t *queue, Gw__JobSpec *spec)
{
	front_t *front = request->front;
	bool is_count = request->kind == GW__CALL_KIND__CALL_PENDING;
	uint32_t first = is_count ? 0 : parts_of(request->id, front->parts);
	uint32_t count = is_count ? front->parts : 1;
	Gw__Call call = GW__CALL__INIT;

	call.kind = request->kind;
	call.queue = queue->name;
	call.id = request->id;
	call.spec = spec;
	request->waiting = count;
	gw_timer_start(front->rt, &request->deadline,
	    deadline_ms(request->req) * GW_US_PER_MS, on_deadline, request);
	request->refs++;
	for (uint32_t i = 0; i < count && request->req != NULL; i++)
		send_to_part(request, &call, queue->pool, first + i);
	request_unref(request);
}

static void
submit(request_t *request, const sched_queue_t *queue)
{
	const h2o_iovec_t *body = &request->req->entity;
	Gw__JobSpec *spec;
	gw_err_t err;

	spec = plat_job_decode(request->id, queue, body->base, body->len, &err);
	if (spec == NULL) {
		gw_log(GW_EV_ENTRY_IGNORED, "job=%s text=\"%s\"", request->id,
		    err.text);
		refuse(request, STATUS_BAD_REQUEST, "malformed-job");
		return;
	}
	pass_on(request, queue, spec);
	gw__job_spec__free_unpacked(spec, NULL);
}

/*
 * Sets what the request asks for from its method. Returns false when there is
 * no such method.
 */
static bool
set_kind(request_t *request, const h2o_req_t *req, bool has_id)
{
	if (has_id &&
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST")))
		request->kind = GW__CALL_KIND__CALL_SUBMIT;
	else if (has_id &&
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("DELETE")))
		request->kind = GW__CALL_KIND__CALL_CANCEL;
	else if (h2o_memis(
		     req->method.base, req->method.len, H2O_STRLIT("GET")))
		request->kind = has_id ? GW__CALL_KIND__CALL_STATE
				       : GW__CALL_KIND__CALL_PENDING;
	else
		return false;
	return true;
}

static int
on_request(h2o_req_t *req, void *arg)
{
	front_t *front = arg;
	request_t *request = request_new(front, req);
	const char *query = memchr(req->path.base, '?', req->path.len);
	size_t path_bytes =
	    query == NULL ? req->path.len : (size_t)(query - req->path.base);
	const sched_queue_t *queue;
	size_t prefix_bytes;
	bool has_id;

	if (front->closing) {
		refuse(request, STATUS_UNAVAILABLE, "shutting-down");
		return 0;
	}
	if (front->config == NULL || front->parts == 0) {
		refuse(request, STATUS_UNAVAILABLE, "no-configuration");
		return 0;
	}
	queue = sched_config_match(front->config, req->authority.base,
	    req->authority.len, req->path.base, path_bytes);
	if (queue == NULL) {
		refuse(request, STATUS_NOT_FOUND, "no-such-queue");
		return 0;
	}
	g_strlcpy(request->queue, queue->name, sizeof(request->queue));
	prefix_bytes = strlen(queue->path_prefix);
	has_id = plat_job_id(request->id, req->path.base + prefix_bytes,
	    path_bytes - prefix_bytes);
	if (!has_id && path_bytes > prefix_bytes) {
		refuse(request, STATUS_NOT_FOUND, "no-job-id");
		return 0;
	}
	if (!set_kind(request, req, has_id))
		refuse(request, STATUS_BAD_METHOD, "method");
	else if (request->kind == GW__CALL_KIND__CALL_SUBMIT)
		submit(request, queue);
	else
		pass_on(request, queue, NULL);
	return 0;
}

/*
 * Listens for callers. Returns NULL with the error.
 */
front_t *
front_new(gw_rt_t *rt, dispatch_t *dispatch, stats_t *stats,
    const gw_addr_t *listen, gw_err_t *err)
{
	const gw_httpd_limits_t limits = {
	    BODY_MAX_BYTES, IDLE_TIMEOUT_MS, CONNECTIONS_MAX};
	front_t *front = g_new0(front_t, 1);

	front->rt = rt;
	front->dispatch = dispatch;
	front->stats = stats;
	front->httpd = gw_httpd_new(rt, &limits, on_request, front);
	if (gw_httpd_listen(front->httpd, listen, NULL, err) == 0)
		return front;
	gw_httpd_free(front->httpd);
	g_free(front);
	return NULL;
}

/*
 * Puts a configuration in force for requests that arrive from now on.
 */
void
front_set_config(front_t *front, const sched_config_t *config)
{
	front->config = config;
}

/*
 * Sets the number of parts; until then every request is refused.
 */
void
front_set_parts(front_t *front, uint32_t parts)
{
	front->parts = parts;
}

/*
 * Answers all open requests; used when the process is about to end.
 */
void
front_finish(front_t *front)
{
	front->closing = true;
	while (front->open.length > 0) {
		request_t *request = g_queue_peek_head(&front->open);
		bool is_change = request->kind == GW__CALL_KIND__CALL_SUBMIT ||
		    request->kind == GW__CALL_KIND__CALL_CANCEL;

		refuse(request, is_change ? STATUS_TIMEOUT : STATUS_UNAVAILABLE,
		    "shutting-down");
	}
}

/*
 * Closes the listener.
 */
void
front_shutdown(front_t *front)
{
	gw_httpd_shutdown(front->httpd);
}

/*
 * Returns the number of requests whose memory is still held.
 */
uint32_t
front_requests(const front_t *front)
{
	return front->requests;
}

/*
 * Returns the number of callers' connections.
 */
uint32_t
front_connections(const front_t *front)
{
	return gw_httpd_connections(front->httpd);
}
