#include <string.h>

#include "scene.h"

/* A wave policy that reboots the instances of pool a one at a time, without
 * regard to the availability budgets. */
static void
reboot_one_by_one(
    const plan_input_t *input, uint64_t now_us, GPtrArray *actions)
{
	const plan_wave_t *wave;
	plan_action_t *action;

	(void)now_us;
	if (input->waves->len == 0)
		return;
	wave = input->waves->pdata[0];
	for (guint i = 0; i < input->table->instances->len; i++)
		if (((const member_instance_t *)
			    input->table->instances->pdata[i])
			->state != MEMBER_ACTIVE)
			return;
	for (guint i = 0; i < input->table->instances->len; i++) {
		const member_instance_t *instance =
		    input->table->instances->pdata[i];

		if (!wave->started || wave->halted ||
		    strcmp(instance->home_pool, "a") != 0 ||
		    g_hash_table_contains(wave->done, instance->id))
			continue;
		action = g_new0(plan_action_t, 1);
		action->kind = PLAN_REBOOT;
		g_strlcpy(action->instance_id, instance->id, GW_NAME_BYTES);
		g_strlcpy(action->reason, "test", sizeof(action->reason));
		g_ptr_array_add(actions, action);
		return;
	}
}

static void
no_loans(plan_lending_t *lending, const plan_input_t *input, uint64_t now_us,
    GPtrArray *actions)
{
	(void)lending;
	(void)input;
	(void)now_us;
	(void)actions;
}

static plan_lending_t *
new_no_lending(void)
{
	return NULL;
}

static uint32_t
any_budget(const plan_input_t *input, const char *pool)
{
	(void)input;
	(void)pool;
	return 1;
}

static const plan_lending_ops_t no_ops = {"none", no_loans};
static const fleet_policy_t policy = {
    &no_ops, new_no_lending, NULL, reboot_one_by_one, any_budget};

/* Sends an operator's command to start or halt a wave. */
static void
send_wave_command(node_t *node, const char *wave, bool start)
{
	fleet_msg_t msg = {
	    .kind = FLEET_WAVE, .wave = wave, .start = start, .request = node};

	fleet_handle(node->fleet, &msg);
}

/* Returns the first wave in the store; the caller releases it. */
static json_t *
stored_wave(const scene_t *s)
{
	json_t *root =
	    json_loads(world_key(s->w, "/gw/dc/dc1/waves")->value, 0, NULL);
	json_t *wave =
	    json_incref(json_array_get(json_object_get(root, "waves"), 0));

	json_decref(root);
	return wave;
}

/*
 * Guards against a wave that reboots an instance twice or not at all when the
 * planner is suspended during the wave and another takes over, and against a
 * 200 reply to the operator before the store has the wave.
 */
static void
test_wave_survives_planner(void)
{
	json_t *wave;
	scene_t s;

	scene_start(&s, &policy);
	send_wave_command(s.n1, "nothing", true);
	g_assert_cmpint(s.n1->reply_status, ==, 404);
	send_wave_command(s.n2, "w", true);
	g_assert_cmpint(s.n2->reply_status, ==, 409);
	send_wave_command(s.n1, "w", true);
	g_assert_cmpuint(s.n1->replies, ==, 1);
	scene_run(&s, 100);
	g_assert_cmpint(s.n1->reply_status, ==, 200);
	while (s.w->reboots < 2)
		scene_run(&s, 100);
	s.n1->paused = true;
	scene_run(&s, SCENE_FAIL_OVER_MS);
	scene_reconnect(&s);
	scene_run(&s, 20000);
	g_assert_cmpuint(s.w->reboots, ==, 3);
	wave = stored_wave(&s);
	g_assert_cmpuint(json_array_size(json_object_get(wave, "done")), ==, 3);
	g_assert_true(json_is_false(json_object_get(wave, "started")));
	json_decref(wave);
	scene_end(&s);
}

/*
 * Guards against a wave that continues after a rebooted instance failed its
 * checks, and against one that an operator cannot halt or resume.
 */
static void
test_wave_halts(void)
{
	json_t *wave;
	scene_t s;

	scene_start(&s, &policy);
	s.w->check_fails = true;
	send_wave_command(s.n1, "w", true);
	scene_run(&s, 30000);
	g_assert_cmpuint(s.w->reboots, ==, 1);
	wave = stored_wave(&s);
	g_assert_true(json_is_true(json_object_get(wave, "halted")));
	g_assert_cmpuint(
	    json_array_size(json_object_get(wave, "failed")), ==, 1);
	json_decref(wave);
	s.w->check_fails = false;
	send_wave_command(s.n1, "w", true);
	while (s.w->reboots < 2)
		scene_run(&s, 100);
	send_wave_command(s.n1, "w", false);
	scene_run(&s, 20000);
	g_assert_cmpuint(s.w->reboots, ==, 2);
	send_wave_command(s.n1, "w", true);
	scene_run(&s, 30000);
	g_assert_cmpuint(s.w->reboots, ==, 3);
	scene_end(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wave/planner-changes", test_wave_survives_planner);
	g_test_add_func("/wave/halts", test_wave_halts);
	return g_test_run();
}
