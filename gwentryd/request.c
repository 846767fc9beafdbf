#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>

#include "gw/log.h"
#include "request.h"
#include "sched/config.h"

/* Used when a request has no x-deadline-ms header. */
#define CALLER_TIMEOUT_DEFAULT_MS 3000
#define CALLER_TIMEOUT_MAX_MS 60000
/* The response is sent this long before the caller's timeout. */
#define RESPONSE_MARGIN_MS 60
#define MS_PER_S 1000
/* Size of the body of an error. */
#define ERROR_BODY_BYTES 96
/* Longest part of a path in the log. */
#define LOG_PATH_BYTES 60

void
requests_init(requests_t *requests, gw_rt_t *rt, stats_t *stats, void *front)
{
	memset(requests, 0, sizeof(*requests));
	requests->rt = rt;
	requests->stats = stats;
	requests->front = front;
	g_queue_init(&requests->open);
}

/* Memory of libh2o's request; its release calls on_disposed(). */
typedef struct {
	request_t *request;
} dispose_hook_t;

/*
 * Removes a request from the open ones: it is replied to, or its caller has
 * disconnected.
 */
static void
request_close(request_t *request)
{
	if (request->is_open)
		g_queue_unlink(&request->requests->open, &request->link);
	request->is_open = false;
	request->req = NULL;
	gw_timer_stop(&request->deadline);
}

void
request_unref(request_t *request)
{
	if (--request->refs > 0)
		return;
	if (request->charged_bytes > 0)
		gw_budget_release_forward(
		    request->requests->budget, request->charged_bytes);
	OPENSSL_cleanse(&request->key, sizeof(request->key));
	g_free(request);
}

/*
 * Called when libh2o releases its request: the response was sent, or the caller
 * has disconnected.
 */
static void
on_disposed(void *arg)
{
	request_t *request = ((dispose_hook_t *)arg)->request;

	request_close(request);
	request->requests->in_memory--;
	request_unref(request);
}

/*
 * Returns the time in ms within which to reply, so that the response reaches
 * the caller before the caller's timeout, which x-deadline-ms gives.
 */
static uint64_t
parse_response_timeout_ms(const h2o_req_t *req)
{
	static const char name[] = "x-deadline-ms";
	ssize_t at =
	    h2o_find_header_by_str(&req->headers, name, sizeof(name) - 1, -1);
	char text[24];
	uint64_t wait_ms = CALLER_TIMEOUT_DEFAULT_MS;

	if (at >= 0 && req->headers.entries[at].value.len < sizeof(text)) {
		const h2o_iovec_t *value = &req->headers.entries[at].value;

		memcpy(text, value->base, value->len);
		text[value->len] = '\0';
		if (strtoull(text, NULL, 10) > 0)
			wait_ms = strtoull(text, NULL, 10);
	}
	wait_ms = MIN(wait_ms, CALLER_TIMEOUT_MAX_MS);
	return wait_ms > 2 * RESPONSE_MARGIN_MS ? wait_ms - RESPONSE_MARGIN_MS
						: wait_ms / 2;
}

/*
 * Decodes the caller's key. A request with several counts as without one.
 */
static void
parse_key(request_t *request)
{
	static const char name[] = "x-api-key";
	const h2o_headers_t *headers = &request->req->headers;
	ssize_t at =
	    h2o_find_header_by_str(headers, name, sizeof(name) - 1, -1);
	const h2o_iovec_t *value;

	if (at < 0 ||
	    h2o_find_header_by_str(headers, name, sizeof(name) - 1, at) >= 0)
		return;
	value = &headers->entries[at].value;
	sched_key_digest(&request->key, value->base, value->len);
	request->has_key = true;
}

/*
 * Adds a request that has just arrived.
 */
request_t *
request_new(requests_t *requests, h2o_req_t *req)
{
	request_t *request = g_new0(request_t, 1);
	dispose_hook_t *hook;

	request->requests = requests;
	request->req = req;
	request->arrived_us = gw_rt_now_us(requests->rt);
	request->response_timeout_ms = parse_response_timeout_ms(req);
	request->refs = 1;
	request->link.data = request;
	request->is_open = true;
	g_queue_push_tail_link(&requests->open, &request->link);
	requests->in_memory++;
	hook = h2o_mem_alloc_shared(&req->pool, sizeof(*hook), on_disposed);
	hook->request = request;
	parse_key(request);
	return request;
}

bool
request_is_read_only(const request_t *request)
{
	return request->kind == GW__CALL_KIND__CALL_STATE ||
	    request->kind == GW__CALL_KIND__CALL_PENDING;
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
 * Logs the response to a request, with the path where no queue is known.
 * Successful reads are not logged, since callers send many.
 */
static void
log_response(const request_t *request, int status, const char *reason,
    uint64_t took_us, uint32_t retry_after_ms)
{
	const requests_t *requests = request->requests;
	const h2o_iovec_t *path = &request->req->path;
	int path_bytes =
	    request->queue[0] == '\0' ? (int)MIN(path->len, LOG_PATH_BYTES) : 0;

	if (status == STATUS_OK && request_is_read_only(request))
		return;
	gw_log(GW_EV_REQUEST,
	    "job=%s queue=%s team=%s kind=%s status=%d reason=%s "
	    "took_us=%" PRIu64 " retry_after_ms=%u config=%" PRIu64
	    " config_age_ms=%" PRIu64 "%s%.*s",
	    request->id, request->queue, request->team,
	    stats_kind_name(request->kind), status, reason, took_us,
	    retry_after_ms, requests->config_version,
	    gw_elapsed_us(
		gw_rt_now_us(requests->rt), requests->config_current_us) /
		GW_US_PER_MS,
	    path_bytes == 0 ? "" : " path=", path_bytes, path->base);
}

/*
 * Sends the response, logs and counts it.
 */
void
request_reply(request_t *request, int status, const char *body,
    const char *reason, uint32_t retry_after_ms)
{
	requests_t *requests = request->requests;
	h2o_req_t *req = request->req;
	uint64_t took_us =
	    gw_elapsed_us(gw_rt_now_us(requests->rt), request->arrived_us);

	if (req == NULL)
		return;
	stats_record_request(requests->stats, request->kind, status, took_us);
	if (status == STATUS_UNAUTHORIZED)
		stats_record_key_refused(requests->stats,
		    request->has_key ? SCHED_KEY_UNKNOWN : SCHED_KEY_MISSING);
	log_response(request, status, reason, took_us, retry_after_ms);
	request_close(request);
	if (status == STATUS_UNAVAILABLE)
		add_retry_after(req, retry_after_ms);
	if (status == STATUS_UNAUTHORIZED)
		h2o_add_header_by_str(&req->pool, &req->res.headers,
		    H2O_STRLIT("www-authenticate"), 1, NULL,
		    H2O_STRLIT("X-Api-Key"));
	gw_http_reply(req, status, "application/json", body, strlen(body));
}

void
request_reply_error(
    request_t *request, int status, const char *reason, uint32_t retry_after_ms)
{
	char body[ERROR_BODY_BYTES];

	(void)snprintf(body, sizeof(body), "{\"error\":\"%.60s\"}", reason);
	request_reply(request, status, body, reason, retry_after_ms);
}

/*
 * Called when no owner has responded in time. Whether a submit or cancel took
 * effect is not known.
 */
static void
on_deadline(gw_timer_t *timer, void *arg)
{
	(void)timer;
	request_reply_error(arg, STATUS_TIMEOUT, "deadline", 0);
}

uint64_t
request_time_left_ms(const request_t *request)
{
	uint64_t passed_ms = gw_elapsed_us(gw_rt_now_us(request->requests->rt),
				 request->arrived_us) /
	    GW_US_PER_MS;

	return request->response_timeout_ms -
	    MIN(passed_ms, request->response_timeout_ms);
}

void
request_start_deadline(request_t *request)
{
	if (!gw_timer_armed(&request->deadline))
		gw_timer_start(request->requests->rt, &request->deadline,
		    request_time_left_ms(request) * GW_US_PER_MS, on_deadline,
		    request);
}
