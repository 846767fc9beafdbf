#include <string.h>

#include "harness.h"

#define HOST "Host: logs.example\r\n"

/* A request that must be refused before it reaches an endpoint. */
typedef struct {
	const char *name;
	const char *text;
	int status;
} bad_case_t;

static const bad_case_t bad_cases[] = {
    {"length and chunks",
	"POST / HTTP/1.1\r\n" HOST "Content-Length: 5\r\n"
	"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	400},
    {"chunks and length",
	"POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n"
	"Content-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	400},
    {"two lengths",
	"POST / HTTP/1.1\r\n" HOST "Content-Length: 5\r\n"
	"Content-Length: 0\r\n\r\nhello",
	400},
    {"two equal lengths",
	"POST / HTTP/1.1\r\n" HOST "Content-Length: 5\r\n"
	"Content-Length: 5\r\n\r\nhello",
	400},
    {"list of lengths",
	"POST / HTTP/1.1\r\n" HOST "Content-Length: 5, 5\r\n\r\nhello", 400},
    {"signed length",
	"POST / HTTP/1.1\r\n" HOST "Content-Length: +5\r\n\r\nhello", 400},
    {"other coding",
	"POST / HTTP/1.1\r\n" HOST
	"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	400},
    {"obsolete folding",
	"GET / HTTP/1.1\r\n" HOST "X-A: b\r\n Content-Length: 5\r\n\r\n", 400},
    {"blank before colon",
	"POST / HTTP/1.1\r\n" HOST "Content-Length : 5\r\n\r\nhello", 400},
    {"two hosts", "GET / HTTP/1.1\r\n" HOST "Host: other\r\n\r\n", 400},
    {"no host", "GET / HTTP/1.1\r\nX-A: b\r\n\r\n", 400},
    {"no headers", "GET / HTTP/1.1\r\n\r\n", 400},
    {"chunks in HTTP/1.0",
	"POST / HTTP/1.0\r\n" HOST
	"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	400},
    {"tunnel", "CONNECT logs.example:80 HTTP/1.1\r\n" HOST "\r\n", 400},
    {"trace", "TRACE / HTTP/1.1\r\n" HOST "\r\n", 405},
    {"unknown team", "GET / HTTP/1.1\r\n" HOST "Godwit-Team: no\r\n\r\n", 400},
    {"unknown class", "GET / HTTP/1.1\r\n" HOST "Godwit-Class: no\r\n\r\n",
	400},
    {"deadline of 0", "GET / HTTP/1.1\r\n" HOST "Godwit-Deadline-Ms: 0\r\n\r\n",
	400},
    {"negative deadline",
	"GET / HTTP/1.1\r\n" HOST "Godwit-Deadline-Ms: -1\r\n\r\n", 400},
    {"unknown host", "GET / HTTP/1.1\r\nHost: nobody\r\n\r\n", 404},
    {"not HTTP", "hello\r\n\r\n", 400},
};

static const char *const ok[] = {RESPONSE_OK, NULL};

/*
 * Guards against malformed or ambiguous requests that reach an endpoint. The
 * endpoint may find a different end of such a request (request smuggling).
 */
static void
test_bad_requests(void)
{
	harness_t *h = harness_new(false);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, ok);
	const char *response;

	harness_set_instance(h, "a", "1", endpoint->port, 8, false);
	harness_send_view(h);
	for (size_t i = 0; i < G_N_ELEMENTS(bad_cases); i++) {
		char *line =
		    g_strdup_printf("HTTP/1.1 %d ", bad_cases[i].status);

		response = raw_request(h, bad_cases[i].text);
		g_test_message("%s: %.12s", bad_cases[i].name, response);
		g_assert_true(g_str_has_prefix(response, line));
		g_free(line);
	}
	g_assert_cmpuint(endpoint->requests, ==, 0);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

/*
 * Guards against a router that forwards hop-by-hop headers or forged values of
 * its own headers, and against the loss of other headers.
 */
static void
test_hop_by_hop_headers(void)
{
	static const char *const dropped[] = {"x-secret", "keep-alive",
	    "te:", "proxy-authorization", "upgrade", "connection:", "forged",
	    "transfer-encoding"};
	static const char *const responses[] = {
	    "HTTP/1.1 200 OK\r\nconnection: x-inner\r\nx-inner: 1\r\n"
	    "x-kept: 2\r\ngodwit-outcome: not-run\r\n"
	    "content-length: 0\r\n\r\n",
	    NULL};
	harness_t *h = harness_new(false);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, responses);
	const char *response;

	harness_set_instance(h, "a", "1", endpoint->port, 8, false);
	harness_send_view(h);
	response = raw_request(h,
	    "POST /p?q=1 HTTP/1.1\r\n" HOST
	    "Connection: close, X-Secret\r\nX-Secret: 1\r\n"
	    "Keep-Alive: 5\r\nTE: trailers\r\nUpgrade: x\r\n"
	    "Proxy-Authorization: x\r\nGodwit-Attempt-Id: forged\r\n"
	    "Transfer-Encoding: chunked\r\nX-Kept: yes\r\n"
	    "\r\n5\r\nhello\r\n0\r\n\r\n");
	for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++)
		g_assert_null(strstr(endpoint->last_request->str, dropped[i]));
	g_assert_true(g_str_has_prefix(
	    endpoint->last_request->str, "POST /p?q=1 HTTP/1.1\r\n"));
	g_assert_nonnull(
	    strstr(endpoint->last_request->str, "x-kept: yes\r\n"));
	g_assert_nonnull(
	    strstr(endpoint->last_request->str, "content-length: 5\r\n"));
	g_assert_true(
	    g_str_has_suffix(endpoint->last_request->str, "\r\n\r\nhello"));
	g_assert_null(strstr(response, "x-inner"));
	g_assert_nonnull(strstr(response, "x-kept: 2\r\n"));
	g_assert_nonnull(strstr(response, "godwit-outcome: answered\r\n"));
	fake_endpoint_free(endpoint);
	harness_free(h);
}

#define CALLERS 100
#define ROUNDS 5

/*
 * Guards against a response that reaches another caller. Many callers send
 * different bodies to two endpoints at the same time.
 */
static void
test_own_response_only(void)
{
	harness_t *h = harness_new(false);
	fake_endpoint_t *a = fake_endpoint_new(h->rt, ok),
			*b = fake_endpoint_new(h->rt, ok);
	raw_caller_t *raws[CALLERS];

	harness_set_instance(h, "a", "1", a->port, 8, false);
	harness_set_instance(h, "b", "1", b->port, 8, false);
	harness_send_view(h);
	for (int round = 0; round < ROUNDS; round++) {
		for (int i = 0; i < CALLERS; i++) {
			g_autofree char *text = g_strdup_printf(
			    "POST / HTTP/1.1\r\n" HOST
			    "Content-Length: 9\r\n\r\nbody.%04d",
			    round * CALLERS + i);

			raws[i] = raw_caller_new(h);
			raw_caller_send(raws[i], text);
		}
		for (int i = 0; i < CALLERS; i++) {
			g_autofree char *want = g_strdup_printf(
			    "\r\n\r\nbody.%04d", round * CALLERS + i);

			g_assert_true(
			    harness_wait(h, raw_caller_has_response, raws[i]));
			g_assert_true(
			    g_str_has_suffix(raws[i]->received->str, want));
			raw_caller_close(raws[i]);
		}
	}
	g_assert_cmpuint(a->requests + b->requests, ==, CALLERS * ROUNDS);
	fake_endpoint_free(a);
	fake_endpoint_free(b);
	harness_free(h);
}

/*
 * Guards against a large response that is truncated or that the router buffers
 * as a whole, and against one that breaks off and looks complete to the caller.
 */
static void
test_large_response(void)
{
	const size_t size_bytes = 4 * 1024 * 1024;
	char *body = g_strnfill(size_bytes, 'x');
	char *whole =
	    g_strdup_printf("HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n\r\n%s",
		size_bytes, body);
	char *cut =
	    g_strdup_printf("!HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n\r\n%s",
		size_bytes + 1, body);
	const char *responses[] = {whole, cut, NULL};
	harness_t *h = harness_new(false);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, responses);
	const char *response;

	harness_set_instance(h, "a", "1", endpoint->port, 8, false);
	harness_send_view(h);
	response = raw_request(h, "POST / HTTP/1.1\r\n" HOST "\r\n");
	g_assert_true(g_str_has_suffix(response, body));
	response = raw_request(h, "POST / HTTP/1.1\r\n" HOST "\r\n");
	g_assert_nonnull(strstr(response, "Content-Length: 4194305"));
	g_assert_cmpuint(
	    strlen(strstr(response, "\r\n\r\n") + 4), <=, size_bytes);
	g_free(whole);
	g_free(cut);
	g_free(body);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/intake/bad", test_bad_requests);
	g_test_add_func("/intake/one-hop", test_hop_by_hop_headers);
	g_test_add_func("/intake/own-response", test_own_response_only);
	g_test_add_func("/intake/large", test_large_response);
	return g_test_run();
}
