#include <glib.h>

#include "sched/claim.h"

#define DELAY_BASE_MS 20
#define DELAY_PER_ROLE_MS 50
/*
 * Longest delay of a process for what it lacks. A process that lacks nothing
 * comes first until it owns five roles.
 */
#define DELAY_LACK_MAX_MS 300
/*
 * Added for a second shard of a pool in one data centre, which would be lost
 * together with the first.
 */
#define DELAY_SHARED_MS 100
/*
 * Added at the start of a process, so that all processes of a system that has
 * just started know the roles first; and, for what a process lacks, the most by
 * which others may start later.
 */
#define DELAY_STARTING_MS SCHED_CLAIM_STARTING_MS
#define DELAY_STARTING_LACK_MAX_MS 150
/* A process with less than these delays its claims, in proportion. */
#define FULL_CPU_PERMILLE 500
#define FULL_LINK_KBPS 100000

static uint32_t
lack_permille(uint32_t has, uint32_t full)
{
	return 1000 - (uint32_t)(UINT64_C(1000) * MIN(has, full) / full);
}

/*
 * The delay grows with the number of owned roles, and with what the process
 * lacks of CPU or of its link, whichever is more. An owner sends the starts and
 * records of its pool over its own link.
 */
uint32_t
sched_claim_delay_ms(const sched_claimant_t *claimant)
{
	uint32_t lack =
	    MAX(lack_permille(claimant->cpu_permille, FULL_CPU_PERMILLE),
		lack_permille(claimant->link_kbps, FULL_LINK_KBPS));
	uint32_t delay_ms = DELAY_BASE_MS +
	    DELAY_PER_ROLE_MS * claimant->owned_roles +
	    DELAY_LACK_MAX_MS * lack / 1000;

	if (claimant->shares_pool)
		delay_ms += DELAY_SHARED_MS;
	if (claimant->is_starting)
		delay_ms += DELAY_STARTING_MS +
		    DELAY_STARTING_LACK_MAX_MS * lack / 1000;
	return delay_ms;
}
