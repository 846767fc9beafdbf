#include "member/member.h"

/*
 * Converts a period to microseconds and lengthens it, so that it has elapsed on
 * another machine's clock as well.
 */
uint64_t
member_wait_with_drift_us(uint64_t period_ms)
{
	return period_ms * (1000000 + GW_DRIFT_PPM) / 1000;
}

/*
 * Tells whether the planner still holds its lease. The lease counts from the
 * sending of the last renewal and is shortened by the possible drift between
 * this clock and the store's.
 */
bool
member_lease_valid(const member_lease_t *lease, uint64_t now_us)
{
	uint64_t held_us;

	if (lease->epoch == 0 || now_us < lease->renew_sent_us)
		return false;
	held_us = (uint64_t)lease->ttl_ms * (1000000 - GW_DRIFT_PPM) / 1000;
	return now_us - lease->renew_sent_us < held_us;
}

/*
 * Tells whether all contact that routers had with the previous planner has
 * expired. Only then may a new planner conclude from a router's silence that
 * the router's contact has expired.
 */
bool
member_previous_contact_expired(const member_lease_t *lease, uint64_t now_us)
{
	if (lease->epoch == 0 || now_us < lease->elected_us)
		return false;
	return now_us - lease->elected_us >=
	    member_wait_with_drift_us(GW_CONTACT_MS);
}
