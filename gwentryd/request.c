#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gw/log.h"
#include "request.h"

/* Callers wait this long unless they say otherwise. */
#define DEADLINE_DEFAULT_MS 3000
#define DEADLINE_MAX_MS 60000
/* The answer leaves this long before the caller stops to wait. */
#define DEADLINE_MARGIN_MS 60
#define MS_PER_S 1000
/* Room for an error's body with its reason. */
#define ERROR_BYTES 96

/*
 * Prepares for requests.
 */
void
requests_init(requests_t *all, gw_rt_t *rt, stats_t *stats, void *front)
{
	memset(all, 0, sizeof(*all));
	all->rt = rt;
	all->stats = stats;
	all->front = front;
	g_queue_init(&all->open);
}

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
		g_queue_unlink(&request->all->open, &request->link);
	request->is_open = false;
	request->req = NULL;
	gw_timer_stop(&request->deadline);
}

/*
 * Drops a reference.
 */
void
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
	request->all->held--;
	request_unref(request);
}

/*
 * Returns how long the answer may take to reach the caller in time.
 */
static uint64_t
caller_waits_ms(const h2o_req_t *req)
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
 * Returns a request that has just arrived.
 */
request_t *
request_new(requests_t *all, h2o_req_t *req)
{
	request_t *request = g_new0(request_t, 1);
	guard_t *guard;

	request->all = all;
	request->req = req;
	request->arrived_us = gw_rt_now_us(all->rt);
	request->wait_ms = caller_waits_ms(req);
	request->refs = 1;
	request->link.data = request;
	request->is_open = true;
	g_queue_push_tail_link(&all->open, &request->link);
	all->held++;
	guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard), on_disposed);
	guard->request = request;
	return request;
}

/*
 * Tells whether the request changes nothing.
 */
bool
request_is_read(const request_t *request)
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
 * Sends the answer and logs the decision. Reads that succeed are only counted:
 * callers ask often.
 */
void
request_answer(request_t *request, int status, const char *body,
    const char *reason, uint32_t retry_after_ms)
{
	requests_t *all = request->all;
	h2o_req_t *req = request->req;
	uint64_t took_us =
	    gw_elapsed_us(gw_rt_now_us(all->rt), request->arrived_us);

	if (req == NULL)
		return;
	request_close(request);
	stats_request(all->stats, request->kind, status, took_us);
	if (status != STATUS_OK || !request_is_read(request))
		gw_log(GW_EV_REQUEST,
		    "job=%s queue=%s kind=%s status=%d reason=%s "
		    "took_us=%" PRIu64 " retry_after_ms=%u config=%" PRIu64,
		    request->id, request->queue, stats_kind_name(request->kind),
		    status, reason, took_us, retry_after_ms,
		    all->config_version);
	if (status == STATUS_UNAVAILABLE)
		add_retry_after(req, retry_after_ms);
	gw_http_reply(req, status, "application/json", body, strlen(body));
}

/*
 * Sends an error.
 */
void
request_refuse(
    request_t *request, int status, const char *reason, uint32_t retry_after_ms)
{
	char body[ERROR_BYTES];

	(void)snprintf(body, sizeof(body), "{\"error\":\"%.60s\"}", reason);
	request_answer(request, status, body, reason, retry_after_ms);
}

/*
 * The caller is about to stop to wait, and the owner has not replied: whether a
 * change was made is not known.
 */
static void
on_deadline(gw_timer_t *timer, void *arg)
{
	(void)timer;
	request_refuse(arg, STATUS_TIMEOUT, "deadline", 0);
}

/*
 * Starts the time in which the owner has to reply.
 */
void
request_start_deadline(request_t *request)
{
	gw_timer_start(request->all->rt, &request->deadline,
	    request->wait_ms * GW_US_PER_MS, on_deadline, request);
}
