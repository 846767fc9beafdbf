#include <string.h>

#include "policy/place.h"

static const place_size_t node_size = {{4000, 8000, 0}};
static const place_size_t quota = {{8000, 0, 0}};

typedef struct {
	place_t *place;
	GPtrArray *decisions;
} site_t;

static void
site_init(site_t *site)
{
	site->place = place_new(&place_fair);
	site->decisions = g_ptr_array_new_with_free_func(g_free);
	place_set_team(site->place, "a", 1, &quota);
	place_set_team(site->place, "b", 1, &quota);
	place_set_node(site->place, "n0", "r0", &node_size);
	place_set_node(site->place, "n1", "r1", &node_size);
}

static void
site_clear(site_t *site)
{
	place_free(site->place);
	g_ptr_array_free(site->decisions, TRUE);
}

static place_job_t
job_of(const char *team, uint64_t cpu)
{
	place_job_t job = {.declared = {{cpu, 100, 0}}};

	g_strlcpy(job.team, team, sizeof(job.team));
	g_strlcpy(job.kind, "k", sizeof(job.kind));
	return job;
}

static bool
submit(site_t *site, place_job_t *job)
{
	char reason[96];

	return place_submit(site->place, job, 0, reason, sizeof(reason));
}

/*
 * Guards against accepting a job that can never run, because it exceeds every
 * worker or the quota of its team: it would wait forever or block others.
 */
static void
test_never_runs(void)
{
	place_job_t huge = job_of("a", 5000), over = job_of("b", 9000);
	place_job_t first = job_of("a", 3000), second = job_of("a", 3000);
	site_t site;

	site_init(&site);
	g_assert_false(submit(&site, &huge));
	g_assert_false(submit(&site, &over));
	g_assert_true(submit(&site, &first));
	g_assert_true(submit(&site, &second));
	place_schedule(site.place, 0, site.decisions);
	g_assert_cmpuint(site.decisions->len, ==, 2);
	g_assert_true(first.node != second.node);
	site_clear(&site);
}

/*
 * Guards against starting a non-idempotent job again when its worker was lost,
 * which could run it twice, and against dropping it without a report.
 */
static void
test_lost_worker(void)
{
	place_job_t once = job_of("a", 3000), again = job_of("b", 3000);
	site_t site;

	again.idempotent = true;
	site_init(&site);
	submit(&site, &once);
	submit(&site, &again);
	place_schedule(site.place, 0, site.decisions);
	place_node_lost(site.place, "n0", 1);
	place_node_lost(site.place, "n1", 1);
	g_assert_cmpint(once.state, ==, PLACE_UNKNOWN);
	g_assert_cmpint(again.state, ==, PLACE_WAITING);
	g_ptr_array_set_size(site.decisions, 0);
	place_set_node(site.place, "n0", "r0", &node_size);
	place_schedule(site.place, 2, site.decisions);
	g_assert_cmpuint(site.decisions->len, ==, 2);
	g_assert_cmpint(again.state, ==, PLACE_RUNNING);
	g_assert_cmpint(once.state, ==, PLACE_UNKNOWN);
	site_clear(&site);
}

/*
 * Guards against an urgent job that waits while other jobs could be throttled
 * or checkpointed to make room for it.
 */
static void
test_urgent_work(void)
{
	place_job_t low[2] = {job_of("a", 4000), job_of("b", 4000)};
	place_job_t urgent = job_of("a", 2000), saved = job_of("b", 3500);
	site_t site;

	low[0].can_throttle = true;
	low[1].can_checkpoint = true;
	urgent.urgent = saved.urgent = true;
	site_init(&site);
	submit(&site, &low[0]);
	submit(&site, &low[1]);
	place_schedule(site.place, 0, site.decisions);
	submit(&site, &urgent);
	place_schedule(site.place, 1, site.decisions);
	g_assert_true(low[0].throttled);
	g_assert_cmpint(urgent.state, ==, PLACE_RUNNING);
	submit(&site, &saved);
	place_schedule(site.place, 2, site.decisions);
	g_assert_cmpint(low[1].state, ==, PLACE_STOPPING);
	place_checkpointed(site.place, &low[1], 3);
	place_schedule(site.place, 3, site.decisions);
	g_assert_cmpint(saved.state, ==, PLACE_RUNNING);
	g_assert_cmpint(low[1].state, ==, PLACE_WAITING);
	site_clear(&site);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/never", test_never_runs);
	g_test_add_func("/place/lost", test_lost_worker);
	g_test_add_func("/place/urgent", test_urgent_work);
	return g_test_run();
}
