#include <string.h>

#include "http/exchange.h"
#include "http/reap.h"

/* Upper limit that libh2o requires; owners set their own, shorter time-outs. */
#define IO_TIMEOUT_MS 3600000
#define POOL_CONNECTIONS 64

struct gw_target {
	gw_rt_t *rt;
	h2o_socketpool_t pool;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t ctx;
	uint64_t connect_timeout_us;
	uint32_t refs; /* one for the owner and one for each exchange */
	char peer[GW_ADDR_TEXT_BYTES];
};

struct gw_exchange {
	gw_target_t *target;
	h2o_http1client_t *http; /* NULL once libh2o has ended it */
	gw_timer_t timer;	 /* connect time-out, or a deferred failure */
	const gw_exchange_ops_t *ops;
	void *arg;
	GBytes *head;
	GBytes *body; /* may be NULL */
	h2o_iovec_t bufs[2];
	h2o_socket_cb paused_read; /* libh2o's callback; NULL unless paused */
	bool is_head_method;
	bool sent;		    /* bytes may have reached the server */
	bool starting;		    /* inside gw_exchange_start() */
	const char *deferred_error; /* failure inside gw_exchange_start() */
};

/*
 * Returns a target for the server at addr. No connection is made yet.
 */
gw_target_t *
gw_target_new(gw_rt_t *rt, const gw_addr_t *addr, uint64_t connect_timeout_ms,
    uint64_t idle_timeout_ms)
{
	gw_target_t *target;
	gw_addr_t copy = *addr;

	target = g_new0(gw_target_t, 1);
	target->rt = rt;
	target->refs = 1;
	target->connect_timeout_us = connect_timeout_ms * GW_US_PER_MS;
	(void)gw_addr_text(addr, target->peer);
	h2o_socketpool_init_by_address(&target->pool,
	    (struct sockaddr *)&copy.sa, copy.len_bytes, 0, POOL_CONNECTIONS);
	h2o_socketpool_set_timeout(
	    &target->pool, gw_rt_loop(rt), idle_timeout_ms);
	h2o_timeout_init(gw_rt_loop(rt), &target->io_timeout, IO_TIMEOUT_MS);
	target->ctx.loop = gw_rt_loop(rt);
	target->ctx.io_timeout = &target->io_timeout;
	return target;
}

/*
 * Closes the idle connections and frees the target.
 */
static void
target_dispose(gw_target_t *target)
{
	uv_loop_t *loop = gw_rt_loop(target->rt);

	h2o_socketpool_dispose(&target->pool);
	h2o_timeout_dispose(loop, &target->io_timeout);
	gw_reap(loop, target);
}

/*
 * Drops a reference. With the last one the idle connections are closed and the
 * target is freed.
 */
void
gw_target_unref(gw_target_t *target)
{
	if (target != NULL && --target->refs == 0)
		target_dispose(target);
}

/*
 * Returns the server's address as text.
 */
const char *
gw_target_peer(const gw_target_t *target)
{
	return target->peer;
}

/*
 * Returns the number of connections, idle ones included.
 */
uint32_t
gw_target_connections(const gw_target_t *target)
{
	return (uint32_t)target->pool._shared.count;
}

static void
exchange_free(gw_exchange_t *exchange)
{
	gw_timer_stop(&exchange->timer);
	g_bytes_unref(exchange->head);
	if (exchange->body != NULL)
		g_bytes_unref(exchange->body);
	gw_target_unref(exchange->target);
	g_free(exchange);
}

static void
finish(gw_exchange_t *exchange, const char *text)
{
	gw_err_t err;

	exchange->http = NULL;
	gw_timer_stop(&exchange->timer);
	if (text != NULL)
		gw_err_set(&err,
		    exchange->sent ? GW_ERR_UNKNOWN : GW_ERR_UNAVAILABLE,
		    exchange->sent ? "read response" : "connect",
		    exchange->target->peer, "%s", text);
	exchange->ops->on_end(text == NULL ? NULL : &err, exchange->arg);
	exchange_free(exchange);
}

static void
on_deferred_failure(gw_timer_t *timer, void *arg)
{
	gw_exchange_t *exchange = arg;

	(void)timer;
	finish(exchange, exchange->deferred_error);
}

/*
 * Ends the exchange with an error. Inside gw_exchange_start() the owner does
 * not have the exchange's pointer yet, so on_end is called later from the loop.
 */
static void
finish_failed(gw_exchange_t *exchange, const char *text)
{
	exchange->http = NULL;
	if (!exchange->starting) {
		finish(exchange, text);
		return;
	}
	exchange->deferred_error = text;
	gw_timer_start(exchange->target->rt, &exchange->timer, 0,
	    on_deferred_failure, exchange);
}

static void
on_connect_timeout(gw_timer_t *timer, void *arg)
{
	gw_exchange_t *exchange = arg;

	(void)timer;
	h2o_http1client_cancel(exchange->http);
	finish(exchange, "not connected within the connect time-out");
}

/*
 * Passes the received part of the body to the owner. Returns non-zero if the
 * owner rejects the response.
 */
static int
deliver_body(gw_exchange_t *exchange)
{
	h2o_buffer_t **input = &exchange->http->sock->input;
	size_t size_bytes = (*input)->size;
	int rc;

	if (size_bytes == 0)
		return 0;
	rc = exchange->ops->on_body((*input)->bytes, size_bytes, exchange->arg);
	h2o_buffer_consume(input, size_bytes);
	return rc;
}

static int
on_body(h2o_http1client_t *http, const char *errstr)
{
	gw_exchange_t *exchange = http->data;
	bool is_last = errstr == h2o_http1client_error_is_eos;

	if (errstr != NULL && !is_last) {
		finish_failed(exchange, errstr);
		return 0;
	}
	if (deliver_body(exchange) != 0) {
		finish_failed(exchange, "response rejected by its receiver");
		return -1;
	}
	if (is_last)
		finish(exchange, NULL);
	return 0;
}

/*
 * Takes the socket away from libh2o and closes it, so that the connection is
 * not returned to the pool.
 */
static void
close_connection(h2o_http1client_t *http)
{
	h2o_socket_t *sock;

	sock = h2o_http1client_steal_socket(http);
	h2o_socket_close(sock);
}

/*
 * Ends an exchange whose response has no body. The connection is closed when
 * bytes follow the head, since libh2o would reuse it even then.
 */
static void
finish_without_body(
    gw_exchange_t *exchange, h2o_http1client_t *http, int rlen, int rc)
{
	if (rc != 0 || http->sock->input->size > (size_t)rlen)
		close_connection(http);
	finish(exchange, rc == 0 ? NULL : "response rejected by its receiver");
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *http, const char *errstr, int minor_version,
    int status, h2o_iovec_t msg, h2o_header_t *headers, size_t num_headers,
    int rlen)
{
	gw_exchange_t *exchange = http->data;
	gw_exchange_head_t head = {status, headers, num_headers,
	    errstr == h2o_http1client_error_is_eos};
	int rc;

	(void)minor_version;
	(void)msg;
	if (errstr != NULL && !head.is_last) {
		finish_failed(exchange, errstr);
		return NULL;
	}
	rc = exchange->ops->on_head(&head, exchange->arg);
	if (head.is_last) {
		finish_without_body(exchange, http, rlen, rc);
		return NULL;
	}
	if (rc != 0) {
		finish_failed(exchange, "response rejected by its receiver");
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *http, const char *errstr, h2o_iovec_t **reqbufs,
    size_t *reqbufcnt, int *method_is_head)
{
	gw_exchange_t *exchange = http->data;

	if (errstr != NULL) {
		finish_failed(exchange, errstr);
		return NULL;
	}
	gw_timer_stop(&exchange->timer);
	exchange->sent = true;
	if (exchange->ops->on_send != NULL)
		exchange->ops->on_send(exchange->arg);
	*reqbufs = exchange->bufs;
	*reqbufcnt = exchange->bufs[1].len > 0 ? 2 : 1;
	*method_is_head = exchange->is_head_method;
	return on_head;
}

static h2o_iovec_t
bytes_iovec(GBytes *bytes)
{
	gsize size_bytes = 0;
	const void *data;

	if (bytes == NULL)
		return h2o_iovec_init(NULL, 0);
	data = g_bytes_get_data(bytes, &size_bytes);
	return h2o_iovec_init(data, size_bytes);
}

/*
 * Sends a request on an idle or a new connection. The head is the request line
 * and the headers with the empty line; body may be NULL. The exchange takes its
 * own references to both.
 */
gw_exchange_t *
gw_exchange_start(gw_target_t *target, GBytes *head, GBytes *body,
    bool is_head_method, const gw_exchange_ops_t *ops, void *arg)
{
	gw_exchange_t *exchange;

	exchange = g_new0(gw_exchange_t, 1);
	exchange->target = target;
	target->refs++;
	exchange->ops = ops;
	exchange->arg = arg;
	exchange->head = g_bytes_ref(head);
	exchange->body = body == NULL ? NULL : g_bytes_ref(body);
	exchange->bufs[0] = bytes_iovec(head);
	exchange->bufs[1] = bytes_iovec(body);
	exchange->is_head_method = is_head_method;
	exchange->starting = true;
	gw_timer_start(target->rt, &exchange->timer, target->connect_timeout_us,
	    on_connect_timeout, exchange);
	h2o_http1client_connect_with_pool(
	    &exchange->http, exchange, &target->ctx, &target->pool, on_connect);
	exchange->starting = false;
	return exchange;
}

/*
 * Cancels the exchange without a callback and closes its connection, so that a
 * late response is never read.
 */
void
gw_exchange_cancel(gw_exchange_t *exchange)
{
	if (exchange->http != NULL)
		h2o_http1client_cancel(exchange->http);
	exchange_free(exchange);
}

/*
 * Pauses reading the response body. Must be called from on_body only.
 */
void
gw_exchange_pause(gw_exchange_t *exchange)
{
	h2o_socket_t *sock;

	if (exchange->http == NULL || exchange->paused_read != NULL)
		return;
	sock = exchange->http->sock;
	exchange->paused_read = sock->_cb.read;
	h2o_socket_read_stop(sock);
}

/*
 * Resumes reading after gw_exchange_pause().
 */
void
gw_exchange_resume(gw_exchange_t *exchange)
{
	h2o_socket_cb read_cb = exchange->paused_read;

	if (exchange->http == NULL || read_cb == NULL)
		return;
	exchange->paused_read = NULL;
	h2o_socket_read_start(exchange->http->sock, read_cb);
}
