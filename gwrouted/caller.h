#ifndef GWROUTED_CALLER_H
#define GWROUTED_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>

#include "http/exchange.h"
#include "reason.h"

/*
 * A response is buffered up to this size and sent in one piece; a larger one is
 * streamed.
 */
#define CALLER_BUFFERED_MAX_BYTES (64 * 1024)
/*
 * Reading from the endpoint pauses while more bytes than this are pending for a
 * slow caller.
 */
#define CALLER_PENDING_MAX_BYTES (256 * 1024)

/* Callbacks to the request. */
typedef struct {
	void (*on_gone)(void *arg); /* the caller closed its connection */
	/* Fewer bytes than half of the limit are pending: resume reading. */
	void (*on_writable)(void *arg);
} caller_ops_t;

/*
 * The caller's side of a request: builds and sends the response. It is
 * allocated in libh2o's memory for the request.
 */
typedef struct {
	h2o_generator_t generator; /* must be first: libh2o passes it back */
	h2o_req_t *req;
	const caller_ops_t *ops;
	void *arg;	       /* NULL once the request has ended */
	uint32_t *open_count;  /* number of callers not yet disposed */
	GByteArray *pending;   /* not yet passed to libh2o */
	GByteArray *sending;   /* the chunk that libh2o is sending */
	size_t content_length; /* SIZE_MAX when unknown */
	bool started;	       /* the head has been passed to libh2o */
	bool in_progress;      /* libh2o is still sending the last chunk */
	bool complete;	       /* the whole body was appended */
	bool aborted;	       /* to end with an error */
	bool finished;	       /* nothing more is passed to libh2o */
} caller_t;

caller_t *caller_new(
    h2o_req_t *, const caller_ops_t *, void *arg, uint32_t *open_count);
void caller_detach(caller_t *);
void caller_add_header(caller_t *, const char *name, const char *value);
void caller_set_head(
    caller_t *, const gw_exchange_head_t *, const char *outcome);
bool caller_append_body(caller_t *, const char *, size_t size_bytes);
bool caller_is_full(const caller_t *);
void caller_complete(caller_t *);
void caller_reset_head(caller_t *);
void caller_abort(caller_t *);
void caller_reply_error(caller_t *, reason_t, const char *outcome, int status,
    uint32_t retry_after_s, const char *request_id);

#endif
