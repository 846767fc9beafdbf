#include "sched/impl.h"

/*
 * The fences of an owner's requests. Requests name an instance by its id only,
 * so one that begins again under its id would carry out starts and renewals
 * that were meant for its earlier incarnation, which may reach it seconds
 * later: with a deadline on the clock of that one, and with numbers of ends
 * that mean others now. Each incarnation therefore has a fence of its own,
 * higher than those of the earlier ones. Once it has seen a request with it, it
 * refuses the others.
 *
 * All fences of an owner are revisions of the store from the creation of its
 * role on, and lower than that of the next owner.
 */

/* Clocks may differ by this much. */
#define WALL_CLOCK_ERROR_MS 2000

void
sched_pool_set_fence(sched_pool_t *pool, uint64_t fence)
{
	pool->fence = fence;
}

static bool
take_written(sched_instance_t *instance)
{
	sched_pool_t *pool = instance->pool;
	uint64_t written = pool->ops->written_revision(pool->arg);

	if (written <= instance->fence)
		return false;
	instance->fence = written;
	instance->fence_since_us = gw_clock_now_us(pool->clock);
	instance->has_had_fence = false;
	/* Should the instance be forgotten, and come back as it is. */
	pool->fence = MAX(pool->fence, written);
	instance->awaits_fence = false;
	return true;
}

/*
 * Returns the fence of a request that is about to be sent.
 */
uint64_t
sched_fence_use(sched_instance_t *instance)
{
	instance->has_had_fence = true;
	return instance->fence;
}

/*
 * Gives another incarnation of the instance its own fence, unless no request of
 * this owner has gone to the last one. If this owner has not written since that
 * began, it must write first; the instance gets no requests until then.
 */
void
sched_fence_raise(sched_instance_t *instance)
{
	if (!instance->has_had_fence || take_written(instance))
		return;
	instance->awaits_fence = true;
	instance->pool->awaits_fence = true;
}

/*
 * Sets the fences that waited for a write.
 */
void
sched_fence_tick(sched_pool_t *pool)
{
	sched_instance_t *instance;
	GHashTableIter iter;

	if (!pool->awaits_fence)
		return;
	pool->awaits_fence = false;
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance))
		if (instance->awaits_fence && !take_written(instance))
			pool->awaits_fence = true;
}

/*
 * Returns whether this incarnation may have been reached by requests that were
 * meant for an earlier one, before it has seen its own fence. This owner knows
 * that, unless the incarnation began before it owned the pool.
 */
static bool
may_have_begun_again(const sched_instance_t *instance)
{
	const sched_pool_t *pool = instance->pool;
	uint64_t now_us = gw_clock_now_us(pool->clock);
	uint64_t owned_ms =
	    gw_elapsed_us(now_us, pool->created_us) / GW_US_PER_MS;
	uint64_t born_ms = instance->info.born_ms;
	uint64_t age_ms = pool->wall_ms > born_ms ? pool->wall_ms - born_ms : 0;

	if (instance->has_begun_again)
		return true;
	return age_ms + WALL_CLOCK_ERROR_MS > owned_ms &&
	    age_ms < SCHED_LATE_REQUEST_MAX_MS + WALL_CLOCK_ERROR_MS;
}

/*
 * Handles the first response to a request with the fence. From now on the
 * instance refuses requests of a previous owner, or for an earlier incarnation.
 * One for this incarnation has given it a lease of at most SCHED_LEASE_MS; a
 * deadline that was meant for an earlier one is shortened to the longest lease
 * there is.
 */
void
sched_fence_seen(sched_instance_t *instance, uint64_t now_us)
{
	uint32_t lease_ms = SCHED_LEASE_MS;

	if (may_have_begun_again(instance))
		lease_ms = MAX(lease_ms, instance->pool->bounds.hold_max_ms);
	instance->expiry_us = now_us + sched_drift_bound_us(lease_ms);
}
