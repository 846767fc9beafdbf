#include <string.h>
#include <unistd.h>

#include "harness.h"

#define WAIT_MAX_MS 8000
/* Iterations of the event loop in which local socket traffic is delivered. */
#define SETTLE_ROUNDS 40

/*
 * Starts a fake fleet daemon and a router on free ports.
 */
harness_t *
harness_new(bool paused)
{
	harness_t *h = g_new0(harness_t, 1);
	char *json, *path, *fleet;
	gw_err_t err;

	path =
	    g_test_build_filename(G_TEST_DIST, "router", "manifest.json", NULL);
	g_assert_true(g_file_get_contents(path, &json, NULL, NULL));
	h->rt = paused ? gw_rt_new_paused(GW_US_PER_S) : gw_rt_new();
	h->fleet = fake_fleet_new(h->rt, "127.0.0.1:0", json);
	fleet =
	    g_strdup_printf("--fleet=127.0.0.1:%u", fake_fleet_port(h->fleet));
	char *argv[] = {"test", "--node-id=r1", "--data-centre=dc1", fleet,
	    "--listen=127.0.0.1:0", "--admin=127.0.0.1:0",
	    "--endpoint-idle-ms=60000", NULL};
	g_assert_cmpint(
	    settings_load(&h->settings, G_N_ELEMENTS(argv) - 1, argv, &err), ==,
	    0);
	h->router = router_new(h->rt, &h->settings);
	g_assert_cmpint(router_listen(h->router, &err), ==, 0);
	h->port = gw_addr_port(&h->router->caller_addr);
	harness_settle(h);
	g_assert_true(router_is_ready(h->router));
	g_free(fleet);
	g_free(path);
	g_free(json);
	return h;
}

/*
 * Closes the router's connections to the fleet daemon. The rest stays until the
 * process exits, since libh2o can't close callers' connections.
 */
void
harness_free(harness_t *h)
{
	gw_timer_stop(&h->router->tick);
	fleet_free(h->router->fleet);
	fake_fleet_free(h->fleet);
	harness_settle(h);
}

void
harness_set_instance(harness_t *h, const char *id, const char *incarnation,
    uint16_t port, uint32_t granted, bool time_bound)
{
	fake_instance_t instance = {.port = port,
	    .state = GW__INSTANCE_STATE__STATE_ACTIVE,
	    .time_bound = time_bound,
	    .granted = granted};

	g_strlcpy(instance.id, id, sizeof(instance.id));
	g_strlcpy(
	    instance.incarnation, incarnation, sizeof(instance.incarnation));
	g_strlcpy(instance.pool, "logs", sizeof(instance.pool));
	fake_fleet_set(h->fleet, &instance);
}

static uint64_t
acked_sequence(harness_t *h)
{
	return fake_fleet_received(h->fleet)->acked_sequence;
}

/*
 * Sends a view and waits until the router has acknowledged it.
 */
void
harness_send_view(harness_t *h)
{
	uint64_t before = acked_sequence(h);

	fake_fleet_send_view(h->fleet);
	for (int i = 0; i < WAIT_MAX_MS && acked_sequence(h) == before; i++)
		harness_settle(h);
	g_assert_cmpuint(acked_sequence(h), >, before);
}

/*
 * Runs the loop until local socket traffic is delivered. Timers of 0 fire even
 * on a paused clock.
 */
void
harness_settle(harness_t *h)
{
	for (int i = 0; i < SETTLE_ROUNDS; i++) {
		if (gw_rt_clock(h->rt)->paused_us != 0)
			gw_rt_advance(h->rt, 0);
		gw_rt_poll(h->rt);
		(void)usleep(50);
	}
}

/*
 * Runs the loop until done() returns true. Returns false if that takes longer
 * than WAIT_MAX_MS of real time.
 */
bool
harness_wait(harness_t *h, bool (*done)(void *), void *arg)
{
	for (int ms = 0; ms < WAIT_MAX_MS; ms += 2) {
		if (done(arg))
			return true;
		harness_settle(h);
	}
	return false;
}

#define RESPONSE_REFUSAL                                   \
	"HTTP/1.1 503 Busy\r\ngodwit-outcome: not-run\r\n" \
	"content-length: 0\r\n\r\n"

/* One connection of a scripted endpoint. */
typedef struct {
	uv_tcp_t tcp;
	fake_endpoint_t *endpoint;
	uint32_t number;
	GString *input;
	char buf[4096];
} endpoint_conn_t;

/* Work on a request; it continues if the connection is closed. */
typedef struct {
	fake_endpoint_t *endpoint;
	uint32_t conn_number;
	char *response;
	gw_timer_t timer;
} endpoint_work_t;

static void
on_conn_closed(uv_handle_t *handle)
{
	endpoint_conn_t *conn = handle->data;

	g_ptr_array_remove_fast(conn->endpoint->conns, conn);
	g_string_free(conn->input, TRUE);
	g_free(conn);
}

static void
conn_close(endpoint_conn_t *conn)
{
	if (!uv_is_closing((uv_handle_t *)&conn->tcp))
		uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void
on_reset(uv_handle_t *handle)
{
	on_conn_closed(handle);
}

static void
on_written(uv_write_t *req, int status)
{
	(void)status;
	g_free(req->data);
	g_free(req);
}

static void
write_text(uv_stream_t *stream, const char *text, size_t len)
{
	uv_write_t *req = g_new0(uv_write_t, 1);
	uv_buf_t buf;

	req->data = g_memdup2(text, len);
	buf = uv_buf_init(req->data, (unsigned)len);
	if (uv_write(req, stream, &buf, 1, on_written) != 0) {
		g_free(req->data);
		g_free(req);
	}
}

static char *
header_value(const char *request, const char *name)
{
	const char *at = strstr(request, name);

	if (at == NULL)
		return g_strdup("");
	at += strlen(name);
	return g_strndup(at, strcspn(at, "\r"));
}

static char *
expand_text(const char *text, const char *request)
{
	const char *body = strstr(request, "\r\n\r\n") + 4;
	char *attempt = header_value(request, "godwit-attempt-id: ");
	GString *out = g_string_new(text);

	g_string_replace(out, "$A", attempt, 0);
	g_autofree char *length = g_strdup_printf("%zu", strlen(body));
	g_string_replace(out, "$L", length, 0);
	g_string_replace(out, "$B", body, 0);
	g_free(attempt);
	return g_string_free(out, FALSE);
}

static const char *
scripted_response(const fake_endpoint_t *endpoint, uint32_t number)
{
	uint32_t last =
	    (uint32_t)g_strv_length((char **)endpoint->responses) - 1;

	return endpoint->responses[MIN(number, last)];
}

static void
on_work_done(gw_timer_t *timer, void *arg)
{
	endpoint_work_t *work = arg;
	fake_endpoint_t *endpoint = work->endpoint;

	(void)timer;
	endpoint->working--;
	for (guint i = 0; i < endpoint->conns->len; i++) {
		endpoint_conn_t *conn = endpoint->conns->pdata[i];

		if (conn->number == work->conn_number &&
		    !uv_is_closing((uv_handle_t *)&conn->tcp))
			write_text((uv_stream_t *)&conn->tcp, work->response,
			    strlen(work->response));
	}
	g_free(work->response);
	g_free(work);
}

static void
start_work(endpoint_conn_t *conn)
{
	fake_endpoint_t *endpoint = conn->endpoint;
	endpoint_work_t *started;

	endpoint->requests++;
	if (endpoint->working == endpoint->slots) {
		endpoint->refused++;
		write_text((uv_stream_t *)&conn->tcp, RESPONSE_REFUSAL,
		    strlen(RESPONSE_REFUSAL));
	} else {
		endpoint->working++;
		started = g_new0(endpoint_work_t, 1);
		started->endpoint = endpoint;
		started->conn_number = conn->number;
		started->response = expand_text(RESPONSE_OK, conn->input->str);
		gw_timer_start(endpoint->rt, &started->timer, endpoint->work_us,
		    on_work_done, started);
	}
	g_string_truncate(conn->input, 0);
}

static void
send_response(endpoint_conn_t *conn)
{
	fake_endpoint_t *endpoint = conn->endpoint;
	const char *text = scripted_response(endpoint, endpoint->requests++);
	char *out;

	g_string_assign(endpoint->last_request, conn->input->str);
	if (strcmp(text, "RESET") == 0)
		(void)uv_tcp_close_reset(&conn->tcp, on_reset);
	else if (strcmp(text, "HANG") != 0) {
		out = expand_text(text + (*text == '!'), conn->input->str);
		write_text((uv_stream_t *)&conn->tcp, out, strlen(out));
		if (*text == '!')
			conn_close(conn);
		g_free(out);
	}
	g_string_truncate(conn->input, 0);
}

/*
 * Returns whether a complete request was received.
 */
static bool
is_request_complete(const GString *input)
{
	const char *body = strstr(input->str, "\r\n\r\n");
	char *length;
	size_t want;

	if (body == NULL)
		return false;
	length = header_value(input->str, "content-length: ");
	want = strtoul(length, NULL, 10);
	g_free(length);
	return strlen(body + 4) >= want;
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	endpoint_conn_t *conn = handle->data;

	(void)suggested;
	*buf = uv_buf_init(conn->buf, sizeof(conn->buf));
}

static void
on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	endpoint_conn_t *conn = stream->data;

	if (nread < 0) {
		conn->endpoint->closed++;
		conn_close(conn);
		return;
	}
	g_string_append_len(conn->input, buf->base, nread);
	if (!is_request_complete(conn->input))
		return;
	if (conn->endpoint->work_us > 0)
		start_work(conn);
	else
		send_response(conn);
}

static void
on_accept(uv_stream_t *server, int status)
{
	fake_endpoint_t *endpoint = server->data;
	endpoint_conn_t *conn = g_new0(endpoint_conn_t, 1);

	g_assert_cmpint(status, ==, 0);
	conn->endpoint = endpoint;
	conn->input = g_string_new(NULL);
	(void)uv_tcp_init(gw_rt_loop(endpoint->rt), &conn->tcp);
	conn->tcp.data = conn;
	g_ptr_array_add(endpoint->conns, conn);
	conn->number = ++endpoint->accepted;
	g_assert_cmpint(uv_accept(server, (uv_stream_t *)&conn->tcp), ==, 0);
	if (endpoint->accepted <= endpoint->accepts_to_reset)
		(void)uv_tcp_close_reset(&conn->tcp, on_reset);
	else
		(void)uv_read_start(
		    (uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

/*
 * Starts a fake endpoint on a free port.
 */
fake_endpoint_t *
fake_endpoint_new(gw_rt_t *rt, const char *const *responses)
{
	fake_endpoint_t *endpoint = g_new0(fake_endpoint_t, 1);
	struct sockaddr_storage sa;
	struct sockaddr_in addr;
	int len = sizeof(sa);

	endpoint->rt = rt;
	endpoint->responses = responses;
	endpoint->last_request = g_string_new(NULL);
	endpoint->conns = g_ptr_array_new();
	(void)uv_tcp_init(gw_rt_loop(rt), &endpoint->tcp);
	endpoint->tcp.data = endpoint;
	(void)uv_ip4_addr("127.0.0.1", 0, &addr);
	(void)uv_tcp_bind(&endpoint->tcp, (struct sockaddr *)&addr, 0);
	g_assert_cmpint(
	    uv_listen((uv_stream_t *)&endpoint->tcp, 128, on_accept), ==, 0);
	(void)uv_tcp_getsockname(&endpoint->tcp, (struct sockaddr *)&sa, &len);
	endpoint->port = ntohs(((struct sockaddr_in *)&sa)->sin_port);
	return endpoint;
}

/*
 * Closes the listener and the connections.
 */
void
fake_endpoint_free(fake_endpoint_t *endpoint)
{
	uv_close((uv_handle_t *)&endpoint->tcp, NULL);
	for (guint i = 0; i < endpoint->conns->len; i++)
		conn_close(endpoint->conns->pdata[i]);
	for (int i = 0; i < 4; i++)
		gw_rt_poll(endpoint->rt);
	g_ptr_array_unref(endpoint->conns);
	g_string_free(endpoint->last_request, TRUE);
	g_free(endpoint);
}

/*
 * Writes text on every connection, without a request.
 */
void
fake_endpoint_send_all(fake_endpoint_t *endpoint, const char *text)
{
	for (guint i = 0; i < endpoint->conns->len; i++) {
		endpoint_conn_t *conn = endpoint->conns->pdata[i];

		write_text((uv_stream_t *)&conn->tcp, text, strlen(text));
	}
}

static void
on_raw_closed(uv_handle_t *handle)
{
	raw_caller_t *raw = handle->data;

	raw->closed = true;
	if (!raw->freed)
		return;
	g_string_free(raw->received, TRUE);
	g_string_free(raw->unsent, TRUE);
	g_free(raw);
}

static void
on_raw_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[65536];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_raw_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	raw_caller_t *raw = stream->data;

	if (nread >= 0) {
		g_string_append_len(raw->received, buf->base, nread);
		return;
	}
	if (!uv_is_closing((uv_handle_t *)stream))
		uv_close((uv_handle_t *)stream, on_raw_closed);
}

static void
on_raw_connected(uv_connect_t *req, int status)
{
	raw_caller_t *raw = req->data;

	if (status != 0)
		return;
	raw->connected = true;
	(void)uv_read_start(
	    (uv_stream_t *)&raw->tcp, on_raw_alloc, on_raw_read);
	if (raw->unsent->len > 0)
		write_text((uv_stream_t *)&raw->tcp, raw->unsent->str,
		    raw->unsent->len);
}

/*
 * Connects a caller to the router.
 */
raw_caller_t *
raw_caller_new(harness_t *h)
{
	raw_caller_t *raw = g_new0(raw_caller_t, 1);
	struct sockaddr_in addr;

	raw->received = g_string_new(NULL);
	raw->unsent = g_string_new(NULL);
	(void)uv_tcp_init(gw_rt_loop(h->rt), &raw->tcp);
	raw->tcp.data = raw;
	raw->connect.data = raw;
	(void)uv_ip4_addr("127.0.0.1", h->port, &addr);
	(void)uv_tcp_connect(&raw->connect, &raw->tcp, (struct sockaddr *)&addr,
	    on_raw_connected);
	return raw;
}

/*
 * Sends text now, or once connected.
 */
void
raw_caller_send(raw_caller_t *raw, const char *text)
{
	if (raw->connected)
		write_text((uv_stream_t *)&raw->tcp, text, strlen(text));
	else
		g_string_append(raw->unsent, text);
}

/*
 * Closes the connection and frees the caller.
 */
void
raw_caller_close(raw_caller_t *raw)
{
	raw->freed = true;
	if (raw->closed)
		on_raw_closed((uv_handle_t *)&raw->tcp);
	else if (!uv_is_closing((uv_handle_t *)&raw->tcp))
		uv_close((uv_handle_t *)&raw->tcp, on_raw_closed);
}

/*
 * Returns whether a complete response was received, according to its
 * Content-Length, or the connection is closed.
 */
bool
raw_caller_has_response(void *arg)
{
	raw_caller_t *raw = arg;
	const char *body = strstr(raw->received->str, "\r\n\r\n");
	char *length;
	size_t want;

	if (raw->closed)
		return true;
	if (body == NULL)
		return false;
	length = header_value(raw->received->str, "Content-Length: ");
	want = strtoul(length, NULL, 10);
	g_free(length);
	return strlen(body + 4) >= want;
}

/*
 * Sends one request on a new connection and returns the response. It is valid
 * until the next call.
 */
const char *
raw_request(harness_t *h, const char *text)
{
	static char *last;
	raw_caller_t *raw = raw_caller_new(h);

	raw_caller_send(raw, text);
	g_assert_true(harness_wait(h, raw_caller_has_response, raw));
	g_free(last);
	last = g_strdup(raw->received->str);
	raw_caller_close(raw);
	harness_settle(h);
	return last;
}
