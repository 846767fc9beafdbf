#include <sys/socket.h>

#include <errno.h>
#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "http/httpc.h"
#include "http/reap.h"

#define POOL_CONNECTIONS 64
/* An idle connection is kept for the gaps between bursts of calls. */
#define POOL_IDLE_MS 20000
#define RESPONSE_MAX_BYTES (16 * 1024 * 1024)
/* The total time-out of a call ends it; libh2o's own is only a backstop. */
#define IO_TIMEOUT_MS 3600000

/* The connections of a client; a time-out replaces them all. */
typedef struct {
	uv_loop_t *loop;
	h2o_socketpool_t pool;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t ctx;
	uv_timer_t disposal;
	uint32_t refs; /* the client and each call */
} link_t;

struct gw_httpc {
	gw_rt_t *rt;
	link_t *link;
	gw_addr_t addr;
	uint32_t calls;
	char peer[GW_ADDR_TEXT_BYTES];
};

struct gw_httpc_call {
	gw_httpc_t *client;
	link_t *link;
	h2o_http1client_t *http; /* NULL once it has ended */
	gw_timer_t timer;
	gw_httpc_done_t done;
	gw_httpc_chunk_t on_chunk; /* NULL unless streamed */
	void *arg;
	h2o_iovec_t request;
	GString *body;
	int status;
	bool sent;
	bool is_head;
	bool starting; /* the call has not been returned to its owner yet */
};

static link_t *
link_new(uv_loop_t *loop, const gw_addr_t *addr)
{
	gw_addr_t copy = *addr;
	link_t *link;

	link = g_new0(link_t, 1);
	link->loop = loop;
	link->refs = 1;
	h2o_socketpool_init_by_address(&link->pool, (struct sockaddr *)&copy.sa,
	    copy.len_bytes, 0, POOL_CONNECTIONS);
	h2o_socketpool_set_timeout(&link->pool, loop, POOL_IDLE_MS);
	h2o_timeout_init(loop, &link->io_timeout, IO_TIMEOUT_MS);
	link->ctx.loop = loop;
	link->ctx.io_timeout = &link->io_timeout;
	return link;
}

static void
on_disposal(uv_timer_t *timer)
{
	link_t *link = timer->data;

	h2o_socketpool_dispose(&link->pool);
	h2o_timeout_dispose(link->loop, &link->io_timeout);
	uv_close((uv_handle_t *)&link->disposal, NULL);
	gw_reap(link->loop, link);
}

/*
 * Drops a reference. The last one may go in a callback of libh2o, which uses
 * the connection once more after it: the link is disposed of from the loop.
 */
static void
link_unref(link_t *link)
{
	if (--link->refs > 0)
		return;
	(void)uv_timer_init(link->loop, &link->disposal);
	link->disposal.data = link;
	(void)uv_timer_start(&link->disposal, on_disposal, 0, 0);
}

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
	client->link = link_new(gw_rt_loop(rt), addr);
	return client;
}

/*
 * Frees the client. All calls must have ended.
 */
void
gw_httpc_free(gw_httpc_t *client)
{
	if (client == NULL)
		return;
	link_unref(client->link);
	g_free(client);
}

/*
 * Gives up the idle connections: one that went silent without a reset would
 * cost each later call its time-out. Calls under way keep theirs.
 */
static void
renew_link(gw_httpc_t *client)
{
	link_unref(client->link);
	client->link = link_new(gw_rt_loop(client->rt), &client->addr);
}

/*
 * Returns the number of calls under way.
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
	link_unref(call->link);
	g_string_free(call->body, TRUE);
	g_free(call->request.base);
	g_free(call);
}

/*
 * Parts the call from its client, which the owner may free in the callback.
 */
static void
detach(gw_httpc_call_t *call)
{
	gw_timer_stop(&call->timer);
	call->client->calls--;
	call->client = NULL;
}

static void
finish_ok(gw_httpc_call_t *call)
{
	gw_http_response_t response = {
	    call->status, call->body->str, call->body->len};

	detach(call);
	call->done(&response, NULL, call->arg);
	call_free(call);
}

/*
 * Reports a failure. Before the request was handed to the connection it was
 * surely not sent; after that it may have taken effect.
 */
static void
finish_error(
    gw_httpc_call_t *call, gw_errc_t code, const char *step, const char *text)
{
	gw_err_t err;

	gw_err_set(&err, code, step, call->client->peer, "%s", text);
	detach(call);
	call->done(NULL, &err, call->arg);
	call_free(call);
}

static void
on_failed_at_once(gw_timer_t *timer, void *arg)
{
	(void)timer;
	finish_error(arg, GW_ERR_UNAVAILABLE, "connect", "cannot connect");
}

static void
finish_broken(gw_httpc_call_t *call, const char *text)
{
	call->http = NULL;
	if (call->starting) {
		gw_timer_start(
		    call->client->rt, &call->timer, 0, on_failed_at_once, call);
		return;
	}
	finish_error(call, call->sent ? GW_ERR_UNKNOWN : GW_ERR_UNAVAILABLE,
	    call->sent ? "read response" : "connect", text);
}

/*
 * Ends libh2o's part of a call that has no answer. The connection is reset:
 * what an orderly close leaves to the network may reach the server seconds
 * later, after newer requests.
 */
static void
abandon(gw_httpc_call_t *call)
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

static void
on_timeout(gw_timer_t *timer, void *arg)
{
	gw_httpc_call_t *call = arg;

	(void)timer;
	abandon(call);
	if (call->link == call->client->link)
		renew_link(call->client);
	finish_error(call, call->sent ? GW_ERR_TIMEOUT : GW_ERR_UNAVAILABLE,
	    "wait for response", "time-out");
}

/*
 * Takes what has been received. Returns non-zero to end the call.
 */
static int
take_input(gw_httpc_call_t *call)
{
	h2o_buffer_t **input = &call->http->sock->input;
	int rc = 0;

	if ((*input)->size == 0)
		return 0;
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
		finish_broken(call, errstr);
		return 0;
	}
	if (take_input(call) != 0) {
		finish_broken(call, "response ended by the reader");
		return -1;
	}
	if (errstr == h2o_http1client_error_is_eos) {
		call->http = NULL;
		finish_ok(call);
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
		finish_broken(call, errstr);
		return NULL;
	}
	call->status = status;
	if (errstr == h2o_http1client_error_is_eos) {
		call->http = NULL;
		finish_ok(call);
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
		finish_broken(call, errstr);
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
call_start(gw_httpc_t *client, const char *method, const char *path,
    const char *headers, const char *body, gw_httpc_chunk_t on_chunk,
    gw_httpc_done_t done, void *arg)
{
	gw_httpc_call_t *call;

	call = g_new0(gw_httpc_call_t, 1);
	call->client = client;
	call->link = client->link;
	call->link->refs++;
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
 * Takes a pooled connection or makes one. A failure inside this call is
 * reported from the loop, so that the owner has the call's pointer by then.
 */
static void
call_connect(gw_httpc_call_t *call)
{
	call->starting = true;
	h2o_http1client_connect_with_pool(
	    &call->http, call, &call->link->ctx, &call->link->pool, on_connect);
	call->starting = false;
}

/*
 * Sends one request and reports the whole response, or the failure after
 * timeout_ms, through done, never before this returns. body may be NULL.
 */
gw_httpc_call_t *
gw_httpc_call(gw_httpc_t *client, const char *method, const char *path,
    const char *body, uint64_t timeout_ms, gw_httpc_done_t done, void *arg)
{
	return gw_httpc_call_with(
	    client, method, path, "", body, timeout_ms, done, arg);
}

/*
 * Like gw_httpc_call(), with more header lines, each ended by CR LF.
 */
gw_httpc_call_t *
gw_httpc_call_with(gw_httpc_t *client, const char *method, const char *path,
    const char *headers, const char *body, uint64_t timeout_ms,
    gw_httpc_done_t done, void *arg)
{
	gw_httpc_call_t *call;

	call = call_start(client, method, path, headers, body, NULL, done, arg);
	gw_timer_start(client->rt, &call->timer, timeout_ms * GW_US_PER_MS,
	    on_timeout, call);
	call_connect(call);
	return call;
}

/*
 * Like gw_httpc_call(), without a time-out, for a response that goes on, such
 * as a watch: each piece goes to on_chunk as it arrives.
 */
gw_httpc_call_t *
gw_httpc_stream(gw_httpc_t *client, const char *method, const char *path,
    const char *body, gw_httpc_chunk_t on_chunk, gw_httpc_done_t done,
    void *arg)
{
	gw_httpc_call_t *call;

	call = call_start(client, method, path, "", body, on_chunk, done, arg);
	call_connect(call);
	return call;
}

/*
 * Ends a call without a callback. It may have taken effect on the server.
 */
void
gw_httpc_cancel(gw_httpc_call_t *call)
{
	abandon(call);
	call_free(call);
}
