#include <glib.h>

#include "idle.h"

/* One connection that sends nothing. */
typedef struct {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uint32_t *open_count;
} idle_conn_t;

static void
on_connected(uv_connect_t *req, int status)
{
	idle_conn_t *conn = req->data;

	if (status == 0)
		(*conn->open_count)++;
}

static void
on_hold_end(gw_timer_t *timer, void *arg)
{
	(void)timer;
	gw_rt_stop(arg);
}

/*
 * Opens count connections and keeps them for hold_ms without a request. Returns
 * how many were established. They are closed when the process exits.
 */
uint32_t
idle_hold_connections(
    gw_rt_t *rt, const gw_addr_t *addr, uint32_t count, uint64_t hold_ms)
{
	idle_conn_t *conns = g_new0(idle_conn_t, count);
	gw_timer_t timer = {0};
	uint32_t open_count = 0;

	for (uint32_t i = 0; i < count; i++) {
		conns[i].open_count = &open_count;
		conns[i].connect.data = &conns[i];
		(void)uv_tcp_init(gw_rt_loop(rt), &conns[i].tcp);
		(void)uv_tcp_connect(&conns[i].connect, &conns[i].tcp,
		    (const struct sockaddr *)&addr->sa, on_connected);
	}
	gw_timer_start(rt, &timer, hold_ms * GW_US_PER_MS, on_hold_end, rt);
	gw_rt_run(rt);
	return open_count;
}
