#include <glib.h>

#include "http/connpool.h"
#include "http/reap.h"

#define POOL_CONNECTIONS 64
/* Long enough to reuse a connection across the gaps between bursts of calls. */
#define POOL_IDLE_MS 20000
/* Upper limit that libh2o requires; calls have their own, shorter time-outs. */
#define IO_TIMEOUT_MS 3600000

/*
 * Returns connections to the server at addr, with one reference. None is made
 * yet.
 */
conn_pool_t *
conn_pool_new(uv_loop_t *loop, const gw_addr_t *addr)
{
	gw_addr_t copy = *addr;
	conn_pool_t *conns;

	conns = g_new0(conn_pool_t, 1);
	conns->loop = loop;
	conns->refs = 1;
	h2o_socketpool_init_by_address(&conns->pool,
	    (struct sockaddr *)&copy.sa, copy.len_bytes, 0, POOL_CONNECTIONS);
	h2o_socketpool_set_timeout(&conns->pool, loop, POOL_IDLE_MS);
	h2o_timeout_init(loop, &conns->io_timeout, IO_TIMEOUT_MS);
	conns->ctx.loop = loop;
	conns->ctx.io_timeout = &conns->io_timeout;
	return conns;
}

static void
on_free_timer(uv_timer_t *timer)
{
	conn_pool_t *conns = timer->data;

	h2o_socketpool_dispose(&conns->pool);
	h2o_timeout_dispose(conns->loop, &conns->io_timeout);
	uv_close((uv_handle_t *)&conns->free_timer, NULL);
	gw_reap(conns->loop, conns);
}

/*
 * Drops a reference. The last one may be dropped in a callback of libh2o, which
 * uses the connection after the callback, so the pool is freed from the loop.
 */
void
conn_pool_unref(conn_pool_t *conns)
{
	if (--conns->refs > 0)
		return;
	(void)uv_timer_init(conns->loop, &conns->free_timer);
	conns->free_timer.data = conns;
	(void)uv_timer_start(&conns->free_timer, on_free_timer, 0, 0);
}
