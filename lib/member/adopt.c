#include "member/member.h"

/*
 * Tells whether an offered view is newer than the one held. Views are ordered
 * by epoch, then by version.
 */
bool
member_adopt_view(uint64_t held_epoch, uint64_t held_version, uint64_t epoch,
    uint64_t version)
{
	if (epoch != held_epoch)
		return epoch > held_epoch;
	return version > held_version;
}

/*
 * Tells whether an offered manifest generation is newer than the one held. The
 * check is the same for every source, so a stale read or a peer that lags
 * behind can't bring back an old generation.
 */
bool
member_adopt_generation(uint64_t held, uint64_t offered)
{
	return offered > held;
}
