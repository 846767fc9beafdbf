#include <string.h>

#include "front.h"
#include "gw/log.h"
#include "platform/job.h"
#include "request.h"
#include "sched/shard.h"

/*
 * A request with a larger body is answered with 413. max_body_bytes and
 * idle_timeout_ms of the configuration are not used here.
 */
#define BODY_MAX_BYTES (1024 * 1024)
/* Callers reuse their connections for later requests. */
#define IDLE_TIMEOUT_MS 60000
/*
 * Below the platform's limit on file descriptors; the others are for
 * connections to instances.
 */
#define CONNECTIONS_MAX 3000
/*
 * Retry-After where no owner gives one: before the configuration has been read
 * from the store, and during a shutdown.
 */
#define RETRY_AFTER_DEFAULT_MS 1000

struct front {
	dispatch_t *dispatch;
	gw_httpd_t *httpd;
	const sched_config_t *config;
	uint32_t shard_count; /* shards of each pool; 0: not known yet */
	requests_t requests;
	uint32_t config_apply_ms;
	bool closing; /* every new request is refused */
};

static void
reply_error(request_t *request, int status, const char *reason)
{
	request_reply_error(request, status, reason, RETRY_AFTER_DEFAULT_MS);
}

static void
reply_ok(request_t *request, const Gw__Reply *response)
{
	char body[64];

	switch (request->kind) {
	case GW__CALL_KIND__CALL_STATE:
		request_reply(request, STATUS_OK,
		    plat_job_state_body(response->state), "ok", 0);
		return;
	case GW__CALL_KIND__CALL_PENDING:
		plat_pending_body_format(
		    body, sizeof(body), request->pending_jobs);
		request_reply(request, STATUS_OK, body, "ok", 0);
		return;
	default:
		request_reply(request, STATUS_OK, "{}", "ok", 0);
	}
}

/*
 * Adds the response of one shard's owner. Returns true when the caller can be
 * replied to: all owners have responded, or one has failed, so that the sum of
 * pending jobs cannot be known.
 */
static bool
add_shard_response(request_t *request, const Gw__Reply *response)
{
	request->responses_awaited--;
	request->pending_jobs += response->pending;
	request->response_failed |=
	    response->outcome != GW__CALL_OUTCOME__CALL_OK;
	return request->responses_awaited == 0 || request->response_failed;
}

/*
 * Replies to the caller from the owner's response. 503 means that the request
 * can be repeated safely: it was refused, or it is a read. 504 means that a
 * submit or cancel may have been accepted.
 */
static void
on_response(const Gw__Reply *response, void *arg)
{
	request_t *request = arg;
	const char *reason = response->reason == NULL ? "" : response->reason;

	if (!add_shard_response(request, response)) {
		request_unref(request);
		return;
	}
	if (response->outcome == GW__CALL_OUTCOME__CALL_OK)
		reply_ok(request, response);
	else if (response->outcome == GW__CALL_OUTCOME__CALL_ABSENT)
		request_reply_error(request, STATUS_GONE, reason, 0);
	else if (response->outcome == GW__CALL_OUTCOME__CALL_REFUSED ||
	    request_is_read_only(request))
		request_reply_error(request, STATUS_UNAVAILABLE, reason,
		    response->retry_after_ms);
	else
		request_reply_error(request, STATUS_TIMEOUT, reason, 0);
	request_unref(request);
}

/*
 * Forwards the request to the owner of one shard of the pool.
 */
static void
send_to_shard(
    request_t *request, Gw__Call *call, const char *pool, uint32_t shard)
{
	front_t *front = request->requests->front;
	char name[SCHED_NAME_BYTES];

	shard_format_name(pool, shard, front->shard_count, name);
	call->pool = name;
	request->refs++;
	dispatch_call(front->dispatch, call, request->response_timeout_ms,
	    on_response, request);
}

/*
 * Forwards the request to the owner of the job's shard; to count the pending
 * jobs of a queue, to the owners of all shards of the pool.
 */
static void
forward_request(
    request_t *request, const sched_queue_t *queue, Gw__JobSpec *spec)
{
	const front_t *front = request->requests->front;
	uint32_t shard_count = front->shard_count;
	bool is_count = request->kind == GW__CALL_KIND__CALL_PENDING;
	uint32_t first = is_count ? 0 : shard_of_id(request->id, shard_count);
	uint32_t count = is_count ? shard_count : 1;
	Gw__Call call = GW__CALL__INIT;

	call.kind = request->kind;
	call.queue = queue->name;
	call.id = request->id;
	call.spec = spec;
	call.config_version = front->config->version;
	request->responses_awaited = count;
	request_start_deadline(request);
	request->refs++;
	for (uint32_t i = 0; i < count && request->req != NULL; i++)
		send_to_shard(request, &call, queue->pool, first + i);
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
		reply_error(request, STATUS_BAD_REQUEST, "malformed-job");
		return;
	}
	forward_request(request, queue, spec);
	gw__job_spec__free_unpacked(spec, NULL);
}

/*
 * Sets the kind of the request from its method. Returns false for a method that
 * is not supported.
 */
static bool
parse_kind(request_t *request, const h2o_req_t *req, bool has_id)
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

/*
 * Replies that there is no such queue, or with 503 while a configuration that
 * has it may be in force elsewhere.
 */
static void
reply_no_queue(request_t *request)
{
	const front_t *front = request->requests->front;

	if (sched_config_is_current(request->requests->config_current_us,
		gw_rt_now_us(request->requests->rt), front->config_apply_ms))
		reply_error(request, STATUS_NOT_FOUND, "no-such-queue");
	else
		reply_error(
		    request, STATUS_UNAVAILABLE, "configuration-not-current");
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
		reply_error(request, STATUS_UNAVAILABLE, "shutting-down");
		return 0;
	}
	if (front->config == NULL || front->shard_count == 0) {
		reply_error(request, STATUS_UNAVAILABLE, "no-configuration");
		return 0;
	}
	queue = sched_config_find_queue(front->config, req->authority.base,
	    req->authority.len, req->path.base, path_bytes);
	if (queue == NULL) {
		reply_no_queue(request);
		return 0;
	}
	g_strlcpy(request->queue, queue->name, sizeof(request->queue));
	prefix_bytes = strlen(queue->path_prefix);
	has_id = plat_job_id_parse(request->id, req->path.base + prefix_bytes,
	    path_bytes - prefix_bytes);
	if (!has_id && path_bytes > prefix_bytes) {
		reply_error(request, STATUS_NOT_FOUND, "no-job-id");
		return 0;
	}
	if (!parse_kind(request, req, has_id))
		reply_error(request, STATUS_BAD_METHOD, "method");
	else if (request->kind == GW__CALL_KIND__CALL_SUBMIT)
		submit(request, queue);
	else
		forward_request(request, queue, NULL);
	return 0;
}

/*
 * Listens for callers. Returns NULL and sets err on failure.
 */
front_t *
front_new(gw_rt_t *rt, dispatch_t *dispatch, stats_t *stats,
    const plat_settings_t *settings, gw_err_t *err)
{
	const gw_httpd_limits_t limits = {
	    BODY_MAX_BYTES, IDLE_TIMEOUT_MS, CONNECTIONS_MAX};
	front_t *front = g_new0(front_t, 1);

	front->dispatch = dispatch;
	front->config_apply_ms = settings->config_apply_ms;
	requests_init(&front->requests, rt, stats, front);
	front->httpd = gw_httpd_new(rt, &limits, on_request, front);
	if (gw_httpd_listen(front->httpd, &settings->callers, NULL, err) == 0)
		return front;
	gw_httpd_free(front->httpd);
	g_free(front);
	return NULL;
}

/*
 * Sets the configuration for requests that arrive from now on.
 */
void
front_set_config(front_t *front, const sched_config_t *config)
{
	front->config = config;
	front->requests.config_version = config->version;
}

void
front_set_config_current(front_t *front, uint64_t at_us)
{
	front->requests.config_current_us = at_us;
}

void
front_set_shard_count(front_t *front, uint32_t shard_count)
{
	front->shard_count = shard_count;
}

void
front_reply_all(front_t *front)
{
	GQueue *open = &front->requests.open;

	front->closing = true;
	while (open->length > 0) {
		request_t *request = g_queue_peek_head(open);

		reply_error(request,
		    request_is_read_only(request) ? STATUS_UNAVAILABLE
						  : STATUS_TIMEOUT,
		    "shutting-down");
	}
}

void
front_close_listener(front_t *front)
{
	gw_httpd_shutdown(front->httpd);
}

uint32_t
front_request_count(const front_t *front)
{
	return front->requests.in_memory;
}

uint32_t
front_connection_count(const front_t *front)
{
	return gw_httpd_connections(front->httpd);
}
