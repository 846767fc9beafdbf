#include <string.h>

#include "harness.h"

#define REQUEST                                          \
	"POST /other HTTP/1.1\r\nHost: logs.example\r\n" \
	"Content-Length: 5\r\n\r\nhello"
#define LONG_REQUEST \
	"POST /other HTTP/1.1\r\nHost: any\r\nContent-Length: 5\r\n\r\nhello"

#define SHORT_DEADLINE_REQUEST                           \
	"POST /other HTTP/1.1\r\nHost: logs.example\r\n" \
	"Godwit-Deadline-Ms: 300\r\n"                    \
	"Content-Length: 5\r\n\r\nhello"

static const char *const ok[] = {RESPONSE_OK, NULL};
static const char *const hang[] = {"HANG", NULL};

static bool
has_request(void *endpoint)
{
	return ((fake_endpoint_t *)endpoint)->requests > 0;
}

static bool
has_contact(void *arg)
{
	harness_t *h = arg;

	return member_contact_fresh(&h->router->contact, gw_rt_now_us(h->rt));
}

static void
advance_ms(harness_t *h, uint64_t ms)
{
	for (uint64_t i = 0; i < ms; i += 100) {
		gw_rt_advance(h->rt, MIN(100, ms - i) * GW_US_PER_MS);
		gw_rt_poll(h->rt);
	}
	harness_settle(h);
}

/*
 * Guards against a time-bound instance that gets requests after contact with
 * the planner has expired. Contact lasts GW_CONTACT_MS from the sending of the
 * last heartbeat that got a Contact. An instance that is not time-bound stays
 * in use.
 */
static void
test_time_bound_after_contact(void)
{
	harness_t *h = harness_new(true);
	fake_endpoint_t *bound = fake_endpoint_new(h->rt, ok),
			*always = fake_endpoint_new(h->rt, ok);

	harness_set_instance(h, "bound", "1", bound->port, 8, true);
	harness_send_view(h);
	g_assert_true(harness_wait(h, has_contact, h));
	(void)raw_request(h, REQUEST);
	g_assert_cmpuint(bound->requests, ==, 1);
	/* Stop replying to heartbeats now, while no reply is on its way. */
	fake_fleet_reply_to_heartbeats(h->fleet, false);
	harness_settle(h);
	advance_ms(h, GW_CONTACT_MS - 100);
	(void)raw_request(h, REQUEST);
	g_assert_cmpuint(bound->requests, ==, 2);
	harness_set_instance(h, "always", "1", always->port, 8, false);
	harness_send_view(h);
	advance_ms(h, 100);
	for (int i = 0; i < 20; i++)
		(void)raw_request(h, REQUEST);
	g_assert_cmpuint(bound->requests, ==, 2);
	g_assert_cmpuint(always->requests, ==, 20);
	fake_endpoint_free(bound);
	fake_endpoint_free(always);
	harness_free(h);
}

/*
 * Guards against a request that runs beyond the hard deadline of a time-bound
 * instance. The planner waits no longer than that for a router that lost
 * contact, and then counts the instance as unused.
 */
static void
test_hard_deadline(void)
{
	harness_t *h = harness_new(true);
	fake_endpoint_t *bound = fake_endpoint_new(h->rt, hang);
	fake_instance_t instance = {.id = "bound",
	    .incarnation = "1",
	    .port = bound->port,
	    .pool = "other",
	    .state = GW__INSTANCE_STATE__STATE_ACTIVE,
	    .time_bound = true,
	    .granted = 1};
	raw_caller_t *raw = raw_caller_new(h);

	fake_fleet_set(h->fleet, &instance);
	harness_send_view(h);
	g_assert_true(harness_wait(h, has_contact, h));
	raw_caller_send(raw, LONG_REQUEST);
	g_assert_true(harness_wait(h, has_request, bound));
	fake_fleet_reply_to_heartbeats(h->fleet, false);
	advance_ms(h, GW_HARD_DEADLINE_MS - 1);
	g_assert_cmpuint(raw->received->len, ==, 0);
	advance_ms(h, 1);
	g_assert_true(harness_wait(h, raw_caller_has_response, raw));
	g_assert_nonnull(
	    strstr(raw->received->str, "godwit-reason: hard-deadline"));
	g_assert_nonnull(strstr(raw->received->str, "godwit-outcome: unknown"));
	harness_settle(h);
	g_assert_cmpuint(bound->closed, ==, 1);
	raw_caller_close(raw);
	fake_endpoint_free(bound);
	harness_free(h);
}

static bool
has_no_in_flight(void *fleet)
{
	return fake_fleet_received(fleet)->acked_in_flight == 0;
}

/*
 * Guards against new requests on a leaving instance, and against a planner that
 * is not notified of the requests in flight there and of their end.
 */
static void
test_leaving(void)
{
	harness_t *h = harness_new(true);
	fake_endpoint_t *leaving = fake_endpoint_new(h->rt, hang);
	fake_instance_t instance = {.id = "a",
	    .incarnation = "1",
	    .port = leaving->port,
	    .pool = "logs",
	    .state = GW__INSTANCE_STATE__STATE_ACTIVE,
	    .granted = 8};
	raw_caller_t *first = raw_caller_new(h), *second = raw_caller_new(h);

	fake_fleet_set(h->fleet, &instance);
	harness_send_view(h);
	raw_caller_send(first, REQUEST);
	g_assert_true(harness_wait(h, has_request, leaving));
	instance.state = GW__INSTANCE_STATE__STATE_LEAVING;
	fake_fleet_set(h->fleet, &instance);
	harness_send_view(h);
	g_assert_cmpuint(fake_fleet_received(h->fleet)->acked_in_flight, ==, 1);
	raw_caller_send(second, REQUEST);
	harness_settle(h);
	g_assert_cmpuint(leaving->requests, ==, 1);
	fake_endpoint_send_all(
	    leaving, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
	g_assert_true(harness_wait(h, raw_caller_has_response, first));
	g_assert_true(g_str_has_suffix(first->received->str, "\r\n\r\nok"));
	g_assert_true(harness_wait(h, has_no_in_flight, h->fleet));
	g_assert_cmpuint(leaving->requests, ==, 1);
	raw_caller_close(first);
	raw_caller_close(second);
	fake_endpoint_free(leaving);
	harness_free(h);
}

/*
 * Guards against slots that the planner grants to another router while this one
 * still uses them after a reduced grant. The Ack must report them as held.
 */
static void
test_reduced_grant(void)
{
	harness_t *h = harness_new(true);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, hang);
	raw_caller_t *raws[3];

	harness_set_instance(h, "a", "1", endpoint->port, 3, false);
	harness_send_view(h);
	for (int i = 0; i < 3; i++) {
		raws[i] = raw_caller_new(h);
		raw_caller_send(raws[i], REQUEST);
	}
	harness_settle(h);
	g_assert_cmpuint(endpoint->requests, ==, 3);
	harness_set_instance(h, "a", "1", endpoint->port, 1, false);
	harness_send_view(h);
	g_assert_cmpuint(
	    fake_fleet_received(h->fleet)->acked_slots_held, ==, 3);
	advance_ms(h, 5000); /* the deadline of the route ends all three */
	/*
	 * The slots are held for the usual service time, since the endpoint may
	 * still work on the requests.
	 */
	g_assert_cmpuint(
	    fake_fleet_received(h->fleet)->acked_slots_held, ==, 3);
	advance_ms(h, 100);
	g_assert_cmpuint(
	    fake_fleet_received(h->fleet)->acked_slots_held, <=, 1);
	for (int i = 0; i < 3; i++)
		raw_caller_close(raws[i]);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

/*
 * Guards against bursts of requests that an endpoint refuses. After requests
 * were abandoned at their callers' deadlines, the endpoint still works on them,
 * so their slots must stay in use.
 */
static void
test_abandoned_slots(void)
{
	harness_t *h = harness_new(true);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, ok);
	raw_caller_t *callers[60];

	endpoint->work_us = 400 * GW_US_PER_MS;
	endpoint->slots = 2;
	harness_set_instance(h, "a", "1", endpoint->port, 2, false);
	harness_send_view(h);
	for (int i = 0; i < 20; i++) {
		callers[i] = raw_caller_new(h);
		raw_caller_send(callers[i], REQUEST);
		harness_settle(h);
		advance_ms(h, 400);
		g_assert_true(
		    harness_wait(h, raw_caller_has_response, callers[i]));
	}
	for (int i = 20; i < 60; i++) {
		callers[i] = raw_caller_new(h);
		raw_caller_send(callers[i], SHORT_DEADLINE_REQUEST);
		harness_settle(h);
		advance_ms(h, 100);
	}
	advance_ms(h, 2000);
	for (int i = 0; i < 60; i++)
		raw_caller_close(callers[i]);
	g_test_message("%u of %u requests refused by the endpoint",
	    endpoint->refused, endpoint->requests);
	/* Two slots for 4 s, each used for 300 ms and then held for 400 ms. */
	g_assert_cmpuint(endpoint->requests - 20, >=, 2 * 4000 / 700 - 2);
	g_assert_cmpuint(endpoint->refused, ==, 0);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/time/bound", test_time_bound_after_contact);
	g_test_add_func("/time/hard-deadline", test_hard_deadline);
	g_test_add_func("/time/leaving", test_leaving);
	g_test_add_func("/time/reduced", test_reduced_grant);
	g_test_add_func("/time/abandoned-slots", test_abandoned_slots);
	return g_test_run();
}
