#include <string.h>

#include "gw/log.h"
#include "http/httpd.h"
#include "request.h"
#include "router.h"
#include "spill.h"

/*
 * Requests that waited no longer than this start without a check whether their
 * caller has closed its connection.
 */
#define CALLER_CHECK_MIN_WAIT_US GW_US_PER_MS

/*
 * Detaches the caller from the request and returns it, so that a response sent
 * from now on calls no callback. Returns NULL when the caller has closed its
 * connection.
 */
static caller_t *
detach_caller(request_t *request)
{
	caller_t *caller = request->caller;

	request->caller = NULL;
	if (caller != NULL)
		caller_detach(caller);
	return caller;
}

static void
request_free(request_t *request)
{
	gw_timer_stop(&request->timer);
	g_queue_unlink(&request->router->requests, &request->link);
	if (request->head != NULL)
		g_string_free(request->head, TRUE);
	g_free(request);
}

bool
request_is_queued(const request_t *request)
{
	return request->item.queued;
}

/*
 * Called when the caller has closed its connection. A queued request leaves the
 * queue. A request that was sent to an endpoint may be running: its attempt
 * goes on to the end, and its response is discarded.
 */
static void
on_caller_gone(void *arg)
{
	request_t *request = arg;

	request->caller = NULL;
	if (request->attempt.exchange != NULL) {
		/* Reading may be paused because the caller read slowly. */
		attempt_resume(request);
		return;
	}
	if (request->item.queued)
		fairq_remove(request->pool->queue, &request->item);
	router_count_reason(request->router, REASON_CALLER_GONE);
	request_free(request);
}

static void
on_caller_writable(void *arg)
{
	attempt_resume(arg);
}

static const caller_ops_t caller_ops = {on_caller_gone, on_caller_writable};

/*
 * Returns a new request, not yet queued and without an attempt.
 */
request_t *
request_new(router_t *router, h2o_req_t *req)
{
	request_t *request;

	request = g_new0(request_t, 1);
	request->router = router;
	request->item.owner = request;
	request->item.arrived_us = gw_rt_now_us(router->rt);
	request->link.data = request;
	g_queue_push_tail_link(&router->requests, &request->link);
	request->caller =
	    caller_new(req, &caller_ops, request, &router->open_responses);
	return request;
}

static uint32_t
retry_after_s(const request_t *request, int status)
{
	uint64_t wait_us;

	if (status != 503 && status != 429)
		return 0;
	if (request->pool == NULL)
		return 1;
	wait_us =
	    fairq_estimate_wait_us(request->pool->queue, request->item.team,
		request->item.request_class, request->item.route);
	return (uint32_t)MIN(wait_us / GW_US_PER_S, 60) + 1;
}

/*
 * Ends the request without an endpoint's response. The outcome is "not-run"
 * only when no attempt can have run, else "unknown" with status 502 or 504.
 */
void
request_refuse(request_t *request, reason_t reason)
{
	bool unknown = request->may_have_run;
	const reason_info_t *info = reason_info(reason);
	caller_t *caller = detach_caller(request);
	int status = info->status;

	if (unknown && status != 502 && status != 504)
		status = 502;
	if (request->pool != NULL)
		request->pool->refused++;
	router_count_reason(request->router, reason);
	router_count_outcome(request->router,
	    unknown ? ROUTER_OUTCOME_UNKNOWN : ROUTER_OUTCOME_NOT_RUN);
	gw_log(GW_EV_REFUSE,
	    "request=%s pool=%s team=%s attempts=%u outcome=%s reason=%s",
	    request->id, request->pool == NULL ? "-" : request->pool->name,
	    request->item.team, request->attempts,
	    unknown ? "unknown" : "not-run", info->name);
	if (caller != NULL && caller->started)
		caller_abort(caller);
	else if (caller != NULL)
		caller_reply_error(caller, reason,
		    unknown ? "unknown" : "not-run", status,
		    retry_after_s(request, status), request->id);
	request_free(request);
}

/*
 * Ends the request after the attempt has forwarded the whole response.
 */
void
request_complete(request_t *request)
{
	router_t *router = request->router;
	caller_t *caller = detach_caller(request);

	router_count_outcome(router, ROUTER_OUTCOME_ANSWERED);
	gw_histogram_record(router->metrics.response_time,
	    gw_rt_now_us(router->rt) - request->item.arrived_us);
	if (caller != NULL)
		caller_complete(caller);
	request_free(request);
}

static void
on_deadline(gw_timer_t *timer, void *arg)
{
	request_t *request = arg;

	(void)timer;
	if (request->attempt.exchange != NULL) {
		attempt_abandon(request, REASON_DEADLINE);
		return;
	}
	fairq_remove(request->pool->queue, &request->item);
	request_refuse(request, REASON_EXPIRED);
}

static reason_t
verdict_reason(fairq_verdict_t verdict)
{
	if (verdict == FAIRQ_REFUSED_FULL)
		return REASON_QUEUE_FULL;
	if (verdict == FAIRQ_REFUSED_SHARE)
		return REASON_OVER_SHARE;
	return REASON_DEADLINE_AHEAD;
}

/*
 * Appends the request to its pool's queue. If the queue refuses it, the request
 * is sent to another data centre, or refused if that is impossible. The request
 * may be freed on return.
 */
static void
enqueue(request_t *request)
{
	pool_t *pool = request->pool;
	fairq_verdict_t verdict;

	verdict = fairq_push(pool->queue, &request->item);
	if (verdict == FAIRQ_ADMITTED) {
		pool_dispatch(pool);
		return;
	}
	if (!spill_try(request->router->spill, request))
		request_refuse(request, verdict_reason(verdict));
}

/*
 * Queues a parsed request, sends it to another data centre if the wait here
 * would be long, or refuses it.
 */
void
request_schedule(request_t *request)
{
	router_t *router = request->router;
	pool_t *pool = request->pool;

	retry_budget_credit(&pool->retries);
	if (request->from_peer && !pool_has_free_slot(pool)) {
		request_refuse(request, REASON_NO_SPARE);
		return;
	}
	gw_timer_start(router->rt, &request->timer,
	    request->item.deadline_us - request->item.arrived_us, on_deadline,
	    request);
	if (spill_is_faster(router->spill, request) &&
	    spill_try(router->spill, request))
		return;
	enqueue(request);
}

/*
 * Returns true and spends one retry of the pool's budget if another attempt is
 * allowed. A request that may have run is retried only if it is idempotent. The
 * caller must be connected and have received no part of a response, and the
 * number of attempts is limited.
 */
static bool
spend_retry(request_t *request)
{
	if (request->may_have_run && !request->idempotent)
		return false;
	if (request->caller == NULL || request->caller->started)
		return false;
	return request->attempts < RETRY_ATTEMPTS_MAX &&
	    retry_budget_spend(&request->pool->retries);
}

/*
 * Called when an attempt gave no usable response. Queues the request again or
 * refuses it.
 */
void
request_attempt_failed(request_t *request, reason_t reason)
{
	attempt_t *attempt = &request->attempt;
	bool on_peer = attempt->instance == NULL;

	if (attempt->sent && !attempt->refused)
		request->may_have_run = true;
	/*
	 * A request that a peer refused is queued here without spending a
	 * retry: no instance here was tried.
	 */
	if (!(on_peer && !request->may_have_run && request->caller != NULL) &&
	    !spend_retry(request)) {
		request_refuse(request, reason);
		return;
	}
	if (attempt->head_forwarded)
		caller_reset_head(request->caller);
	request->router->metrics.retries->value += on_peer ? 0 : 1;
	enqueue(request);
}

static const char *
route_reason(const request_t *request, uint64_t waited_us)
{
	if (request->attempts > 0)
		return request->spill_tried ? "after-spill-over" : "retry";
	return waited_us > CALLER_CHECK_MIN_WAIT_US ? "queued" : "free-slot";
}

static void
on_start(fairq_item_t *item, instance_t *instance)
{
	request_t *request = item->owner;
	uint64_t waited_us = item->started_us - item->arrived_us;

	gw_histogram_record(request->router->metrics.queue_wait, waited_us);
	if (waited_us > CALLER_CHECK_MIN_WAIT_US &&
	    gw_http_caller_gone(request->caller->req)) {
		fairq_complete(request->pool->queue, item, item->cost_us);
		request_refuse(request, REASON_CALLER_GONE);
		return;
	}
	request->router->metrics.attempts->value++;
	attempt_start(request, instance, route_reason(request, waited_us));
}

static void
on_expired(fairq_item_t *item, void *arg)
{
	(void)arg;
	request_refuse(item->owner, REASON_EXPIRED);
}

const pool_ops_t request_pool_ops = {on_start, on_expired};
