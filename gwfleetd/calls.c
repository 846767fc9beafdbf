#include "calls.h"

typedef struct {
	call_fn_t fn;
	void *arg;
} call_t;

/*
 * Initializes an empty set of calls.
 */
void
calls_init(calls_t *calls)
{
	calls->pending =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	calls->last = 0;
}

/*
 * Frees all calls; no callback runs.
 */
void
calls_clear(calls_t *calls)
{
	g_hash_table_destroy(calls->pending);
}

/*
 * Adds a call and returns the number; fn will handle the reply.
 */
uint64_t
calls_add(calls_t *calls, call_fn_t fn, void *arg)
{
	call_t *call;

	call = g_new0(call_t, 1);
	call->fn = fn;
	call->arg = arg;
	calls->last++;
	g_hash_table_insert(
	    calls->pending, g_memdup2(&calls->last, sizeof(calls->last)), call);
	return calls->last;
}

/*
 * Removes a call, so that its reply is ignored.
 */
void
calls_cancel(calls_t *calls, uint64_t call)
{
	g_hash_table_remove(calls->pending, &call);
}

/*
 * Passes a reply to the callback of the call. A reply to a cancelled call, or a
 * second reply, is ignored.
 */
void
calls_dispatch(calls_t *calls, fleet_t *fleet, const fleet_msg_t *msg)
{
	call_t *found, call;

	found = g_hash_table_lookup(calls->pending, &msg->call);
	if (found == NULL)
		return;
	call = *found;
	g_hash_table_remove(calls->pending, &msg->call);
	call.fn(fleet, msg, call.arg);
}
