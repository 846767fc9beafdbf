#include "owner_impl.h"

/*
 * Frees an owner that was given up.
 */
void
owner_destroy(owner_t *owner)
{
	g_free(owner->load_after);
	g_free(owner);
}

/*
 * Ends the store's call under way.
 */
bool
owner_call_ended(owner_t *owner)
{
	bool is_alive = !owner->dead;

	owner->calling = false;
	if (!is_alive)
		owner_destroy(owner);
	return is_alive;
}

/*
 * Lets the pool decide after a delay, or earlier if that is due.
 */
void
owner_kick_in(owner_t *owner, uint64_t delay_us)
{
	uint64_t due_us = gw_rt_now_us(owner->rt) + delay_us;

	if (owner->dead || owner->step != LOADED)
		return;
	if (gw_timer_armed(&owner->tick) && owner->tick.due_us <= due_us)
		return;
	gw_timer_start(
	    owner->rt, &owner->tick, delay_us, owner->on_tick, owner);
}

/*
 * Gives the role up.
 */
void
owner_depose(owner_t *owner, const char *reason)
{
	if (!owner->dead)
		owner->ops->on_deposed(owner->pool_name, reason, owner->arg);
}
