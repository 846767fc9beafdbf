#ifndef WIRE_CONN_H
#define WIRE_CONN_H

#include <stdbool.h>

#include "gw/addr.h"
#include "gw/err.h"
#include "gw/runtime.h"
#include "wire/frame.h"

/* Bytes that may wait to be sent before the connection is given up. */
#define GW_CONN_QUEUE_MAX_BYTES (8 * 1024 * 1024)

/* A framed TCP connection to another godwitline process. */
typedef struct gw_conn gw_conn_t;

/*
 * What the owner of a connection handles. on_close is called exactly once, for
 * a failed connect too; the connection must not be used after it returns. The
 * envelope belongs to the connection and is freed after on_message.
 */
typedef struct {
	void (*on_open)(gw_conn_t *, void *arg);
	void (*on_message)(gw_conn_t *, const Gw__Envelope *, void *arg);
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
uint64_t gw_conn_received_bytes(const gw_conn_t *);

#endif
