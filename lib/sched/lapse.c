#include "gw/log.h"
#include "sched/impl.h"

/*
 * Instances whose leases the owner lets lapse, since they do not respond. Their
 * list is in the store, so that a later owner counts the wait from when the
 * list was written. While the list may have an instance, its lease is not
 * extended: the list without it is written first.
 */

/* An instance that responds again within this time is not listed. */
#define UNRENEWED_MIN_US (500 * GW_US_PER_MS)
#define LISTED_MAX 64

/* An instance on the list, as listed. */
typedef struct {
	uint64_t born_ms;
	uint64_t expiry_us;
} lapsing_t;

/*
 * Returns whether the list in the store may have the instance.
 */
bool
sched_lapse_may_be_listed(const sched_instance_t *instance)
{
	return g_hash_table_contains(
	    instance->pool->may_lapse, instance->info.id);
}

static bool
is_renewed(const sched_instance_t *instance)
{
	return instance->contacted && !instance->unreachable &&
	    instance->clock_ms != 0;
}

/*
 * Returns whether the list should have the instance. One that a previous owner
 * has listed stays there until it responds.
 */
static bool
should_be_listed(const sched_instance_t *instance, uint64_t now_us)
{
	if (instance->tasks->len == 0 || is_renewed(instance))
		return false;
	return sched_lapse_may_be_listed(instance) ||
	    (instance->unrenewed_since_us != 0 &&
		gw_elapsed_us(now_us, instance->unrenewed_since_us) >=
		    UNRENEWED_MIN_US);
}

/*
 * Returns whether the list says other than it should about the instance.
 */
static bool
is_listed_wrong(const sched_instance_t *instance, uint64_t now_us)
{
	const sched_pool_t *pool = instance->pool;
	const lapsing_t *listed =
	    g_hash_table_lookup(pool->lapsing, instance->info.id);

	if (!should_be_listed(instance, now_us))
		return listed != NULL;
	if (listed == NULL)
		return g_hash_table_size(pool->lapsing) < LISTED_MAX;
	return listed->born_ms != instance->info.born_ms ||
	    listed->expiry_us < instance->expiry_us;
}

static bool
has_unknown_instance(const sched_pool_t *pool)
{
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, pool->lapsing);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		if (!g_hash_table_contains(pool->instances, id))
			return true;
	return false;
}

/*
 * Notes which instances are not renewed, and whether the list is to be written.
 */
void
sched_lapse_tick(sched_pool_t *pool, uint64_t now_us)
{
	sched_instance_t *instance;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		if (is_renewed(instance))
			instance->unrenewed_since_us = 0;
		else if (instance->unrenewed_since_us == 0)
			instance->unrenewed_since_us = now_us;
		if (is_listed_wrong(instance, now_us))
			pool->lapsing_is_stale = true;
	}
	if (has_unknown_instance(pool))
		pool->lapsing_is_stale = true;
}

static GBytes *
encode_list(GPtrArray *leases)
{
	Gw__LapsingRecord record = GW__LAPSING_RECORD__INIT;
	size_t size_bytes;
	uint8_t *data;

	record.n_leases = leases->len;
	record.leases = (Gw__LeaseLeft **)leases->pdata;
	size_bytes = gw__lapsing_record__get_packed_size(&record);
	data = g_malloc(size_bytes);
	gw__lapsing_record__pack(&record, data);
	return g_bytes_new_take(data, size_bytes);
}

static Gw__LeaseLeft *
lease_new(sched_instance_t *instance, uint64_t now_us)
{
	Gw__LeaseLeft *lease = g_new(Gw__LeaseLeft, 1);

	gw__lease_left__init(lease);
	lease->instance = instance->info.id;
	lease->born_ms = instance->info.born_ms;
	lease->left_ms = (uint32_t)(gw_elapsed_us(instance->expiry_us, now_us) /
		GW_US_PER_MS +
	    1);
	lease->late_left_ms =
	    (uint32_t)(gw_elapsed_us(
			   sched_late_start_instance_until_us(instance),
			   now_us) /
		GW_US_PER_MS);
	return lease;
}

static void
set_listed(
    sched_pool_t *pool, const char *id, uint64_t born_ms, uint64_t expiry_us)
{
	lapsing_t *listed = g_new(lapsing_t, 1);

	listed->born_ms = born_ms;
	listed->expiry_us = expiry_us;
	g_hash_table_replace(pool->lapsing, g_strdup(id), listed);
	g_hash_table_add(pool->may_lapse, g_strdup(id));
}

/*
 * Returns the list to be written to the store. From now on it may have these
 * instances; it may still have the earlier ones.
 */
GBytes *
sched_lapse_take_list(sched_pool_t *pool)
{
	g_autoptr(GPtrArray) leases = g_ptr_array_new_with_free_func(g_free);
	uint64_t now_us = gw_clock_now_us(pool->clock);
	sched_instance_t *instance;
	uint32_t left_out = 0;
	GHashTableIter iter;

	g_hash_table_remove_all(pool->lapsing);
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		if (!should_be_listed(instance, now_us))
			continue;
		if (leases->len >= LISTED_MAX) {
			left_out++;
			continue;
		}
		g_ptr_array_add(leases, lease_new(instance, now_us));
		set_listed(pool, instance->info.id, instance->info.born_ms,
		    instance->expiry_us);
	}
	pool->lapsing_is_stale = false;
	gw_log(GW_EV_LEASES_LAPSE, "pool=%s instances=%u left_out=%u",
	    pool->name, leases->len, left_out);
	return encode_list(leases);
}

/*
 * Handles that the last list is in the store. Instances that are no longer in
 * it are renewed again.
 */
void
sched_lapse_list_written(sched_pool_t *pool)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, pool->may_lapse);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		sched_instance_t *instance =
		    g_hash_table_lookup(pool->instances, id);

		if (g_hash_table_contains(pool->lapsing, id))
			continue;
		if (instance != NULL && instance->tasks->len > 0)
			sched_instance_schedule_renewal(instance, now_us);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Notes when a lease has expired, by the list of an earlier owner.
 */
static void
bound_lease(sched_pool_t *pool, const Gw__LeaseLeft *lease, uint64_t seen_us)
{
	sched_instance_t *instance =
	    g_hash_table_lookup(pool->instances, lease->instance);

	sched_handover_set_expiry(pool, lease, seen_us);
	if (instance != NULL && !instance->contacted)
		sched_instance_limit_expiry(instance,
		    sched_pool_previous_expiry_us(
			pool, lease->instance, gw_clock_now_us(pool->clock)));
}

int
sched_pool_load_lapsing(sched_pool_t *pool, const void *data, size_t size_bytes,
    uint64_t seen_us, bool is_current)
{
	Gw__LapsingRecord *record =
	    gw__lapsing_record__unpack(NULL, size_bytes, data);
	uint64_t now_us = gw_clock_now_us(pool->clock);

	if (record == NULL) {
		pool->lapsing_is_stale = true;
		return -1;
	}
	for (size_t i = 0; i < record->n_leases; i++) {
		const Gw__LeaseLeft *lease = record->leases[i];

		set_listed(pool, lease->instance, lease->born_ms,
		    seen_us + sched_drift_bound_us(lease->left_ms));
		if (is_current)
			bound_lease(pool, lease, seen_us);
	}
	if (!is_current)
		pool->lapsing_is_stale = true;
	gw_log(GW_EV_LEASES_FOUND,
	    "pool=%s instances=%zu age_ms=%" PRIu64 " current=%d", pool->name,
	    record->n_leases, gw_elapsed_us(now_us, seen_us) / GW_US_PER_MS,
	    is_current);
	gw__lapsing_record__free_unpacked(record, NULL);
	return 0;
}
