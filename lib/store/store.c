#include "store/call.h"

/*
 * Returns a client of the store at addr. timeout_ms is the time-out of a call;
 * a watch has none, and a poll has its own. Does not connect yet.
 */
store_t *
store_new(gw_rt_t *rt, const gw_addr_t *addr, uint64_t timeout_ms)
{
	store_t *store;

	store = g_new0(store_t, 1);
	store->rt = rt;
	store->timeout_ms = timeout_ms;
	store->http = gw_httpc_new(rt, addr);
	g_queue_init(&store->calls);
	g_queue_init(&store->watches);
	return store;
}

/*
 * Frees the client and cancels its calls and watches without a callback. Must
 * not be called from a callback of the store.
 */
void
store_free(store_t *store)
{
	if (store == NULL)
		return;
	while (!g_queue_is_empty(&store->calls))
		store_call_free(g_queue_peek_head(&store->calls));
	while (!g_queue_is_empty(&store->watches))
		store_watch_free(g_queue_peek_head(&store->watches));
	gw_httpc_free(store->http);
	g_free(store);
}
