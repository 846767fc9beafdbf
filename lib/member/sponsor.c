#include "member/sponsor.h"

/*
 * Tells whether slots of the instance may be lent to a sponsored router. Slots
 * of a time-bound instance may not: the planner waits only until the sponsor's
 * contact has expired, and the sponsored router's contact with the sponsor can
 * last longer than that.
 */
bool
sponsor_may_lend(const member_instance_t *instance)
{
	return instance->state == MEMBER_ACTIVE && !instance->time_bound;
}

/*
 * Tells whether the sponsor may answer a router that has request_version in
 * force. A router with a version older than the sponsor's acknowledged one
 * could use instances that the sponsor has reported as unused.
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
has_elapsed(
    const member_contact_t *contact, uint64_t period_ms, uint64_t now_us)
{
	return now_us >= contact->answered_us &&
	    now_us - contact->answered_us >=
	    member_wait_with_drift_us(period_ms);
}

/*
 * Tells whether a sponsored router starts no more work: it ended, or its
 * contact with the sponsor has expired.
 */
bool
sponsor_contact_expired(const member_contact_t *contact, uint64_t now_us)
{
	return contact->ended || has_elapsed(contact, GW_CONTACT_MS, now_us);
}

/*
 * Tells whether a sponsored router starts no more work and its requests have
 * ended, at the latest by the hard deadline.
 */
bool
sponsor_work_expired(const member_contact_t *contact, uint64_t now_us)
{
	return contact->ended ||
	    has_elapsed(contact, GW_CONTACT_MS + GW_HARD_DEADLINE_MS, now_us);
}

/*
 * Returns the highest table version that the sponsor may acknowledge: the
 * lowest version in force at the sponsor and at the sponsored routers. Routers
 * whose contact has expired don't count.
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
		if (!sponsor_contact_expired(contact, now_us))
			version = MIN(version, contact->acked_version);
	}
	return version;
}

/*
 * Returns the in-flight count that the sponsor reports for an instance: its own
 * requests and those of its sponsored routers. A router that reported none and
 * whose contact has expired counts as one request until the hard deadline has
 * passed, since it may have begun one after its last report.
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
		if (sponsor_work_expired(contact, now_us))
			continue;
		reported = GPOINTER_TO_UINT(
		    g_hash_table_lookup(contact->in_flight, instance_id));
		if (reported == 0 && sponsor_contact_expired(contact, now_us))
			reported = 1;
		count += reported;
	}
	return count;
}

/*
 * Tells whether a sponsored router may start work on an instance. It always
 * needs contact with its sponsor, and may not use time-bound instances.
 */
bool
sponsored_may_send(const member_router_contact_t *contact, member_state_t state,
    bool time_bound, uint64_t now_us)
{
	if (state != MEMBER_ACTIVE || time_bound)
		return false;
	return member_contact_fresh(contact, now_us);
}
