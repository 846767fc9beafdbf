#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include "gw/addr.h"
#include "gw/runtime.h"

/*
 * An HTTP/1.1 client with one connection, which it keeps until the server ends
 * it or announces its end. It sends one request at a time and knows when the
 * last byte was written and when the connection ended.
 */
typedef struct caller caller_t;

typedef enum {
	CALLER_ANSWERED,
	CALLER_NOT_SENT,   /* there was no connection */
	CALLER_UNANSWERED, /* the connection ended without a whole response */
	CALLER_TIMED_OUT
} caller_outcome_t;

typedef struct {
	caller_outcome_t outcome;
	int status; /* 0 without a response */
	const char *body;
	uint64_t sent_us; /* when the last byte was written; 0: never */
	uint64_t ended_us;
	bool was_reused; /* the connection had carried a request before */
} caller_result_t;

/* Called once for each request, never before caller_send() has returned. */
typedef void (*caller_done_t)(const caller_result_t *, void *arg);

typedef struct {
	gw_addr_t addr;
	const char *method;
	const char *path;
	const char *host;
	const char *key;      /* the team's; NULL: none */
	const char *body;     /* NULL: none */
	uint32_t deadline_ms; /* as told to the server */
	uint32_t timeout_ms;  /* the caller waits no longer */
} caller_request_t;

caller_t *caller_new(gw_rt_t *);
bool caller_is_busy(const caller_t *);
bool caller_is_connected(const caller_t *);
void caller_send(
    caller_t *, const caller_request_t *, caller_done_t, void *arg);
void caller_disconnect(caller_t *);

#endif
