#include "gw/id.h"
#include "lease.h"

typedef struct {
	uint64_t id;
	uint32_t ttl_ms;
	gw_timer_t expiry;
	leases_t *leases;
} lease_t;

static void
lease_free(gpointer data)
{
	lease_t *lease = data;

	gw_timer_stop(&lease->expiry);
	g_free(lease);
}

/*
 * Initializes an empty set of leases.
 */
void
leases_init(leases_t *leases, gw_rt_t *rt, kv_t *kv)
{
	leases->rt = rt;
	leases->kv = kv;
	leases->by_id = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, lease_free);
}

/*
 * Frees the leases without deleting their keys.
 */
void
leases_clear(leases_t *leases)
{
	g_hash_table_destroy(leases->by_id);
}

static void
on_expiry(gw_timer_t *timer, void *arg)
{
	lease_t *lease = arg;

	(void)timer;
	(void)leases_revoke(lease->leases, lease->id);
}

/*
 * Starts or restarts the timer of the lease's expiry.
 */
static void
lease_arm(lease_t *lease)
{
	gw_timer_start(lease->leases->rt, &lease->expiry,
	    lease->ttl_ms * GW_US_PER_MS, on_expiry, lease);
}

/*
 * Creates a lease and returns its id, which is never 0.
 */
uint64_t
leases_grant(leases_t *leases, uint32_t ttl_ms)
{
	lease_t *lease;

	lease = g_new0(lease_t, 1);
	lease->id = (gw_id_random_u64() >> 1) | 1;
	lease->ttl_ms = ttl_ms;
	lease->leases = leases;
	g_hash_table_replace(leases->by_id, &lease->id, lease);
	lease_arm(lease);
	return lease->id;
}

/*
 * Tells whether the lease exists: it has neither expired nor been revoked.
 */
bool
leases_has(const leases_t *leases, uint64_t lease_id)
{
	return g_hash_table_contains(leases->by_id, &lease_id);
}

/*
 * Renews a lease. Returns its TTL in ms, or 0 when it does not exist.
 */
uint32_t
leases_renew(leases_t *leases, uint64_t lease_id)
{
	lease_t *lease;

	lease = g_hash_table_lookup(leases->by_id, &lease_id);
	if (lease == NULL)
		return 0;
	lease_arm(lease);
	return lease->ttl_ms;
}

/*
 * Revokes a lease and deletes its keys. Returns false when it does not exist.
 */
bool
leases_revoke(leases_t *leases, uint64_t lease_id)
{
	if (!g_hash_table_remove(leases->by_id, &lease_id))
		return false;
	kv_delete_lease(leases->kv, lease_id);
	return true;
}
