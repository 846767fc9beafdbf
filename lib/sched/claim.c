#include <glib.h>

#include "sched/claim.h"

/* Roles that a strong process takes before weaker ones are needed. */
#define ROLES_PER_PROCESS 5
#define DELAY_BASE_MS 20
#define DELAY_PER_ROLE_MS 50
/*
 * Added for a second shard of a pool in one data centre, which would be lost
 * together with the first.
 */
#define DELAY_SHARED_MS 100
/*
 * Longest delay of a process for what it lacks, in proportion: more than that
 * of a strong process for its roles.
 */
#define DELAY_LACK_MAX_MS 1000

static gint
compare_descending(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x > y ? -1 : x < y;
}

/*
 * Returns the value at this place, from 1, in descending order.
 */
static uint32_t
nth_largest(GArray *values, uint32_t place)
{
	g_array_sort(values, compare_descending);
	return g_array_index(values, uint32_t, place - 1);
}

/*
 * CPU and link are compared apart. Without enough strong processes for all
 * roles the reference is what the weaker ones have, so that none of them waits.
 */
sched_process_t
sched_claim_reference(
    const sched_process_t *present, uint32_t count, uint32_t roles)
{
	g_autoptr(GArray) cpu = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_autoptr(GArray) link = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint32_t needed = (roles + ROLES_PER_PROCESS - 1) / ROLES_PER_PROCESS;

	if (count == 0)
		return (sched_process_t){0, 0};
	for (uint32_t i = 0; i < count; i++) {
		g_array_append_val(cpu, present[i].cpu_permille);
		g_array_append_val(link, present[i].link_kbps);
	}
	needed = CLAMP(needed, 1, count);
	return (sched_process_t){
	    nth_largest(cpu, needed), nth_largest(link, needed)};
}

static uint32_t
lack_permille(uint32_t has, uint32_t reference)
{
	if (has >= reference)
		return 0;
	return 1000 - (uint32_t)(UINT64_C(1000) * has / reference);
}

/*
 * The delay grows with the number of owned roles, and with what the process
 * lacks of CPU or of its link, whichever is more. An owner sends the starts and
 * records of its pool over its own link.
 */
uint32_t
sched_claim_delay_ms(
    const sched_claimant_t *claimant, const sched_process_t *reference)
{
	uint32_t lack = MAX(lack_permille(claimant->process.cpu_permille,
				reference->cpu_permille),
	    lack_permille(claimant->process.link_kbps, reference->link_kbps));
	uint32_t delay_ms = DELAY_BASE_MS +
	    DELAY_PER_ROLE_MS * claimant->owned_roles +
	    DELAY_LACK_MAX_MS * lack / 1000;

	if (claimant->shares_pool)
		delay_ms += DELAY_SHARED_MS;
	if (claimant->is_starting)
		delay_ms += SCHED_CLAIM_STARTING_MS;
	return delay_ms;
}
