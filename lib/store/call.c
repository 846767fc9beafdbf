#include <stdlib.h>
#include <string.h>

#include "store/call.h"
#include "store/decode.h"

/*
 * A read whose response arrives continues beyond its time-out: until no byte
 * has come for this long, and this long at most.
 */
#define READ_IDLE_MS 800
#define READ_MAX_MS 20000

/*
 * Returns a call that is not yet sent. key may be NULL.
 */
store_call_t *
store_call_new(store_t *store, const char *key, bool is_write,
    store_call_complete_t complete, void *arg)
{
	store_call_t *call;

	call = g_new0(store_call_t, 1);
	call->store = store;
	call->key = g_strdup(key);
	call->is_write = is_write;
	call->complete = complete;
	call->arg = arg;
	call->link.data = call;
	g_queue_push_tail_link(&store->calls, &call->link);
	return call;
}

/*
 * Frees a call. One without a response is cancelled without a callback.
 */
void
store_call_free(store_call_t *call)
{
	gw_timer_stop(&call->fail_timer);
	if (call->http != NULL)
		gw_httpc_cancel(call->http);
	g_queue_unlink(&call->store->calls, &call->link);
	g_free(call->key);
	g_free(call);
}

/*
 * Adds the peer to an error and completes the call with it. A read changes
 * nothing, so that a read without a response has no unknown outcome: it is
 * GW_ERR_UNAVAILABLE, unless it timed out.
 */
static void
complete_with_error(store_call_t *call, const gw_err_t *cause)
{
	gw_err_t err = *cause;

	if (!call->is_write && err.code == GW_ERR_UNKNOWN)
		err.code = GW_ERR_UNAVAILABLE;
	g_strlcpy(err.peer, gw_httpc_peer(call->store->http), sizeof(err.peer));
	call->complete(call, NULL, &err);
	store_call_free(call);
}

static void
on_response(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	store_call_t *call = arg;
	gw_err_t refused;

	call->http = NULL;
	if (response != NULL && (response->status == 200 || call->any_status)) {
		call->complete(call, response, NULL);
		store_call_free(call);
		return;
	}
	if (response != NULL) {
		store_decode_error(response->status, response->body,
		    response->size_bytes, call->is_write, &refused);
		err = &refused;
	}
	complete_with_error(call, err);
}

/*
 * Sends a POST with the store's time-out, and frees the body.
 */
void
store_call_send(store_call_t *call, const char *path, char *body)
{
	store_call_send_to(call, "POST", path, body, call->store->timeout_ms);
	free(body);
}

/*
 * Sends the call with any method and time-out. body may be NULL.
 */
void
store_call_send_to(store_call_t *call, const char *method, const char *path,
    const char *body, uint64_t timeout_ms)
{
	call->http = gw_httpc_call(call->store->http, method, path, body,
	    timeout_ms, on_response, call);
	if (!call->is_write)
		gw_httpc_extend(call->http, READ_IDLE_MS, READ_MAX_MS);
}

static void
on_fail_timer(gw_timer_t *timer, void *arg)
{
	store_call_t *call = arg;

	(void)timer;
	complete_with_error(call, &call->err);
}

/*
 * Fails a call that is not sent. The callback comes from the event loop, never
 * from within this function.
 */
void
store_call_fail_async(store_call_t *call, gw_errc_t code, const char *reason)
{
	gw_err_set(&call->err, code, "store request", "", "%s", reason);
	gw_timer_start(
	    call->store->rt, &call->fail_timer, 0, on_fail_timer, call);
}

/*
 * Adds the peer to the error of a response that could not be decoded. A write
 * may have taken effect despite a malformed response, so that its outcome is
 * GW_ERR_UNKNOWN.
 */
void
store_call_decode_failed(const store_call_t *call, gw_err_t *err)
{
	if (call->is_write && err->code == GW_ERR_INVALID)
		err->code = GW_ERR_UNKNOWN;
	g_strlcpy(
	    err->peer, gw_httpc_peer(call->store->http), sizeof(err->peer));
}
