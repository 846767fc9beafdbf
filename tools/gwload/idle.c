#include <glib.h>

#include "idle.h"

/* One connection that sends nothing. */
typedef struct {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uint32_t *open;
} idle_conn_t;

static void
on_connected(uv_connect_t *req, int status)
{
	idle_conn_t *conn = req->data;

	if (status == 0)
		(*conn->open)++;
}

static void
on_held(gw_timer_t *timer, void *arg)
{
	(void)timer;
	gw_rt_stop(arg);
}

/*
 * Holds count connections without a request for hold_ms. Returns how many were
 * made. They are closed by the end of the process.
 */
uint32_t
idle_hold(gw_rt_t *rt, const gw_addr_t *addr, uint32_t count, uint64_t hold_ms)
{
	idle_conn_t *conns = g_new0(idle_conn_t, count);
	gw_timer_t timer = {0};
	uint32_t open = 0;

	for (uint32_t i = 0; i < count; i++) {
		conns[i].open = &open;
		conns[i].connect.data = &conns[i];
		(void)uv_tcp_init(gw_rt_loop(rt), &conns[i].tcp);
		(void)uv_tcp_connect(&conns[i].connect, &conns[i].tcp,
		    (const struct sockaddr *)&addr->sa, on_connected);
	}
	gw_timer_start(rt, &timer, hold_ms * GW_US_PER_MS, on_held, rt);
	gw_rt_run(rt);
	return open;
}
