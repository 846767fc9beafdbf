#include "scene.h"

/*
 * Guards against a planner that treats a lost answer as a lost election or a
 * lost write: the store does the first three writes but their answers are lost,
 * and the planner must still serve.
 */
static void
test_answers_lost(void)
{
	scene_t s;
	uint64_t epoch;

	s.w = world_new(NULL);
	s.w->lose_answers = 3;
	scene_manifest(&s, 1, 3, 1);
	(void)world_add_instance(s.w, "i1", 22001, "rack1");
	s.n1 = world_add_node(s.w);
	world_run(s.w, 3000);
	g_assert_true(world_planner(s.w) == s.n1);
	g_assert_cmpuint(s.w->lose_answers, ==, 0);
	epoch = fleet_table(s.n1->fleet)->epoch;
	g_assert_cmpuint(
	    epoch, ==, world_key(s.w, "/gw/dc/dc1/planner")->create_revision);
	g_assert_cmpstr(scene_instance(&s, "i1").pool, ==, "a");
	scene_end(&s);
}

/*
 * Guards against two planners at the same time. Two nodes start together; later
 * the planner is cut off from the store until its lease expires, and then
 * reconnected.
 */
static void
test_one_planner(void)
{
	scene_t s;
	uint64_t epoch;

	scene_start(&s, NULL);
	epoch = fleet_table(s.n1->fleet)->epoch;
	s.n1->cut_from_store = true;
	world_unlink_nodes(s.w);
	scene_run(&s, SCENE_FAIL_OVER_MS);
	g_assert_true(world_planner(s.w) == s.n2);
	g_assert_cmpuint(fleet_table(s.n2->fleet)->epoch, >, epoch);
	s.n1->cut_from_store = false;
	world_link_nodes(s.n1, s.n2);
	world_link_nodes(s.n2, s.n1);
	scene_run(&s, 3000);
	g_assert_true(world_planner(s.w) == s.n2);
	g_assert_cmpuint(fleet_table(s.n1->fleet)->epoch, ==,
	    fleet_table(s.n2->fleet)->epoch);
	scene_end(&s);
}

/*
 * Guards against a planner that goes on after it was suspended in the middle of
 * a write for longer than its lease: the write must fail, it must answer no
 * heartbeat, and it must step down.
 */
static void
test_paused_in_write(void)
{
	scene_t s;
	uint64_t contact_us;

	scene_start(&s, NULL);
	s.w->delay_puts_of = s.n1;
	world_instance(s.w, "i1")->state = PLATFORM_LEAVING;
	scene_run(&s, 800);
	g_assert_cmpuint(s.w->delayed_puts.length, ==, 1);
	s.n1->paused = true;
	scene_run(&s, SCENE_FAIL_OVER_MS);
	g_assert_true(world_planner(s.w) == s.n2);
	contact_us = s.r1->contact.contact_sent_us;
	world_apply_delayed_puts(s.w);
	s.n1->paused = false;
	scene_run(&s, WORLD_STEP_MS);
	g_assert_false(fleet_is_planner(s.n1->fleet));
	scene_run(&s, 2000);
	g_assert_true(world_planner(s.w) == s.n2);
	g_assert_cmpuint(s.r1->contact.contact_sent_us, ==, contact_us);
	g_assert_cmpuint(fleet_table(s.n1->fleet)->epoch, ==,
	    fleet_table(s.n2->fleet)->epoch);
	scene_end(&s);
}

/*
 * Guards against a table without the new planner's epoch, or without the
 * previous planner's last change, when that change reaches the store between
 * the new planner's read and its claim of the table.
 */
static void
test_late_write_before_claim(void)
{
	scene_t s;
	member_table_t *table;

	scene_start(&s, NULL);
	s.w->delay_puts_of = s.n1;
	world_instance(s.w, "i1")->state = PLATFORM_LEAVING;
	scene_run(&s, 800);
	s.n1->paused = true;
	while (world_key(s.w, "/gw/dc/dc1/planner") != NULL)
		scene_run(&s, WORLD_STEP_MS);
	while (world_key(s.w, "/gw/dc/dc1/planner") == NULL)
		scene_run(&s, WORLD_STEP_MS);
	world_apply_delayed_puts(s.w);
	scene_run(&s, 500);
	g_assert_true(world_planner(s.w) == s.n2);
	table = world_table(s.w);
	g_assert_cmpuint(table->epoch, ==, fleet_table(s.n2->fleet)->epoch);
	g_assert_cmpuint(
	    member_table_find(table, "i1")->state, ==, MEMBER_LEAVING);
	member_table_free(table);
	s.n1->paused = false;
	scene_run(&s, 2000);
	g_assert_true(world_planner(s.w) == s.n2);
	scene_end(&s);
}

/*
 * Guards against a planner that answers heartbeats while the store is down for
 * longer than its lease, and against a data centre that has no planner when the
 * store is back.
 */
static void
test_store_down_long(void)
{
	scene_t s;
	uint64_t down_us, epoch;

	scene_start(&s, NULL);
	epoch = fleet_table(s.n1->fleet)->epoch;
	s.w->store_down = true;
	down_us = gw_clock_now_us(&s.w->clock);
	scene_run(&s, 30000);
	g_assert_null(world_planner(s.w));
	g_assert_cmpuint(s.r1->contact.contact_sent_us, <,
	    down_us + GW_LEASE_TTL_MS * GW_US_PER_MS);
	g_assert_true(router_may_use(s.w, s.r1, "i1"));
	s.w->store_down = false;
	scene_run(&s, SCENE_FAIL_OVER_MS);
	g_assert_nonnull(world_planner(s.w));
	g_assert_cmpuint(
	    fleet_table(world_planner(s.w)->fleet)->epoch, >, epoch);
	scene_end(&s);
}

/*
 * Guards against a new planner that grants slots which a router still holds
 * from the previous planner: no more slots are granted until both routers have
 * reported theirs.
 */
static void
test_grants_after_change(void)
{
	scene_t s;

	scene_start(&s, NULL);
	scene_run(&s, 1000);
	g_assert_cmpuint(scene_granted_slots(&s, "i1"), ==, 8);
	s.n1->paused = true;
	scene_run(&s, SCENE_FAIL_OVER_MS);
	g_assert_true(world_planner(s.w) == s.n2);
	s.r1->slots_wanted = 100;
	router_disconnect(s.r1);
	router_connect(s.r1, s.n2);
	scene_run(&s, 5000);
	g_assert_true(s.r1->admitted);
	g_assert_cmpuint(router_granted(s.r1, "i1"), <=, 4);
	router_disconnect(s.r2);
	router_connect(s.r2, s.n2);
	scene_run(&s, 2000);
	g_assert_cmpuint(router_granted(s.r1, "i1"), >, 4);
	g_assert_cmpuint(scene_granted_slots(&s, "i1"), ==, 8);
	scene_end(&s);
}

/*
 * Guards against a shutdown of the planner that doesn't release its lease, and
 * so leaves the data centre without a planner until the lease expires.
 */
static void
test_shutdown(void)
{
	fleet_msg_t msg = {.kind = FLEET_SHUTDOWN};
	scene_t s;

	scene_start(&s, NULL);
	fleet_handle(s.n1->fleet, &msg);
	g_assert_false(fleet_ready(s.n1->fleet));
	world_unlink_nodes(s.w);
	scene_run(&s, 1500);
	g_assert_true(world_planner(s.w) == s.n2);
	scene_end(&s);
}

/*
 * Guards against needless store calls of an idle data centre: more than one
 * lease renewal in 2 s and one read of the manifest root in 4 s.
 */
static void
test_idle_load(void)
{
	scene_t s;
	uint64_t calls;

	scene_start(&s, NULL);
	scene_run(&s, 2000);
	calls = s.w->reads + s.w->writes;
	scene_run(&s, 20000);
	g_assert_cmpuint(s.w->reads + s.w->writes - calls, <=, 16);
	scene_end(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/election/answers-lost", test_answers_lost);
	g_test_add_func("/election/race", test_one_planner);
	g_test_add_func("/election/paused-in-write", test_paused_in_write);
	g_test_add_func(
	    "/election/late-write-before-claim", test_late_write_before_claim);
	g_test_add_func("/election/store-down", test_store_down_long);
	g_test_add_func("/election/grants", test_grants_after_change);
	g_test_add_func("/election/shutdown", test_shutdown);
	g_test_add_func("/election/idle-load", test_idle_load);
	return g_test_run();
}
