#include <poll.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "gw/log.h"
#include "http/callers.h"
#include "http/httpd.h"

#define BACKLOG 1024
/*
 * Of a guarded connection in the kernel, which holds up to twice as much. Also
 * bounds what one turn of the loop can add.
 */
#define RECEIVE_BUFFER_BYTES 16384
#define SEND_BUFFER_BYTES 32768

/* libh2o's handler, extended by a pointer to the server. */
typedef struct {
	h2o_handler_t super;
	gw_httpd_t *httpd;
} handler_t;

struct gw_httpd {
	gw_rt_t *rt;
	gw_httpd_limits_t limits;
	gw_http_handler_t on_request;
	void *arg;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	bool listening;
	bool accept_deferred; /* deferred until a connection is closed */
	uint32_t connections; /* open ones, idle ones included */
	bool is_guarded;
	callers_t callers; /* if is_guarded */
};

/* One accepted connection; libh2o owns the stream. */
typedef struct {
	uv_tcp_t tcp;
	gw_httpd_t *httpd;
	callers_conn_t caller; /* if the server is guarded */
} http_conn_t;

static int
on_req(h2o_handler_t *self, h2o_req_t *req)
{
	gw_httpd_t *httpd = ((handler_t *)self)->httpd;

	return httpd->on_request(req, httpd->arg);
}

/*
 * Returns a server that is not listening yet.
 */
gw_httpd_t *
gw_httpd_new(gw_rt_t *rt, const gw_httpd_limits_t *limits,
    gw_http_handler_t on_request, void *arg)
{
	gw_httpd_t *httpd;
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	handler_t *handler;

	httpd = g_new0(gw_httpd_t, 1);
	httpd->rt = rt;
	httpd->limits = *limits;
	httpd->on_request = on_request;
	httpd->arg = arg;
	h2o_config_init(&httpd->config);
	httpd->config.server_name = (h2o_iovec_t){H2O_STRLIT("godwitline")};
	httpd->config.max_request_entity_size = limits->body_max_bytes;
	httpd->config.http1.req_timeout = limits->idle_timeout_ms;
	httpd->config.http2.idle_timeout = limits->idle_timeout_ms;
	host = h2o_config_register_host(
	    &httpd->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (handler_t *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_req;
	handler->httpd = httpd;
	h2o_context_init(&httpd->context, gw_rt_loop(rt), &httpd->config);
	httpd->accept.ctx = &httpd->context;
	httpd->accept.hosts = httpd->config.hosts;
	return httpd;
}

/*
 * Sets the limits on callers, also on open connections.
 */
void
gw_httpd_guard(gw_httpd_t *httpd, const gw_httpd_guard_t *guard)
{
	if (!httpd->is_guarded)
		callers_init(&httpd->callers, httpd->rt);
	httpd->is_guarded = true;
	httpd->callers.budget.limits = guard->budget;
	httpd->callers.header_max_bytes = guard->header_max_bytes;
	httpd->config.max_request_entity_size = guard->body_max_bytes;
	httpd->config.http1.upgrade_to_http2 = 0;
}

gw_budget_t *
gw_httpd_budget(gw_httpd_t *httpd)
{
	return &httpd->callers.budget;
}

static void accept_one(gw_httpd_t *);

static void
on_conn_closed(uv_handle_t *handle)
{
	http_conn_t *conn = (http_conn_t *)handle;
	gw_httpd_t *httpd = conn->httpd;

	g_free(conn);
	httpd->connections--;
	if (httpd->accept_deferred && httpd->listening) {
		httpd->accept_deferred = false;
		accept_one(httpd);
	}
}

static void
on_rejected_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void
accept_one(gw_httpd_t *httpd)
{
	http_conn_t *conn;
	h2o_socket_t *sock;

	conn = g_new0(http_conn_t, 1);
	conn->httpd = httpd;
	(void)uv_tcp_init(gw_rt_loop(httpd->rt), &conn->tcp);
	if (uv_accept((uv_stream_t *)&httpd->listener,
		(uv_stream_t *)&conn->tcp) != 0) {
		uv_close((uv_handle_t *)&conn->tcp, on_rejected_closed);
		return;
	}
	(void)uv_tcp_nodelay(&conn->tcp, 1);
	httpd->connections++;
	sock = h2o_uv_socket_create((uv_stream_t *)&conn->tcp, on_conn_closed);
	h2o_accept(&httpd->accept, sock);
	if (httpd->is_guarded)
		callers_add(&httpd->callers, &conn->caller, sock);
}

/*
 * Accepts a connection, unless connections_max is reached. libuv then does not
 * poll the listener again until uv_accept() is called. A guarded server accepts
 * it and closes another one.
 */
static void
on_connection(uv_stream_t *listener, int status)
{
	gw_httpd_t *httpd = listener->data;

	if (status != 0)
		return;
	if (!httpd->is_guarded &&
	    httpd->connections >= httpd->limits.connections_max) {
		httpd->accept_deferred = true;
		return;
	}
	accept_one(httpd);
}

/*
 * Bounds the kernel's buffers. Accepted sockets inherit them from the listener.
 */
static void
bound_buffers(gw_httpd_t *httpd)
{
	uv_handle_t *handle = (uv_handle_t *)&httpd->listener;
	int receive_bytes = RECEIVE_BUFFER_BYTES;
	int send_bytes = SEND_BUFFER_BYTES;

	(void)uv_recv_buffer_size(handle, &receive_bytes);
	(void)uv_send_buffer_size(handle, &send_bytes);
}

/*
 * Listens on addr; port 0 selects a free port. Writes the bound address to
 * bound unless that is NULL. Returns 0, or -1 with GW_ERR_SYSTEM.
 */
int
gw_httpd_listen(
    gw_httpd_t *httpd, const gw_addr_t *addr, gw_addr_t *bound, gw_err_t *err)
{
	char text[GW_ADDR_TEXT_BYTES];
	gw_addr_t local;
	int len = sizeof(local.sa), rc;

	(void)uv_tcp_init(gw_rt_loop(httpd->rt), &httpd->listener);
	httpd->listener.data = httpd;
	httpd->listening = true;
	rc = uv_tcp_bind(
	    &httpd->listener, (const struct sockaddr *)&addr->sa, 0);
	if (rc == 0 && httpd->is_guarded)
		bound_buffers(httpd);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&httpd->listener, BACKLOG, on_connection);
	if (rc == 0)
		rc = uv_tcp_getsockname(
		    &httpd->listener, (struct sockaddr *)&local.sa, &len);
	if (rc != 0) {
		gw_err_set(err, GW_ERR_SYSTEM, "listen",
		    gw_addr_text(addr, text), "%s", uv_strerror(rc));
		return -1;
	}
	local.len_bytes = (socklen_t)len;
	if (bound != NULL)
		*bound = local;
	gw_log(GW_EV_LISTEN, "protocol=http address=%s",
	    gw_addr_text(&local, text));
	return 0;
}

/*
 * Closes each connection after its next response, which says so, that callers
 * use another server from then on. New connections are still accepted.
 */
void
gw_httpd_announce_close(gw_httpd_t *httpd)
{
	if (!httpd->context.shutdown_requested)
		h2o_context_request_shutdown(&httpd->context);
}

/*
 * Stops accepting connections and closes each open one after its next response.
 */
void
gw_httpd_shutdown(gw_httpd_t *httpd)
{
	if (httpd->listening)
		uv_close((uv_handle_t *)&httpd->listener, NULL);
	httpd->listening = false;
	gw_httpd_announce_close(httpd);
}

/*
 * Returns the number of open connections, idle ones included.
 */
uint32_t
gw_httpd_connections(const gw_httpd_t *httpd)
{
	return httpd->connections;
}

/*
 * Frees the server after gw_httpd_shutdown(). While connections are open it
 * does nothing, and the memory is kept until the process ends, since libh2o
 * offers no way to close them.
 */
void
gw_httpd_free(gw_httpd_t *httpd)
{
	if (httpd == NULL || httpd->connections > 0)
		return;
	if (httpd->is_guarded)
		callers_dispose(&httpd->callers);
	(void)uv_run(gw_rt_loop(httpd->rt), UV_RUN_NOWAIT);
	/* gw_httpd_shutdown() arms it for HTTP/2 even without a connection. */
	h2o_timeout_unlink(&httpd->context.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&httpd->context);
	h2o_config_dispose(&httpd->config);
	g_free(httpd);
}

/*
 * Returns the descriptor of the caller's HTTP/1 connection. Handlers poll it to
 * detect a disconnect, since libh2o does not read while a request is handled.
 * Returns -1 for HTTP/2, where libh2o frees the request when the caller
 * disconnects.
 */
int
gw_http_caller_fd(h2o_req_t *req)
{
	h2o_socket_t *sock;

	if (req->version >= 0x200)
		return -1;
	sock = req->conn->callbacks->get_socket(req->conn);
	return sock == NULL ? -1 : h2o_socket_get_fd(sock);
}

/*
 * Returns whether the caller of an HTTP/1 request has closed its connection.
 * Always false for HTTP/2.
 */
bool
gw_http_caller_gone(h2o_req_t *req)
{
	struct pollfd pfd = {.events = POLLRDHUP};

	pfd.fd = gw_http_caller_fd(req);
	return pfd.fd >= 0 && poll(&pfd, 1, 0) == 1;
}

/*
 * Starts a response. libh2o decides when it reads a request whether the
 * connection stays open; a shutdown may have begun since.
 */
void
gw_http_start_response(h2o_req_t *req, h2o_generator_t *generator)
{
	if (req->conn->ctx->shutdown_requested)
		req->http1_is_persistent = 0;
	h2o_start_response(req, generator);
}

/*
 * Sends a complete response. body is copied; content_type is not and must be a
 * constant.
 */
void
gw_http_reply(h2o_req_t *req, int status, const char *content_type,
    const void *body, size_t size_bytes)
{
	static h2o_generator_t generator = {NULL, NULL};
	callers_conn_t *caller =
	    callers_find(req->conn->callbacks->get_socket(req->conn));
	h2o_iovec_t buf;

	if (caller != NULL)
		callers_charge_response(caller, size_bytes);
	buf = h2o_strdup(&req->pool, body, size_bytes);
	req->res.status = status;
	req->res.reason = "";
	req->res.content_length = size_bytes;
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
	    NULL, content_type, strlen(content_type));
	gw_http_start_response(req, &generator);
	h2o_send(req, &buf, 1, 1);
}

/*
 * Sends an error response with problem details (RFC 9457).
 */
void
gw_http_reply_error(
    h2o_req_t *req, int status, const char *title, const char *detail)
{
	json_t *problem;
	char *body;

	problem = json_pack("{s:s, s:i, s:s}", "title", title, "status", status,
	    "detail", detail);
	body = json_dumps(problem, JSON_COMPACT);
	json_decref(problem);
	if (body == NULL)
		body = strdup("{}");
	gw_http_reply(
	    req, status, "application/problem+json", body, strlen(body));
	free(body);
}
