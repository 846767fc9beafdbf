/*
 * Guards against two failures of the decision on the number of shards: a large
 * fleet gets too few shards, because only the first instances have registered;
 * or the system never starts, because instances keep registering.
 */
#include <glib.h>

#include "gw/clock.h"
#include "sched/room.h"
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

/*
 * A shard can run a job if one instance can take a task of each step, and all
 * members of a gang, or long-running tasks, find room at the same time.
 */
static void
test_room(void)
{
	Gw__JobStep step = GW__JOB_STEP__INIT, *steps[] = {&step};
	Gw__JobSpec spec = GW__JOB_SPEC__INIT;
	char *labels[] = {(char *)"gpu", NULL};
	sched_instance_info_t info = {.capacity = {4000, 4000, 0}};
	static const struct {
		uint32_t count, cpu_millis, per_instance;
		bool gang, lasting, labelled;
		bool suffices; /* two instances, one of them with the label */
	} rows[] = {
	    {100, 4000, 0, false, false, false, true},
	    {1, 4001, 0, false, false, false, false},
	    {1, 4000, 0, false, false, true, true},
	    {8, 1000, 0, true, false, false, true},
	    {9, 1000, 0, true, false, false, false},
	    {9, 1000, 0, false, true, false, false},
	    {2, 1000, 1, true, false, false, true},
	    {3, 1000, 1, true, false, false, false},
	    {3, 1000, 1, false, false, false, true},
	    {5, 1000, 0, true, false, true, false},
	};

	spec.n_steps = 1;
	spec.steps = steps;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		sched_room_t *room = sched_room_new(&spec);
		const bool is_done[] = {false};

		step.count = rows[i].count;
		step.cpu_millis = rows[i].cpu_millis;
		step.max_per_instance = rows[i].per_instance;
		step.gang = rows[i].gang;
		step.lasting = rows[i].lasting;
		step.label = (char *)(rows[i].labelled ? "gpu" : "");
		info.labels = NULL;
		sched_room_add(room, &info);
		info.labels = labels;
		sched_room_add(room, &info);
		info.leaving = true;
		sched_room_add(room, &info);
		info.leaving = false;
		g_assert_cmpint(
		    sched_room_suffices(room, NULL), ==, rows[i].suffices);
		g_assert_true(sched_room_suffices(room, is_done));
		sched_room_free(room);
	}
}

/* The next shard with room; a job that is away from its home goes home first.
 */
static void
test_choose_shard(void)
{
	Gw__JobStep step = GW__JOB_STEP__INIT, *steps[] = {&step};
	Gw__JobSpec spec = GW__JOB_SPEC__INIT;
	sched_instance_info_t info = {.capacity = {4000, 4000, 0}};
	sched_room_t *rooms[4];
	uint32_t shard = 0;

	step.count = 1;
	step.cpu_millis = 4000;
	spec.n_steps = 1;
	spec.steps = steps;
	for (int i = 0; i < 4; i++)
		rooms[i] = sched_room_new(&spec);
	g_assert_false(sched_room_choose_shard(rooms, 4, 2, 2, NULL, &shard));
	sched_room_add(rooms[2], &info);
	g_assert_false(sched_room_choose_shard(rooms, 4, 2, 2, NULL, &shard));
	sched_room_add(rooms[1], &info);
	g_assert_true(sched_room_choose_shard(rooms, 4, 2, 2, NULL, &shard));
	g_assert_cmpuint(shard, ==, 1);
	g_assert_true(sched_room_choose_shard(rooms, 4, 2, 3, NULL, &shard));
	g_assert_cmpuint(shard, ==, 3);
	for (int i = 0; i < 4; i++)
		sched_room_free(rooms[i]);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/shard/grows", test_grows);
	g_test_add_func("/shard/empty", test_empty);
	g_test_add_func("/shard/unsettled", test_unsettled);
	g_test_add_func("/shard/room", test_room);
	g_test_add_func("/shard/choose-shard", test_choose_shard);
	return g_test_run();
}
