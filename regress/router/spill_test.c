#include <string.h>

#include "harness.h"

#define POST                                         \
	"POST /x HTTP/1.1\r\nHost: logs.example\r\n" \
	"Godwit-Deadline-Ms: 200\r\nContent-Length: 5\r\n"

static harness_t *
harness_with_peer(const char *const *texts, script_t **peer)
{
	harness_t *h = harness_new(false);
	gw_addr_t addr;
	gw_err_t err;

	*peer = script_new(h->rt, texts);
	g_assert_cmpint(
	    gw_addr_make(&addr, "127.0.0.1", (*peer)->port, &err), ==, 0);
	g_array_append_val(h->settings.spill, addr);
	spill_free(h->router->spill);
	h->router->spill = spill_new(h->rt, &h->settings);
	return h;
}

/*
 * Guards against a request that takes more than one hop between data centres,
 * and against a wrong outcome after a peer has answered, refused or failed.
 */
static void
check_peer(const char *text, const char *more, const char *want, uint32_t asked)
{
	const char *texts[] = {text, NULL};
	char *request = g_strconcat(POST, more, "\r\nhello", NULL);
	const char *response;
	script_t *peer;
	harness_t *h = harness_with_peer(texts, &peer);

	response = raw_request(h, request);
	g_test_message("%s", response);
	g_assert_nonnull(strstr(response, want));
	g_assert_cmpuint(peer->requests, ==, asked);
	if (asked > 0)
		g_assert_nonnull(strstr(peer->last->str, "godwit-hops: 1\r\n"));
	g_free(request);
	script_free(peer);
	harness_free(h);
}

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
	check_peer(
	    SCRIPT_OK, "Godwit-Hops: 1\r\n", "godwit-reason: no-spare\r\n", 0);
}

/*
 * Guards against requests that are sent to another data centre although a slot
 * is free in this one.
 */
static void
test_free_slot_first(void)
{
	static const char *const ok[] = {SCRIPT_OK, NULL};
	script_t *peer, *endpoint;
	harness_t *h = harness_with_peer(ok, &peer);

	endpoint = script_new(h->rt, ok);
	harness_add(h, "a", "1", endpoint->port, 8, false);
	harness_view(h);
	for (int i = 0; i < 5; i++)
		(void)raw_request(h, POST "\r\nhello");
	g_assert_cmpuint(endpoint->requests, ==, 5);
	g_assert_cmpuint(peer->requests, ==, 0);
	script_free(endpoint);
	script_free(peer);
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
