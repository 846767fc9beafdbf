#ifndef WIRE_CONN_H
#define WIRE_CONN_H

#include <stdbool.h>

#include "gw/addr.h"
#include "gw/err.h"
#include "gw/runtime.h"
#include "wire/frame.h"

/* The connection is closed when more unsent bytes than this are queued. */
#define GW_CONN_QUEUE_MAX_BYTES (8 * 1024 * 1024)

/* A framed TCP connection to another godwitline process. */
typedef struct gw_conn gw_conn_t;

/*
 * The owner's callbacks. on_close is called exactly once, also after a failed
 * connect; the connection is freed when it returns. The envelope
 * passed to on_message is freed when on_message returns.
 */
typedef struct {
	void (*on_open)(gw_conn_t *, void *arg);
	void (*on_message)(gw_conn_t *, const Gw__Envelope *, void *arg);
	/* Part of a frame is held; optional. May close any connection. */
	void (*on_partial)(gw_conn_t *, void *arg);
	void (*on_close)(gw_conn_t *, const gw_err_t *, void *arg);
} gw_conn_ops_t;

gw_conn_t *gw_conn_connect(
    gw_rt_t *, const gw_addr_t *, const gw_conn_ops_t *, void *arg);
gw_conn_t *gw_conn_accept(
    gw_rt_t *, uv_stream_t *server, const gw_conn_ops_t *, void *arg);
void gw_conn_set_ops(gw_conn_t *, const gw_conn_ops_t *, void *arg);
int gw_conn_send(gw_conn_t *, const Gw__Envelope *, gw_err_t *);
void gw_conn_close(gw_conn_t *);
const char *gw_conn_peer(const gw_conn_t *);
uint64_t gw_conn_sent_bytes(const gw_conn_t *);
/* Returns the bytes held of a frame that is not complete. */
uint64_t gw_conn_partial_bytes(const gw_conn_t *);
uint64_t gw_conn_received_bytes(const gw_conn_t *);

#endif
