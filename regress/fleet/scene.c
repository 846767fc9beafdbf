#include "scene.h"

static const char manifest_format[] =
    "{\"version\":1,"
    "\"teams\":[{\"name\":\"t\",\"weight\":1,\"quota\":{\"cpu_millis\":"
    "1000000,\"memory_mib\":1000000,\"accelerators\":0}}],"
    "\"pools\":[{\"name\":\"a\",\"team\":\"t\",\"service\":\"sa\",\"spare\":"
    "false,\"data_centres\":{\"dc1\":{\"instances\":%d,\"minimum\":1}%s},"
    "\"slots_per_instance\":8},"
    "{\"name\":\"b\",\"team\":\"t\",\"service\":\"sb\",\"spare\":false,"
    "\"data_centres\":{\"dc1\":{\"instances\":%d,\"minimum\":0}},"
    "\"slots_per_instance\":8}],"
    "\"budgets\":[{\"team\":\"t\",\"pool\":\"a\",\"max_unavailable\":1}],"
    "\"lending\":[],\"routes\":[{\"path_prefix\":\"/\",\"pool\":\"a\","
    "\"class\":\"quick\",\"deadline_ms\":1000}],"
    "\"waves\":[{\"name\":\"w\",\"pools\":[\"a\"],\"concurrency\":1,"
    "\"domain_limit\":1,\"action\":\"reboot\"}]}";

static bool other_centre; /* name a second data centre in manifests */

/*
 * Sets whether later manifests name a second data centre.
 */
void
scene_other_centre(bool present)
{
	other_centre = present;
}

/*
 * Applies a manifest in which pool_a and pool_b are the numbers of instances
 * of the pools a and b.
 */
void
scene_manifest(scene_t *s, uint64_t generation, int pool_a, int pool_b)
{
	g_autofree char *json = g_strdup_printf(manifest_format, pool_a,
	    other_centre ? ",\"dc2\":{\"instances\":2,\"minimum\":1}" : "",
	    pool_b);

	world_apply_manifest(s->w, generation, json);
}

/*
 * Starts the scene and runs it until the first node is the planner, both
 * routers are connected to it, and the instances are active.
 */
void
scene_start(scene_t *s, const fleet_policy_t *policy)
{
	s->w = world_new(policy);
	scene_manifest(s, 1, 3, 1);
	(void)world_add_instance(s->w, "i1", 22001, "rack1");
	(void)world_add_instance(s->w, "i2", 22002, "rack1");
	(void)world_add_instance(s->w, "i3", 22003, "rack2");
	(void)world_add_instance(s->w, "i4", 22004, "rack2");
	s->n1 = world_add_node(s->w);
	s->n2 = world_add_node(s->w);
	world_link_nodes(s->n1, s->n2);
	world_link_nodes(s->n2, s->n1);
	s->r1 = world_add_router(s->w, "r1");
	s->r2 = world_add_router(s->w, "r2");
	router_connect(s->r1, s->n1);
	router_connect(s->r2, s->n1);
	world_run(s->w, SCENE_SETTLE_MS);
	g_assert_true(world_planner(s->w) == s->n1);
	g_assert_true(s->r1->admitted);
	g_assert_true(s->r2->admitted);
	g_assert_cmpuint(router_state(s->r1, "i4"), ==, MEMBER_ACTIVE);
}

/*
 * Frees the scene.
 */
void
scene_end(scene_t *s)
{
	world_free(s->w);
}

/*
 * Returns the number of the instance's slots that both routers together
 * consider granted.
 */
uint32_t
scene_granted_slots(const scene_t *s, const char *id)
{
	return router_granted(s->r1, id) + router_granted(s->r2, id);
}

/*
 * Advances the clock by ms. After every step it checks that there is at most
 * one planner and that no instance has more slots granted than it has (8).
 */
void
scene_run(scene_t *s, uint64_t ms)
{
	static const char *const ids[] = {"i1", "i2", "i3", "i4"};

	for (uint64_t t = 0; t < ms; t += WORLD_STEP_MS) {
		world_run(s->w, WORLD_STEP_MS);
		(void)world_planner(s->w);
		for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
			g_assert_cmpuint(scene_granted_slots(s, ids[i]), <=, 8);
	}
}

static void
reconnect(fake_router_t *router, node_t *planner)
{
	if (router->node == planner)
		return;
	router_disconnect(router);
	router_connect(router, planner);
}

/*
 * Connects the routers to the current planner. Fake routers have one connection
 * at a time; a gwrouted connects to every gwfleetd.
 */
void
scene_reconnect(scene_t *s)
{
	node_t *planner = world_planner(s->w);

	g_assert_nonnull(planner);
	reconnect(s->r1, planner);
	reconnect(s->r2, planner);
}

/*
 * Returns a copy of an instance of the table in the store. Its id is empty when
 * the table does not list it.
 */
member_instance_t
scene_instance(const scene_t *s, const char *id)
{
	member_table_t *table = world_table(s->w);
	const member_instance_t *found = member_table_find(table, id);
	member_instance_t copy = {0};

	if (found != NULL)
		copy = *found;
	member_table_free(table);
	return copy;
}
