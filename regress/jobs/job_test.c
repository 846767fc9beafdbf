#include <string.h>

#include "fake_jobs.h"

#define IDEMPOTENT ",\"idempotent\":true"
/* Within this time another planner is elected and has read the records. */
#define FAILOVER_MS (GW_LEASE_TTL_MS + 5000)
/* Limit from an urgent submission to the task's start (design 6.6). */
#define URGENT_START_MS 2300

/*
 * Guards against one store write per job when many are submitted at once,
 * against a job that is acknowledged before it is stored, and against ended
 * jobs that are never removed.
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
 * Guards against taking a write without a reply for a failed one, although it
 * took effect, and against a repeated submission that is recorded or run twice.
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
 * The store is down when a job is submitted. Guards against acknowledging the
 * job, and against running a job whose client was told that it was not
 * accepted.
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
	/* The write is delayed and has no reply in time: outcome unknown. */
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
 * The planner is suspended and another one is elected. Guards against accepted
 * jobs that are lost, started twice, or whose tasks expire for want of a
 * renewal.
 */
static void
test_planner_ends(void)
{
	jobs_scene_t s;

	jobs_scene_start(&s);
	jobs_scene_submit(&s, s.n1, "runs", 60000, 100, "");
	jobs_scene_run(&s, 500);
	s.drop_puts = true;
	jobs_scene_submit(&s, s.n1, "stuck", 60000, 100, "");
	jobs_scene_submit(&s, s.n1, "again", 60000, 100, IDEMPOTENT);
	jobs_scene_run(&s, 1000);
	g_assert_cmpstr(jobs_scene_state(s.n1, "stuck"), ==, "starting");
	s.n1->paused = true;
	jobs_scene_run(&s, FAILOVER_MS);
	g_assert_true(world_planner(s.w) == s.n2);
	s.drop_puts = false;
	jobs_scene_run(&s, 25000);
	g_assert_cmpstr(jobs_scene_state(s.n2, "runs"), ==, "running");
	g_assert_cmpstr(jobs_scene_state(s.n2, "again"), ==, "running");
	g_assert_cmpstr(jobs_scene_state(s.n2, "stuck"), ==, "unknown");
	g_assert_null(jobs_scene_task(&s, "stuck.1"));
	g_assert_null(jobs_scene_task(&s, "stuck.2"));
	g_assert_cmpuint(s.starts, ==, 2);
	/* The previous planner resumes: it must not repeat the starts it had
	 * sent. */
	s.n1->paused = false;
	jobs_scene_run(&s, 3000);
	g_assert_cmpuint(s.starts, ==, 2);
	jobs_scene_end(&s);
}

/*
 * The reply to a start is lost, then the tasks are lost with their worker.
 * Guards against running a non-idempotent job twice, and against not restarting
 * an idempotent one.
 */
static void
test_tasks_lost(void)
{
	jobs_scene_t s;

	jobs_scene_start(&s);
	s.lost_put_replies = 1;
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
 * All workers are full of jobs that can be throttled or checkpointed. Guards
 * against an urgent job that waits although room can be made for it.
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
 * Guards against accepting jobs that can never run, which would wait for ever,
 * and against errors that do not name the field.
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
 * 180 of 200 jobs are cancelled at once. Guards against stopping the wrong
 * jobs, leaving tasks running, and delaying the jobs that remain.
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
	/* Only the 20 remaining jobs and those that were stopped were started.
	 */
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
