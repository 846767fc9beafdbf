#include <glib.h>

#include "http/drain.h"

#define MS UINT64_C(1000)

static const gw_drain_plan_t plan = {.listen_us = 2500 * MS,
    .linger_us = 2900 * MS,
    .end_us = 5400 * MS,
    .reply_all_us = 250 * MS};

/* When a server with this many requests and connections does what. */
typedef struct {
	uint64_t at_ms;
	uint32_t requests, connections;
	bool close_listener, reply_all, end;
} case_t;

static const case_t cases[] = {
    {0, 0, 0, false, false, false},
    {2499, 0, 0, false, false, false},
    {2500, 0, 0, true, false, true},
    {2500, 1, 1, true, false, false},
    {2500, 0, 1, true, false, false},
    {5149, 0, 1, true, false, false},
    {5150, 0, 1, true, true, false},
    {5399, 1, 1, true, true, false},
    {5400, 0, 1, true, true, true},
    {5400, 1, 1, true, true, true},
};

/*
 * Guards against a server that ends while callers may still send a request on
 * an open connection, or that outlives its time.
 */
static void
test_steps(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const case_t *c = &cases[i];
		gw_drain_step_t step = gw_drain_step(
		    &plan, c->at_ms * MS, c->requests, c->connections);

		g_test_message("%" G_GUINT64_FORMAT " ms", c->at_ms);
		g_assert_cmpint(step.close_listener, ==, c->close_listener);
		g_assert_cmpint(step.reply_all, ==, c->reply_all);
		g_assert_cmpint(step.end, ==, c->end);
	}
}

static void
test_linger(void)
{
	const gw_drain_plan_t router = {
	    .listen_us = 100 * MS, .linger_us = 300 * MS, .end_us = 60000 * MS};

	g_assert_false(gw_drain_step(&router, 399 * MS, 0, 1).end);
	g_assert_true(gw_drain_step(&router, 400 * MS, 0, 1).end);
	g_assert_false(gw_drain_step(&router, 400 * MS, 1, 1).end);
	g_assert_false(gw_drain_step(&router, 59999 * MS, 1, 1).reply_all);
	g_assert_true(gw_drain_step(&router, 60000 * MS, 1, 1).end);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/drain/steps", test_steps);
	g_test_add_func("/drain/linger", test_linger);
	return g_test_run();
}
