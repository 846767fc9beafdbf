#include <string.h>

#include <glib.h>

#include "dispatch.h"

/* How long a call waits for a process that is taking over the shard. */
#define TAKEOVER_WAIT_MS 500
#define TAKEOVER_RETRY_MS 40
/*
 * An owner responds within a few ms, or after a write to the store. An attempt
 * without a response by then is repeated; calls are idempotent by the job's id.
 */
#define ATTEMPT_TIMEOUT_MS 800
/*
 * Retry-After while the shard has no owner. Estimates the time until the lease
 * of the previous owner has expired and the next owner has loaded the records.
 */
#define NO_OWNER_RETRY_AFTER_MS 1000

struct dispatch {
	gw_rt_t *rt;
	roles_t *roles;
	peers_t *peers;
	dispatch_handler_t handler;
	void *arg;
};

/* A call being forwarded, over one or more attempts. */
typedef struct {
	dispatch_t *dispatch;
	Gw__Call *call;
	uint64_t started_us;
	uint64_t deadline_us;
	gw_timer_t timer;
	bool may_be_accepted;	      /* the outcome of an attempt is unknown */
	bool (*is_wanted)(void *arg); /* NULL: always */
	dispatch_response_cb_t cb;
	void *arg;
} forward_t;

static void forward_attempt(forward_t *);

static void
forward_end(forward_t *forward, const Gw__Reply *response)
{
	forward->cb(response, forward->arg);
	gw__call__free_unpacked(forward->call, NULL);
	g_free(forward);
}

static void
forward_fail(forward_t *forward, const char *reason)
{
	Gw__Reply response = GW__REPLY__INIT;

	response.outcome = forward->may_be_accepted
	    ? GW__CALL_OUTCOME__CALL_UNKNOWN
	    : GW__CALL_OUTCOME__CALL_REFUSED;
	response.reason = (char *)reason;
	response.retry_after_ms = NO_OWNER_RETRY_AFTER_MS;
	forward_end(forward, &response);
}

static void
on_retry(gw_timer_t *timer, void *arg)
{
	(void)timer;
	forward_attempt(arg);
}

/*
 * Schedules the next attempt, or fails the call with the reason if the attempt
 * would be after limit_us or the call's deadline.
 */
static void
retry_until(forward_t *forward, uint64_t limit_us, const char *reason)
{
	uint64_t next_us = gw_rt_now_us(forward->dispatch->rt) +
	    TAKEOVER_RETRY_MS * GW_US_PER_MS;

	if (next_us >= MIN(limit_us, forward->deadline_us)) {
		forward_fail(forward, reason);
		return;
	}
	gw_timer_start(forward->dispatch->rt, &forward->timer,
	    TAKEOVER_RETRY_MS * GW_US_PER_MS, on_retry, forward);
}

/*
 * Handles the owner's response. While the shard changes owners, the call is
 * retried for TAKEOVER_WAIT_MS. Once an attempt may have been accepted, a
 * refusal of a later attempt does not prove the contrary: the call is repeated
 * until an owner that knows the job responds or the caller's deadline passes.
 * This is safe because calls are idempotent by the job's id.
 */
static void
on_response(const Gw__Reply *response, void *arg)
{
	forward_t *forward = arg;
	bool is_refused = response->outcome == GW__CALL_OUTCOME__CALL_REFUSED;

	forward->may_be_accepted |=
	    response->outcome == GW__CALL_OUTCOME__CALL_UNKNOWN;
	if (forward->may_be_accepted &&
	    response->outcome != GW__CALL_OUTCOME__CALL_OK &&
	    response->outcome != GW__CALL_OUTCOME__CALL_ABSENT)
		retry_until(forward, UINT64_MAX, "outcome-unknown");
	else if (is_refused && response->retry_after_ms == 0)
		retry_until(forward,
		    forward->started_us + TAKEOVER_WAIT_MS * GW_US_PER_MS,
		    "owner-changing");
	else
		forward_end(forward, response);
}

static void
on_owner_response(const Gw__Reply *response, peers_failure_t failure, void *arg)
{
	forward_t *forward = arg;

	if (response != NULL) {
		on_response(response, forward);
		return;
	}
	forward->may_be_accepted |= failure == PEERS_NO_RESPONSE;
	retry_until(forward,
	    failure == PEERS_NO_RESPONSE
		? UINT64_MAX
		: forward->started_us + TAKEOVER_WAIT_MS * GW_US_PER_MS,
	    failure == PEERS_NO_RESPONSE ? "owner-silent"
					 : "owner-unreachable");
}

static void
forward_attempt(forward_t *forward)
{
	dispatch_t *dispatch = forward->dispatch;
	uint64_t now_us = gw_rt_now_us(dispatch->rt);
	const char *owner = roles_owner(dispatch->roles, forward->call->pool);

	if (now_us >= forward->deadline_us) {
		forward_fail(forward, "deadline");
		return;
	}
	if (forward->is_wanted != NULL && !forward->is_wanted(forward->arg)) {
		forward_fail(forward, "caller-left");
		return;
	}
	if (roles_is_owner(dispatch->roles, forward->call->pool)) {
		dispatch->handler(
		    forward->call, on_response, forward, dispatch->arg);
		return;
	}
	if (owner == NULL) {
		if (forward->may_be_accepted)
			retry_until(forward, UINT64_MAX, "no-owner");
		else
			forward_fail(forward, "no-owner");
		return;
	}
	peers_call(dispatch->peers, owner, forward->call,
	    MIN(ATTEMPT_TIMEOUT_MS,
		(forward->deadline_us - now_us) / GW_US_PER_MS + 1),
	    on_owner_response, forward);
}

static Gw__Call *
copy_call(const Gw__Call *call)
{
	size_t size_bytes = gw__call__get_packed_size(call);
	g_autofree uint8_t *data = g_malloc(size_bytes + 1);

	gw__call__pack(call, data);
	return gw__call__unpack(NULL, size_bytes, data);
}

void
dispatch_call(dispatch_t *dispatch, const Gw__Call *call, uint64_t timeout_ms,
    dispatch_response_cb_t cb, void *arg)
{
	dispatch_call_while(dispatch, call, timeout_ms, NULL, cb, arg);
}

void
dispatch_call_while(dispatch_t *dispatch, const Gw__Call *call,
    uint64_t timeout_ms, bool (*is_wanted)(void *arg),
    dispatch_response_cb_t cb, void *arg)
{
	forward_t *forward = g_new0(forward_t, 1);

	forward->dispatch = dispatch;
	forward->call = copy_call(call);
	forward->started_us = gw_rt_now_us(dispatch->rt);
	forward->deadline_us = forward->started_us + timeout_ms * GW_US_PER_MS;
	forward->is_wanted = is_wanted;
	forward->cb = cb;
	forward->arg = arg;
	forward_attempt(forward);
}

/* A CALL_OWNS to a process that may be a shard's previous owner. */
typedef struct {
	dispatch_response_cb_t cb;
	void *arg;
} query_t;

static void
on_query_response(const Gw__Reply *response, peers_failure_t failure, void *arg)
{
	query_t *query = arg;
	Gw__Reply unknown = GW__REPLY__INIT;

	(void)failure;
	unknown.outcome = GW__CALL_OUTCOME__CALL_UNKNOWN;
	query->cb(response == NULL ? &unknown : response, query->arg);
	g_free(query);
}

/*
 * Asks one given process, whichever process owns the shard by now. The response
 * is CALL_ABSENT when that process does not own the shard, CALL_UNKNOWN when it
 * did not respond within timeout_ms.
 */
void
dispatch_query_ownership(dispatch_t *dispatch, const char *address,
    const char *shard, uint64_t timeout_ms, dispatch_response_cb_t cb,
    void *arg)
{
	query_t *query = g_new(query_t, 1);
	Gw__Call call = GW__CALL__INIT;

	query->cb = cb;
	query->arg = arg;
	call.kind = GW__CALL_KIND__CALL_OWNS;
	call.pool = (char *)shard;
	peers_call(dispatch->peers, address, &call, timeout_ms,
	    on_query_response, query);
}

static void
on_handled(const Gw__Reply *response, void *arg)
{
	Gw__Reply copy = *response;

	peers_reply(arg, &copy);
}

static void
on_peer_call(const Gw__Call *call, peers_responder_t *responder, void *arg)
{
	dispatch_t *dispatch = arg;

	dispatch->handler(call, on_handled, responder, dispatch->arg);
}

/*
 * Listens for other entry processes. Returns NULL with the error.
 */
dispatch_t *
dispatch_new(gw_rt_t *rt, roles_t *roles, const gw_addr_t *listen,
    dispatch_handler_t handler, void *arg, gw_err_t *err)
{
	dispatch_t *dispatch = g_new0(dispatch_t, 1);

	dispatch->rt = rt;
	dispatch->roles = roles;
	dispatch->handler = handler;
	dispatch->arg = arg;
	dispatch->peers = peers_new(rt, listen, on_peer_call, dispatch, err);
	if (dispatch->peers != NULL)
		return dispatch;
	g_free(dispatch);
	return NULL;
}

void
dispatch_set_descriptors(dispatch_t *dispatch, uint32_t descriptors)
{
	peers_set_descriptors(dispatch->peers, descriptors);
}
