#include <glib.h>

#include "policy/outlier.h"

#define COUNT 10
#define MAX_OUT_PERCENT 40
#define SEED 5

typedef struct {
	gw_clock_t clock;
	outlier_t *o;
	GRand *rand;
	char ids[COUNT][8];
} pool_t;

static void
pool_init(pool_t *pool)
{
	gw_clock_init_paused(&pool->clock, GW_US_PER_S);
	pool->o = outlier_new(&pool->clock, MAX_OUT_PERCENT);
	pool->rand = g_rand_new_with_seed(SEED);
	for (int i = 0; i < COUNT; i++) {
		g_snprintf(pool->ids[i], sizeof(pool->ids[i]), "i%d", i);
		outlier_add(pool->o, pool->ids[i]);
	}
}

static void
pool_clear(pool_t *pool)
{
	outlier_free(pool->o);
	g_rand_free(pool->rand);
}

/*
 * Reports the outcomes of requests to random instances. The first bad_count
 * instances fail at rate bad_rate, the others at rate ok_rate.
 */
static void
report_requests(
    pool_t *pool, int requests, int bad_count, double bad_rate, double ok_rate)
{
	for (int n = 0; n < requests; n++) {
		int i = g_rand_int_range(pool->rand, 0, COUNT);
		double rate = i < bad_count ? bad_rate : ok_rate;

		gw_clock_advance(&pool->clock, 2000);
		outlier_report(pool->o, pool->ids[i],
		    g_rand_double(pool->rand) < rate ? OUTLIER_FAILURE
						     : OUTLIER_SUCCESS);
	}
}

/*
 * Guards against instances that fail every request and are not ejected, against
 * ejecting a healthy one with them, and against ejections that never end.
 */
static void
test_three_of_ten_fail_everything(void)
{
	pool_t pool;

	pool_init(&pool);
	report_requests(&pool, 1000, 0, 0, 0.01);
	g_assert_cmpuint(outlier_ejected_count(pool.o), ==, 0);
	report_requests(&pool, 500, 3, 1.0, 0.01);
	g_assert_cmpuint(outlier_ejected_count(pool.o), ==, 3);
	for (int i = 0; i < 3; i++)
		g_assert_cmpint(
		    outlier_state(pool.o, pool.ids[i]), ==, OUTLIER_EJECTED);
	gw_clock_advance(&pool.clock, 6 * GW_US_PER_S);
	g_assert_cmpint(
	    outlier_state(pool.o, pool.ids[0]), ==, OUTLIER_PROBATION);
	report_requests(&pool, 200, 0, 0, 0);
	g_assert_cmpuint(outlier_ejected_count(pool.o), ==, 0);
	pool_clear(&pool);
}

/*
 * Guards against ejecting an instance for faults of others: a service that
 * fails on all instances, wholly or in part, and faults of callers.
 */
static void
test_service_and_caller_faults(void)
{
	pool_t pool;

	pool_init(&pool);
	report_requests(&pool, 1000, 0, 0, 0.001);
	report_requests(&pool, 5000, 0, 0, 1.0);
	g_assert_cmpuint(outlier_ejected_count(pool.o), ==, 0);
	report_requests(&pool, 20000, 0, 0, 0.3);
	g_assert_cmpuint(outlier_ejected_count(pool.o), ==, 0);
	for (int i = 0; i < 1000; i++)
		outlier_report(pool.o, pool.ids[0], OUTLIER_CALLER_FAULT);
	g_assert_cmpuint(outlier_ejected_count(pool.o), ==, 0);
	pool_clear(&pool);
}

/*
 * Guards against ejecting more instances than max_out_percent allows, and
 * against a removed instance that is still counted as ejected.
 */
static void
test_limit_and_removal(void)
{
	pool_t pool;

	pool_init(&pool);
	report_requests(&pool, 1000, 0, 0, 0);
	report_requests(&pool, 1000, 5, 1.0, 0);
	g_assert_cmpuint(outlier_ejected_count(pool.o), ==, 4);
	for (int i = 0; i < 5; i++)
		outlier_remove(pool.o, pool.ids[i]);
	g_assert_cmpuint(outlier_ejected_count(pool.o), ==, 0);
	pool_clear(&pool);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/outlier/fail", test_three_of_ten_fail_everything);
	g_test_add_func("/outlier/faults", test_service_and_caller_faults);
	g_test_add_func("/outlier/limit", test_limit_and_removal);
	return g_test_run();
}
