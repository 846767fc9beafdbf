#include "member/attempt.h"
#include <glib.h>

/*
 * Guards against a request that is not idempotent and runs twice: its try
 * failed after bytes were sent, and the request is tried again (P5).
 */
static void
test_non_idempotent_once_sent(void)
{
	attempt_t attempt;

	attempt_init(&attempt, false, 3);
	g_assert_cmpuint(attempt_start(&attempt), ==, 1);
	g_assert_true(attempt_failed(&attempt, 1));
	g_assert_cmpint(attempt_outcome(&attempt), ==, ATTEMPT_NOT_RUN);
	g_assert_cmpuint(attempt_start(&attempt), ==, 2);
	g_assert_true(attempt_send(&attempt, 2));
	g_assert_true(attempt_failed(&attempt, 2));
	g_assert_cmpuint(attempt_start(&attempt), ==, 0);
	g_assert_cmpint(attempt_outcome(&attempt), ==, ATTEMPT_UNKNOWN);
}

/*
 * Guards against the outcome "not-run" when an earlier try was sent (P4), and
 * against a late response to an earlier try that is accepted as the response to
 * the current try (P3).
 */
static void
test_idempotent_late_response(void)
{
	attempt_t attempt;

	attempt_init(&attempt, true, 3);
	g_assert_cmpuint(attempt_start(&attempt), ==, 1);
	g_assert_true(attempt_send(&attempt, 1));
	g_assert_true(attempt_failed(&attempt, 1));
	g_assert_cmpuint(attempt_start(&attempt), ==, 2);
	g_assert_cmpint(attempt_outcome(&attempt), ==, ATTEMPT_UNKNOWN);
	g_assert_false(attempt_response(&attempt, 1));
	g_assert_false(attempt_done(&attempt, 1));
	g_assert_true(attempt_send(&attempt, 2));
	g_assert_true(attempt_response(&attempt, 2));
	g_assert_false(attempt_may_start(&attempt));
	g_assert_true(attempt_done(&attempt, 2));
	g_assert_cmpint(attempt_outcome(&attempt), ==, ATTEMPT_ANSWERED);
	g_assert_false(attempt_failed(&attempt, 2));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/attempt/at-most-once", test_non_idempotent_once_sent);
	g_test_add_func("/attempt/late", test_idempotent_late_response);
	return g_test_run();
}
