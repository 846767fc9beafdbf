#include <glib.h>

#include "wire/conn.h"

static int closes;

static void
on_close(gw_conn_t *conn, const gw_err_t *err, void *arg)
{
	(void)conn;
	(void)err;
	(void)arg;
	closes++;
}

static void
on_connection(uv_stream_t *server, int status)
{
	(void)server;
	(void)status;
}

/*
 * Guards against a process that ends after a failed accept: the callbacks of a
 * listener's connections got the listener's own argument, which the entry
 * process and gwfleetd took for a connection.
 */
static void
test_failed_accept_is_silent(void)
{
	static const gw_conn_ops_t ops = {.on_close = on_close};
	gw_rt_t *rt = gw_rt_new();
	uv_tcp_t listener;
	gw_addr_t addr;
	gw_err_t err;

	g_assert_cmpint(gw_addr_parse(&addr, "127.0.0.1:0", &err), ==, 0);
	uv_tcp_init(gw_rt_loop(rt), &listener);
	uv_tcp_bind(&listener, (const struct sockaddr *)&addr.sa, 0);
	g_assert_cmpint(
	    uv_listen((uv_stream_t *)&listener, 1, on_connection), ==, 0);
	/* No connection is pending. */
	g_assert_null(gw_conn_accept(rt, (uv_stream_t *)&listener, &ops, NULL));
	for (int i = 0; i < 10; i++)
		gw_rt_poll(rt);
	g_assert_cmpint(closes, ==, 0);
	uv_close((uv_handle_t *)&listener, NULL);
	gw_rt_poll(rt);
	gw_rt_free(rt);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/conn/failed-accept-is-silent", test_failed_accept_is_silent);
	return g_test_run();
}
