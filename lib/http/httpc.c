#include <sys/socket.h>

#include <errno.h>
#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "http/connpool.h"
#include "http/httpc.h"

#define RESPONSE_MAX_MIB 16
#define RESPONSE_MAX_BYTES (RESPONSE_MAX_MIB * 1024 * 1024)

struct gw_httpc {
	gw_rt_t *rt;
	conn_pool_t *conns;
	gw_addr_t addr;
	uint32_t calls; /* in progress */
	char peer[GW_ADDR_TEXT_BYTES];
};

struct gw_httpc_call {
	gw_httpc_t *client; /* NULL once done is being called */
	conn_pool_t *conns;
	h2o_http1client_t *http; /* NULL once libh2o has ended it */
	gw_timer_t timer;	 /* time-out, or a deferred failure */
	uint64_t received_us;	 /* when bytes were received last; 0: none */
	uint64_t idle_us;	 /* set by gw_httpc_extend(); 0: not set */
	uint64_t limit_us;	 /* latest end of an extended call */
	gw_httpc_done_t done;
	gw_httpc_chunk_t on_chunk; /* NULL unless streamed */
	void *arg;
	h2o_iovec_t request;
	GString *body; /* of the response; empty when streamed */
	int status;    /* of the response; 0 before its head */
	bool sent;     /* the request may have reached the server */
	bool is_head;
	bool starting; /* the owner does not have the call's pointer yet */
};

/*
 * Returns a client of the server at addr. No connection is made yet.
 */
gw_httpc_t *
gw_httpc_new(gw_rt_t *rt, const gw_addr_t *addr)
{
	gw_httpc_t *client;

	client = g_new0(gw_httpc_t, 1);
	client->rt = rt;
	client->addr = *addr;
	(void)gw_addr_text(addr, client->peer);
	client->conns = conn_pool_new(gw_rt_loop(rt), addr);
	return client;
}

/*
 * Frees the client. For every call, done was called or the call cancelled.
 */
void
gw_httpc_free(gw_httpc_t *client)
{
	if (client == NULL)
		return;
	conn_pool_unref(client->conns);
	g_free(client);
}

/*
 * Replaces the connection pool, so that later calls use new connections. An
 * idle connection may be dead without having been reset, and a call on it would
 * run into its time-out. Calls in progress keep their connections.
 */
static void
replace_conn_pool(gw_httpc_t *client)
{
	conn_pool_unref(client->conns);
	client->conns = conn_pool_new(gw_rt_loop(client->rt), &client->addr);
}

/*
 * Returns the number of calls in progress.
 */
uint32_t
gw_httpc_calls(const gw_httpc_t *client)
{
	return client->calls;
}

/*
 * Returns the server's address as text.
 */
const char *
gw_httpc_peer(const gw_httpc_t *client)
{
	return client->peer;
}

static void
call_free(gw_httpc_call_t *call)
{
	gw_timer_stop(&call->timer);
	if (call->client != NULL)
		call->client->calls--;
	conn_pool_unref(call->conns);
	g_string_free(call->body, TRUE);
	g_free(call->request.base);
	g_free(call);
}

/*
 * Detaches the call from its client, since the owner may free the client in the
 * callback.
 */
static void
detach_from_client(gw_httpc_call_t *call)
{
	gw_timer_stop(&call->timer);
	call->client->calls--;
	call->client = NULL;
}

static void
report_response(gw_httpc_call_t *call)
{
	gw_http_response_t response = {
	    call->status, call->body->str, call->body->len};

	detach_from_client(call);
	call->done(&response, NULL, call->arg);
	call_free(call);
}

/*
 * Calls done with an error and frees the call.
 */
static void
report_error(
    gw_httpc_call_t *call, gw_errc_t code, const char *step, const char *text)
{
	gw_err_t err;

	gw_err_set(&err, code, step, call->client->peer, "%s", text);
	detach_from_client(call);
	call->done(NULL, &err, call->arg);
	call_free(call);
}

static void
on_deferred_failure(gw_timer_t *timer, void *arg)
{
	(void)timer;
	report_error(arg, GW_ERR_UNAVAILABLE, "connect", "cannot connect");
}

/*
 * Ends a call whose connection failed or whose response is not accepted. If the
 * request was not yet passed to a connection, it was certainly not sent.
 */
static void
fail_call(gw_httpc_call_t *call, const char *text)
{
	call->http = NULL;
	if (call->starting) {
		gw_timer_start(call->client->rt, &call->timer, 0,
		    on_deferred_failure, call);
		return;
	}
	report_error(call, call->sent ? GW_ERR_UNKNOWN : GW_ERR_UNAVAILABLE,
	    call->sent ? "read response" : "connect", text);
}

/*
 * Closes the connection of an unfinished call with a reset. After an orderly
 * close, data that is still queued for sending may reach the server seconds
 * later, after newer requests.
 */
static void
reset_connection(gw_httpc_call_t *call)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};

	if (call->http == NULL)
		return;
	if (call->http->sock != NULL &&
	    setsockopt(h2o_socket_get_fd(call->http->sock), SOL_SOCKET,
		SO_LINGER, &reset, sizeof(reset)) != 0)
		gw_log(GW_EV_HTTP_RESET, "peer=%s err=%d text=\"%s\"",
		    call->client->peer, errno, strerror(errno));
	h2o_http1client_cancel(call->http);
	call->http = NULL;
}

/*
 * Ends a call at its time-out, or puts the time-out off while the response of
 * an extended call arrives.
 */
static void
on_timeout(gw_timer_t *timer, void *arg)
{
	gw_httpc_call_t *call = arg;
	uint64_t now_us = gw_rt_now_us(call->client->rt);
	uint64_t due_us =
	    MIN(call->received_us + call->idle_us, call->limit_us);

	if (call->received_us != 0 && now_us < due_us) {
		gw_timer_start(
		    call->client->rt, timer, due_us - now_us, on_timeout, call);
		return;
	}
	reset_connection(call);
	if (call->conns == call->client->conns)
		replace_conn_pool(call->client);
	report_error(call, call->sent ? GW_ERR_TIMEOUT : GW_ERR_UNAVAILABLE,
	    "wait for response", "no response within the time-out of the call");
}

/*
 * Consumes the received part of the body. Returns non-zero when the owner
 * rejects the response or the body exceeds RESPONSE_MAX_BYTES.
 */
static int
consume_input(gw_httpc_call_t *call)
{
	h2o_buffer_t **input = &call->http->sock->input;
	int rc = 0;

	if ((*input)->size == 0)
		return 0;
	call->received_us = gw_rt_now_us(call->client->rt);
	if (call->on_chunk != NULL)
		rc = call->on_chunk((*input)->bytes, (*input)->size, call->arg);
	else
		g_string_append_len(
		    call->body, (*input)->bytes, (gssize)(*input)->size);
	h2o_buffer_consume(input, (*input)->size);
	return rc != 0 || call->body->len > RESPONSE_MAX_BYTES;
}

static int
on_body(h2o_http1client_t *http, const char *errstr)
{
	gw_httpc_call_t *call = http->data;

	if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
		fail_call(call, errstr);
		return 0;
	}
	if (consume_input(call) != 0) {
		fail_call(call,
		    "response rejected by its receiver, or larger "
		    "than " G_STRINGIFY(RESPONSE_MAX_MIB) " MiB");
		return -1;
	}
	if (errstr == h2o_http1client_error_is_eos) {
		call->http = NULL;
		report_response(call);
	}
	return 0;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *http, const char *errstr, int minor_version,
    int status, h2o_iovec_t msg, h2o_header_t *headers, size_t num_headers,
    int rlen)
{
	gw_httpc_call_t *call = http->data;

	(void)minor_version;
	(void)msg;
	(void)headers;
	(void)num_headers;
	(void)rlen;
	if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
		fail_call(call, errstr);
		return NULL;
	}
	call->status = status;
	call->received_us = gw_rt_now_us(call->client->rt);
	if (errstr == h2o_http1client_error_is_eos) {
		call->http = NULL;
		report_response(call);
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *http, const char *errstr, h2o_iovec_t **reqbufs,
    size_t *reqbufcnt, int *method_is_head)
{
	gw_httpc_call_t *call = http->data;

	if (errstr != NULL) {
		fail_call(call, errstr);
		return NULL;
	}
	call->sent = true;
	*reqbufs = &call->request;
	*reqbufcnt = 1;
	*method_is_head = call->is_head;
	return on_head;
}

static h2o_iovec_t
build_request(const gw_httpc_t *client, const char *method, const char *path,
    const char *headers, const char *body)
{
	size_t size_bytes = body == NULL ? 0 : strlen(body);
	char *text;

	text = g_strdup_printf("%s %s HTTP/1.1\r\n"
			       "host: %s\r\n"
			       "content-type: application/json\r\n"
			       "%scontent-length: %zu\r\n\r\n%s",
	    method, path, client->peer, headers, size_bytes,
	    body == NULL ? "" : body);
	return h2o_iovec_init(text, strlen(text));
}

static gw_httpc_call_t *
call_new(gw_httpc_t *client, const char *method, const char *path,
    const char *headers, const char *body, gw_httpc_chunk_t on_chunk,
    gw_httpc_done_t done, void *arg)
{
	gw_httpc_call_t *call;

	call = g_new0(gw_httpc_call_t, 1);
	call->client = client;
	call->conns = client->conns;
	call->conns->refs++;
	client->calls++;
	call->on_chunk = on_chunk;
	call->done = done;
	call->arg = arg;
	call->body = g_string_new(NULL);
	call->is_head = strcmp(method, "HEAD") == 0;
	call->request = build_request(client, method, path, headers, body);
	return call;
}

/*
 * Connects, or reuses an idle connection. For a failure inside this function
 * done is called from the loop, when the owner has the call's pointer.
 */
static void
call_connect(gw_httpc_call_t *call)
{
	call->starting = true;
	h2o_http1client_connect_with_pool(&call->http, call, &call->conns->ctx,
	    &call->conns->pool, on_connect);
	call->starting = false;
}

/*
 * Sends one request; body may be NULL. done is called with the whole response
 * or an error, but never before this function returns. After timeout_ms the
 * error is GW_ERR_TIMEOUT, or GW_ERR_UNAVAILABLE if nothing was sent.
 */
gw_httpc_call_t *
gw_httpc_call(gw_httpc_t *client, const char *method, const char *path,
    const char *body, uint64_t timeout_ms, gw_httpc_done_t done, void *arg)
{
	return gw_httpc_call_with_headers(
	    client, method, path, "", body, timeout_ms, done, arg);
}

/*
 * Like gw_httpc_call(), with additional header lines, each ended by CR LF.
 */
gw_httpc_call_t *
gw_httpc_call_with_headers(gw_httpc_t *client, const char *method,
    const char *path, const char *headers, const char *body,
    uint64_t timeout_ms, gw_httpc_done_t done, void *arg)
{
	gw_httpc_call_t *call;

	call = call_new(client, method, path, headers, body, NULL, done, arg);
	gw_timer_start(client->rt, &call->timer, timeout_ms * GW_US_PER_MS,
	    on_timeout, call);
	call_connect(call);
	return call;
}

/*
 * Lets a call continue beyond its time-out while its response arrives: until no
 * byte was received for idle_ms, and for total_ms from now at most. For
 * responses so large that a slow link takes longer than the time-out; ended and
 * repeated, such a call would never succeed.
 */
void
gw_httpc_extend(gw_httpc_call_t *call, uint64_t idle_ms, uint64_t total_ms)
{
	call->idle_us = idle_ms * GW_US_PER_MS;
	call->limit_us =
	    gw_rt_now_us(call->client->rt) + total_ms * GW_US_PER_MS;
}

/*
 * Like gw_httpc_call(), but without a time-out, for an endless response such as
 * a watch. Each part of the body is passed to on_chunk as it arrives.
 */
gw_httpc_call_t *
gw_httpc_stream(gw_httpc_t *client, const char *method, const char *path,
    const char *body, gw_httpc_chunk_t on_chunk, gw_httpc_done_t done,
    void *arg)
{
	gw_httpc_call_t *call;

	call = call_new(client, method, path, "", body, on_chunk, done, arg);
	call_connect(call);
	return call;
}

/*
 * Cancels a call without calling done. The request may have taken effect.
 */
void
gw_httpc_cancel(gw_httpc_call_t *call)
{
	reset_connection(call);
	call_free(call);
}
