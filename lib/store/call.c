#include <stdlib.h>
#include <string.h>

#include "store/call.h"
#include "store/decode.h"

/*
 * Returns a call that has not been sent. key may be NULL.
 */
store_call_t *
store_call_new(store_t *store, const char *key, bool is_write,
    store_call_end_t end, void *arg)
{
	store_call_t *call;

	call = g_new0(store_call_t, 1);
	call->store = store;
	call->key = g_strdup(key);
	call->is_write = is_write;
	call->end = end;
	call->arg = arg;
	call->link.data = call;
	g_queue_push_tail_link(&store->calls, &call->link);
	return call;
}

/*
 * Frees a call; one that is still open ends without a callback.
 */
void
store_call_free(store_call_t *call)
{
	gw_timer_stop(&call->refusal);
	if (call->http != NULL)
		gw_httpc_cancel(call->http);
	g_queue_unlink(&call->store->calls, &call->link);
	g_free(call->key);
	g_free(call);
}

/*
 * Gives a failure the call's peer and passes it on. A read has no effect, so a
 * read without an answer is GW_ERR_UNAVAILABLE unless it timed out.
 */
static void
end_with_error(store_call_t *call, const gw_err_t *cause)
{
	gw_err_t err = *cause;

	if (!call->is_write && err.code == GW_ERR_UNKNOWN)
		err.code = GW_ERR_UNAVAILABLE;
	g_strlcpy(err.peer, gw_httpc_peer(call->store->http), sizeof(err.peer));
	call->end(call, NULL, &err);
	store_call_free(call);
}

static void
on_done(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	store_call_t *call = arg;
	gw_err_t refused;

	call->http = NULL;
	if (response != NULL && (response->status == 200 || call->any_status)) {
		call->end(call, response, NULL);
		store_call_free(call);
		return;
	}
	if (response != NULL) {
		store_decode_error(response->status, response->body,
		    response->size_bytes, call->is_write, &refused);
		err = &refused;
	}
	end_with_error(call, err);
}

/*
 * Sends the call and takes the body.
 */
void
store_call_send(store_call_t *call, const char *path, char *body)
{
	store_call_send_to(call, "POST", path, body, call->store->timeout_ms);
	free(body);
}

/*
 * Sends the call with another method or time-out. body may be NULL.
 */
void
store_call_send_to(store_call_t *call, const char *method, const char *path,
    const char *body, uint64_t timeout_ms)
{
	call->http = gw_httpc_call(
	    call->store->http, method, path, body, timeout_ms, on_done, call);
}

static void
on_refusal(gw_timer_t *timer, void *arg)
{
	store_call_t *call = arg;

	(void)timer;
	end_with_error(call, &call->err);
}

/*
 * Ends a call that was not sent, from the loop.
 */
void
store_call_refuse(store_call_t *call, gw_errc_t code, const char *reason)
{
	gw_err_set(&call->err, code, "store request", "", "%s", reason);
	gw_timer_start(call->store->rt, &call->refusal, 0, on_refusal, call);
}

/*
 * Completes the error of a 200 answer that could not be decoded. A write may
 * have taken effect whatever the answer says.
 */
void
store_call_bad_answer(const store_call_t *call, gw_err_t *err)
{
	if (call->is_write && err->code == GW_ERR_INVALID)
		err->code = GW_ERR_UNKNOWN;
	g_strlcpy(
	    err->peer, gw_httpc_peer(call->store->http), sizeof(err->peer));
}
