#include <string.h>

#include "scene.h"

/*
 * Returns the generation in the stored status of dc1, or 0 without a status.
 */
static uint64_t
status_generation(const scene_t *s)
{
	const fake_key_t *key = world_key(s->w, "/gw/dc/dc1/status");
	json_t *status;
	uint64_t generation;

	if (key == NULL)
		return 0;
	status = json_loads(key->value, 0, NULL);
	generation =
	    (uint64_t)json_integer_value(json_object_get(status, "generation"));
	json_decref(status);
	return generation;
}

/*
 * Guards against a new generation that does not reach a router or a peer, and
 * against a status key that names a generation before every router has it in
 * force, or that is written once for each of many quick changes.
 */
static void
test_in_force(void)
{
	scene_t s;
	uint64_t writes;

	scene_start(&s, NULL);
	scene_run(&s, 1500);
	g_assert_cmpuint(status_generation(&s), ==, 1);
	s.r2->cut = true;
	scene_manifest(&s, 2, 3, 1);
	scene_run(&s, 3000);
	g_assert_cmpuint(fleet_generation(s.n1->fleet), ==, 2);
	g_assert_cmpuint(fleet_generation(s.n2->fleet), ==, 2);
	g_assert_cmpuint(s.r1->generation, ==, 2);
	g_assert_cmpuint(status_generation(&s), ==, 1);
	s.r2->cut = false;
	router_disconnect(s.r2);
	router_connect(s.r2, s.n1);
	scene_run(&s, 2000);
	g_assert_cmpuint(status_generation(&s), ==, 2);
	writes = s.w->writes;
	for (uint64_t generation = 3; generation < 23; generation++) {
		scene_manifest(&s, generation, 3, 1);
		scene_run(&s, 100);
	}
	scene_run(&s, 2000);
	g_assert_cmpuint(status_generation(&s), ==, 22);
	g_assert_cmpuint(s.w->writes - writes, <=, 14);
	scene_end(&s);
}

/*
 * Guards against a return to a lower generation after a stale read, a write of
 * an old root, or duplicate watch events.
 */
static void
test_never_lower(void)
{
	scene_t s;
	char *old;

	scene_start(&s, NULL);
	s.w->watch_double = true;
	old = g_strdup(world_key(s.w, "/gw/manifest/root")->value);
	scene_manifest(&s, 2, 3, 1);
	scene_run(&s, 500);
	g_assert_cmpuint(fleet_generation(s.n1->fleet), ==, 2);
	world_put(s.w, "/gw/manifest/root", old);
	scene_run(&s, 500);
	g_assert_cmpuint(fleet_generation(s.n1->fleet), ==, 2);
	scene_manifest(&s, 3, 3, 1);
	s.w->stale_reads = true;
	scene_run(&s, 10000);
	g_assert_cmpuint(fleet_generation(s.n1->fleet), ==, 3);
	g_assert_cmpuint(s.r1->generation, ==, 3);
	s.w->stale_reads = false;
	s.n1->paused = true;
	scene_run(&s, SCENE_FAIL_OVER_MS);
	g_assert_true(world_planner(s.w) == s.n2);
	g_assert_cmpuint(fleet_generation(s.n2->fleet), ==, 3);
	g_free(old);
	scene_end(&s);
}

/*
 * Guards against a planner that misses a change because its watch ended, for
 * example on compaction, or because the watch sends no events any more.
 */
static void
test_watch_ends(void)
{
	fleet_msg_t end = {.kind = FLEET_WATCH_END};
	gw_err_t err;
	scene_t s;

	scene_start(&s, NULL);
	gw_err_set(&err, GW_ERR_CONFLICT, "watch", "store", "compacted");
	end.call = s.n1->watch;
	end.err = &err;
	s.n1->watch = 0;
	fleet_handle(s.n1->fleet, &end);
	scene_manifest(&s, 2, 3, 1);
	scene_run(&s, 1000);
	g_assert_cmpuint(fleet_generation(s.n1->fleet), ==, 2);
	g_assert_cmpuint(s.n1->watch, !=, 0);
	s.n1->watch_key[0] = '\0';
	scene_manifest(&s, 3, 3, 1);
	scene_run(&s, 5000);
	g_assert_cmpuint(fleet_generation(s.n1->fleet), ==, 3);
	scene_end(&s);
}

/*
 * Guards against a gwfleetd that starts while the store is down and serves no
 * generation, or an older one than its peers hold.
 */
static void
test_start_while_down(void)
{
	node_t *n3;
	scene_t s;

	scene_start(&s, NULL);
	scene_manifest(&s, 2, 3, 1);
	scene_run(&s, 1000);
	s.w->store_down = true;
	n3 = world_add_node(s.w);
	world_link_nodes(s.n1, n3);
	world_link_nodes(n3, s.n1);
	scene_run(&s, 1000);
	g_assert_cmpuint(fleet_generation(n3->fleet), ==, 2);
	g_assert_nonnull(fleet_table(n3->fleet));
	g_assert_true(fleet_ready(n3->fleet));
	scene_end(&s);
}

/*
 * Guards against a data centre that stops serving while it is cut off from the
 * store, or does not adopt the newer generation afterwards.
 */
static void
test_cut_off_and_healed(void)
{
	scene_t s;

	scene_start(&s, NULL);
	s.n1->cut_from_store = true;
	s.n2->cut_from_store = true;
	scene_manifest(&s, 2, 3, 1);
	scene_run(&s, 20000);
	g_assert_cmpuint(fleet_generation(s.n1->fleet), ==, 1);
	g_assert_true(router_may_use(s.w, s.r1, "i1"));
	s.n1->cut_from_store = false;
	s.n2->cut_from_store = false;
	scene_run(&s, 5000);
	scene_reconnect(&s);
	scene_run(&s, 7000);
	g_assert_cmpuint(fleet_generation(s.n1->fleet), ==, 2);
	g_assert_cmpuint(fleet_generation(s.n2->fleet), ==, 2);
	g_assert_cmpuint(s.r1->generation, ==, 2);
	g_assert_cmpuint(status_generation(&s), ==, 2);
	scene_end(&s);
}

/*
 * Guards against instances that stay in a pool above its target when a new
 * manifest moves an instance from pool a to pool b.
 */
static void
test_targets_change(void)
{
	scene_t s;
	uint32_t in_b = 0;

	scene_start(&s, NULL);
	scene_manifest(&s, 2, 2, 2);
	scene_run(&s, 6000);
	for (int i = 1; i <= 4; i++) {
		char id[8];

		(void)g_snprintf(id, sizeof(id), "i%d", i);
		g_assert_cmpuint(
		    scene_instance(&s, id).state, ==, MEMBER_ACTIVE);
		in_b += strcmp(scene_instance(&s, id).pool, "b") == 0;
	}
	g_assert_cmpuint(in_b, ==, 2);
	scene_end(&s);
}

/* True when the last decision input had the previous manifest. */
static bool with_previous;

/* A lending policy that only records whether there is a previous manifest. */
static void
observe_previous(plan_lending_t *lending, const plan_input_t *input,
    uint64_t now_us, GPtrArray *actions)
{
	(void)lending;
	(void)now_us;
	(void)actions;
	with_previous = input->previous != NULL;
}

static plan_lending_t *
new_no_lending(void)
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
no_budget(const plan_input_t *input, const char *pool)
{
	(void)input;
	(void)pool;
	return 0;
}

static const plan_lending_ops_t observe_ops = {"look", observe_previous};
static const fleet_policy_t observe_policy = {
    &observe_ops, new_no_lending, NULL, no_waves, no_budget};

/*
 * Guards against availability budgets of a new manifest that replace the old
 * ones here while another data centre still uses its old, larger share.
 */
static void
test_previous_until_everywhere(void)
{
	scene_t s;

	scene_start(&s, &observe_policy);
	scene_other_centre(true);
	scene_manifest(&s, 2, 3, 1);
	scene_run(&s, 10000);
	g_assert_cmpuint(status_generation(&s), ==, 2);
	g_assert_true(with_previous);
	world_put(s.w, "/gw/dc/dc2/status", "{\"generation\":2}");
	scene_run(&s, 3000);
	g_assert_false(with_previous);
	scene_other_centre(false);
	scene_end(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/generation/in-force", test_in_force);
	g_test_add_func("/generation/never-lower", test_never_lower);
	g_test_add_func("/generation/watch-ends", test_watch_ends);
	g_test_add_func("/generation/start-while-down", test_start_while_down);
	g_test_add_func("/generation/cut-off", test_cut_off_and_healed);
	g_test_add_func("/generation/numbers", test_targets_change);
	g_test_add_func("/generation/previous", test_previous_until_everywhere);
	return g_test_run();
}
