#include <string.h>

#include "../../gwctl/fetch.h"
#include "../../gwctl/publish.h"
#include "../../tools/gwstored/server.h"
#include "../manifest/example.h"

/* The stand-in and gwctl's side in one loop. */
typedef struct {
	ctl_t ctl;
	server_t *server;
	manifest_t *manifest;
	held_root_t before;
	gw_err_t err;
} fixture_t;

static void
fault(fixture_t *f, const char *json)
{
	gw_err_t err;

	g_assert_cmpint(
	    server_control(f->server, json, strlen(json), &err), ==, 0);
}

static void
setup(fixture_t *f)
{
	g_autoptr(GArray) problems =
	    g_array_new(FALSE, FALSE, sizeof(manifest_problem_t));
	gw_addr_t addr;
	gw_err_t err;

	memset(f, 0, sizeof(*f));
	f->ctl.rt = gw_rt_new();
	g_assert_cmpint(gw_addr_parse(&addr, "127.0.0.1:0", &err), ==, 0);
	f->server = server_new(f->ctl.rt, &addr, &addr, &err);
	g_assert_nonnull(f->server);
	f->ctl.store = store_new(f->ctl.rt, &addr, 1000);
	f->manifest = manifest_parse(EXAMPLE, strlen(EXAMPLE), problems);
	g_assert_nonnull(f->manifest);
}

static void
teardown(fixture_t *f)
{
	manifest_root_free(f->before.root);
	manifest_free(f->manifest);
	server_shutdown(f->server);
	store_free(f->ctl.store);
	while (gw_httpd_connections(f->server->httpd) > 0)
		(void)uv_run(gw_rt_loop(f->ctl.rt), UV_RUN_ONCE);
	server_free(f->server);
	gw_rt_free(f->ctl.rt);
}

static void
read_before(fixture_t *f)
{
	manifest_root_free(f->before.root);
	g_assert_cmpint(fetch_root(&f->ctl, &f->before, &f->err), ==, 0);
}

/*
 * Publishes the next generation on top of f->before under an apply id.
 */
static int
publish(fixture_t *f, const char *apply_id)
{
	manifest_root_t *root = manifest_split(f->manifest);
	int rc;

	manifest_root_set_previous(root, f->before.root);
	g_strlcpy(root->apply_id, apply_id, sizeof(root->apply_id));
	g_strlcpy(root->applied_by, apply_id, sizeof(root->applied_by));
	rc = publish_sections(&f->ctl, root, f->before.root, &f->err);
	if (rc == 0)
		rc = publish_root(&f->ctl, root, &f->before, &f->err);
	manifest_root_free(root);
	return rc;
}

static void
check_root(fixture_t *f, uint64_t generation, const char *apply_id)
{
	read_before(f);
	g_assert_nonnull(f->before.root);
	g_assert_cmpuint(f->before.root->generation, ==, generation);
	g_assert_cmpstr(f->before.root->apply_id, ==, apply_id);
}

/*
 * Guards against a write that took effect being reported as failed or done
 * twice when its answer is lost or late.
 */
static void
test_lost_answers(void)
{
	fixture_t f;

	setup(&f);
	read_before(&f);
	fault(&f, "{\"lose_answers\": 3}");
	g_assert_cmpint(publish(&f, "one"), ==, 0);
	check_root(&f, 1, "one");
	fault(&f, "{\"lose_answers\": 1}");
	g_assert_cmpint(publish(&f, "two"), ==, 0);
	check_root(&f, 2, "two");
	fault(&f, "{\"hang_answers\": 1}");
	g_assert_cmpint(publish(&f, "three"), ==, 0);
	check_root(&f, 3, "three");
	g_assert_cmpuint(f.server->stats.answers_lost, ==, 5);
	teardown(&f);
}

/*
 * Guards against a stale read after a lost answer being taken as proof that the
 * write did not happen.
 */
static void
test_lost_answer_and_stale_read(void)
{
	fixture_t f;

	setup(&f);
	read_before(&f);
	g_assert_cmpint(publish(&f, "one"), ==, 0);
	read_before(&f);
	fault(&f, "{\"lose_answers\": 1, \"stale_reads\": 2}");
	g_assert_cmpint(publish(&f, "two"), ==, 0);
	g_assert_cmpuint(f.server->stats.stale_reads, ==, 2);
	check_root(&f, 2, "two");
	teardown(&f);
}

/*
 * Guards against an apply on top of a stale or outdated root: of two operators
 * one wins, the other is told of the conflict, and nothing of it is in force.
 */
static void
test_race(void)
{
	held_root_t old;
	fixture_t f;

	setup(&f);
	read_before(&f);
	old = f.before;
	g_assert_cmpint(publish(&f, "one"), ==, 0);
	f.before = old;
	g_assert_cmpint(publish(&f, "two"), ==, -1);
	g_assert_cmpint(f.err.code, ==, GW_ERR_CONFLICT);
	check_root(&f, 1, "one");
	g_assert_cmpint(publish(&f, "three"), ==, 0);
	fault(&f, "{\"stale_reads\": 1}");
	read_before(&f);
	g_assert_cmpuint(f.before.root->generation, ==, 1);
	fault(&f, "{\"lose_answers\": 1}");
	g_assert_cmpint(publish(&f, "four"), ==, -1);
	g_assert_cmpint(f.err.code, ==, GW_ERR_CONFLICT);
	check_root(&f, 2, "three");
	teardown(&f);
}

/*
 * Guards against "nothing was changed" being claimed while the outcome is
 * unknown, and against the reverse.
 */
static void
test_outage(void)
{
	fixture_t f;

	setup(&f);
	read_before(&f);
	g_assert_cmpint(publish(&f, "one"), ==, 0);
	read_before(&f);
	fault(&f, "{\"down\": \"refuse\"}");
	g_assert_cmpint(publish(&f, "two"), ==, -1);
	g_assert_cmpint(f.err.code, ==, GW_ERR_UNKNOWN);
	fault(&f, "{\"down\": \"no\", \"raw_answer\": \"[\"}");
	g_assert_cmpint(publish(&f, "two"), ==, -1);
	g_assert_cmpint(f.err.code, ==, GW_ERR_UNKNOWN);
	fault(&f, "{\"raw_answer\": null}");
	check_root(&f, 2, "two");
	teardown(&f);
}

/*
 * Guards against foreign content under a section's hash being accepted.
 */
static void
test_foreign_section(void)
{
	manifest_root_t *root;
	GBytes *foreign = g_bytes_new_static("{}", 2);
	const manifest_section_t *section;
	fixture_t f;
	char *key;

	setup(&f);
	root = manifest_split(f.manifest);
	section = manifest_root_find(root, "teams");
	key = section_key(section->hash);
	(void)kv_put(f.server->kv, key, foreign, 0);
	read_before(&f);
	g_assert_cmpint(publish(&f, "one"), ==, -1);
	g_assert_cmpint(f.err.code, ==, GW_ERR_INVALID);
	read_before(&f);
	g_assert_null(f.before.root);
	g_free(key);
	g_bytes_unref(foreign);
	manifest_root_free(root);
	teardown(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/publish/lost-answers", test_lost_answers);
	g_test_add_func("/publish/stale-read", test_lost_answer_and_stale_read);
	g_test_add_func("/publish/race", test_race);
	g_test_add_func("/publish/outage", test_outage);
	g_test_add_func("/publish/foreign-section", test_foreign_section);
	return g_test_run();
}
