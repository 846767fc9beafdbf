#include <stdbool.h>

#include <glib.h>

#include "sched/claim.h"

#define SHARD_ROLES 11

/* A fleet of which some processes have more than the others. */
static const sched_process_t strong = {500, 200000};
static const sched_process_t weak = {120, 10000};

/*
 * Returns the reference of a fleet of so many strong and weak processes.
 */
static sched_process_t
reference_of(uint32_t strong_count, uint32_t weak_count)
{
	uint32_t count = strong_count + weak_count;
	g_autofree sched_process_t *present = g_new(sched_process_t, count);

	for (uint32_t i = 0; i < count; i++)
		present[i] = i < weak_count ? weak : strong;
	return sched_claim_reference(present, count, SHARD_ROLES);
}

/*
 * Returns whether the first process claims before the second, whatever the
 * random parts of their delays.
 */
static bool
is_surely_first(const sched_claimant_t *a, const sched_claimant_t *b,
    const sched_process_t *reference)
{
	return sched_claim_delay_ms(a, reference) + SCHED_CLAIM_JITTER_MS <=
	    sched_claim_delay_ms(b, reference);
}

/* Guards against pools whose owner's link cannot carry their starts. */
static void
test_strong_first(void)
{
	const sched_process_t fleet = reference_of(8, 34);
	const sched_process_t narrow = {strong.cpu_permille, weak.link_kbps};
	const sched_process_t slow = {weak.cpu_permille, strong.link_kbps};
	const sched_claimant_t narrow_link = {.process = narrow};
	const sched_claimant_t little_cpu = {.process = slow};

	for (uint32_t owned = 0; owned <= 5; owned++) {
		const sched_claimant_t able = {
		    .process = strong, .owned_roles = owned};

		g_assert_true(is_surely_first(&able, &narrow_link, &fleet));
		g_assert_true(is_surely_first(&able, &little_cpu, &fleet));
	}
}

/*
 * Guards against narrow owners after a loss of power, when processes with wide
 * links have started a little later.
 */
static void
test_strong_first_at_start(void)
{
	const sched_process_t fleet = reference_of(8, 34);
	const sched_claimant_t late = {
	    .process = strong, .owned_roles = 3, .is_starting = true};
	const sched_claimant_t early = {.process = weak, .is_starting = true};

	g_assert_cmpuint(sched_claim_delay_ms(&late, &fleet) +
		SCHED_CLAIM_JITTER_MS + SCHED_CLAIM_STARTING_MS,
	    <=, sched_claim_delay_ms(&early, &fleet));
}

/* Guards against roles that wait though no process has more to offer. */
static void
test_no_wait_without_strong(void)
{
	const sched_process_t fleets[] = {
	    reference_of(0, 34), reference_of(2, 34), reference_of(0, 1)};
	const sched_claimant_t claimant = {.process = weak};
	const sched_claimant_t idle = {.process = strong};
	const sched_process_t equal = reference_of(8, 0);

	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++)
		g_assert_cmpuint(sched_claim_delay_ms(&claimant, &fleets[i]),
		    ==, sched_claim_delay_ms(&idle, &equal));
}

/* Guards against one strong process that all others wait for. */
static void
test_one_outlier(void)
{
	sched_process_t present[9];
	const sched_claimant_t claimant = {.process = strong};
	sched_process_t reference;

	for (size_t i = 0; i < G_N_ELEMENTS(present); i++)
		present[i] = strong;
	present[4] = (sched_process_t){UINT32_MAX, UINT32_MAX};
	reference =
	    sched_claim_reference(present, G_N_ELEMENTS(present), SHARD_ROLES);
	g_assert_cmpuint(reference.link_kbps, ==, strong.link_kbps);
	g_assert_cmpuint(sched_claim_delay_ms(&claimant, &reference), <,
	    SCHED_CLAIM_JITTER_MS);
}

/*
 * Guards against both shards of a pool in one data centre, with which the whole
 * pool would lose its owners.
 */
static void
test_other_data_centre_first(void)
{
	const sched_process_t fleet = reference_of(8, 34);
	const sched_claimant_t sharing = {
	    .process = strong, .shares_pool = true};
	const sched_claimant_t narrow = {.process = weak};

	g_assert_true(is_surely_first(&sharing, &narrow, &fleet));
	for (uint32_t owned = 0; owned <= 1; owned++) {
		const sched_claimant_t other = {
		    .process = strong, .owned_roles = owned};

		g_assert_cmpuint(sched_claim_delay_ms(&other, &fleet), <,
		    sched_claim_delay_ms(&sharing, &fleet));
	}
}

/* Guards against one process that takes every role of equal ones. */
static void
test_fewest_roles_first(void)
{
	const sched_process_t fleet = reference_of(8, 0);

	for (uint32_t owned = 0; owned < 10; owned++) {
		const sched_claimant_t fewer = {
		    .process = strong, .owned_roles = owned};
		const sched_claimant_t more = {
		    .process = strong, .owned_roles = owned + 2};

		g_assert_true(is_surely_first(&fewer, &more, &fleet));
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched/claim/strong-first", test_strong_first);
	g_test_add_func(
	    "/sched/claim/strong-first-at-start", test_strong_first_at_start);
	g_test_add_func(
	    "/sched/claim/no-wait-without-strong", test_no_wait_without_strong);
	g_test_add_func("/sched/claim/one-outlier", test_one_outlier);
	g_test_add_func("/sched/claim/other-data-centre-first",
	    test_other_data_centre_first);
	g_test_add_func(
	    "/sched/claim/fewest-roles-first", test_fewest_roles_first);
	return g_test_run();
}
