#include "member/member.h"

/*
 * Tells whether a period with its drift margin has passed since an event.
 */
static bool
has_elapsed(uint64_t since_us, uint64_t period_ms, uint64_t now_us)
{
	return now_us >= since_us &&
	    now_us - since_us >= member_wait_with_drift_us(period_ms);
}

/*
 * Tells whether the router had no contact for a period. The previous planner
 * may have answered heartbeats until the election, so the period begins there
 * at the earliest.
 */
static bool
contact_expired(const member_contact_t *contact, const member_lease_t *lease,
    uint64_t period_ms, uint64_t now_us)
{
	if (!member_previous_contact_expired(lease, now_us))
		return false;
	return has_elapsed(
	    MAX(contact->answered_us, lease->elected_us), period_ms, now_us);
}

/*
 * Tells whether the router has acknowledged the instance's present state.
 */
static bool
has_acked_state(
    const member_contact_t *contact, const member_instance_t *instance)
{
	return contact->acked_version >= instance->state_version;
}

/*
 * Tells whether a router has ended and none of its work is left on endpoints.
 * Without a Goodbye this includes the routers that it may have sponsored: they
 * start requests until their contact with it expires, and such a request may
 * run for the hard deadline.
 */
bool
member_router_gone(const member_contact_t *contact, uint64_t now_us)
{
	if (!contact->ended)
		return false;
	if (contact->ended_us == 0)
		return true;
	return has_elapsed(
	    contact->ended_us, GW_CONTACT_MS + GW_HARD_DEADLINE_MS, now_us);
}

/*
 * Tells whether the router starts no more work on an instance that is not
 * active: the router acknowledged the state, or ended, or its contact expired.
 * Only a confirmed time bound makes the router stop when contact expires.
 */
bool
member_router_stopped(const member_contact_t *contact,
    const member_lease_t *lease, const member_instance_t *instance,
    uint64_t now_us)
{
	if (contact->ended)
		return contact->ended_us == 0 ||
		    has_elapsed(contact->ended_us, GW_CONTACT_MS, now_us);
	if (has_acked_state(contact, instance))
		return true;
	if (!instance->time_bound || !instance->bound_confirmed)
		return false;
	return contact_expired(contact, lease, GW_CONTACT_MS, now_us);
}

/*
 * Tells whether the router has nothing in flight on an instance that is not
 * active, and will start nothing. A silent router may have begun a request at
 * the end of its contact, and the request may run for the hard deadline.
 */
bool
member_router_drained(const member_contact_t *contact,
    const member_lease_t *lease, const member_instance_t *instance,
    uint64_t now_us)
{
	if (contact->ended)
		return member_router_gone(contact, now_us);
	if (has_acked_state(contact, instance) &&
	    g_hash_table_lookup(contact->in_flight, instance->id) == NULL)
		return true;
	if (!instance->time_bound || !instance->bound_confirmed)
		return false;
	return contact_expired(
	    contact, lease, GW_CONTACT_MS + GW_HARD_DEADLINE_MS, now_us);
}
