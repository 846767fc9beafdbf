#include <stdio.h>
#include <string.h>

#include "framing.h"
#include "gw/log.h"
#include "request.h"
#include "router.h"
#include "spill.h"

/* Bodies up to this size are sent in one write with the head. */
#define INLINE_BODY_MAX_BYTES (16 * 1024)

static void
init_attempt(request_t *request)
{
	attempt_t *attempt = &request->attempt;
	router_t *router = request->router;

	*attempt = (attempt_t){.started_us = gw_rt_now_us(router->rt)};
	(void)snprintf(attempt->id, sizeof(attempt->id),
	    "%016" PRIx64 "-%" PRIx64, router->boot_id,
	    router->next_attempt_number++);
	request->attempts++;
}

static uint64_t
remaining_ms(const request_t *request)
{
	uint64_t now_us = gw_rt_now_us(request->router->rt);

	if (request->item.deadline_us <= now_us)
		return 1;
	return (request->item.deadline_us - now_us) / GW_US_PER_MS + 1;
}

static bool
method_has_body(const h2o_req_t *req)
{
	return req->entity.base != NULL ||
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST")) ||
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("PUT")) ||
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("PATCH"));
}

/*
 * Returns the head, followed by the body when that is small.
 */
static GString *
format_head(const request_t *request)
{
	const h2o_req_t *req = request->caller->req;
	GString *head;

	head = g_string_sized_new(request->head->len + 256 +
	    MIN(req->entity.len, INLINE_BODY_MAX_BYTES));
	g_string_append_len(
	    head, request->head->str, (gssize)request->head->len);
	g_string_append_printf(head,
	    "godwit-request-id: %s\r\n"
	    "godwit-attempt-id: %s\r\n"
	    "godwit-deadline-ms: %" PRIu64 "\r\n",
	    request->id, request->attempt.id, remaining_ms(request));
	if (request->attempt.instance == NULL)
		g_string_append(head, "godwit-hops: 1\r\n");
	if (method_has_body(req))
		g_string_append_printf(
		    head, "content-length: %zu\r\n", req->entity.len);
	g_string_append(head, "\r\n");
	if (req->entity.len <= INLINE_BODY_MAX_BYTES)
		g_string_append_len(
		    head, req->entity.base, (gssize)req->entity.len);
	return head;
}

static const gw_exchange_ops_t exchange_ops;

static void
start_exchange(request_t *request, gw_target_t *target)
{
	const h2o_req_t *req = request->caller->req;
	GBytes *head, *body = NULL;

	head = g_string_free_to_bytes(format_head(request));
	if (req->entity.len > INLINE_BODY_MAX_BYTES)
		body = g_bytes_new(req->entity.base, req->entity.len);
	request->attempt.exchange = gw_exchange_start(target, head, body,
	    request->is_head_method, &exchange_ops, request);
	g_bytes_unref(head);
	if (body != NULL)
		g_bytes_unref(body);
}

static void
on_hard_deadline(gw_timer_t *timer, void *arg)
{
	(void)timer;
	attempt_abandon(arg, REASON_HARD_DEADLINE);
}

/*
 * Sends the request to an instance with a free granted slot.
 */
void
attempt_start(request_t *request, instance_t *instance, const char *reason)
{
	attempt_t *attempt = &request->attempt;

	init_attempt(request);
	attempt->instance = instance;
	attempt->was_time_bound = instance->time_bound;
	gw_log(GW_EV_ROUTE,
	    "request=%s attempt=%u pool=%s team=%s class=%s instance=%s "
	    "in_flight=%u granted=%u waited_us=%" PRIu64 " reason=%s",
	    request->id, request->attempts, request->pool->name,
	    request->item.team, request_class_name(request->item.request_class),
	    instance->id, instance->in_flight, instance->granted,
	    attempt->started_us - request->item.arrived_us, reason);
	pool_attempt_started(request->pool, instance, attempt->was_time_bound);
	if (attempt->was_time_bound)
		gw_timer_start(request->router->rt, &attempt->timer,
		    GW_HARD_DEADLINE_MS * GW_US_PER_MS, on_hard_deadline,
		    request);
	start_exchange(request, instance_target(instance));
}

/*
 * Sends the request to a router of another data centre. It uses no slot here.
 */
void
attempt_start_on_peer(request_t *request, gw_target_t *peer)
{
	init_attempt(request);
	gw_log(GW_EV_ROUTE,
	    "request=%s attempt=%u pool=%s team=%s class=%s peer=%s "
	    "reason=spill-over",
	    request->id, request->attempts, request->pool->name,
	    request->item.team, request_class_name(request->item.request_class),
	    gw_target_peer(peer));
	start_exchange(request, peer);
}

static void
on_send(void *arg)
{
	request_t *request = arg;

	request->attempt.sent = true;
}

static const h2o_header_t *
find_header(const gw_exchange_head_t *head, const char *name)
{
	size_t len = strlen(name);

	for (size_t i = 0; i < head->header_count; i++)
		if (h2o_lcstris(head->headers[i].name->base,
			head->headers[i].name->len, name, len))
			return &head->headers[i];
	return NULL;
}

static bool
value_is(const h2o_header_t *h, const char *want)
{
	return h != NULL &&
	    h2o_memis(h->value.base, h->value.len, want, strlen(want));
}

/*
 * Returns whether the response belongs to this attempt. On a reused connection,
 * HTTP/1.1 alone can't distinguish a surplus response from the right one. So an
 * instance that has once sent back an attempt id must do so in each response.
 */
static bool
response_matches_attempt(attempt_t *attempt, const gw_exchange_head_t *head)
{
	const h2o_header_t *echoed = find_header(head, "godwit-attempt-id");

	if (echoed == NULL)
		return attempt->instance == NULL ||
		    !attempt->instance->echoes_attempt_id;
	if (!value_is(echoed, attempt->id))
		return false;
	if (attempt->instance != NULL)
		attempt->instance->echoes_attempt_id = true;
	return true;
}

static bool
is_refusal(const attempt_t *attempt, const gw_exchange_head_t *head)
{
	if (!value_is(find_header(head, "godwit-outcome"), "not-run"))
		return false;
	return attempt->instance == NULL || head->status == 503;
}

static const char *
outcome_name(const attempt_t *attempt, const gw_exchange_head_t *head)
{
	if (attempt->instance != NULL)
		return "answered";
	return value_is(find_header(head, "godwit-outcome"), "answered")
	    ? "answered"
	    : "unknown";
}

static int
on_head(const gw_exchange_head_t *head, void *arg)
{
	request_t *request = arg;
	attempt_t *attempt = &request->attempt;

	attempt->status = head->status;
	if (!response_matches_attempt(attempt, head) ||
	    (!head->is_last &&
		!framing_check_response(head->headers, head->header_count))) {
		attempt->invalid_response = true;
		return -1;
	}
	if (is_refusal(attempt, head)) {
		attempt->refused = true;
		return 0;
	}
	attempt->head_forwarded = true;
	if (request->caller != NULL)
		caller_set_head(
		    request->caller, head, outcome_name(attempt, head));
	return 0;
}

static int
on_body(const char *data, size_t size_bytes, void *arg)
{
	request_t *request = arg;
	attempt_t *attempt = &request->attempt;

	if (attempt->refused || request->caller == NULL)
		return 0;
	if (!caller_append_body(request->caller, data, size_bytes))
		gw_exchange_pause(attempt->exchange);
	return 0;
}

/*
 * Resumes reading the response after the caller has caught up.
 */
void
attempt_resume(request_t *request)
{
	if (request->attempt.exchange != NULL)
		gw_exchange_resume(request->attempt.exchange);
}

static outlier_result_t
classify_result(const attempt_t *attempt, const gw_err_t *err)
{
	if (err != NULL || attempt->refused || attempt->status >= 500)
		return OUTLIER_FAILURE;
	return attempt->status >= 400 ? OUTLIER_CALLER_FAULT : OUTLIER_SUCCESS;
}

static void
count_result(instance_t *instance, outlier_result_t result)
{
	if (result == OUTLIER_FAILURE)
		instance->counts.failed++;
	else
		instance->counts.succeeded++;
}

/*
 * Ends the attempt: updates the fair queue's cost, outlier detection and
 * backoff, and releases the slot. If hold_us is above 0, the slot stays in use
 * for that time, because the endpoint may still be working on the request.
 */
static void
end_attempt(request_t *request, outlier_result_t result, uint64_t hold_us)
{
	attempt_t *attempt = &request->attempt;
	instance_t *instance = attempt->instance;
	uint64_t service_us =
	    gw_rt_now_us(request->router->rt) - attempt->started_us;

	attempt->exchange = NULL;
	gw_timer_stop(&attempt->timer);
	if (instance == NULL)
		return;
	if (result == OUTLIER_SUCCESS)
		instance_record_service_time(instance, service_us);
	/*
	 * The duration of an attempt that did not run does not show the cost of
	 * the request; its estimate is used instead.
	 */
	fairq_complete(request->pool->queue, &request->item,
	    attempt->sent && !attempt->refused ? service_us
					       : request->item.cost_us);
	pool_record_result(request->pool, instance, result);
	if (!attempt->sent || attempt->refused)
		instance_back_off(instance);
	if (hold_us > 0) {
		slot_hold_start(request->router, request->pool, instance,
		    attempt->was_time_bound, hold_us);
		return;
	}
	pool_attempt_ended(request->pool, instance, attempt->was_time_bound);
	router_attempt_ended(
	    request->router, instance, attempt->was_time_bound);
}

static void
log_failure(request_t *request, const gw_err_t *err, reason_t reason)
{
	attempt_t *attempt = &request->attempt;

	gw_log(GW_EV_ATTEMPT_FAILED,
	    "request=%s attempt=%u instance=%s sent=%s reason=%s text=\"%s\"",
	    request->id, request->attempts,
	    attempt->instance == NULL ? "-" : attempt->instance->id,
	    attempt->sent ? "yes" : "no", reason_info(reason)->name,
	    err == NULL ? "" : err->text);
}

static reason_t
failure_reason(const attempt_t *attempt, const gw_err_t *err)
{
	if (err == NULL)
		return REASON_REFUSED;
	if (!attempt->sent)
		return REASON_UNREACHABLE;
	return attempt->invalid_response ? REASON_BAD_RESPONSE : REASON_BROKEN;
}

/*
 * Called at the end of the exchange. err is NULL when the response is complete.
 */
static void
on_end(const gw_err_t *err, void *arg)
{
	request_t *request = arg;
	attempt_t *attempt = &request->attempt;
	bool answered = err == NULL && !attempt->refused;
	outlier_result_t result = classify_result(attempt, err);
	pool_t *pool = request->pool;
	reason_t reason;

	if (attempt->instance != NULL)
		count_result(attempt->instance, result);
	else
		spill_attempt_ended(request->router->spill, request, answered);
	if (answered) {
		end_attempt(request, result, 0);
		request_complete(request);
	} else {
		reason = failure_reason(attempt, err);
		log_failure(request, err, reason);
		end_attempt(request, result, 0);
		request_attempt_failed(request, reason);
	}
	pool_dispatch(pool);
}

static const gw_exchange_ops_t exchange_ops = {
    on_send, on_head, on_body, on_end};

/*
 * Returns how long the slot of an abandoned attempt stays in use. The endpoint
 * may still work on the request for the learned service time of the route. On a
 * time-bound instance the time ends at the hard deadline, since the planner
 * assumes that the instance is unused after it.
 */
static uint64_t
slot_hold_us(const request_t *request)
{
	const attempt_t *attempt = &request->attempt;
	uint64_t now_us = gw_rt_now_us(request->router->rt);
	uint64_t limit_us = GW_HARD_DEADLINE_MS * GW_US_PER_MS;
	uint64_t used_us =
	    attempt->was_time_bound ? now_us - attempt->started_us : 0;

	if (!attempt->sent || used_us >= limit_us)
		return 0;
	return MIN(request->item.cost_us, limit_us - used_us);
}

/*
 * Abandons the attempt at a deadline and ends the request. The connection is
 * closed, so a late response is never read. The failure counts against the
 * instance unless the caller set the deadline.
 */
void
attempt_abandon(request_t *request, reason_t reason)
{
	attempt_t *attempt = &request->attempt;
	pool_t *pool = request->pool;

	gw_exchange_cancel(attempt->exchange);
	log_failure(request, NULL, reason);
	if (attempt->instance != NULL)
		attempt->instance->counts.timed_out++;
	else
		spill_attempt_ended(request->router->spill, request, false);
	end_attempt(request,
	    request->deadline_from_caller ? OUTLIER_CALLER_FAULT
					  : OUTLIER_FAILURE,
	    slot_hold_us(request));
	if (attempt->sent)
		request->may_have_run = true;
	request_refuse(request, reason);
	pool_dispatch(pool);
}
