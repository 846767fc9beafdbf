#ifndef GWROUTED_FRAMING_H
#define GWROUTED_FRAMING_H

#include <stdbool.h>
#include <stddef.h>

#include <h2o.h>

/* Result of the framing check of an HTTP/1 request head. */
typedef enum {
	FRAMING_OK = 0,
	FRAMING_AMBIGUOUS,
	FRAMING_MALFORMED
} framing_t;

framing_t framing_check_head(
    const char *head, size_t size_bytes, bool is_http_1_0);
framing_t framing_check_request(h2o_req_t *);
bool framing_check_response(const h2o_header_t *, size_t count);

#endif
