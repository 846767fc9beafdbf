#include "owner_impl.h"

/*
 * Frees the memory that owner_free() kept for the store call in progress.
 */
void
owner_destroy(owner_t *owner)
{
	g_free(owner->load_after_key);
	g_free(owner);
}

bool
owner_end_call(owner_t *owner)
{
	bool is_alive = !owner->closing;

	owner->call_in_progress = false;
	if (!is_alive)
		owner_destroy(owner);
	return is_alive;
}

/*
 * Schedules a tick after a delay, unless one is already due earlier.
 */
void
owner_schedule_tick_in(owner_t *owner, uint64_t delay_us)
{
	uint64_t due_us = gw_rt_now_us(owner->rt) + delay_us;

	if (owner->closing || owner->load_step != LOADED)
		return;
	if (gw_timer_armed(&owner->tick_timer) &&
	    owner->tick_timer.due_us <= due_us)
		return;
	gw_timer_start(
	    owner->rt, &owner->tick_timer, delay_us, owner->on_tick, owner);
}

/*
 * Reports that this process no longer owns the shard.
 */
void
owner_report_lost(owner_t *owner, const char *reason)
{
	if (!owner->closing)
		owner->ops->on_ownership_lost(owner->shard, reason, owner->arg);
}
