#include <string.h>

#include "harness.h"
#include "../../gwrouted/drain.h"

#define REQUEST                                      \
	"POST /x HTTP/1.1\r\nHost: logs.example\r\n" \
	"Content-Length: 5\r\n\r\nhello"

static const char *const ok[] = {RESPONSE_OK, NULL};

static void
advance_ms(harness_t *h, uint64_t ms)
{
	for (uint64_t i = 0; i < ms; i += 20) {
		gw_rt_advance(h->rt, MIN(20, ms - i) * GW_US_PER_MS);
		gw_rt_poll(h->rt);
	}
	harness_settle(h);
}

static fake_endpoint_t *
add_endpoint(harness_t *h)
{
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, ok);

	harness_set_instance(h, "a", "1", endpoint->port, 8, false);
	harness_send_view(h);
	return endpoint;
}

/*
 * Guards against a request that arrives on an open connection after the drain,
 * is started, and has its connection broken by the router's exit.
 */
static void
test_request_after_drained(void)
{
	harness_t *h = harness_new(true);
	fake_endpoint_t *endpoint = add_endpoint(h);
	raw_caller_t *caller = raw_caller_new(h);
	drain_t drain = {0};

	harness_settle(h);
	drain_begin(&drain, h->router);
	advance_ms(h, h->settings.drain_delay_ms + h->settings.drain_linger_ms);
	raw_caller_send(caller, REQUEST);
	g_assert_true(harness_wait(h, raw_caller_has_response, caller));
	g_assert_true(g_str_has_prefix(caller->received->str, "HTTP/1.1 503 "));
	g_assert_nonnull(
	    strstr(caller->received->str, "godwit-outcome: not-run\r\n"));
	g_assert_nonnull(
	    strstr(caller->received->str, "godwit-reason: shutting-down\r\n"));
	g_assert_cmpuint(endpoint->requests, ==, 0);
	raw_caller_close(caller);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

/*
 * Guards against callers that keep a connection to a router that shuts down,
 * since no response tells them, and lose a request at its exit.
 */
static void
test_responses_announce_close(void)
{
	harness_t *h = harness_new(true);
	fake_endpoint_t *endpoint = add_endpoint(h);
	raw_caller_t *caller = raw_caller_new(h);
	drain_t drain = {0};

	harness_settle(h);
	drain_begin(&drain, h->router);
	raw_caller_send(caller, REQUEST);
	g_assert_true(harness_wait(h, raw_caller_has_response, caller));
	g_assert_true(g_str_has_prefix(caller->received->str, "HTTP/1.1 200 "));
	g_assert_nonnull(strstr(caller->received->str, "onnection: close\r\n"));
	harness_settle(h);
	g_assert_true(caller->closed);
	raw_caller_close(caller);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/drain/request-after-drained", test_request_after_drained);
	g_test_add_func(
	    "/drain/responses-announce-close", test_responses_announce_close);
	return g_test_run();
}
