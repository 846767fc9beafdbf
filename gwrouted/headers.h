#ifndef GWROUTED_HEADERS_H
#define GWROUTED_HEADERS_H

#include <stdbool.h>

#include <glib.h>
#include <h2o.h>

/* Header fields of requests and responses that the router forwards. */
bool headers_valid(const h2o_req_t *);
h2o_iovec_t headers_get(const h2o_headers_t *, const char *name);
bool headers_copy_value(
    const h2o_headers_t *, const char *name, char *text, size_t size_bytes);
void headers_append_request(GString *head, const h2o_req_t *);
bool headers_is_forwarded(
    const h2o_header_t *, const h2o_header_t *all, size_t count);

#endif
