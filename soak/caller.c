#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "caller.h"

/* A connection; it outlives the caller's use of it until libuv has closed it.
 */
typedef struct {
	uv_tcp_t tcp;
	uv_connect_t connect;
	caller_t *caller; /* NULL once given up */
	char input[4096];
} conn_t;

typedef struct {
	uv_write_t write;
	conn_t *conn;
	char *text;
} write_t;

struct caller {
	gw_rt_t *rt;
	conn_t *conn;
	bool connected;
	bool was_used;
	char *unsent;
	GString *received;
	uint64_t sent_us;
	gw_timer_t timer;
	caller_done_t done; /* NULL without a request */
	void *arg;
};

caller_t *
caller_new(gw_rt_t *rt)
{
	caller_t *caller = g_new0(caller_t, 1);

	caller->rt = rt;
	caller->received = g_string_new(NULL);
	return caller;
}

bool
caller_is_connected(const caller_t *caller)
{
	return caller->connected;
}

/*
 * Returns whether a request is in progress.
 */
bool
caller_is_busy(const caller_t *caller)
{
	return caller->done != NULL;
}

static void
on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

/*
 * Gives up the connection, if there is one.
 */
void
caller_disconnect(caller_t *caller)
{
	conn_t *conn = caller->conn;

	caller->conn = NULL;
	caller->connected = false;
	caller->was_used = false;
	if (conn == NULL)
		return;
	conn->caller = NULL;
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

static void
finish(caller_t *caller, caller_outcome_t outcome, int status, const char *body)
{
	const caller_result_t result = {.outcome = outcome,
	    .status = status,
	    .body = body,
	    .sent_us = caller->sent_us,
	    .ended_us = gw_rt_now_us(caller->rt),
	    .was_reused = caller->was_used};
	caller_done_t done = caller->done;

	gw_timer_stop(&caller->timer);
	g_clear_pointer(&caller->unsent, g_free);
	caller->done = NULL;
	caller->was_used = true;
	if (outcome != CALLER_ANSWERED)
		caller_disconnect(caller);
	if (done != NULL)
		done(&result, caller->arg);
}

static void
on_ended(caller_t *caller)
{
	finish(caller,
	    caller->sent_us == 0 ? CALLER_NOT_SENT : CALLER_UNANSWERED, 0, "");
}

static void
on_timeout(gw_timer_t *timer, void *arg)
{
	caller_t *caller = arg;

	(void)timer;
	finish(caller,
	    caller->sent_us == 0 ? CALLER_NOT_SENT : CALLER_TIMED_OUT, 0, "");
}

static bool
has_header(const char *head, const char *line)
{
	g_autofree char *lower = g_ascii_strdown(head, -1);

	return strstr(lower, line) != NULL;
}

/*
 * Ends the request if its response has been received.
 */
static void
parse_response(caller_t *caller)
{
	const char *text = caller->received->str;
	const char *end = strstr(text, "\r\n\r\n");
	g_autofree char *head = NULL, *lower = NULL, *body = NULL;
	const char *length;
	size_t body_bytes;
	bool closes;

	if (end == NULL)
		return;
	head = g_strndup(text, (gsize)(end + 2 - text));
	lower = g_ascii_strdown(head, -1);
	length = strstr(lower, "\r\ncontent-length:");
	body_bytes = length == NULL ? 0 : strtoul(length + 17, NULL, 10);
	if (caller->received->len < (size_t)(end + 4 - text) + body_bytes)
		return;
	body = g_strndup(end + 4, body_bytes);
	closes = has_header(head, "\r\nconnection: close\r\n");
	if (closes)
		caller_disconnect(caller);
	finish(caller, CALLER_ANSWERED,
	    (int)strtol(strlen(head) > 9 ? head + 9 : "0", NULL, 10), body);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	conn_t *conn = handle->data;

	(void)suggested;
	*buf = uv_buf_init(conn->input, sizeof(conn->input));
}

static void
on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	conn_t *conn = stream->data;
	caller_t *caller = conn->caller;

	if (caller == NULL)
		return;
	if (nread < 0 && caller->done == NULL) {
		caller_disconnect(caller);
		return;
	}
	if (nread < 0) {
		on_ended(caller);
		return;
	}
	g_string_append_len(caller->received, buf->base, nread);
	if (caller->done != NULL)
		parse_response(caller);
}

static void
on_written(uv_write_t *write, int status)
{
	write_t *written = (write_t *)write;

	(void)status; /* the read callback sees the end of the connection */
	g_free(written->text);
	g_free(written);
}

static void
write_request(caller_t *caller)
{
	write_t *write = g_new0(write_t, 1);
	uv_buf_t buf;

	write->text = g_steal_pointer(&caller->unsent);
	buf = uv_buf_init(write->text, (unsigned)strlen(write->text));
	g_string_truncate(caller->received, 0);
	caller->sent_us = gw_rt_now_us(caller->rt);
	(void)uv_write(&write->write, (uv_stream_t *)&caller->conn->tcp, &buf,
	    1, on_written);
}

static void
on_connected(uv_connect_t *connect, int status)
{
	conn_t *conn = connect->handle->data;
	caller_t *caller = conn->caller;

	if (caller == NULL)
		return;
	if (status != 0) {
		on_ended(caller);
		return;
	}
	caller->connected = true;
	(void)uv_tcp_nodelay(&conn->tcp, 1);
	(void)uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	if (caller->unsent != NULL)
		write_request(caller);
}

static void
connect_to(caller_t *caller, const gw_addr_t *addr)
{
	conn_t *conn = g_new0(conn_t, 1);

	(void)uv_tcp_init(gw_rt_loop(caller->rt), &conn->tcp);
	conn->tcp.data = conn;
	conn->caller = caller;
	caller->conn = conn;
	(void)uv_tcp_connect(&conn->connect, &conn->tcp,
	    (const struct sockaddr *)&addr->sa, on_connected);
}

/*
 * Sends a request on the open connection, or on a new one to request->addr. No
 * other request may be in progress.
 */
void
caller_send(caller_t *caller, const caller_request_t *request,
    caller_done_t done, void *arg)
{
	const char *body = request->body == NULL ? "" : request->body;

	caller->done = done;
	caller->arg = arg;
	caller->sent_us = 0;
	caller->unsent = g_strdup_printf("%s %s HTTP/1.1\r\nHost: %s\r\n"
					 "X-Deadline-Ms: %u\r\n%s%s%s"
					 "Content-Type: application/json\r\n"
					 "Content-Length: %zu\r\n\r\n%s",
	    request->method, request->path, request->host, request->deadline_ms,
	    request->key != NULL ? "X-Api-Key: " : "",
	    request->key != NULL ? request->key : "",
	    request->key != NULL ? "\r\n" : "", strlen(body), body);
	gw_timer_start(caller->rt, &caller->timer,
	    request->timeout_ms * GW_US_PER_MS, on_timeout, caller);
	if (caller->connected)
		write_request(caller);
	else
		connect_to(caller, &request->addr);
}
