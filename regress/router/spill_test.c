#include <string.h>

#include "harness.h"

#define POST                                         \
	"POST /x HTTP/1.1\r\nHost: logs.example\r\n" \
	"Godwit-Deadline-Ms: 200\r\nContent-Length: 5\r\n"

static harness_t *
harness_with_peer(const char *const *responses, fake_endpoint_t **peer)
{
	harness_t *h = harness_new(false);
	gw_addr_t addr;
	gw_err_t err;

	*peer = fake_endpoint_new(h->rt, responses);
	g_assert_cmpint(
	    gw_addr_make(&addr, "127.0.0.1", (*peer)->port, &err), ==, 0);
	g_array_append_val(h->settings.spill, addr);
	spill_free(h->router->spill);
	h->router->spill = spill_new(h->rt, &h->settings);
	return h;
}

/*
 * Sends a request with the additional headers to a router whose peer replies
 * with text. Checks that the response contains want, and that the peer got
 * peer_requests requests.
 */
static void
check_peer(const char *text, const char *headers, const char *want,
    uint32_t peer_requests)
{
	const char *responses[] = {text, NULL};
	char *request = g_strconcat(POST, headers, "\r\nhello", NULL);
	const char *response;
	fake_endpoint_t *peer;
	harness_t *h = harness_with_peer(responses, &peer);

	response = raw_request(h, request);
	g_test_message("%s", response);
	g_assert_nonnull(strstr(response, want));
	g_assert_cmpuint(peer->requests, ==, peer_requests);
	if (peer_requests > 0)
		g_assert_nonnull(
		    strstr(peer->last_request->str, "godwit-hops: 1\r\n"));
	g_free(request);
	fake_endpoint_free(peer);
	harness_free(h);
}

/*
 * Guards against a request that takes more than one hop between data centres,
 * and against a wrong outcome after a peer has answered, refused or failed.
 */
static void
test_one_hop(void)
{
	check_peer("HTTP/1.1 200 OK\r\ngodwit-outcome: answered\r\n"
		   "content-length: 5\r\n\r\nthere",
	    "", "\r\n\r\nthere", 1);
	check_peer("HTTP/1.1 502 Bad\r\ngodwit-outcome: unknown\r\n"
		   "content-length: 0\r\n\r\n",
	    "", "godwit-outcome: unknown\r\n", 1);
	check_peer("HTTP/1.1 503 Busy\r\ngodwit-outcome: not-run\r\n"
		   "content-length: 0\r\n\r\n",
	    "", "godwit-outcome: not-run\r\n", 1);
	check_peer("RESET", "", "godwit-outcome: unknown\r\n", 1);
	check_peer(RESPONSE_OK, "Godwit-Hops: 1\r\n",
	    "godwit-reason: no-spare\r\n", 0);
}

/*
 * Guards against requests that are sent to another data centre although a slot
 * is free in this one.
 */
static void
test_free_slot_first(void)
{
	static const char *const ok[] = {RESPONSE_OK, NULL};
	fake_endpoint_t *peer, *endpoint;
	harness_t *h = harness_with_peer(ok, &peer);

	endpoint = fake_endpoint_new(h->rt, ok);
	harness_set_instance(h, "a", "1", endpoint->port, 8, false);
	harness_send_view(h);
	for (int i = 0; i < 5; i++)
		(void)raw_request(h, POST "\r\nhello");
	g_assert_cmpuint(endpoint->requests, ==, 5);
	g_assert_cmpuint(peer->requests, ==, 0);
	fake_endpoint_free(endpoint);
	fake_endpoint_free(peer);
	harness_free(h);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/spill/one-hop", test_one_hop);
	g_test_add_func("/spill/free-slot-first", test_free_slot_first);
	return g_test_run();
}
