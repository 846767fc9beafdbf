#ifndef HTTP_CONNPOOL_H
#define HTTP_CONNPOOL_H

#include <h2o.h>
#include <h2o/http1client.h>
#include <h2o/socketpool.h>

#include "gw/addr.h"

/* A client's connections. After a time-out the client gets a new pool. */
typedef struct {
	uv_loop_t *loop;
	h2o_socketpool_t pool;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t ctx;
	uv_timer_t free_timer; /* started when the last reference is dropped */
	uint32_t refs;	       /* one for the client and one for each call */
} conn_pool_t;

conn_pool_t *conn_pool_new(uv_loop_t *, const gw_addr_t *);
void conn_pool_unref(conn_pool_t *);

#endif
