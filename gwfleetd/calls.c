#include "calls.h"

typedef struct {
	call_fn_t fn;
	void *arg;
} call_t;

/*
 * Starts without calls.
 */
void
calls_init(calls_t *calls)
{
	calls->waiting =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	calls->last = 0;
}

/*
 * Forgets all calls.
 */
void
calls_clear(calls_t *calls)
{
	g_hash_table_destroy(calls->waiting);
}

/*
 * Returns the number of a new call whose answer goes to fn.
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
	    calls->waiting, g_memdup2(&calls->last, sizeof(calls->last)), call);
	return calls->last;
}

/*
 * Makes the answer to the call be ignored.
 */
void
calls_forget(calls_t *calls, uint64_t call)
{
	g_hash_table_remove(calls->waiting, &call);
}

/*
 * Hands an answer to the one that waits for it. An answer to a forgotten call,
 * or a second one, is ignored.
 */
void
calls_answer(calls_t *calls, fleet_t *fleet, const fleet_msg_t *msg)
{
	call_t *found, call;

	found = g_hash_table_lookup(calls->waiting, &msg->call);
	if (found == NULL)
		return;
	call = *found;
	g_hash_table_remove(calls->waiting, &msg->call);
	call.fn(fleet, msg, call.arg);
}
