#include <string.h>

#include "front.h"
#include "gw/log.h"
#include "platform/caller.h"
#include "request.h"
#include "sched/parts.h"

/* A larger job is answered with 413. */
#define BODY_MAX_BYTES (1024 * 1024)
/* Callers keep connections between their requests. */
#define IDLE_TIMEOUT_MS 60000
/* Below the platform's bound on descriptors; the rest is for instances. */
#define CONNECTIONS_MAX 3000
/* Without a better estimate: a start without the store, or an exit. */
#define RETRY_AFTER_DEFAULT_MS 1000

struct front {
	dispatch_t *dispatch;
	gw_httpd_t *httpd;
	const sched_config_t *config;
	uint32_t parts; /* in which each pool is owned; 0: not known yet */
	requests_t requests;
	bool closing; /* nothing more is taken */
};

static void
refuse(request_t *request, int status, const char *reason)
{
	request_refuse(request, status, reason, RETRY_AFTER_DEFAULT_MS);
}

static void
answer_ok(request_t *request, const Gw__Reply *reply)
{
	char body[64];

	switch (request->kind) {
	case GW__CALL_KIND__CALL_STATE:
		request_answer(request, STATUS_OK,
		    plat_job_state_body(reply->state), "ok", 0);
		return;
	case GW__CALL_KIND__CALL_PENDING:
		plat_pending_body_format(body, sizeof(body), request->pending);
		request_answer(request, STATUS_OK, body, "ok", 0);
		return;
	default:
		request_answer(request, STATUS_OK, "{}", "ok", 0);
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
	const char *reason = reply->reason == NULL ? "" : reply->reason;

	if (!all_parts_replied(request, reply)) {
		request_unref(request);
		return;
	}
	if (reply->outcome == GW__CALL_OUTCOME__CALL_OK)
		answer_ok(request, reply);
	else if (reply->outcome == GW__CALL_OUTCOME__CALL_ABSENT)
		request_refuse(request, STATUS_GONE, reason, 0);
	else if (reply->outcome == GW__CALL_OUTCOME__CALL_REFUSED ||
	    request_is_read(request))
		request_refuse(
		    request, STATUS_UNAVAILABLE, reason, reply->retry_after_ms);
	else
		request_refuse(request, STATUS_TIMEOUT, reason, 0);
	request_unref(request);
}

/*
 * Sends the request to the owner of one part of the pool.
 */
static void
send_to_part(
    request_t *request, Gw__Call *call, const char *pool, uint32_t part)
{
	front_t *front = request->all->front;
	char name[SCHED_NAME_BYTES];

	parts_name(pool, part, front->parts, name);
	call->pool = name;
	request->refs++;
	dispatch_call(
	    front->dispatch, call, request->wait_ms, on_reply, request);
}

/*
 * Passes the request on to the owner of the job, or, to count a queue, to the
 * owners of all parts of its pool.
 */
static void
pass_on(request_t *request, const sched_queue_t *queue, Gw__JobSpec *spec)
{
	const front_t *front = request->all->front;
	uint32_t parts = front->parts;
	bool is_count = request->kind == GW__CALL_KIND__CALL_PENDING;
	uint32_t first = is_count ? 0 : parts_of(request->id, parts);
	uint32_t count = is_count ? parts : 1;
	Gw__Call call = GW__CALL__INIT;

	call.kind = request->kind;
	call.queue = queue->name;
	call.id = request->id;
	call.spec = spec;
	request->waiting = count;
	request_start_deadline(request);
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
	request_t *request = request_new(&front->requests, req);
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
	has_id = plat_job_id_parse(request->id, req->path.base + prefix_bytes,
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

	front->dispatch = dispatch;
	requests_init(&front->requests, rt, stats, front);
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
	front->requests.config_version = config->version;
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
	GQueue *open = &front->requests.open;

	front->closing = true;
	while (open->length > 0) {
		request_t *request = g_queue_peek_head(open);

		refuse(request,
		    request_is_read(request) ? STATUS_UNAVAILABLE
					     : STATUS_TIMEOUT,
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
	return front->requests.held;
}

/*
 * Returns the number of callers' connections.
 */
uint32_t
front_connections(const front_t *front)
{
	return gw_httpd_connections(front->httpd);
}
