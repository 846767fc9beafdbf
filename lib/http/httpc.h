#ifndef HTTP_HTTPC_H
#define HTTP_HTTPC_H

#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "gw/addr.h"
#include "gw/err.h"
#include "gw/runtime.h"

/*
 * An HTTP/1.1 client of one server, used for the store and the platform. It
 * buffers whole response bodies, bounds each call by a time-out and never
 * retries.
 */
typedef struct gw_httpc gw_httpc_t;
typedef struct gw_httpc_call gw_httpc_call_t;

typedef struct {
	int status;
	const char *body;  /* NUL-terminated */
	size_t size_bytes; /* of body, without the NUL */
} gw_http_response_t;

/*
 * Called exactly once unless the call is cancelled, with either a response or
 * an error; the other is NULL. GW_ERR_UNAVAILABLE means that the request was
 * certainly not sent; with GW_ERR_UNKNOWN and GW_ERR_TIMEOUT it may have taken
 * effect.
 */
typedef void (*gw_httpc_done_t)(
    const gw_http_response_t *, const gw_err_t *, void *arg);

/*
 * Called for each received part of a streamed body. Returns non-zero to end the
 * call with an error.
 */
typedef int (*gw_httpc_chunk_t)(const char *, size_t size_bytes, void *arg);

gw_httpc_t *gw_httpc_new(gw_rt_t *, const gw_addr_t *);
void gw_httpc_free(gw_httpc_t *);
const char *gw_httpc_peer(const gw_httpc_t *);
gw_httpc_call_t *gw_httpc_call(gw_httpc_t *, const char *method,
    const char *path, const char *body, uint64_t timeout_ms, gw_httpc_done_t,
    void *arg);
gw_httpc_call_t *gw_httpc_call_with_headers(gw_httpc_t *, const char *method,
    const char *path, const char *headers, const char *body,
    uint64_t timeout_ms, gw_httpc_done_t, void *arg);
void gw_httpc_extend(gw_httpc_call_t *, uint64_t idle_ms, uint64_t total_ms);
uint32_t gw_httpc_calls(const gw_httpc_t *);
gw_httpc_call_t *gw_httpc_stream(gw_httpc_t *, const char *method,
    const char *path, const char *body, gw_httpc_chunk_t, gw_httpc_done_t,
    void *arg);
void gw_httpc_cancel(gw_httpc_call_t *);

#endif
