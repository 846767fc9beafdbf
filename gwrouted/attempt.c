#include <stdio.h>
#include <string.h>

#include "framing.h"
#include "gw/log.h"
#include "request.h"
#include "router.h"
#include "spill.h"

/* A body up to this size goes out in one piece with the head. */
#define JOINED_BODY_BYTES (16 * 1024)

static void
begin(request_t *request)
{
	attempt_t *attempt = &request->attempt;
	router_t *router = request->router;

	*attempt = (attempt_t){.started_us = gw_rt_now_us(router->rt)};
	(void)snprintf(attempt->id, sizeof(attempt->id),
	    "%016" PRIx64 "-%" PRIx64, router->boot_id, router->next_attempt++);
	request->attempts++;
}

static uint64_t
time_left_ms(const request_t *request)
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
 * Writes the whole head, and the body when it is small.
 */
static GString *
write_head(const request_t *request)
{
	const h2o_req_t *req = request->caller->req;
	GString *head;

	head = g_string_sized_new(
	    request->head->len + 256 + MIN(req->entity.len, JOINED_BODY_BYTES));
	g_string_append_len(
	    head, request->head->str, (gssize)request->head->len);
	g_string_append_printf(head,
	    "godwit-request-id: %s\r\n"
	    "godwit-attempt-id: %s\r\n"
	    "godwit-deadline-ms: %" PRIu64 "\r\n",
	    request->id, request->attempt.id, time_left_ms(request));
	if (request->attempt.instance == NULL)
		g_string_append(head, "godwit-hops: 1\r\n");
	if (method_has_body(req))
		g_string_append_printf(
		    head, "content-length: %zu\r\n", req->entity.len);
	g_string_append(head, "\r\n");
	if (req->entity.len <= JOINED_BODY_BYTES)
		g_string_append_len(
		    head, req->entity.base, (gssize)req->entity.len);
	return head;
}

static const gw_exchange_ops_t exchange_ops;

static void
send_to(request_t *request, gw_target_t *target)
{
	const h2o_req_t *req = request->caller->req;
	GBytes *head, *body = NULL;

	head = g_string_free_to_bytes(write_head(request));
	if (req->entity.len > JOINED_BODY_BYTES)
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

	begin(request);
	attempt->instance = instance;
	attempt->bound = instance->time_bound;
	gw_log(GW_EV_ROUTE,
	    "request=%s attempt=%u pool=%s team=%s class=%s instance=%s "
	    "in_flight=%u granted=%u waited_us=%" PRIu64 " reason=%s",
	    request->id, request->attempts, request->pool->name,
	    request->item.team, request_class_name(request->item.request_class),
	    instance->id, instance->in_flight, instance->granted,
	    attempt->started_us - request->item.arrived_us, reason);
	pool_started(request->pool, instance, attempt->bound);
	if (attempt->bound)
		gw_timer_start(request->router->rt, &attempt->timer,
		    GW_HARD_DEADLINE_MS * GW_US_PER_MS, on_hard_deadline,
		    request);
	send_to(request, instance_target(instance));
}

/*
 * Sends the request to a router of another data centre; it takes no slot here.
 */
void
attempt_start_on_peer(request_t *request, gw_target_t *peer)
{
	begin(request);
	gw_log(GW_EV_ROUTE,
	    "request=%s attempt=%u pool=%s team=%s class=%s peer=%s "
	    "reason=spill-over",
	    request->id, request->attempts, request->pool->name,
	    request->item.team, request_class_name(request->item.request_class),
	    gw_target_peer(peer));
	send_to(request, peer);
}

static void
on_send(void *arg)
{
	request_t *request = arg;

	request->attempt.sent = true;
}

static const h2o_header_t *
find(const gw_exchange_head_t *head, const char *name)
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
 * Tells whether the response is for this attempt. HTTP/1.1 itself can't tell a
 * surplus response from the right one once the connection is in use again, so
 * an endpoint that names the attempt once must name it each time.
 */
static bool
is_for_attempt(attempt_t *attempt, const gw_exchange_head_t *head)
{
	const h2o_header_t *echoed = find(head, "godwit-attempt-id");

	if (echoed == NULL)
		return attempt->instance == NULL || !attempt->instance->echoes;
	if (!value_is(echoed, attempt->id))
		return false;
	if (attempt->instance != NULL)
		attempt->instance->echoes = true;
	return true;
}

static bool
is_refusal(const attempt_t *attempt, const gw_exchange_head_t *head)
{
	if (!value_is(find(head, "godwit-outcome"), "not-run"))
		return false;
	return attempt->instance == NULL || head->status == 503;
}

static const char *
outcome_of(const attempt_t *attempt, const gw_exchange_head_t *head)
{
	if (attempt->instance != NULL)
		return "answered";
	return value_is(find(head, "godwit-outcome"), "answered") ? "answered"
								  : "unknown";
}

static int
on_head(const gw_exchange_head_t *head, void *arg)
{
	request_t *request = arg;
	attempt_t *attempt = &request->attempt;

	attempt->status = head->status;
	if (!is_for_attempt(attempt, head) ||
	    (!head->is_last &&
		!framing_check_response(head->headers, head->header_count))) {
		attempt->bad = true;
		return -1;
	}
	if (is_refusal(attempt, head)) {
		attempt->refused = true;
		return 0;
	}
	attempt->passed = true;
	if (request->caller != NULL)
		caller_head(request->caller, head, outcome_of(attempt, head));
	return 0;
}

static int
on_body(const char *data, size_t size_bytes, void *arg)
{
	request_t *request = arg;
	attempt_t *attempt = &request->attempt;

	if (attempt->refused || request->caller == NULL)
		return 0;
	if (!caller_body(request->caller, data, size_bytes))
		gw_exchange_pause(attempt->exchange);
	return 0;
}

/*
 * Continues to read the response after the caller has caught up.
 */
void
attempt_resume(request_t *request)
{
	if (request->attempt.exchange != NULL)
		gw_exchange_resume(request->attempt.exchange);
}

static outlier_result_t
judge(const attempt_t *attempt, const gw_err_t *err)
{
	if (err != NULL || attempt->refused || attempt->status >= 500)
		return OUTLIER_FAILURE;
	return attempt->status >= 400 ? OUTLIER_CALLER_FAULT : OUTLIER_SUCCESS;
}

static void
count_result(instance_t *instance, outlier_result_t result)
{
	if (result == OUTLIER_FAILURE)
		instance->tally.failed++;
	else
		instance->tally.succeeded++;
}

/*
 * Gives the slot back and learns from the result. The slot stays in use for
 * hold_us when the endpoint may still work on the request.
 */
static void
release(request_t *request, outlier_result_t result, uint64_t hold_us)
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
		instance_served(instance, service_us);
	/* What did not run teaches nothing about the cost. */
	fairq_complete(request->pool->queue, &request->item,
	    attempt->sent && !attempt->refused ? service_us
					       : request->item.cost_us);
	pool_report(request->pool, instance, result);
	if (!attempt->sent || attempt->refused)
		instance_avoid(instance);
	if (hold_us > 0) {
		hold_start(request->router, request->pool, instance,
		    attempt->bound, hold_us);
		return;
	}
	pool_ended(request->pool, instance, attempt->bound);
	router_instance_changed(request->router, instance, attempt->bound);
}

static void
fail(request_t *request, const gw_err_t *err, reason_t reason)
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
	return attempt->bad ? REASON_BAD_RESPONSE : REASON_BROKEN;
}

/*
 * Ends the attempt: the response is whole, or err tells why there is none.
 */
static void
on_end(const gw_err_t *err, void *arg)
{
	request_t *request = arg;
	attempt_t *attempt = &request->attempt;
	bool answered = err == NULL && !attempt->refused;
	outlier_result_t result = judge(attempt, err);
	pool_t *pool = request->pool;
	reason_t reason;

	if (attempt->instance != NULL)
		count_result(attempt->instance, result);
	else
		spill_ended(request->router->spill, request, answered);
	if (answered) {
		release(request, result, 0);
		request_answered(request);
	} else {
		reason = failure_reason(attempt, err);
		fail(request, err, reason);
		release(request, result, 0);
		request_failed(request, reason);
	}
	pool_dispatch(pool);
}

static const gw_exchange_ops_t exchange_ops = {
    on_send, on_head, on_body, on_end};

/*
 * Returns how long the endpoint may still work on an abandoned attempt: the
 * service time learned for the route, at most until the hard deadline, after
 * which the planner relies on a time-bound instance being unused.
 */
static uint64_t
hold_us(const request_t *request)
{
	const attempt_t *attempt = &request->attempt;
	uint64_t now_us = gw_rt_now_us(request->router->rt);
	uint64_t limit_us = GW_HARD_DEADLINE_MS * GW_US_PER_MS;
	uint64_t used_us = attempt->bound ? now_us - attempt->started_us : 0;

	if (!attempt->sent || used_us >= limit_us)
		return 0;
	return MIN(request->item.cost_us, limit_us - used_us);
}

/*
 * Gives the attempt up at a deadline. Its connection is closed, so that a late
 * response is never read. A deadline that the caller chose says nothing about
 * the instance.
 */
void
attempt_abandon(request_t *request, reason_t reason)
{
	attempt_t *attempt = &request->attempt;
	pool_t *pool = request->pool;

	gw_exchange_cancel(attempt->exchange);
	fail(request, NULL, reason);
	if (attempt->instance != NULL)
		attempt->instance->tally.timed_out++;
	else
		spill_ended(request->router->spill, request, false);
	release(request,
	    request->own_deadline ? OUTLIER_CALLER_FAULT : OUTLIER_FAILURE,
	    hold_us(request));
	if (attempt->sent)
		request->may_have_run = true;
	request_refuse(request, reason);
	pool_dispatch(pool);
}
