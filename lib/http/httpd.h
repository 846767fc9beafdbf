#ifndef HTTP_HTTPD_H
#define HTTP_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "gw/addr.h"
#include "gw/err.h"
#include "gw/runtime.h"
#include "http/budget.h"

/* An HTTP/1.1 and HTTP/2 (prior knowledge) server on libh2o. */
typedef struct gw_httpd gw_httpd_t;

/*
 * Handles one request, whose body has been read completely. Returns 0 when it
 * has replied or will reply later, -1 for "not found". Memory allocated from
 * req->pool is freed with the request. A destructor registered there is called
 * when the request has ended or the caller has disconnected.
 */
typedef int (*gw_http_handler_t)(h2o_req_t *, void *arg);

typedef struct {
	uint64_t body_max_bytes;  /* a larger body gets status 413 */
	uint64_t idle_timeout_ms; /* of a connection without a request */
	uint32_t connections_max; /* more wait in the listen backlog */
} gw_httpd_limits_t;

/*
 * Limits on callers that nobody controls. Where they are set, the server speaks
 * HTTP/1.1 only, and closes connections instead of refusing new ones.
 */
typedef struct {
	uint64_t body_max_bytes;
	uint32_t header_max_bytes; /* a longer header gets status 431 */
	gw_budget_limits_t budget;
} gw_httpd_guard_t;

gw_httpd_t *gw_httpd_new(
    gw_rt_t *, const gw_httpd_limits_t *, gw_http_handler_t, void *arg);
/* Sets the limits, also on open connections; first before it listens. */
void gw_httpd_guard(gw_httpd_t *, const gw_httpd_guard_t *);
/* Returns what is held for callers. */
gw_budget_t *gw_httpd_budget(gw_httpd_t *);
int gw_httpd_listen(
    gw_httpd_t *, const gw_addr_t *, gw_addr_t *bound, gw_err_t *);
void gw_httpd_announce_close(gw_httpd_t *);
void gw_httpd_shutdown(gw_httpd_t *);
uint32_t gw_httpd_connections(const gw_httpd_t *);
void gw_httpd_free(gw_httpd_t *);

int gw_http_caller_fd(h2o_req_t *);
bool gw_http_caller_gone(h2o_req_t *);
void gw_http_start_response(h2o_req_t *, h2o_generator_t *);
void gw_http_reply(h2o_req_t *, int status, const char *content_type,
    const void *body, size_t size_bytes);
void gw_http_reply_error(
    h2o_req_t *, int status, const char *title, const char *detail);

#endif
