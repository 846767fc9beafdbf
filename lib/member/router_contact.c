#include "member/member.h"

/*
 * Renews contact after the planner answered a heartbeat. Contact counts from
 * the sending of the heartbeat, so a delayed answer does not extend it. Answers
 * of an earlier planner are ignored.
 */
void
member_router_contact_renew(member_router_contact_t *contact, uint64_t epoch,
    uint64_t heartbeat_sent_us)
{
	if (epoch < contact->epoch)
		return;
	contact->epoch = epoch;
	if (heartbeat_sent_us > contact->contact_sent_us)
		contact->contact_sent_us = heartbeat_sent_us;
}

/*
 * Tells whether the contact with the planner has not expired yet.
 */
bool
member_contact_fresh(const member_router_contact_t *contact, uint64_t now_us)
{
	if (contact->contact_sent_us == 0)
		return false;
	return now_us < contact->contact_sent_us + GW_CONTACT_MS * GW_US_PER_MS;
}

/*
 * Tells whether an admitted router may start work on an instance. Call this
 * again right before the first byte is sent, as contact may have expired since.
 */
bool
member_may_send(const member_router_contact_t *contact, member_state_t state,
    bool time_bound, uint64_t now_us)
{
	if (state != MEMBER_ACTIVE)
		return false;
	return !time_bound || member_contact_fresh(contact, now_us);
}
