#include <string.h>

#include "gw/log.h"
#include "http/httpd.h"
#include "request.h"
#include "router.h"
#include "spill.h"

/* A request that waited less needs no check whether its caller is gone. */
#define GONE_CHECK_US GW_US_PER_MS

/*
 * Takes the caller's side from the request, so that an answer that is sent from
 * now on can't call back. NULL when the caller is gone.
 */
static caller_t *
take_caller(request_t *request)
{
	caller_t *caller = request->caller;

	request->caller = NULL;
	if (caller != NULL)
		caller_detach(caller);
	return caller;
}

static void
finish(request_t *request)
{
	gw_timer_stop(&request->timer);
	g_queue_unlink(&request->router->requests, &request->live);
	if (request->head != NULL)
		g_string_free(request->head, TRUE);
	g_free(request);
}

/*
 * Tells whether the request is in the queue.
 */
bool
request_is_waiting(const request_t *request)
{
	return request->item.queued;
}

/*
 * The caller is gone. A queued request leaves the queue; one that may be
 * running ends by itself, and its response is dropped.
 */
static void
on_gone(void *arg)
{
	request_t *request = arg;

	request->caller = NULL;
	if (request->attempt.exchange != NULL) {
		/* It may have been paused for a caller that read slowly. */
		attempt_resume(request);
		return;
	}
	if (request->item.queued)
		fairq_remove(request->pool->queue, &request->item);
	router_count_reason(request->router, REASON_CALLER_GONE);
	finish(request);
}

static void
on_drained(void *arg)
{
	attempt_resume(arg);
}

static const caller_ops_t caller_ops = {on_gone, on_drained};

/*
 * Returns a request that is neither queued nor running.
 */
request_t *
request_new(router_t *router, h2o_req_t *req)
{
	request_t *request;

	request = g_new0(request_t, 1);
	request->router = router;
	request->item.owner = request;
	request->item.arrived_us = gw_rt_now_us(router->rt);
	request->live.data = request;
	g_queue_push_tail_link(&router->requests, &request->live);
	request->caller =
	    caller_new(req, &caller_ops, request, &router->open_callers);
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
 * Ends the request without an endpoint's answer. It is "not run" only when no
 * attempt could have run.
 */
void
request_refuse(request_t *request, reason_t reason)
{
	bool unknown = request->may_have_run;
	const reason_info_t *info = reason_info(reason);
	caller_t *caller = take_caller(request);
	int status = info->status;

	if (unknown && status != 502 && status != 504)
		status = 502;
	if (request->pool != NULL)
		request->pool->refused++;
	router_count_reason(request->router, reason);
	router_count_outcome(
	    request->router, unknown ? ROUTER_UNKNOWN : ROUTER_NOT_RUN);
	gw_log(GW_EV_REFUSE,
	    "request=%s pool=%s team=%s attempts=%u outcome=%s reason=%s",
	    request->id, request->pool == NULL ? "-" : request->pool->name,
	    request->item.team, request->attempts,
	    unknown ? "unknown" : "not-run", info->name);
	if (caller != NULL && caller->started)
		caller_break(caller);
	else if (caller != NULL)
		caller_refuse(caller, reason, unknown ? "unknown" : "not-run",
		    status, retry_after_s(request, status), request->id);
	finish(request);
}

/*
 * Ends the request with the response that the attempt has passed on.
 */
void
request_answered(request_t *request)
{
	router_t *router = request->router;
	caller_t *caller = take_caller(request);

	router_count_outcome(router, ROUTER_ANSWERED);
	gw_histogram_record(router->metrics.total,
	    gw_rt_now_us(router->rt) - request->item.arrived_us);
	if (caller != NULL)
		caller_complete(caller);
	finish(request);
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
 * Puts the request into its pool's queue, or refuses it. May end it.
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
 * Admits a request that has been read: into the queue, to another data centre
 * when the wait here is long, or refused at once.
 */
void
request_admit(request_t *request)
{
	router_t *router = request->router;
	pool_t *pool = request->pool;

	retry_budget_earn(&pool->retries);
	if (request->is_hop && !pool_has_room(pool)) {
		request_refuse(request, REASON_NO_SPARE);
		return;
	}
	gw_timer_start(router->rt, &request->timer,
	    request->item.deadline_us - request->item.arrived_us, on_deadline,
	    request);
	if (spill_is_better(router->spill, request) &&
	    spill_try(router->spill, request))
		return;
	enqueue(request);
}

/*
 * Tells whether another attempt is allowed: the request surely did not run, or
 * may run twice; and the caller, the attempts and the budget allow it.
 */
static bool
may_retry(request_t *request)
{
	if (request->may_have_run && !request->idempotent)
		return false;
	if (request->caller == NULL || request->caller->started)
		return false;
	return request->attempts < RETRY_ATTEMPTS_MAX &&
	    retry_budget_spend(&request->pool->retries);
}

/*
 * Handles an attempt without a usable response.
 */
void
request_failed(request_t *request, reason_t reason)
{
	attempt_t *attempt = &request->attempt;
	bool on_peer = attempt->instance == NULL;

	if (attempt->sent && !attempt->refused)
		request->may_have_run = true;
	/* A peer's refusal is no retry: it did not take an attempt here. */
	if (!(on_peer && !request->may_have_run && request->caller != NULL) &&
	    !may_retry(request)) {
		request_refuse(request, reason);
		return;
	}
	if (attempt->passed)
		caller_reset_head(request->caller);
	request->router->metrics.retries->value += on_peer ? 0 : 1;
	enqueue(request);
}

static const char *
route_reason(const request_t *request, uint64_t waited_us)
{
	if (request->attempts > 0)
		return request->spill_tried ? "after-spill-over" : "retry";
	return waited_us > GONE_CHECK_US ? "queued" : "free-slot";
}

static void
on_start(fairq_item_t *item, instance_t *instance)
{
	request_t *request = item->owner;
	uint64_t waited_us = item->started_us - item->arrived_us;

	gw_histogram_record(request->router->metrics.wait, waited_us);
	if (waited_us > GONE_CHECK_US &&
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
