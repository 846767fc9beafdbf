#include <string.h>

#include "forward.h"
#include "platform/job.h"

/* A request whose owners are being called. */
typedef struct {
	request_t *request;
	dispatch_t *dispatch;
	sched_lookup_t *lookup;
	Gw__Call call;	 /* without the shard and the kind */
	uint32_t calls;	 /* without a response so far */
	bool is_decided; /* the caller has been replied to */
} forward_t;

static bool call_next(forward_t *);

static void
forward_free(forward_t *forward)
{
	sched_lookup_free(forward->lookup);
	g_free(forward->call.queue);
	g_free(forward->call.queue_key);
	g_free(forward->call.team);
	if (forward->call.spec != NULL)
		gw__job_spec__free_unpacked(forward->call.spec, NULL);
	request_unref(forward->request);
	g_free(forward);
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
		plat_pending_body_format(body, sizeof(body), response->pending);
		request_reply(request, STATUS_OK, body, "ok", 0);
		return;
	default:
		request_reply(request, STATUS_OK, "{}", "ok", 0);
	}
}

/*
 * Replies to the caller. 503 means that the request can be repeated safely: it
 * was refused, or it is a read. 504 means that a submit or cancel may have been
 * accepted.
 */
static void
reply(request_t *request, const Gw__Reply *response)
{
	if (response->outcome == GW__CALL_OUTCOME__CALL_OK)
		reply_ok(request, response);
	else if (response->outcome == GW__CALL_OUTCOME__CALL_ABSENT)
		request_reply_error(request, STATUS_GONE, response->reason, 0);
	else if (response->outcome == GW__CALL_OUTCOME__CALL_REFUSED ||
	    request_is_read_only(request))
		request_reply_error(request, STATUS_UNAVAILABLE,
		    response->reason, response->retry_after_ms);
	else
		request_reply_error(
		    request, STATUS_TIMEOUT, response->reason, 0);
}

static void
on_response(const Gw__Reply *response, void *arg)
{
	forward_t *forward = arg;

	if (!forward->is_decided) {
		forward->is_decided =
		    sched_lookup_add(forward->lookup, response);
		if (forward->is_decided)
			reply(forward->request,
			    sched_lookup_result(forward->lookup));
		else if (!sched_lookup_is_parallel(forward->lookup))
			(void)call_next(forward);
	}
	if (--forward->calls == 0)
		forward_free(forward);
}

/*
 * Returns whether the call may be repeated. A cancel is, even if its caller has
 * left, since it may already have been carried out.
 */
static bool
is_wanted(void *arg)
{
	const forward_t *forward = arg;

	return forward->request->req != NULL ||
	    forward->request->kind == GW__CALL_KIND__CALL_CANCEL;
}

/*
 * Makes the next call. Returns false if there is none, or the caller has
 * disconnected.
 */
static bool
call_next(forward_t *forward)
{
	Gw__Call call = forward->call;
	const sched_lookup_call_t *next;

	if (forward->request->req == NULL)
		return false;
	next = sched_lookup_next(forward->lookup);
	if (next == NULL)
		return false;
	call.kind = next->kind;
	call.pool = (char *)next->shard;
	if (next->kind != GW__CALL_KIND__CALL_SUBMIT)
		call.spec = NULL;
	forward->calls++;
	dispatch_call_while(forward->dispatch, &call,
	    request_time_left_ms(forward->request), is_wanted, on_response,
	    forward);
	return true;
}

void
forward_request(
    request_t *request, const forward_target_t *target, Gw__JobSpec *spec)
{
	const sched_lookup_queue_t queue = {.key = target->queue->key,
	    .pool = target->queue->pool,
	    .shard_count = target->shard_count};
	forward_t *forward = g_new0(forward_t, 1);
	bool is_more;

	forward->request = request;
	request->refs++;
	forward->dispatch = target->dispatch;
	forward->lookup =
	    sched_lookup_new(target->homes, &queue, request->kind, request->id);
	gw__call__init(&forward->call);
	forward->call.queue = g_strdup(target->queue->name);
	forward->call.queue_key = g_strdup(target->queue->key);
	forward->call.team = g_strdup(request->team);
	if (request->has_key)
		forward->call.key_digest = (ProtobufCBinaryData){
		    sizeof(request->key.bytes), request->key.bytes};
	forward->call.id = request->id;
	forward->call.spec = spec;
	forward->call.config_version = target->config_version;
	request_start_deadline(request);
	/* Calls may end before dispatch_call() returns. */
	forward->calls++;
	do
		is_more = call_next(forward);
	while (is_more && sched_lookup_is_parallel(forward->lookup) &&
	    !forward->is_decided);
	if (--forward->calls == 0)
		forward_free(forward);
}
