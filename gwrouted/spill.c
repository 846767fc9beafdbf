#include "router.h"
#include "spill.h"

/*
 * Time for which a peer gets no more requests for a pool after it refused one
 * or an attempt failed.
 */
#define PEER_BACKOFF_US (200 * GW_US_PER_MS)
/*
 * Estimated waits above this are worth the round trip to another data centre.
 */
#define SPILL_MIN_WAIT_US (20 * GW_US_PER_MS)

typedef struct {
	gw_target_t *target;
	GHashTable *backoff_until_us; /* pool name -> uint64_t */
} peer_t;

struct spill {
	gw_rt_t *rt;
	GPtrArray *peers; /* peer_t */
	guint next_peer;
};

static void
peer_free(gpointer data)
{
	peer_t *peer = data;

	gw_target_unref(peer->target);
	g_hash_table_destroy(peer->backoff_until_us);
	g_free(peer);
}

/*
 * Creates the peers listed in the settings, possibly none.
 */
spill_t *
spill_new(gw_rt_t *rt, const settings_t *settings)
{
	spill_t *spill;
	peer_t *peer;

	spill = g_new0(spill_t, 1);
	spill->rt = rt;
	spill->peers = g_ptr_array_new_with_free_func(peer_free);
	for (guint i = 0; i < settings->spill->len; i++) {
		peer = g_new0(peer_t, 1);
		peer->target = gw_target_new(rt,
		    &g_array_index(settings->spill, gw_addr_t, i),
		    GW_CONNECT_TIMEOUT_MS, settings->endpoint_idle_ms);
		peer->backoff_until_us = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_ptr_array_add(spill->peers, peer);
	}
	return spill;
}

/*
 * Frees the peers. No request may be in flight to them.
 */
void
spill_free(spill_t *spill)
{
	g_ptr_array_unref(spill->peers);
	g_free(spill);
}

static bool
peer_is_available(const spill_t *spill, const peer_t *peer, const char *pool)
{
	const uint64_t *until_us =
	    g_hash_table_lookup(peer->backoff_until_us, pool);

	return until_us == NULL || *until_us <= gw_rt_now_us(spill->rt);
}

/*
 * Returns whether another data centre is likely to start the request earlier:
 * there are peers, and this data centre has no slots or a long estimated wait.
 */
bool
spill_is_faster(spill_t *spill, const request_t *request)
{
	const pool_t *pool = request->pool;

	if (spill->peers->len == 0 || request->from_peer)
		return false;
	return pool->slots == 0 ||
	    fairq_estimate_wait_us(pool->queue, request->item.team,
		request->item.request_class,
		request->item.route) > SPILL_MIN_WAIT_US;
}

/*
 * Sends the request to the next peer that has no backoff for the pool. Returns
 * false when there is none. A request takes at most one hop: one that came from
 * another data centre is never forwarded, and none is sent to a second peer.
 */
bool
spill_try(spill_t *spill, request_t *request)
{
	peer_t *peer;

	if (request->from_peer || request->spill_tried ||
	    request->caller == NULL)
		return false;
	for (guint i = 0; i < spill->peers->len; i++) {
		peer =
		    spill->peers->pdata[spill->next_peer++ % spill->peers->len];
		if (!peer_is_available(spill, peer, request->pool->name))
			continue;
		request->spill_tried = true;
		request->spill_peer = peer;
		request->router->metrics.spills->value++;
		attempt_start_on_peer(request, peer->target);
		return true;
	}
	return false;
}

/*
 * Called when an attempt on a peer has ended. A peer that refused it or failed
 * gets no requests for the pool for PEER_BACKOFF_US.
 */
void
spill_attempt_ended(spill_t *spill, const request_t *request, bool answered)
{
	peer_t *peer = request->spill_peer;
	uint64_t *until_us;

	if (answered)
		return;
	until_us = g_new(uint64_t, 1);
	*until_us = gw_rt_now_us(spill->rt) + PEER_BACKOFF_US;
	g_hash_table_insert(
	    peer->backoff_until_us, g_strdup(request->pool->name), until_us);
}
