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

/* One HTTP/1.1 server with its idle connections. */
typedef struct gw_target gw_target_t;

/*
 * One request and its response on one connection; nothing is ever retried. A
 * connection goes back to the idle ones only after a whole response without
 * surplus bytes.
 */
typedef struct gw_exchange gw_exchange_t;

/* Valid during the call only. */
typedef struct {
	int status;
	const h2o_header_t *headers;
	size_t header_count;
	bool is_last; /* no body follows */
} gw_exchange_head_t;

/*
 * What the owner handles. on_head and on_body return non-zero to give the
 * connection up; on_end follows. on_end is called once, never from
 * gw_exchange_start(), and not after gw_exchange_cancel(). Its error is NULL
 * after a whole response, GW_ERR_UNAVAILABLE when no byte was handed to a
 * connection, else GW_ERR_UNKNOWN.
 */
typedef struct {
	void (*on_send)(void *arg); /* bytes may reach the server from now on */
	int (*on_head)(const gw_exchange_head_t *, void *arg);
	int (*on_body)(const char *, size_t size_bytes, void *arg);
	void (*on_end)(const gw_err_t *, void *arg);
} gw_exchange_ops_t;

gw_target_t *gw_target_new(
    gw_rt_t *, const gw_addr_t *, uint64_t connect_ms, uint64_t idle_ms);
void gw_target_unref(gw_target_t *);
const char *gw_target_peer(const gw_target_t *);
uint32_t gw_target_connections(const gw_target_t *);

gw_exchange_t *gw_exchange_start(gw_target_t *, GBytes *head, GBytes *body,
    bool is_head_method, const gw_exchange_ops_t *, void *arg);
void gw_exchange_cancel(gw_exchange_t *);
void gw_exchange_pause(gw_exchange_t *);
void gw_exchange_resume(gw_exchange_t *);

#endif
