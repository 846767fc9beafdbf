#include <string.h>

#include <glib.h>

#include "dispatch.h"

/* A request waits this long for an owner that is just taking over. */
#define TAKEOVER_WAIT_MS 500
#define TAKEOVER_RETRY_MS 40
/*
 * An owner answers in some ms, or after a write. A call without an answer by
 * then is repeated: each is idempotent, by the job's id.
 */
#define ATTEMPT_MS 800
/* Without a better estimate: an owner's lease and its load. */
#define NO_OWNER_RETRY_AFTER_MS 1000

struct dispatch {
	gw_rt_t *rt;
	roles_t *roles;
	peers_t *peers;
	dispatch_serve_t serve;
	void *arg;
};

/* One request on its way, perhaps over several attempts. */
typedef struct {
	dispatch_t *dispatch;
	Gw__Call *call;
	uint64_t started_us;
	uint64_t deadline_us;
	gw_timer_t timer;
	bool may_be_taken; /* an attempt was sent and not answered */
	dispatch_reply_t cb;
	void *arg;
} trip_t;

static void attempt(trip_t *);

static void
trip_end(trip_t *trip, const Gw__Reply *reply)
{
	trip->cb(reply, trip->arg);
	gw__call__free_unpacked(trip->call, NULL);
	g_free(trip);
}

static void
trip_fail(trip_t *trip, const char *reason)
{
	Gw__Reply reply = GW__REPLY__INIT;

	reply.outcome = trip->may_be_taken ? GW__CALL_OUTCOME__CALL_UNKNOWN
					   : GW__CALL_OUTCOME__CALL_REFUSED;
	reply.reason = (char *)reason;
	reply.retry_after_ms = NO_OWNER_RETRY_AFTER_MS;
	trip_end(trip, &reply);
}

static void
on_retry(gw_timer_t *timer, void *arg)
{
	(void)timer;
	attempt(arg);
}

/*
 * Tries again after a pause if there is time until limit_us, else gives up.
 */
static void
retry_until(trip_t *trip, uint64_t limit_us, const char *reason)
{
	uint64_t next_us =
	    gw_rt_now_us(trip->dispatch->rt) + TAKEOVER_RETRY_MS * GW_US_PER_MS;

	if (next_us >= MIN(limit_us, trip->deadline_us)) {
		trip_fail(trip, reason);
		return;
	}
	gw_timer_start(trip->dispatch->rt, &trip->timer,
	    TAKEOVER_RETRY_MS * GW_US_PER_MS, on_retry, trip);
}

/*
 * Takes the owner's reply. An owner that is not ready yet, or not any more, is
 * asked again for a short while. Once an attempt may have been taken, only an
 * owner that knows the job tells what came of it: the request, which is
 * idempotent by the job's id, is repeated while the caller waits.
 */
static void
on_reply(const Gw__Reply *reply, void *arg)
{
	trip_t *trip = arg;
	bool is_refused = reply->outcome == GW__CALL_OUTCOME__CALL_REFUSED;

	trip->may_be_taken |= reply->outcome == GW__CALL_OUTCOME__CALL_UNKNOWN;
	if (trip->may_be_taken && reply->outcome != GW__CALL_OUTCOME__CALL_OK &&
	    reply->outcome != GW__CALL_OUTCOME__CALL_ABSENT)
		retry_until(trip, UINT64_MAX, "outcome-unknown");
	else if (is_refused && reply->retry_after_ms == 0)
		retry_until(trip,
		    trip->started_us + TAKEOVER_WAIT_MS * GW_US_PER_MS,
		    "owner-changing");
	else
		trip_end(trip, reply);
}

static void
on_peer_reply(const Gw__Reply *reply, peers_failure_t failure, void *arg)
{
	trip_t *trip = arg;

	if (reply != NULL) {
		on_reply(reply, trip);
		return;
	}
	trip->may_be_taken |= failure == PEERS_BROKEN;
	retry_until(trip,
	    failure == PEERS_BROKEN
		? UINT64_MAX
		: trip->started_us + TAKEOVER_WAIT_MS * GW_US_PER_MS,
	    failure == PEERS_BROKEN ? "owner-silent" : "owner-unreachable");
}

static void
attempt(trip_t *trip)
{
	dispatch_t *dispatch = trip->dispatch;
	uint64_t now_us = gw_rt_now_us(dispatch->rt);
	const char *owner = roles_owner(dispatch->roles, trip->call->pool);

	if (now_us >= trip->deadline_us) {
		trip_fail(trip, "deadline");
		return;
	}
	if (roles_is_owner(dispatch->roles, trip->call->pool)) {
		dispatch->serve(trip->call, on_reply, trip, dispatch->arg);
		return;
	}
	if (owner == NULL) {
		if (trip->may_be_taken)
			retry_until(trip, UINT64_MAX, "no-owner");
		else
			trip_fail(trip, "no-owner");
		return;
	}
	peers_call(dispatch->peers, owner, trip->call,
	    MIN(ATTEMPT_MS, (trip->deadline_us - now_us) / GW_US_PER_MS + 1),
	    on_peer_reply, trip);
}

static Gw__Call *
copy_call(const Gw__Call *call)
{
	size_t size_bytes = gw__call__get_packed_size(call);
	g_autofree uint8_t *data = g_malloc(size_bytes + 1);

	gw__call__pack(call, data);
	return gw__call__unpack(NULL, size_bytes, data);
}

/*
 * Begins a trip. The reply may come before this returns.
 */
void
dispatch_call(dispatch_t *dispatch, const Gw__Call *call, uint64_t timeout_ms,
    dispatch_reply_t cb, void *arg)
{
	trip_t *trip = g_new0(trip_t, 1);

	trip->dispatch = dispatch;
	trip->call = copy_call(call);
	trip->started_us = gw_rt_now_us(dispatch->rt);
	trip->deadline_us = trip->started_us + timeout_ms * GW_US_PER_MS;
	trip->cb = cb;
	trip->arg = arg;
	attempt(trip);
}

/* A question to a former owner. */
typedef struct {
	dispatch_reply_t cb;
	void *arg;
} question_t;

static void
on_former_reply(const Gw__Reply *reply, peers_failure_t failure, void *arg)
{
	question_t *question = arg;
	Gw__Reply unknown = GW__REPLY__INIT;

	(void)failure;
	unknown.outcome = GW__CALL_OUTCOME__CALL_UNKNOWN;
	question->cb(reply == NULL ? &unknown : reply, question->arg);
	g_free(question);
}

/*
 * Asks one process, whoever owns the pool by now. The reply is CALL_ABSENT when
 * it does not own it, CALL_UNKNOWN when it did not answer in timeout_ms.
 */
void
dispatch_ask_former(dispatch_t *dispatch, const char *address, const char *pool,
    uint64_t timeout_ms, dispatch_reply_t cb, void *arg)
{
	question_t *question = g_new(question_t, 1);
	Gw__Call call = GW__CALL__INIT;

	question->cb = cb;
	question->arg = arg;
	call.kind = GW__CALL_KIND__CALL_OWNS;
	call.pool = (char *)pool;
	peers_call(dispatch->peers, address, &call, timeout_ms, on_former_reply,
	    question);
}

static void
on_served(const Gw__Reply *reply, void *arg)
{
	Gw__Reply copy = *reply;

	peers_answer(arg, &copy);
}

static void
on_peer_call(const Gw__Call *call, peers_ticket_t *ticket, void *arg)
{
	dispatch_t *dispatch = arg;

	dispatch->serve(call, on_served, ticket, dispatch->arg);
}

/*
 * Listens for other entry processes. Returns NULL with the error.
 */
dispatch_t *
dispatch_new(gw_rt_t *rt, roles_t *roles, const gw_addr_t *listen,
    dispatch_serve_t serve, void *arg, gw_err_t *err)
{
	dispatch_t *dispatch = g_new0(dispatch_t, 1);

	dispatch->rt = rt;
	dispatch->roles = roles;
	dispatch->serve = serve;
	dispatch->arg = arg;
	dispatch->peers = peers_new(rt, listen, on_peer_call, dispatch, err);
	if (dispatch->peers != NULL)
		return dispatch;
	g_free(dispatch);
	return NULL;
}
