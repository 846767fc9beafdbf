#include <string.h>

#include <glib.h>

#include "../../tools/gwstored/server.h"
#include "store/store.h"

#define KEY "/gw/test"
#define TIMEOUT_MS 1000

/* A store server and a client in one event loop, and the last result. */
typedef struct {
	gw_rt_t *rt;
	server_t *server;
	store_t *store;
	int calls;	/* completed */
	gw_errc_t code; /* of the last call */
	uint64_t mod_revision;
	uint64_t store_revision;
	uint64_t lease_id;
	uint32_t ttl_s;
	char value[64];
	GString *seen;	  /* values that a watch reported, "-" when absent */
	gw_errc_t end;	  /* why a watch ended */
	gw_timer_t limit; /* ends run_for() */
} fixture_t;

static void
save_result(fixture_t *f, const gw_err_t *err)
{
	f->calls++;
	f->code = err == NULL ? GW_OK : err->code;
	gw_rt_stop(f->rt);
}

static void
on_get(const store_value_t *value, const gw_err_t *err, void *arg)
{
	fixture_t *f = arg;

	if (value != NULL) {
		f->mod_revision = value->mod_revision;
		f->store_revision = value->store_revision;
		g_strlcpy(f->value, value->value == NULL ? "-" : value->value,
		    sizeof(f->value));
	}
	save_result(f, err);
}

static void
on_put(uint64_t mod_revision, const gw_err_t *err, void *arg)
{
	fixture_t *f = arg;

	if (err == NULL)
		f->mod_revision = mod_revision;
	save_result(f, err);
}

static void
on_lease(uint64_t lease_id, uint32_t ttl_s, const gw_err_t *err, void *arg)
{
	fixture_t *f = arg;

	f->lease_id = lease_id;
	f->ttl_s = ttl_s;
	save_result(f, err);
}

static void
on_value(const store_value_t *value, void *arg)
{
	fixture_t *f = arg;

	g_string_append_printf(
	    f->seen, "%s ", value->value == NULL ? "-" : value->value);
}

static void
on_end(const gw_err_t *err, void *arg)
{
	fixture_t *f = arg;

	f->end = err->code;
	gw_rt_stop(f->rt);
}

static const store_watch_ops_t watch_ops = {on_value, on_end};

static void
setup(fixture_t *f)
{
	gw_addr_t addr, bound;
	gw_err_t err;

	memset(f, 0, sizeof(*f));
	f->rt = gw_rt_new();
	f->seen = g_string_new(NULL);
	g_assert_cmpint(gw_addr_parse(&addr, "127.0.0.1:0", &err), ==, 0);
	f->server = server_new(f->rt, &addr, &bound, &err);
	g_assert_nonnull(f->server);
	f->store = store_new(f->rt, &bound, TIMEOUT_MS);
}

static void
on_limit(gw_timer_t *timer, void *arg)
{
	(void)timer;
	gw_rt_stop(arg);
}

/*
 * Runs the event loop for some time, so that messages and closed connections
 * are handled.
 */
static void
run_for(fixture_t *f, uint64_t ms)
{
	gw_timer_start(f->rt, &f->limit, ms * GW_US_PER_MS, on_limit, f->rt);
	gw_rt_run(f->rt);
	gw_timer_stop(&f->limit);
}

static void
teardown(fixture_t *f)
{
	server_shutdown(f->server);
	store_free(f->store);
	run_for(f, 50);
	server_free(f->server);
	gw_rt_free(f->rt);
	g_string_free(f->seen, TRUE);
}

static void
set_faults(fixture_t *f, const char *json)
{
	gw_err_t err;

	g_assert_cmpint(
	    server_control(f->server, json, strlen(json), &err), ==, 0);
}

/*
 * Runs the event loop until the server has the watch.
 */
static void
run_until_watched(fixture_t *f)
{
	while (f->server->watchers.length == 0)
		run_for(f, 5);
	run_for(f, 5);
}

static void
get(fixture_t *f)
{
	store_get(f->store, KEY, on_get, f);
	gw_rt_run(f->rt);
}

static void
put_if(fixture_t *f, uint64_t expected, const char *value)
{
	store_put_if(
	    f->store, KEY, expected, value, strlen(value), 0, on_put, f);
	gw_rt_run(f->rt);
}

/*
 * Guards against two writers of one key both succeeding: a compare-and-swap
 * with an outdated revision must fail and leave the newer value.
 */
static void
test_compare_and_swap(void)
{
	fixture_t f;

	setup(&f);
	get(&f);
	g_assert_cmpint(f.code, ==, GW_OK);
	g_assert_cmpstr(f.value, ==, "-");
	g_assert_cmpuint(f.mod_revision, ==, 0);
	put_if(&f, 0, "one");
	g_assert_cmpint(f.code, ==, GW_OK);
	g_assert_cmpuint(f.mod_revision, ==, 2);
	put_if(&f, 0, "two");
	g_assert_cmpint(f.code, ==, GW_ERR_CONFLICT);
	put_if(&f, 2, "three");
	g_assert_cmpint(f.code, ==, GW_OK);
	get(&f);
	g_assert_cmpstr(f.value, ==, "three");
	g_assert_cmpuint(f.mod_revision, ==, 3);
	g_assert_cmpint(f.calls, ==, 5);
	teardown(&f);
}

/*
 * Guards against a write being reported as failed when only its response was
 * lost or late: the store has made the change. A read may then return the value
 * from before it.
 */
static void
test_lost_answers(void)
{
	fixture_t f;

	setup(&f);
	set_faults(&f, "{\"lose_answers\": 1}");
	put_if(&f, 0, "one");
	g_assert_cmpint(f.code, ==, GW_ERR_UNKNOWN);
	get(&f);
	g_assert_cmpstr(f.value, ==, "one");
	set_faults(&f, "{\"hang_answers\": 1}");
	put_if(&f, 2, "two");
	g_assert_cmpint(f.code, ==, GW_ERR_TIMEOUT);
	get(&f);
	g_assert_cmpstr(f.value, ==, "two");
	set_faults(&f, "{\"stale_reads\": 1}");
	get(&f);
	g_assert_cmpstr(f.value, ==, "one");
	g_assert_cmpuint(f.store_revision, ==, 2);
	teardown(&f);
}

/*
 * Guards against a read being reported as "key absent", and a write as not
 * done, when the store is down or its response is malformed.
 */
static void
test_outage(void)
{
	fixture_t f;

	setup(&f);
	set_faults(&f, "{\"down\": \"refuse\"}");
	get(&f);
	g_assert_cmpint(f.code, ==, GW_ERR_UNAVAILABLE);
	put_if(&f, 0, "one");
	g_assert_cmpint(f.code, ==, GW_ERR_UNKNOWN);
	set_faults(&f, "{\"down\": \"hang\"}");
	get(&f);
	g_assert_cmpint(f.code, ==, GW_ERR_TIMEOUT);
	set_faults(
	    &f, "{\"down\": \"no\", \"raw_answer\": \"{\\\"header\\\"\"}");
	get(&f);
	g_assert_cmpint(f.code, ==, GW_ERR_INVALID);
	put_if(&f, 0, "one");
	g_assert_cmpint(f.code, ==, GW_ERR_UNKNOWN);
	teardown(&f);
}

/*
 * Guards against sending a value that exceeds the store's limit, and against
 * refusing one of exactly the limit.
 */
static void
test_value_limit(void)
{
	g_autofree char *large = g_malloc0(GW_STORE_VALUE_MAX_BYTES + 1);
	fixture_t f;

	setup(&f);
	store_put(
	    f.store, KEY, large, GW_STORE_VALUE_MAX_BYTES + 1, 0, on_put, &f);
	gw_rt_run(f.rt);
	g_assert_cmpint(f.code, ==, GW_ERR_LIMIT);
	store_put(f.store, KEY, large, GW_STORE_VALUE_MAX_BYTES, 0, on_put, &f);
	gw_rt_run(f.rt);
	g_assert_cmpint(f.code, ==, GW_OK);
	teardown(&f);
}

/*
 * Guards against an owner that goes on after its lease has expired: a renewal
 * must fail, the lease's keys must be gone and no write may attach to it.
 */
static void
test_lease_expires(void)
{
	fixture_t f;
	uint64_t lease_id;

	setup(&f);
	store_lease_grant(f.store, 2, on_lease, &f);
	gw_rt_run(f.rt);
	g_assert_cmpint(f.code, ==, GW_OK);
	g_assert_cmpuint(f.ttl_s, ==, 2);
	lease_id = f.lease_id;
	store_put_if(f.store, KEY, 0, "x", 1, lease_id, on_put, &f);
	gw_rt_run(f.rt);
	store_lease_renew(f.store, lease_id, on_lease, &f);
	gw_rt_run(f.rt);
	g_assert_cmpint(f.code, ==, GW_OK);
	run_for(&f, 2300);
	store_lease_renew(f.store, lease_id, on_lease, &f);
	gw_rt_run(f.rt);
	g_assert_cmpint(f.code, ==, GW_ERR_NOT_FOUND);
	get(&f);
	g_assert_cmpstr(f.value, ==, "-");
	store_put_if(f.store, KEY, 0, "x", 1, lease_id, on_put, &f);
	gw_rt_run(f.rt);
	g_assert_cmpint(f.code, ==, GW_ERR_NOT_FOUND);
	store_lease_revoke(f.store, lease_id, on_lease, &f);
	gw_rt_run(f.rt);
	g_assert_cmpint(f.code, ==, GW_ERR_NOT_FOUND);
	teardown(&f);
}

static void
watch_four_puts(fixture_t *f, const char *faults)
{
	set_faults(f, faults);
	store_watch(f->store, KEY, 2, &watch_ops, f);
	run_until_watched(f);
	put_if(f, 0, "one");
	put_if(f, 2, "two");
	put_if(f, 3, "three");
	put_if(f, 4, "last");
	for (int i = 0; i < 100 && strstr(f->seen->str, "last") == NULL; i++)
		run_for(f, 20);
}

/*
 * Guards against a watch that reports a change twice, or an older value after a
 * newer one, when the store duplicates events or sends them out of order.
 */
static void
test_watch_order(void)
{
	fixture_t f;

	setup(&f);
	watch_four_puts(&f, "{\"watch_double\": true}");
	g_assert_cmpstr(f.seen->str, ==, "one two three last ");
	teardown(&f);
	setup(&f);
	watch_four_puts(
	    &f, "{\"watch_reorder\": true, \"watch_double\": true}");
	g_assert_cmpstr(f.seen->str, ==, "two last ");
	teardown(&f);
}

/*
 * Guards against a watch that misses changes without notice: after a compaction
 * or a broken stream it must end, so that its owner reads the key again.
 */
static void
test_watch_ends(void)
{
	fixture_t f;

	setup(&f);
	put_if(&f, 0, "one");
	store_watch(f.store, KEY, 0, &watch_ops, &f);
	run_until_watched(&f);
	set_faults(&f, "{\"compact\": true}");
	gw_rt_run(f.rt);
	g_assert_cmpint(f.end, ==, GW_ERR_NOT_FOUND);
	f.end = GW_OK;
	store_watch(f.store, KEY, 1, &watch_ops, &f);
	gw_rt_run(f.rt);
	g_assert_cmpint(f.end, ==, GW_ERR_NOT_FOUND);
	store_watch(f.store, KEY, 0, &watch_ops, &f);
	run_until_watched(&f);
	set_faults(&f, "{\"cut_watches\": true}");
	gw_rt_run(f.rt);
	g_assert_cmpint(f.end, ==, GW_ERR_UNAVAILABLE);
	set_faults(&f, "{\"down\": \"refuse\"}");
	f.end = GW_OK;
	store_watch(f.store, KEY, 0, &watch_ops, &f);
	gw_rt_run(f.rt);
	g_assert_cmpint(f.end, ==, GW_ERR_UNAVAILABLE);
	teardown(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store/compare-and-swap", test_compare_and_swap);
	g_test_add_func("/store/lost-answers", test_lost_answers);
	g_test_add_func("/store/outage", test_outage);
	g_test_add_func("/store/value-limit", test_value_limit);
	g_test_add_func("/store/lease-expires", test_lease_expires);
	g_test_add_func("/store/watch-order", test_watch_order);
	g_test_add_func("/store/watch-ends", test_watch_ends);
	return g_test_run();
}
