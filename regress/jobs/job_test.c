#include <string.h>

#include "fake_jobs.h"

#define IDEMPOTENT ",\"idempotent\":true"
/* Time in which another planner is elected and has read the records. */
#define FAIL_OVER_MS (GW_LEASE_TTL_MS + 5000)
/* Design 6.6. */
#define URGENT_START_MS 2300

/*
 * Guards against jobs of which each costs a write, against one that is
 * acknowledged before it is in the store, and against one that never ends.
 */
static void
test_group_commit(void)
{
	jobs_scene_t s;
	uint64_t writes;
	char id[16];

	jobs_scene_start(&s);
	writes = s.w->writes;
	for (int i = 0; i < 50; i++) {
		(void)g_snprintf(id, sizeof(id), "j%d", i);
		jobs_scene_submit(&s, s.n1, id, 500, 100, "");
		g_assert_cmpint(s.status, ==, 0);
	}
	g_assert_cmpuint(s.w->writes - writes, ==, 1);
	jobs_scene_run(&s, 100);
	g_assert_cmpuint(s.replies, ==, 50);
	g_assert_cmpint(s.status, ==, 200);
	g_assert_cmpuint(jobs_scene_recorded(&s, "j49"), ==, 1);
	jobs_scene_run(&s, 3000);
	g_assert_cmpuint(s.starts, ==, 50);
	g_assert_cmpstr(jobs_scene_state(s.n1, "j49"), ==, "finished");
	g_assert_cmpuint(s.w->writes - writes, <=, 30);
	jobs_scene_run(&s, 310000);
	g_assert_cmpstr(jobs_scene_state(s.n1, "j49"), ==, "");
	g_assert_cmpuint(jobs_scene_recorded(&s, "j49"), ==, 0);
	jobs_scene_end(&s);
}

/*
 * Guards against a lost answer of the store that is taken for a refusal, and
 * against a repeated id that is recorded or run twice.
 */
static void
test_answer_lost_and_repeated(void)
{
	jobs_scene_t s;

	jobs_scene_start(&s);
	s.w->lose_answers = 1;
	jobs_scene_submit(&s, s.n1, "j", 500, 100, "");
	jobs_scene_submit(&s, s.n1, "j", 500, 100, "");
	g_assert_cmpuint(s.replies, ==, 0);
	jobs_scene_run(&s, 200);
	g_assert_cmpuint(s.w->lose_answers, ==, 0);
	g_assert_cmpuint(s.replies, ==, 2);
	g_assert_cmpint(s.status, ==, 200);
	g_assert_nonnull(strstr(s.text, "\"repeated\":true"));
	jobs_scene_run(&s, 2000);
	jobs_scene_submit(&s, s.n1, "j", 500, 100, "");
	g_assert_cmpint(s.status, ==, 200);
	jobs_scene_submit(&s, s.n1, "j", 600, 100, "");
	g_assert_cmpint(s.status, ==, 409);
	jobs_scene_run(&s, 2000);
	g_assert_cmpuint(jobs_scene_recorded(&s, "j"), ==, 1);
	g_assert_cmpuint(s.starts, ==, 1);
	jobs_scene_end(&s);
}

/*
 * Guards against a job that is acknowledged, or called not accepted and run all
 * the same, while the store is down.
 */
static void
test_store_down(void)
{
	jobs_scene_t s;

	jobs_scene_start(&s);
	s.w->store_down = true;
	jobs_scene_submit(&s, s.n1, "j", 500, 100, "");
	jobs_scene_run(&s, 1000);
	g_assert_cmpint(s.status, ==, 503);
	g_assert_nonnull(strstr(s.text, "not accepted"));
	s.w->store_down = false;
	jobs_scene_run(&s, 5000);
	g_assert_cmpuint(jobs_scene_recorded(&s, "j"), ==, 0);
	g_assert_cmpuint(s.starts, ==, 0);
	/* The write takes effect and the key cannot be read: unknown. */
	s.w->delay_puts_of = s.n1;
	jobs_scene_submit(&s, s.n1, "k", 500, 100, "");
	jobs_scene_run(&s, 2500);
	g_assert_cmpint(s.status, ==, 503);
	g_assert_nonnull(strstr(s.text, "may be recorded"));
	world_apply_delayed_puts(s.w);
	jobs_scene_run(&s, 500);
	jobs_scene_submit(&s, s.n1, "k", 500, 100, "");
	jobs_scene_run(&s, 2000);
	g_assert_cmpint(s.status, ==, 200);
	g_assert_cmpuint(jobs_scene_recorded(&s, "k"), ==, 1);
	g_assert_cmpuint(s.starts, ==, 1);
	jobs_scene_end(&s);
}

/*
 * Guards against accepted jobs that are lost, started again or left to expire
 * when the planner ends.
 */
static void
test_planner_ends(void)
{
	jobs_scene_t s;

	jobs_scene_start(&s);
	jobs_scene_submit(&s, s.n1, "runs", 60000, 100, "");
	jobs_scene_run(&s, 500);
	s.ignore_puts = true;
	jobs_scene_submit(&s, s.n1, "stuck", 60000, 100, "");
	jobs_scene_submit(&s, s.n1, "again", 60000, 100, IDEMPOTENT);
	jobs_scene_run(&s, 1000);
	g_assert_cmpstr(jobs_scene_state(s.n1, "stuck"), ==, "starting");
	s.n1->paused = true;
	jobs_scene_run(&s, FAIL_OVER_MS);
	g_assert_true(world_planner(s.w) == s.n2);
	s.ignore_puts = false;
	jobs_scene_run(&s, 25000);
	g_assert_cmpstr(jobs_scene_state(s.n2, "runs"), ==, "running");
	g_assert_cmpstr(jobs_scene_state(s.n2, "again"), ==, "running");
	g_assert_cmpstr(jobs_scene_state(s.n2, "stuck"), ==, "unknown");
	g_assert_null(jobs_scene_task(&s, "stuck.1"));
	g_assert_null(jobs_scene_task(&s, "stuck.2"));
	g_assert_cmpuint(s.starts, ==, 2);
	/* The old planner wakes up: it must not start what it had begun. */
	s.n1->paused = false;
	jobs_scene_run(&s, 3000);
	g_assert_cmpuint(s.starts, ==, 2);
	jobs_scene_end(&s);
}

/*
 * Guards against a non-idempotent job that runs twice because the answer to its
 * start was lost or because its worker was, and against an idempotent one that
 * is given up then.
 */
static void
test_tasks_lost(void)
{
	jobs_scene_t s;

	jobs_scene_start(&s);
	s.lose_puts = 1;
	jobs_scene_submit(&s, s.n1, "once", 60000, 100, "");
	jobs_scene_submit(&s, s.n1, "often", 60000, 100, IDEMPOTENT);
	jobs_scene_run(&s, 2000);
	g_assert_cmpstr(jobs_scene_state(s.n1, "once"), ==, "running");
	g_assert_cmpuint(s.starts, ==, 2);
	jobs_scene_task(&s, "once.1")->state = "lost";
	jobs_scene_task(&s, "often.1")->state = "lost";
	jobs_scene_run(&s, 3000);
	g_assert_cmpstr(jobs_scene_state(s.n1, "once"), ==, "unknown");
	g_assert_cmpstr(jobs_scene_state(s.n1, "often"), ==, "running");
	g_assert_nonnull(jobs_scene_task(&s, "often.2"));
	g_assert_cmpuint(s.starts, ==, 3);
	jobs_scene_end(&s);
}

/*
 * Guards against urgent work that waits for a fleet that is full of work which
 * can give way.
 */
static void
check_urgent(const char *flags)
{
	uint64_t since_us;
	fake_task_t *task;
	jobs_scene_t s;
	char id[16];

	jobs_scene_start(&s);
	for (int i = 0; i < 4; i++) {
		(void)g_snprintf(id, sizeof(id), "full%d", i);
		jobs_scene_submit(&s, s.n1, id, 600000, 16000, flags);
	}
	jobs_scene_run(&s, 2000);
	g_assert_cmpuint(s.starts, ==, 4);
	since_us = gw_clock_now_us(&s.w->clock);
	jobs_scene_submit(&s, s.n1, "u", 1000, 8000, ",\"urgent\":true");
	jobs_scene_run(&s, URGENT_START_MS);
	task = jobs_scene_task(&s, "u.1");
	g_assert_nonnull(task);
	g_test_message("%s: urgent start after %lu ms", flags,
	    (unsigned long)((task->started_us - since_us) / GW_US_PER_MS));
	jobs_scene_run(&s, 5000);
	g_assert_cmpstr(jobs_scene_state(s.n1, "u"), ==, "finished");
	for (int i = 0; i < 4; i++) {
		(void)g_snprintf(id, sizeof(id), "full%d", i);
		g_assert_cmpstr(jobs_scene_state(s.n1, id), !=, "unknown");
	}
	jobs_scene_end(&s);
}

static void
test_urgent(void)
{
	check_urgent(",\"throttleable\":true");
	check_urgent(",\"checkpointable\":true");
}

/*
 * Guards against jobs that wait for ever because they can never run, and
 * against errors that do not name the field.
 */
static void
test_refused(void)
{
	jobs_scene_t s;

	jobs_scene_start(&s);
	jobs_scene_submit(&s, s.n1, "j", 500, 16001, "");
	g_assert_cmpint(s.status, ==, 422);
	g_assert_nonnull(strstr(s.text, "larger than every worker"));
	jobs_scene_submit(&s, s.n1, "j", 500, 200001, "");
	g_assert_nonnull(strstr(s.text, "quota of team t"));
	jobs_scene_submit(&s, s.n1, "j", 0, 100, "");
	g_assert_cmpint(s.status, ==, 400);
	g_assert_true(g_str_has_prefix(s.text, "service_ms:"));
	jobs_scene_submit(&s, s.n1, "j", 5, 100, ",\"urgent\":1");
	g_assert_true(g_str_has_prefix(s.text, "urgent:"));
	jobs_scene_submit(&s, s.n1, "a b", 5, 100, "");
	g_assert_true(g_str_has_prefix(s.text, "id:"));
	jobs_scene_submit(&s, s.n1, "j", 5, 100, ",\"colour\":1");
	g_assert_true(g_str_has_prefix(s.text, "colour:"));
	jobs_scene_submit(&s, s.n2, "j", 500, 100, "");
	g_assert_cmpint(s.status, ==, 409);
	g_assert_cmpuint(jobs_scene_recorded(&s, "j"), ==, 0);
	jobs_scene_end(&s);
}

/*
 * Guards against a burst of cancellations that stops the wrong jobs, leaves
 * tasks running, or holds up the jobs that remain.
 */
static void
test_cancel_most(void)
{
	uint32_t stopped = 0;
	jobs_scene_t s;
	char id[16];

	jobs_scene_start(&s);
	for (int i = 0; i < 200; i++) {
		(void)g_snprintf(id, sizeof(id), "j%d", i);
		jobs_scene_submit(&s, s.n1, id, 20000, 1000, "");
	}
	jobs_scene_run(&s, 2000);
	g_assert_cmpuint(s.starts, ==, 64);
	for (int i = 0; i < 200; i++) {
		if (i % 10 == 9)
			continue;
		(void)g_snprintf(id, sizeof(id), "j%d", i);
		jobs_scene_cancel(&s, s.n1, id);
	}
	jobs_scene_run(&s, 4000);
	for (int i = 0; i < 200; i++) {
		(void)g_snprintf(id, sizeof(id), "j%d", i);
		g_assert_cmpstr(jobs_scene_state(s.n1, id), ==,
		    i % 10 == 9 ? "running" : "cancelled");
		(void)g_snprintf(id, sizeof(id), "j%d.1", i);
		stopped += jobs_scene_task(&s, id) != NULL &&
		    strcmp(jobs_scene_task(&s, id)->state, "stopped") == 0;
	}
	/* The 20 that remain ran, and nothing else but what was stopped. */
	g_assert_cmpuint(s.starts, ==, stopped + 20);
	jobs_scene_run(&s, 22000);
	g_assert_cmpstr(jobs_scene_state(s.n1, "j199"), ==, "finished");
	jobs_scene_end(&s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/job/group-commit", test_group_commit);
	g_test_add_func(
	    "/job/answer-lost-and-repeated", test_answer_lost_and_repeated);
	g_test_add_func("/job/store-down", test_store_down);
	g_test_add_func("/job/planner-ends", test_planner_ends);
	g_test_add_func("/job/tasks-lost", test_tasks_lost);
	g_test_add_func("/job/urgent", test_urgent);
	g_test_add_func("/job/refused", test_refused);
	g_test_add_func("/job/cancel-most", test_cancel_most);
	return g_test_run();
}
