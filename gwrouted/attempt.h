#ifndef GWROUTED_ATTEMPT_H
#define GWROUTED_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

#include "gw/runtime.h"
#include "http/exchange.h"
#include "instance.h"
#include "reason.h"

#define ATTEMPT_ID_BYTES 48

typedef struct request request_t;

/* One attempt of a request: on an endpoint, or on a peer router. */
typedef struct {
	gw_exchange_t *exchange; /* NULL when none is under way */
	instance_t *instance;	 /* NULL on a peer router */
	uint64_t started_us;
	gw_timer_t timer; /* hard deadline of a time-bound instance */
	int status;
	bool bound;
	bool sent;    /* bytes may have reached the endpoint */
	bool refused; /* the response says that it did not run */
	bool bad;     /* the response must not be used */
	bool passed;  /* its head was given to the caller's side */
	char id[ATTEMPT_ID_BYTES];
} attempt_t;

void attempt_start(request_t *, instance_t *, const char *reason);
void attempt_start_on_peer(request_t *, gw_target_t *);
void attempt_abandon(request_t *, reason_t);
void attempt_resume(request_t *);

#endif
