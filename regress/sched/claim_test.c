#include <stdbool.h>

#include <glib.h>

#include "sched/claim.h"

#define WIDE_LINK_KBPS 200000
#define NARROW_LINK_KBPS 10000
#define FULL_CPU_PERMILLE 500
/* How much later than others a process may start after a loss of power. */
#define STARTED_LATER_MS 150

/*
 * Returns whether the first process claims before the second, whatever the
 * random parts of their delays.
 */
static bool
is_surely_first(const sched_claimant_t *a, const sched_claimant_t *b)
{
	return sched_claim_delay_ms(a) + SCHED_CLAIM_JITTER_MS <=
	    sched_claim_delay_ms(b);
}

/* Guards against pools whose owner's link cannot carry their starts. */
static void
test_wide_link_first(void)
{
	const sched_claimant_t narrow = {
	    FULL_CPU_PERMILLE, NARROW_LINK_KBPS, 0, false, false};

	for (uint32_t owned = 0; owned <= 2; owned++) {
		const sched_claimant_t wide = {
		    FULL_CPU_PERMILLE, WIDE_LINK_KBPS, owned, false, false};

		g_assert_true(is_surely_first(&wide, &narrow));
	}
}

/* The same for the processor. */
static void
test_full_cpu_first(void)
{
	const sched_claimant_t slow = {120, WIDE_LINK_KBPS, 0, false, false};

	for (uint32_t owned = 0; owned <= 2; owned++) {
		const sched_claimant_t full = {
		    FULL_CPU_PERMILLE, WIDE_LINK_KBPS, owned, false, false};

		g_assert_true(is_surely_first(&full, &slow));
	}
}

/*
 * Guards against both shards of a pool in one data centre, with which the whole
 * pool would lose its owners.
 */
static void
test_other_data_centre_first(void)
{
	const sched_claimant_t sharing = {
	    FULL_CPU_PERMILLE, WIDE_LINK_KBPS, 0, false, true};
	const sched_claimant_t narrow = {
	    FULL_CPU_PERMILLE, NARROW_LINK_KBPS, 0, false, false};

	g_assert_true(is_surely_first(&sharing, &narrow));
	for (uint32_t owned = 0; owned <= 1; owned++) {
		const sched_claimant_t other = {
		    FULL_CPU_PERMILLE, WIDE_LINK_KBPS, owned, false, false};

		g_assert_cmpuint(sched_claim_delay_ms(&other), <,
		    sched_claim_delay_ms(&sharing));
	}
}

/* Guards against one process that takes every role of equal ones. */
static void
test_fewest_roles_first(void)
{
	for (uint32_t owned = 0; owned < 10; owned++) {
		const sched_claimant_t fewer = {
		    FULL_CPU_PERMILLE, WIDE_LINK_KBPS, owned, false, false};
		const sched_claimant_t more = {
		    FULL_CPU_PERMILLE, WIDE_LINK_KBPS, owned + 2, false, false};

		g_assert_true(is_surely_first(&fewer, &more));
	}
}

/* Guards against roles that wait long where every link is narrow. */
static void
test_narrow_links_alone(void)
{
	const sched_claimant_t narrow = {0, 1, 0, false, false};

	g_assert_cmpuint(sched_claim_delay_ms(&narrow), <=, 400);
}

/*
 * Guards against narrow owners after a loss of power, when processes with wide
 * links have started a little later.
 */
static void
test_wide_link_first_at_start(void)
{
	const sched_claimant_t narrow = {
	    FULL_CPU_PERMILLE, NARROW_LINK_KBPS, 0, true, false};
	const sched_claimant_t wide = {
	    FULL_CPU_PERMILLE, WIDE_LINK_KBPS, 2, true, false};

	g_assert_cmpuint(sched_claim_delay_ms(&wide) + SCHED_CLAIM_JITTER_MS +
		STARTED_LATER_MS,
	    <=, sched_claim_delay_ms(&narrow));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched/claim/wide-link-first", test_wide_link_first);
	g_test_add_func("/sched/claim/full-cpu-first", test_full_cpu_first);
	g_test_add_func("/sched/claim/other-data-centre-first",
	    test_other_data_centre_first);
	g_test_add_func(
	    "/sched/claim/fewest-roles-first", test_fewest_roles_first);
	g_test_add_func(
	    "/sched/claim/narrow-links-alone", test_narrow_links_alone);
	g_test_add_func("/sched/claim/wide-link-first-at-start",
	    test_wide_link_first_at_start);
	return g_test_run();
}
