#ifndef HTTP_EXCHANGE_H
#define HTTP_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>

#include "gw/addr.h"
#include "gw/err.h"
#include "gw/runtime.h"

/* One HTTP/1.1 server and the pool of idle connections to it. */
typedef struct gw_target gw_target_t;

/*
 * One request and its response on one connection, without retries. The
 * connection returns to the pool only if the response was complete and no bytes
 * followed it.
 */
typedef struct gw_exchange gw_exchange_t;

/* The head of a response; valid only during on_head. */
typedef struct {
	int status;
	const h2o_header_t *headers;
	size_t header_count;
	bool is_last; /* no body follows */
} gw_exchange_head_t;

/*
 * The owner's callbacks. When on_head or on_body returns non-zero, the
 * connection is closed and on_end is called with an error. on_end is called
 * exactly once, but never from gw_exchange_start() and not after
 * gw_exchange_cancel(). Its error is NULL after a complete response,
 * GW_ERR_UNAVAILABLE when no byte of the request was passed to a connection,
 * and GW_ERR_UNKNOWN otherwise.
 */
typedef struct {
	void (*on_send)(void *arg); /* bytes may reach the server from now on */
	int (*on_head)(const gw_exchange_head_t *, void *arg);
	int (*on_body)(const char *, size_t size_bytes, void *arg);
	void (*on_end)(const gw_err_t *, void *arg);
} gw_exchange_ops_t;

gw_target_t *gw_target_new(gw_rt_t *, const gw_addr_t *,
    uint64_t connect_timeout_ms, uint64_t idle_timeout_ms);
void gw_target_unref(gw_target_t *);
const char *gw_target_peer(const gw_target_t *);
uint32_t gw_target_connections(const gw_target_t *);

gw_exchange_t *gw_exchange_start(gw_target_t *, GBytes *head, GBytes *body,
    bool is_head_method, const gw_exchange_ops_t *, void *arg);
void gw_exchange_cancel(gw_exchange_t *);
void gw_exchange_pause(gw_exchange_t *);
void gw_exchange_resume(gw_exchange_t *);

#endif
