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

/* One attempt of a request, sent to an instance or to a peer router. */
typedef struct {
	gw_exchange_t *exchange; /* NULL when no attempt is in progress */
	instance_t *instance;	 /* NULL when sent to a peer router */
	uint64_t started_us;
	gw_timer_t timer;      /* hard deadline of a time-bound instance */
	int status;	       /* HTTP status; 0 before the head */
	bool was_time_bound;   /* the instance was, at the start */
	bool sent;	       /* bytes may have reached the endpoint or peer */
	bool refused;	       /* the response says the request did not run */
	bool invalid_response; /* malformed, or for another attempt */
	bool head_forwarded; /* status and headers were passed to the caller */
	char id[ATTEMPT_ID_BYTES];
} attempt_t;

void attempt_start(request_t *, instance_t *, const char *reason);
void attempt_start_on_peer(request_t *, gw_target_t *);
void attempt_abandon(request_t *, reason_t);
void attempt_resume(request_t *);

#endif
