#include "gw/log.h"
#include "wire/listener.h"

#define BACKLOG 512

struct gw_listener {
	uv_tcp_t tcp;
	gw_rt_t *rt;
	gw_addr_t addr;
	const gw_conn_ops_t *ops;
	gw_accept_cb_t on_accept;
	void *arg;
};

static void
on_listener_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void
on_connection(uv_stream_t *server, int status)
{
	gw_listener_t *listener = server->data;
	char text[GW_ADDR_TEXT_BYTES];
	gw_conn_t *conn;

	if (status != 0) {
		gw_log(GW_EV_PEER_CLOSED,
		    "peer=%s step=\"accept\" err=unavailable text=\"%s\"",
		    gw_addr_text(&listener->addr, text), uv_strerror(status));
		return;
	}
	conn =
	    gw_conn_accept(listener->rt, server, listener->ops, listener->arg);
	if (conn != NULL && listener->on_accept != NULL)
		listener->on_accept(conn, listener->arg);
}

/*
 * Listens on addr; port 0 selects a free port. on_accept (may be NULL) is
 * called for each new connection. Returns NULL with GW_ERR_SYSTEM on failure.
 */
gw_listener_t *
gw_listener_new(gw_rt_t *rt, const gw_addr_t *addr, const gw_conn_ops_t *ops,
    gw_accept_cb_t on_accept, void *arg, gw_err_t *err)
{
	gw_listener_t *listener;
	char text[GW_ADDR_TEXT_BYTES];
	int len = sizeof(listener->addr.sa), rc;

	listener = g_new0(gw_listener_t, 1);
	listener->rt = rt;
	listener->ops = ops;
	listener->on_accept = on_accept;
	listener->arg = arg;
	(void)uv_tcp_init(gw_rt_loop(rt), &listener->tcp);
	listener->tcp.data = listener;
	rc = uv_tcp_bind(&listener->tcp, (const struct sockaddr *)&addr->sa, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&listener->tcp, BACKLOG, on_connection);
	if (rc == 0)
		rc = uv_tcp_getsockname(&listener->tcp,
		    (struct sockaddr *)&listener->addr.sa, &len);
	if (rc != 0) {
		gw_err_set(err, GW_ERR_SYSTEM, "listen",
		    gw_addr_text(addr, text), "%s", uv_strerror(rc));
		uv_close((uv_handle_t *)&listener->tcp, on_listener_closed);
		return NULL;
	}
	listener->addr.len_bytes = (socklen_t)len;
	gw_log(GW_EV_LISTEN, "protocol=peer address=%s",
	    gw_addr_text(&listener->addr, text));
	return listener;
}

/*
 * Returns the bound address.
 */
const gw_addr_t *
gw_listener_addr(const gw_listener_t *listener)
{
	return &listener->addr;
}

/*
 * Stops listening; the listener is freed from the loop. Accepted connections
 * stay open.
 */
void
gw_listener_close(gw_listener_t *listener)
{
	if (listener == NULL)
		return;
	uv_close((uv_handle_t *)&listener->tcp, on_listener_closed);
}
