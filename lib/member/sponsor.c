#include "member/sponsor.h"

/*
 * Tells whether slots of the instance may be lent to a sponsored router. Not
 * those of a time-bound one: the contact with the sponsor can outlast the
 * sponsor's own contact with the planner, which is all that the planner waits
 * for.
 */
bool
sponsor_may_lend(const member_instance_t *instance)
{
	return instance->state == MEMBER_ACTIVE && !instance->time_bound;
}

/*
 * Tells whether the sponsor may answer a router that has request_version in
 * force. Below the version that the sponsor acknowledged the router may use
 * instances that the sponsor reported as unused.
 */
bool
sponsor_may_answer(uint64_t acked_version, uint64_t request_version)
{
	return request_version >= acked_version;
}

/*
 * Tells whether a period with its drift margin has passed since the sponsor's
 * last answer to the router.
 */
static bool
waited(const member_contact_t *contact, uint64_t period_ms, uint64_t now_us)
{
	return now_us >= contact->answered_us &&
	    now_us - contact->answered_us >= member_wait_us(period_ms);
}

/*
 * Tells whether a sponsored router starts no more work: it ended, or its
 * contact with the sponsor has run out.
 */
bool
sponsor_waited_out(const member_contact_t *contact, uint64_t now_us)
{
	return contact->ended || waited(contact, GW_CONTACT_MS, now_us);
}

/*
 * Tells whether a sponsored router has nothing in flight any more either.
 */
bool
sponsor_waited_drained(const member_contact_t *contact, uint64_t now_us)
{
	return contact->ended ||
	    waited(contact, GW_CONTACT_MS + GW_HARD_DEADLINE_MS, now_us);
}

/*
 * Returns the highest version that the sponsor may acknowledge: its own, or
 * the lowest that a sponsored router has in force which was not waited out.
 */
uint64_t
sponsor_ack_version(
    const GPtrArray *sponsored, uint64_t own_version, uint64_t now_us)
{
	const member_contact_t *contact;
	uint64_t version;
	guint i;

	version = own_version;
	for (i = 0; i < sponsored->len; i++) {
		contact = g_ptr_array_index(sponsored, i);
		if (!sponsor_waited_out(contact, now_us))
			version = MIN(version, contact->acked_version);
	}
	return version;
}

/*
 * Returns the in-flight count that the sponsor reports for an instance: its
 * own and those of its sponsored routers. A router that was waited out without
 * a report counts as one until its requests have ended.
 */
uint32_t
sponsor_in_flight(const GPtrArray *sponsored, const char *instance_id,
    uint32_t own_in_flight, uint64_t now_us)
{
	const member_contact_t *contact;
	uint32_t count, reported;
	guint i;

	count = own_in_flight;
	for (i = 0; i < sponsored->len; i++) {
		contact = g_ptr_array_index(sponsored, i);
		if (sponsor_waited_drained(contact, now_us))
			continue;
		reported = GPOINTER_TO_UINT(
		    g_hash_table_lookup(contact->in_flight, instance_id));
		if (reported == 0 && sponsor_waited_out(contact, now_us))
			reported = 1;
		count += reported;
	}
	return count;
}

/*
 * Tells whether a sponsored router may start work on an instance: all its use
 * is bound to the contact with the sponsor.
 */
bool
sponsored_may_send(const member_router_contact_t *contact, member_state_t state,
    bool time_bound, uint64_t now_us)
{
	if (state != MEMBER_ACTIVE || time_bound)
		return false;
	return member_contact_fresh(contact, now_us);
}
