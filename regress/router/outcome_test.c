#include <string.h>

#include "harness.h"

#define POST                                         \
	"POST /x HTTP/1.1\r\nHost: logs.example\r\n" \
	"Content-Length: 5\r\n"
#define IDEMPOTENT_POST                               \
	"POST /x HTTP/1.1\r\nHost: twice.example\r\n" \
	"Content-Length: 5\r\n"

static const char *const ok[] = {RESPONSE_OK, NULL};
static const char *const hang[] = {"HANG", NULL};

static bool
response_is(const char *response, int status, const char *outcome)
{
	char *line = g_strdup_printf("HTTP/1.1 %d ", status);
	char *header = g_strdup_printf("godwit-outcome: %s\r\n", outcome);
	bool result = g_str_has_prefix(response, line) &&
	    strstr(response, header) != NULL;

	if (!result)
		g_test_message("want %d %s, got %s", status, outcome, response);
	g_free(line);
	g_free(header);
	return result;
}

/* How an endpoint fails the first request, and what the caller must get. */
typedef struct {
	const char *name;
	const char *text; /* first response of the endpoint */
	uint32_t accepts_to_reset;
	int status; /* if the request must not run twice */
	const char *outcome;
	bool retried_once;	 /* even if it must not run twice */
	bool retried_idempotent; /* if it may run twice */
} fault_case_t;

static const fault_case_t fault_cases[] = {
    {"reset on accept", RESPONSE_OK, 1, 502, "unknown", false, true},
    {"reset after the request", "RESET", 0, 502, "unknown", false, true},
    {"closed after the request", "!", 0, 502, "unknown", false, true},
    {"half a head", "!HTTP/1.1 200 OK\r\ncontent-le", 0, 502, "unknown", false,
	true},
    {"half a body", "!HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab", 0, 502,
	"unknown", false, true},
    {"half a chunk",
	"!HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nab", 0, 502,
	"unknown", false, true},
    {"not HTTP", "!hello\r\n\r\n", 0, 502, "unknown", false, true},
    {"two lengths",
	"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc",
	0, 502, "unknown", false, true},
    {"length and chunks",
	"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n"
	"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
	0, 502, "unknown", false, true},
    {"no length", "!HTTP/1.1 200 OK\r\n\r\nabc", 0, 502, "unknown", false,
	true},
    {"another attempt's response",
	"HTTP/1.1 200 OK\r\ngodwit-attempt-id: x\r\n"
	"content-length: 5\r\n\r\nwrong",
	0, 502, "unknown", false, true},
    {"declared not run",
	"HTTP/1.1 503 Busy\r\ngodwit-outcome: not-run\r\n"
	"content-length: 0\r\n\r\n",
	0, 200, "answered", true, true},
    {"plain 503", "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n", 0, 503,
	"answered", false, false},
};

/*
 * Checks one case with an endpoint that fails only the first request.
 * must_run_once tells whether the request must not run twice.
 */
static void
check_fault(const fault_case_t *c, const char *head, bool must_run_once)
{
	harness_t *h = harness_new(false);
	const char *responses[] = {c->text, RESPONSE_OK, NULL};
	char *request = g_strconcat(head, "\r\nhello", NULL);
	bool retried = must_run_once ? c->retried_once : c->retried_idempotent;
	fake_endpoint_t *endpoint;
	const char *response;

	endpoint = fake_endpoint_new(h->rt, responses);
	endpoint->accepts_to_reset = c->accepts_to_reset;
	harness_set_instance(h, "a", c->name, endpoint->port, 8, false);
	harness_send_view(h);
	response = raw_request(h, request);
	/*
	 * A reset before the connect completes counts as a refused connection.
	 * The request was not sent then, and is retried.
	 */
	if (must_run_once && c->accepts_to_reset > 0)
		retried = endpoint->accepted > 1;
	if (retried)
		g_assert_true(response_is(response, 200, "answered"));
	else
		g_assert_true(response_is(response, c->status, c->outcome));
	if (c->accepts_to_reset > 0)
		g_assert_cmpuint(endpoint->accepted, ==, retried ? 2 : 1);
	else
		g_assert_cmpuint(endpoint->requests, ==, retried ? 2 : 1);
	fake_endpoint_free(endpoint);
	harness_free(h);
	g_free(request);
}

/*
 * Guards against a request that runs twice, a request that ran and is reported
 * as not run, and a caller that gets a truncated response or that of another
 * request. The endpoint fails at each stage of a request in turn.
 */
static void
test_faults_at_every_stage(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		g_test_message("%s", fault_cases[i].name);
		check_fault(&fault_cases[i], POST, true);
		check_fault(&fault_cases[i], IDEMPOTENT_POST, false);
	}
}

/*
 * Guards against a refused connection after which the request counts as run. It
 * must be retried even if it must not run twice, and be reported as "not-run"
 * when all attempts fail.
 */
static void
test_refused_connection(void)
{
	harness_t *h = harness_new(false);
	fake_endpoint_t *closed = fake_endpoint_new(h->rt, ok), *good;
	uint16_t port = closed->port;

	fake_endpoint_free(closed);
	harness_set_instance(h, "closed", "1", port, 8, false);
	harness_send_view(h);
	g_assert_true(
	    response_is(raw_request(h, POST "\r\nhello"), 503, "not-run"));
	good = fake_endpoint_new(h->rt, ok);
	harness_set_instance(h, "good", "1", good->port, 8, false);
	harness_send_view(h);
	for (int i = 0; i < 4; i++)
		g_assert_true(response_is(
		    raw_request(h, POST "\r\nhello"), 200, "answered"));
	g_assert_cmpuint(good->requests, ==, 4);
	fake_endpoint_free(good);
	harness_free(h);
}

/*
 * Guards against a late response that reaches another caller. The response
 * arrives on the connection of an abandoned request, so that connection must be
 * closed and never reused.
 */
static void
test_late_response(void)
{
	static const char *const responses[] = {"HANG", RESPONSE_OK, NULL};
	harness_t *h = harness_new(false);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, responses);
	const char *response;

	harness_set_instance(h, "a", "1", endpoint->port, 8, false);
	harness_send_view(h);
	response = raw_request(h, POST "Godwit-Deadline-Ms: 60\r\n\r\nfirst");
	g_assert_true(response_is(response, 504, "unknown"));
	g_assert_nonnull(strstr(response, "godwit-reason: deadline\r\n"));
	fake_endpoint_send_all(
	    endpoint, "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate");
	g_assert_nonnull(strstr(raw_request(h, POST "\r\nother"), "other"));
	g_assert_cmpuint(endpoint->accepted, ==, 2);
	g_assert_cmpuint(endpoint->closed, ==, 1);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

static void
check_connections_used(const char *const *responses, uint32_t connections)
{
	harness_t *h = harness_new(false);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, responses);

	harness_set_instance(h, "a", "1", endpoint->port, 8, false);
	harness_send_view(h);
	for (int i = 0; i < 2; i++)
		g_assert_true(g_str_has_suffix(
		    raw_request(h, POST "\r\nfirst"), "\r\n\r\nfirst"));
	g_assert_true(g_str_has_suffix(
	    raw_request(h, POST "\r\nother"), "\r\n\r\nother"));
	g_assert_cmpuint(endpoint->accepted, ==, connections);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

/*
 * Guards against a surplus response that is taken for the response to the next
 * request, when an endpoint sends it together with the first response. Also
 * guards against connections that are not reused although nothing is wrong.
 */
static void
test_surplus_response(void)
{
	static const char *const good[] = {RESPONSE_OK, NULL};
	static const char *const together[] = {RESPONSE_OK
	    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore",
	    RESPONSE_OK, NULL};
	static const char *const no_body[] = {RESPONSE_OK "junk", NULL};

	check_connections_used(good, 1);
	check_connections_used(together, 2);
	check_connections_used(no_body, 3);
}

/*
 * Guards against a surplus response that is taken for the response to the next
 * request, when it arrives while the connection is idle.
 */
static void
test_surplus_while_idle(void)
{
	harness_t *h = harness_new(false);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, ok);

	harness_set_instance(h, "a", "1", endpoint->port, 8, false);
	harness_send_view(h);
	(void)raw_request(h, POST "\r\nfirst");
	fake_endpoint_send_all(
	    endpoint, "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore");
	harness_settle(h);
	g_assert_true(g_str_has_suffix(
	    raw_request(h, POST "\r\nother"), "\r\n\r\nother"));
	g_assert_cmpuint(endpoint->accepted, ==, 2);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

/*
 * Guards against a new incarnation at the address of the old one that gets
 * requests over the old connections or with the old grant.
 */
static void
test_replacement_under_old_address(void)
{
	harness_t *h = harness_new(false);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, ok);
	const char *response;

	harness_set_instance(h, "a", "1", endpoint->port, 8, false);
	harness_send_view(h);
	g_assert_true(
	    response_is(raw_request(h, POST "\r\nhello"), 200, "answered"));
	harness_set_instance(h, "a", "2", endpoint->port, 0, false);
	harness_send_view(h);
	g_assert_cmpuint(endpoint->closed, ==, 1);
	response = raw_request(h, POST "Godwit-Deadline-Ms: 50\r\n\r\nhello");
	g_assert_true(response_is(response, 503, "not-run"));
	harness_set_instance(h, "a", "2", endpoint->port, 8, false);
	harness_send_view(h);
	g_assert_true(
	    response_is(raw_request(h, POST "\r\nhello"), 200, "answered"));
	g_assert_cmpuint(endpoint->accepted, ==, 2);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

static bool
has_request(void *endpoint)
{
	return ((fake_endpoint_t *)endpoint)->requests > 0;
}

static bool
has_one_request(void *h)
{
	return ((harness_t *)h)->router->requests.length == 1;
}

/*
 * Guards against a queued request that runs, or stays in the queue, after its
 * caller has closed the connection.
 */
static void
test_caller_gone_while_queued(void)
{
	harness_t *h = harness_new(false);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, hang);
	raw_caller_t *first, *queued;

	harness_set_instance(h, "a", "1", endpoint->port, 1, false);
	harness_send_view(h);
	first = raw_caller_new(h);
	raw_caller_send(first, POST "Godwit-Deadline-Ms: 1500\r\n\r\nfirst");
	g_assert_true(harness_wait(h, has_request, endpoint));
	queued = raw_caller_new(h);
	raw_caller_send(queued, POST "\r\nother");
	harness_settle(h);
	g_assert_cmpuint(h->router->requests.length, ==, 2);
	raw_caller_close(queued);
	g_assert_true(harness_wait(h, has_one_request, h));
	g_assert_true(harness_wait(h, raw_caller_has_response, first));
	harness_settle(h);
	g_assert_cmpuint(endpoint->requests, ==, 1);
	raw_caller_close(first);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

/*
 * Guards against retries that multiply the load when every endpoint fails.
 */
static void
test_retry_budget(void)
{
	static const char *const reset[] = {"RESET", NULL};
	harness_t *h = harness_new(false);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, reset);
	const uint32_t requests = 40;

	harness_set_instance(h, "a", "1", endpoint->port, 8, false);
	harness_send_view(h);
	for (uint32_t i = 0; i < requests; i++)
		g_assert_true(
		    response_is(raw_request(h, IDEMPOTENT_POST "\r\nhello"),
			502, "unknown"));
	/* Retries: the burst of 10, and a tenth of the requests. */
	g_assert_cmpuint(endpoint->requests, >, requests);
	g_assert_cmpuint(endpoint->requests, <=, requests + 10 + requests / 10);
	fake_endpoint_free(endpoint);
	harness_free(h);
}

static bool
wants_more_slots(void *fleet)
{
	return fake_fleet_received(fleet)->slots_wanted > 8;
}

/*
 * Guards against a failing instance that gets all requests because no slot of
 * another instance is granted. Only requests to another instance show whether
 * the first one or the whole service is at fault, so the router must want more
 * slots.
 */
static void
test_only_instance_fails(void)
{
	harness_t *h = harness_new(false);
	fake_endpoint_t *only =
	    fake_endpoint_new(h->rt, (const char *const[]){"RESET", NULL});

	harness_set_instance(h, "only", "1", only->port, 8, false);
	harness_set_instance(h, "idle", "1", only->port, 0, false);
	harness_send_view(h);
	for (int i = 0; i < 20; i++)
		(void)raw_request(h, POST "\r\nhello");
	g_assert_true(harness_wait(h, wants_more_slots, h->fleet));
	fake_endpoint_free(only);
	harness_free(h);
}

/*
 * Guards against requests that are refused for a long estimated wait while the
 * backoff of an instance after a failed connect ends soon. The slots of that
 * instance must shorten the estimate.
 */
static void
test_upcoming_slots(void)
{
	harness_t *h = harness_new(true);
	fake_endpoint_t *endpoint = fake_endpoint_new(h->rt, ok);
	uint64_t now_us = gw_rt_now_us(h->rt);
	fairq_item_t item = {
	    .team = "gas", .request_class = CLASS_QUICK, .arrived_us = now_us};
	pool_t *pool;
	uint64_t before_us;

	harness_set_instance(h, "a", "1", endpoint->port, 1, false);
	harness_set_instance(h, "b", "1", endpoint->port, 7, false);
	harness_send_view(h);
	pool = router_get_pool(h->router, "logs");
	for (int i = 0; i < 40; i++)
		g_assert_cmpint(
		    fairq_push(pool->queue, g_memdup2(&item, sizeof(item))), ==,
		    FAIRQ_ADMITTED);
	instance_back_off(g_hash_table_lookup(h->router->view.instances, "b"));
	fairq_set_slots(pool->queue, 1);
	before_us = fairq_estimate_wait_us(pool->queue, "gas", CLASS_QUICK, 0);
	pool_refresh(pool);
	g_test_message("wait estimate %" PRIu64 " us before, %" PRIu64 " after",
	    before_us,
	    fairq_estimate_wait_us(pool->queue, "gas", CLASS_QUICK, 0));
	g_assert_cmpuint(
	    fairq_estimate_wait_us(pool->queue, "gas", CLASS_QUICK, 0), <,
	    before_us);
	fake_endpoint_free(endpoint);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/outcome/stages", test_faults_at_every_stage);
	g_test_add_func("/outcome/refused", test_refused_connection);
	g_test_add_func("/outcome/late", test_late_response);
	g_test_add_func("/outcome/surplus", test_surplus_response);
	g_test_add_func("/outcome/surplus-idle", test_surplus_while_idle);
	g_test_add_func(
	    "/outcome/replacement", test_replacement_under_old_address);
	g_test_add_func("/outcome/gone", test_caller_gone_while_queued);
	g_test_add_func("/outcome/retry-budget", test_retry_budget);
	g_test_add_func(
	    "/outcome/only-instance-fails", test_only_instance_fails);
	g_test_add_func("/outcome/slots-soon", test_upcoming_slots);
	return g_test_run();
}
