#include "scene.h"

/* Time within which a leaving instance must get no more work (P6). */
#define LEAVE_LIMIT_MS 5000

/*
 * Guards against a leaving instance that gets work after 5 s, and against one
 * that counts as drained while a request is in flight.
 */
static void
test_leaving(void)
{
	scene_t s;

	scene_start(&s, NULL);
	g_hash_table_insert(
	    s.r1->in_flight, g_strdup("i1"), GUINT_TO_POINTER(1));
	world_instance(s.w, "i1")->state = PLATFORM_LEAVING;
	scene_run(&s, LEAVE_LIMIT_MS);
	g_assert_false(router_may_use(s.w, s.r1, "i1"));
	g_assert_false(router_may_use(s.w, s.r2, "i1"));
	scene_run(&s, 5000);
	g_assert_cmpuint(scene_instance(&s, "i1").state, ==, MEMBER_LEAVING);
	g_hash_table_remove_all(s.r1->in_flight);
	scene_run(&s, 1000);
	g_assert_cmpuint(scene_instance(&s, "i1").state, ==, MEMBER_DRAINED);
	world_instance(s.w, "i1")->state = PLATFORM_ENDED;
	scene_run(&s, 2000);
	g_assert_cmpstr(scene_instance(&s, "i1").id, ==, "");
	g_assert_cmpuint(router_state(s.r1, "i1"), ==, 0);
	scene_end(&s);
}

/* Binds every instance, as lending does before it lends. */
static void
bind_all(plan_lending_t *lending, const plan_input_t *input, uint64_t now_us,
    GPtrArray *actions)
{
	(void)lending;
	(void)now_us;
	for (guint i = 0; i < input->table->instances->len; i++) {
		const member_instance_t *instance =
		    input->table->instances->pdata[i];
		plan_action_t *action = g_new0(plan_action_t, 1);

		action->kind = PLAN_BIND_TIME;
		g_strlcpy(action->instance_id, instance->id, GW_NAME_BYTES);
		g_ptr_array_add(actions, action);
	}
}

static plan_lending_t *
no_lending(void)
{
	return NULL;
}

static void
no_waves(const plan_input_t *input, uint64_t now_us, GPtrArray *actions)
{
	(void)input;
	(void)now_us;
	(void)actions;
}

static uint32_t
any_budget(const plan_input_t *input, const char *pool)
{
	(void)input;
	(void)pool;
	return 1;
}

static const plan_lending_ops_t bind_ops = {"bind", bind_all};
static const fleet_policy_t bind_policy = {
    &bind_ops, no_lending, NULL, no_waves, any_budget};

/*
 * Guards against waiting out a router that was cut off too early, or when the
 * instance is not time-bound: a time-bound one is drained only after contact,
 * drift and hard deadline.
 */
static void
test_router_cut_off(void)
{
	uint64_t wait_ms =
	    member_wait_us(GW_CONTACT_MS + GW_HARD_DEADLINE_MS) / GW_US_PER_MS;
	uint64_t cut_us, silent_ms;
	scene_t s;

	scene_start(&s, NULL);
	s.r1->cut = true;
	world_instance(s.w, "i1")->state = PLATFORM_LEAVING;
	scene_run(&s, 2 * wait_ms);
	g_assert_cmpuint(scene_instance(&s, "i1").state, ==, MEMBER_LEAVING);
	s.r1->cut = false;
	scene_end(&s);

	scene_start(&s, &bind_policy);
	scene_run(&s, 2000);
	g_assert_true(scene_instance(&s, "i1").bound_confirmed);
	s.r1->cut = true;
	cut_us = gw_clock_now_us(&s.w->clock);
	world_instance(s.w, "i1")->state = PLATFORM_LEAVING;
	scene_run(&s, LEAVE_LIMIT_MS);
	g_assert_false(router_may_use(s.w, s.r1, "i1"));
	while (scene_instance(&s, "i1").state == MEMBER_LEAVING)
		scene_run(&s, 100);
	g_assert_cmpuint(scene_instance(&s, "i1").state, ==, MEMBER_DRAINED);
	silent_ms = (gw_clock_now_us(&s.w->clock) - cut_us) / GW_US_PER_MS;
	g_assert_cmpuint(silent_ms, >=, wait_ms - GW_HEARTBEAT_MS);
	g_assert_cmpuint(silent_ms, <=, wait_ms + 1000);
	scene_end(&s);
}

/*
 * Guards against routers that use a replacement under a reused address by
 * their old view: the new instance waits until all know of the old one's end.
 */
static void
test_address_reused(void)
{
	scene_t s;

	scene_start(&s, NULL);
	s.r2->mute_acks = true;
	s.r2->cut = true;
	world_instance(s.w, "i1")->state = PLATFORM_ENDED;
	(void)world_add_instance(s.w, "i9", 22001, "rack1");
	scene_run(&s, 5000);
	g_assert_cmpuint(scene_instance(&s, "i1").state, ==, MEMBER_ENDED);
	g_assert_cmpstr(scene_instance(&s, "i9").id, ==, "");
	s.r2->mute_acks = false;
	s.r2->cut = false;
	router_disconnect(s.r2);
	router_connect(s.r2, s.n1);
	scene_run(&s, 3000);
	g_assert_cmpstr(scene_instance(&s, "i1").id, ==, "");
	g_assert_cmpstr(scene_instance(&s, "i9").pool, ==, "a");
	g_assert_true(router_may_use(s.w, s.r2, "i9"));
	scene_end(&s);
}

/*
 * Guards against old grants on a new incarnation: it is out of service until
 * all routers have given them up, and comes back after a check.
 */
static void
test_new_incarnation(void)
{
	platform_instance_t *listed;
	scene_t s;

	scene_start(&s, NULL);
	s.w->check_fails = true;
	listed = world_instance(s.w, "i1");
	g_strlcpy(listed->incarnation, "i1.2", sizeof(listed->incarnation));
	scene_run(&s, 3000);
	g_assert_cmpuint(scene_instance(&s, "i1").state, ==, MEMBER_CHECKING);
	g_assert_false(router_may_use(s.w, s.r1, "i1"));
	s.w->check_fails = false;
	scene_run(&s, 3000);
	g_assert_cmpuint(scene_instance(&s, "i1").state, ==, MEMBER_ACTIVE);
	g_assert_cmpstr(scene_instance(&s, "i1").incarnation, ==, "i1.2");
	g_assert_cmpuint(scene_sum(&s, "i1"), ==, 8);
	scene_end(&s);
}

/*
 * Guards against taking absence from the platform's list, a stale list or a
 * dead platform for the end of an instance.
 */
static void
test_absence_is_no_end(void)
{
	platform_instance_t copy;
	scene_t s;

	scene_start(&s, NULL);
	copy = *world_instance(s.w, "i1");
	g_assert_true(g_ptr_array_remove(s.w->list, world_instance(s.w, "i1")));
	scene_run(&s, 5000);
	g_assert_cmpuint(scene_instance(&s, "i1").state, ==, MEMBER_ACTIVE);
	s.w->platform_down = true;
	scene_run(&s, 5000);
	g_assert_cmpuint(scene_instance(&s, "i2").state, ==, MEMBER_ACTIVE);
	s.w->platform_down = false;
	world_add_instance(s.w, "i1", copy.port, "rack1")->state =
	    PLATFORM_ENDED;
	scene_run(&s, 2000);
	g_assert_cmpstr(scene_instance(&s, "i1").id, ==, "");
	scene_end(&s);
}

/*
 * Guards against giving away the slots of a router whose end is not known, and
 * against keeping those of one that said Goodbye.
 */
static void
test_router_ends(void)
{
	member_table_t *table;
	scene_t s;

	scene_start(&s, NULL);
	router_disconnect(s.r1);
	scene_run(&s, 60000);
	g_assert_cmpuint(router_granted(s.r2, "i1"), ==, 4);
	router_connect(s.r1, s.n1);
	scene_run(&s, 1000);
	router_say_goodbye(s.r1);
	g_hash_table_remove_all(s.r1->granted);
	scene_run(&s, 1000);
	table = world_table(s.w);
	g_assert_cmpuint(table->routers->len, ==, 1);
	member_table_free(table);
	g_assert_cmpuint(router_granted(s.r2, "i1"), ==, 8);
	scene_end(&s);
}

/*
 * Guards against a router process whose slots are given away while routers
 * that it sponsored may still use them: only its node's next process or the
 * platform tells of its end, and then contact and hard deadline must pass.
 */
static void
test_router_restarts(void)
{
	uint64_t wait_ms =
	    member_wait_us(GW_CONTACT_MS + GW_HARD_DEADLINE_MS) / GW_US_PER_MS;
	scene_t s;

	scene_start(&s, NULL);
	router_disconnect(s.r1);
	g_hash_table_remove_all(s.r1->granted);
	s.r1->boot_id++;
	s.r1->epoch = s.r1->version = 0;
	router_connect(s.r1, s.n1);
	scene_run(&s, wait_ms - 1000);
	g_assert_true(s.r1->admitted);
	g_assert_cmpuint(scene_sum(&s, "i1"), ==, 4);
	scene_run(&s, 3000);
	g_assert_cmpuint(scene_sum(&s, "i1"), ==, 8);
	scene_end(&s);
}

/*
 * Guards against full views on every change: 1,800 instances change rarely.
 */
static void
test_deltas(void)
{
	uint64_t full;
	scene_t s;

	scene_start(&s, NULL);
	full = s.r1->full_views;
	world_instance(s.w, "i1")->state = PLATFORM_LEAVING;
	scene_run(&s, 2000);
	g_assert_cmpuint(s.r1->full_views, ==, full);
	g_assert_cmpuint(router_state(s.r1, "i1"), ==, MEMBER_DRAINED);
	scene_end(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/instance/leaving", test_leaving);
	g_test_add_func("/instance/router-cut-off", test_router_cut_off);
	g_test_add_func("/instance/address-reused", test_address_reused);
	g_test_add_func("/instance/new-incarnation", test_new_incarnation);
	g_test_add_func("/instance/absence", test_absence_is_no_end);
	g_test_add_func("/instance/router-ends", test_router_ends);
	g_test_add_func("/instance/router-restarts", test_router_restarts);
	g_test_add_func("/instance/deltas", test_deltas);
	return g_test_run();
}
