#ifndef GWROUTED_CALLER_H
#define GWROUTED_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>

#include "http/exchange.h"
#include "reason.h"

/* A response is sent as a whole up to this size, and streamed beyond. */
#define CALLER_WHOLE_BYTES (64 * 1024)
/* Bytes that may wait for a slow caller before the endpoint is not read. */
#define CALLER_WAITING_MAX_BYTES (256 * 1024)

/* What the request hears from its caller's side. */
typedef struct {
	void (*on_gone)(void *arg);    /* the caller has closed */
	void (*on_drained)(void *arg); /* more of the body may come */
} caller_ops_t;

/*
 * The caller's side of a request: the response as it is built and sent. It
 * lives in the memory of libh2o's request.
 */
typedef struct {
	h2o_generator_t generator; /* first: libh2o hands it back */
	h2o_req_t *req;
	const caller_ops_t *ops;
	void *arg;	/* NULL once the request has ended */
	uint32_t *open; /* counts the callers that are not done */
	GByteArray *waiting;
	GByteArray *sending;
	size_t size_bytes; /* of a body whose length is known, else SIZE_MAX */
	bool started;
	bool in_progress; /* libh2o has a piece and has not asked for more */
	bool complete;
	bool broken;
	bool finished;
} caller_t;

caller_t *caller_new(
    h2o_req_t *, const caller_ops_t *, void *arg, uint32_t *open);
void caller_detach(caller_t *);
void caller_add_header(caller_t *, const char *name, const char *value);
void caller_head(caller_t *, const gw_exchange_head_t *, const char *outcome);
bool caller_body(caller_t *, const char *, size_t size_bytes);
bool caller_is_full(const caller_t *);
void caller_complete(caller_t *);
void caller_reset_head(caller_t *);
void caller_break(caller_t *);
void caller_refuse(caller_t *, reason_t, const char *outcome, int status,
    uint32_t retry_after_s, const char *request_id);

#endif
