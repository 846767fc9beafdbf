#include "member/member.h"

/*
 * Tells whether a period with its drift margin has passed since an event.
 */
static bool
passed(uint64_t since_us, uint64_t period_ms, uint64_t now_us)
{
	return now_us >= since_us &&
	    now_us - since_us >= member_wait_us(period_ms);
}

/*
 * Tells whether the router got no contact for a period. The predecessor's
 * answers count as given at the election.
 */
static bool
silent(const member_contact_t *contact, const member_lease_t *lease,
    uint64_t period_ms, uint64_t now_us)
{
	if (!member_silence_counts(lease, now_us))
		return false;
	return passed(
	    MAX(contact->answered_us, lease->elected_us), period_ms, now_us);
}

/*
 * Tells whether the router has put the instance's present state in force.
 */
static bool
acked(const member_contact_t *contact, const member_instance_t *instance)
{
	return contact->acked_version >= instance->state_version;
}

/*
 * Tells whether a router's work on endpoints has ended, with that of routers
 * which it may have sponsored: their contact with it and the requests that
 * they began last that much longer.
 */
bool
member_router_gone(const member_contact_t *contact, uint64_t now_us)
{
	if (!contact->ended)
		return false;
	if (contact->ended_us == 0)
		return true;
	return passed(
	    contact->ended_us, GW_CONTACT_MS + GW_HARD_DEADLINE_MS, now_us);
}

/*
 * Tells whether the router starts no more work on an instance that is not
 * active: it acknowledged, or ended, or was waited out. Waiting a router out
 * needs a confirmed time bound.
 */
bool
member_router_stopped(const member_contact_t *contact,
    const member_lease_t *lease, const member_instance_t *instance,
    uint64_t now_us)
{
	if (contact->ended)
		return contact->ended_us == 0 ||
		    passed(contact->ended_us, GW_CONTACT_MS, now_us);
	if (acked(contact, instance))
		return true;
	if (!instance->time_bound || !instance->bound_confirmed)
		return false;
	return silent(contact, lease, GW_CONTACT_MS, now_us);
}

/*
 * Tells whether the router has nothing in flight on an instance that is not
 * active, and will start nothing. A router that is waited out may have begun
 * a request at the end of its contact, which lasts up to the hard deadline.
 */
bool
member_router_drained(const member_contact_t *contact,
    const member_lease_t *lease, const member_instance_t *instance,
    uint64_t now_us)
{
	if (contact->ended)
		return member_router_gone(contact, now_us);
	if (acked(contact, instance) &&
	    g_hash_table_lookup(contact->in_flight, instance->id) == NULL)
		return true;
	if (!instance->time_bound || !instance->bound_confirmed)
		return false;
	return silent(
	    contact, lease, GW_CONTACT_MS + GW_HARD_DEADLINE_MS, now_us);
}
