/*
 * Guards against two failures of the decision on the number of shards: a large
 * fleet gets too few shards, because only the first instances have registered;
 * or the system never starts, because instances keep registering.
 */
#include <glib.h>

#include "gw/clock.h"
#include "sched/shard.h"

#define START_US (100 * GW_US_PER_S)
#define POLL_INTERVAL_US (200 * GW_US_PER_MS)

/* A pool of 85 instances that registers over 4 s gets two shards. */
static void
test_grows(void)
{
	shard_growth_t growth = {0};
	uint64_t now_us = START_US;

	for (uint32_t count = 0; count < 85; count += 5) {
		g_assert_false(shard_growth_settled(&growth, count, now_us));
		now_us += POLL_INTERVAL_US;
	}
	g_assert_false(shard_growth_settled(&growth, 85, now_us));
	while (!shard_growth_settled(&growth, 85, now_us))
		now_us += POLL_INTERVAL_US;
	g_assert_cmpuint(now_us, <, START_US + 6 * GW_US_PER_S);
	g_assert_cmpuint(shard_count_for(growth.largest), ==, 2);
}

/* Nothing is decided while the registry is empty. */
static void
test_empty(void)
{
	shard_growth_t growth = {0};

	for (uint64_t at_us = 0; at_us < 20 * GW_US_PER_S;
	     at_us += POLL_INTERVAL_US)
		g_assert_false(
		    shard_growth_settled(&growth, 0, START_US + at_us));
	g_assert_false(
	    shard_growth_settled(&growth, 3, START_US + 21 * GW_US_PER_S));
}

/* The number is decided although an instance registers each second for ever. */
static void
test_unsettled(void)
{
	shard_growth_t growth = {0};
	uint64_t at_us = 0;

	while (!shard_growth_settled(
	    &growth, (uint32_t)(1 + at_us / GW_US_PER_S), START_US + at_us))
		at_us += POLL_INTERVAL_US;
	g_assert_cmpuint(at_us, <=, 7 * GW_US_PER_S);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/shard/grows", test_grows);
	g_test_add_func("/shard/empty", test_empty);
	g_test_add_func("/shard/unsettled", test_unsettled);
	return g_test_run();
}
