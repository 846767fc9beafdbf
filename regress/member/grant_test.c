#include "member/grant.h"

static GPtrArray *
nodes(void)
{
	GPtrArray *ids;

	ids = g_ptr_array_new();
	g_ptr_array_add(ids, "a");
	g_ptr_array_add(ids, "b");
	g_ptr_array_add(ids, "c");
	return ids;
}

/*
 * Guards against a slot that two routers use at once: a revoked slot is granted
 * to another router before the first router acknowledged the revocation.
 */
static void
test_reuse_after_ack(void)
{
	const uint32_t first[] = {8, 0, 0}, second[] = {2, 8, 0};
	member_grants_t *grants;
	GPtrArray *ids;

	ids = nodes();
	grants = member_grants_new(8);
	g_assert_true(member_grants_divide(grants, ids, first, 1));
	g_assert_true(member_grants_divide(grants, ids, second, 2));
	g_assert_cmpuint(member_grants_find(grants, "a")->granted, ==, 2);
	g_assert_cmpuint(member_grants_find(grants, "b")->granted, ==, 0);
	member_grants_acked(grants, "a", 1, 2);
	g_assert_false(member_grants_divide(grants, ids, second, 3));
	member_grants_acked(grants, "a", 2, 5);
	g_assert_true(member_grants_divide(grants, ids, second, 3));
	g_assert_cmpuint(member_grants_find(grants, "b")->granted, ==, 3);
	member_grants_free(grants);
	g_ptr_array_unref(ids);
}

/*
 * Guards against a slot that two routers use at once: a new planner grants
 * slots that are held by a router which has not sent its Hello yet.
 */
static void
test_new_planner_waits_for_reports(void)
{
	const uint32_t wanted[] = {8, 8, 8};
	member_grants_t *grants;
	GPtrArray *ids;

	ids = nodes();
	grants = member_grants_new(8);
	grants->unreported = 2;
	member_grants_reported(grants, "a", 2, 1);
	grants->unreported--;
	g_assert_false(member_grants_divide(grants, ids, wanted, 1));
	g_assert_cmpuint(member_grants_find(grants, "a")->granted, ==, 2);
	member_grants_reported(grants, "b", 6, 1);
	grants->unreported--;
	g_assert_true(member_grants_divide(grants, ids, wanted, 1));
	g_assert_cmpuint(member_grants_reserved(grants), ==, 8);
	member_grants_free(grants);
	g_ptr_array_unref(ids);
}

/*
 * Guards against more reserved slots than the instance has, after any random
 * sequence of divisions, acknowledgements and dropped routers.
 */
static void
test_random_sum(void)
{
	static const char *const names[] = {"a", "b", "c"};
	member_grants_t *grants;
	const member_grant_t *grant;
	GPtrArray *ids;
	GRand *rand;
	uint32_t step, wanted[3];
	int i;

	rand = g_rand_new_with_seed(20261204);
	ids = nodes();
	grants = member_grants_new(8);
	for (step = 1; step <= 200000; step++) {
		for (i = 0; i < 3; i++)
			wanted[i] = g_rand_int_range(rand, 0, 12);
		(void)member_grants_divide(grants, ids, wanted, step);
		i = g_rand_int_range(rand, 0, 3);
		grant = member_grants_find(grants, names[i]);
		g_assert_cmpuint(grant->reserved, >=, grant->granted);
		if (g_rand_boolean(rand))
			member_grants_acked(grants, names[i],
			    step - g_rand_int_range(rand, 0, 4),
			    g_rand_int_range(rand, 0, 9));
		else if (g_rand_int_range(rand, 0, 50) == 0)
			member_grants_drop(grants, names[i]);
		g_assert_cmpuint(member_grants_reserved(grants), <=, 8);
	}
	member_grants_free(grants);
	g_ptr_array_unref(ids);
	g_rand_free(rand);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/grant/reuse", test_reuse_after_ack);
	g_test_add_func(
	    "/grant/new-planner", test_new_planner_waits_for_reports);
	g_test_add_func("/grant/random", test_random_sum);
	return g_test_run();
}
