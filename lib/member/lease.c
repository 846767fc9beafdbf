#include "member/member.h"

/*
 * Returns a period in microseconds, lengthened so that it has passed on
 * another clock as well.
 */
uint64_t
member_wait_us(uint64_t period_ms)
{
	return period_ms * (1000000 + GW_DRIFT_PPM) / 1000;
}

/*
 * Tells whether the planner still holds its lease. The lease is timed from the
 * sending of the renewal, and shortened by the drift between this clock and
 * the store's.
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
 * Tells whether a new planner may rely on silence: the contact that its
 * predecessor gave has ended at every router.
 */
bool
member_silence_counts(const member_lease_t *lease, uint64_t now_us)
{
	if (lease->epoch == 0 || now_us < lease->elected_us)
		return false;
	return now_us - lease->elected_us >= member_wait_us(GW_CONTACT_MS);
}
