#ifndef HTTP_CALLERS_H
#define HTTP_CALLERS_H

#include <h2o.h>

#include "gw/runtime.h"
#include "http/budget.h"

/* The connections of a server, kept within a budget. */
typedef struct {
	gw_rt_t *rt;
	gw_budget_t budget;
	uint32_t header_max_bytes; /* 0: libh2o's own limit only */
	GQueue unread;	      /* callers_conn_t that libh2o does not read */
	uv_prepare_t prepare; /* looks for those that it reads again */
	gw_timer_t sweep;
	uint64_t logged; /* closed connections that have been logged */
} callers_t;

/* One connection. */
typedef struct {
	callers_t *callers;
	h2o_socket_t *sock;	/* NULL once closed */
	h2o_socket_cb read_cb;	/* libh2o's; NULL while it does not read */
	uint64_t scanned_bytes; /* of the header, without its end so far */
	uint64_t response_bytes;
	gw_caller_t caller;
	GList unread_link;
	bool is_unread; /* in the queue */
	bool has_header;
} callers_conn_t;

void callers_init(callers_t *, gw_rt_t *);
/* Closes the handles, whose memory may be freed after one turn of the loop. */
void callers_dispose(callers_t *);
/* Adds a connection that libh2o reads; it is removed when libh2o closes it. */
void callers_add(callers_t *, callers_conn_t *, h2o_socket_t *);
/* Returns the connection of a socket, NULL if it is under no budget. */
callers_conn_t *callers_find(h2o_socket_t *);
/* Charges the bytes of a response until the connection is read again. */
void callers_charge_response(callers_conn_t *, uint64_t size_bytes);

#endif
