#include <string.h>

#include <glib.h>

#include "../../tools/gwstored/server.h"
#include "store/store.h"

#define KEY "/gw/test"
#define TIMEOUT_MS 1000

/* The stand-in and a client of it in one loop, and the last outcome. */
typedef struct {
	gw_rt_t *rt;
	server_t *server;
	store_t *store;
	int calls;
	gw_errc_t code;
	uint64_t mod_revision;
	uint64_t store_revision;
	uint64_t lease_id;
	uint32_t ttl_s;
	char value[64];
	GString *seen; /* values that a watch reported */
	gw_errc_t end;
	gw_timer_t limit;
} fixture_t;

static void
finish(fixture_t *f, const gw_err_t *err)
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
	finish(f, err);
}

static void
on_put(uint64_t mod_revision, const gw_err_t *err, void *arg)
{
	fixture_t *f = arg;

	if (err == NULL)
		f->mod_revision = mod_revision;
	finish(f, err);
}

static void
on_lease(uint64_t lease_id, uint32_t ttl_s, const gw_err_t *err, void *arg)
{
	fixture_t *f = arg;

	f->lease_id = lease_id;
	f->ttl_s = ttl_s;
	finish(f, err);
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
on_settled(gw_timer_t *timer, void *arg)
{
	(void)timer;
	gw_rt_stop(arg);
}

/*
 * Runs the loop for a while, so that closed connections are handled.
 */
static void
settle(fixture_t *f, uint64_t ms)
{
	gw_timer_start(f->rt, &f->limit, ms * GW_US_PER_MS, on_settled, f->rt);
	gw_rt_run(f->rt);
	gw_timer_stop(&f->limit);
}

static void
teardown(fixture_t *f)
{
	server_shutdown(f->server);
	store_free(f->store);
	settle(f, 50);
	server_free(f->server);
	gw_rt_free(f->rt);
	g_string_free(f->seen, TRUE);
}

static void
fault(fixture_t *f, const char *json)
{
	gw_err_t err;

	g_assert_cmpint(
	    server_control(f->server, json, strlen(json), &err), ==, 0);
}

/*
 * Runs the loop until the server has the watch.
 */
static void
settle_watch(fixture_t *f)
{
	while (f->server->watchers.length == 0)
		settle(f, 5);
	settle(f, 5);
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
 * Guards against a compare-and-swap that writes over a newer value or reports
 * a lost race as success.
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
 * Guards against a write whose answer was lost being reported as failed.
 */
static void
test_lost_answers(void)
{
	fixture_t f;

	setup(&f);
	fault(&f, "{\"lose_answers\": 1}");
	put_if(&f, 0, "one");
	g_assert_cmpint(f.code, ==, GW_ERR_UNKNOWN);
	get(&f);
	g_assert_cmpstr(f.value, ==, "one");
	fault(&f, "{\"hang_answers\": 1}");
	put_if(&f, 2, "two");
	g_assert_cmpint(f.code, ==, GW_ERR_TIMEOUT);
	get(&f);
	g_assert_cmpstr(f.value, ==, "two");
	fault(&f, "{\"stale_reads\": 1}");
	get(&f);
	g_assert_cmpstr(f.value, ==, "one");
	g_assert_cmpuint(f.store_revision, ==, 2);
	teardown(&f);
}

/*
 * Guards against a read of a store that is down or answers nonsense being
 * reported as absent, and a write to it as surely not done.
 */
static void
test_outage(void)
{
	fixture_t f;

	setup(&f);
	fault(&f, "{\"down\": \"refuse\"}");
	get(&f);
	g_assert_cmpint(f.code, ==, GW_ERR_UNAVAILABLE);
	put_if(&f, 0, "one");
	g_assert_cmpint(f.code, ==, GW_ERR_UNKNOWN);
	fault(&f, "{\"down\": \"hang\"}");
	get(&f);
	g_assert_cmpint(f.code, ==, GW_ERR_TIMEOUT);
	fault(&f, "{\"down\": \"no\", \"raw_answer\": \"{\\\"header\\\"\"}");
	get(&f);
	g_assert_cmpint(f.code, ==, GW_ERR_INVALID);
	put_if(&f, 0, "one");
	g_assert_cmpint(f.code, ==, GW_ERR_UNKNOWN);
	teardown(&f);
}

/*
 * Guards against a value over the store's limit being sent.
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
 * Guards against an expired lease that is reported as renewed, and against
 * its keys staying.
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
	settle(&f, 2300);
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
watch_three(fixture_t *f, const char *faults)
{
	fault(f, faults);
	store_watch(f->store, KEY, 2, &watch_ops, f);
	settle_watch(f);
	put_if(f, 0, "one");
	put_if(f, 2, "two");
	put_if(f, 3, "three");
	put_if(f, 4, "last");
	for (int i = 0; i < 100 && strstr(f->seen->str, "last") == NULL; i++)
		settle(f, 20);
}

/*
 * Guards against a watch that reports a change twice or goes back to an older
 * value when events are doubled or arrive out of order.
 */
static void
test_watch_order(void)
{
	fixture_t f;

	setup(&f);
	watch_three(&f, "{\"watch_double\": true}");
	g_assert_cmpstr(f.seen->str, ==, "one two three last ");
	teardown(&f);
	setup(&f);
	watch_three(&f, "{\"watch_reorder\": true, \"watch_double\": true}");
	g_assert_cmpstr(f.seen->str, ==, "two last ");
	teardown(&f);
}

/*
 * Guards against a watch that stays silent after a compaction or a broken
 * stream instead of telling its owner to read again.
 */
static void
test_watch_ends(void)
{
	fixture_t f;

	setup(&f);
	put_if(&f, 0, "one");
	store_watch(f.store, KEY, 0, &watch_ops, &f);
	settle_watch(&f);
	fault(&f, "{\"compact\": true}");
	gw_rt_run(f.rt);
	g_assert_cmpint(f.end, ==, GW_ERR_NOT_FOUND);
	f.end = GW_OK;
	store_watch(f.store, KEY, 1, &watch_ops, &f);
	gw_rt_run(f.rt);
	g_assert_cmpint(f.end, ==, GW_ERR_NOT_FOUND);
	store_watch(f.store, KEY, 0, &watch_ops, &f);
	settle_watch(&f);
	fault(&f, "{\"cut_watches\": true}");
	gw_rt_run(f.rt);
	g_assert_cmpint(f.end, ==, GW_ERR_UNAVAILABLE);
	fault(&f, "{\"down\": \"refuse\"}");
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
