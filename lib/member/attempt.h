#ifndef MEMBER_ATTEMPT_H
#define MEMBER_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

/* State of the current try to run a request at an endpoint. */
typedef enum {
	ATTEMPT_NOT_SENT = 0, /* no byte was handed to a connection */
	ATTEMPT_SENT,	      /* bytes may have been sent */
	ATTEMPT_RESPONDING,   /* the response has begun */
	ATTEMPT_DONE,	      /* the response is complete */
	ATTEMPT_FAILED	      /* the connection broke or timed out */
} attempt_state_t;

/* Outcome of a request, reported in the response header Godwit-Outcome. */
typedef enum {
	ATTEMPT_NOT_RUN = 0, /* no endpoint can have run the request */
	ATTEMPT_ANSWERED,    /* the response is complete */
	ATTEMPT_UNKNOWN	     /* an endpoint may have run the request */
} attempt_outcome_t;

/* The tries of one request. Tries are numbered from 1. */
typedef struct {
	attempt_state_t state;
	bool idempotent;
	bool may_have_run; /* bytes of some try may have reached an endpoint */
	bool responding; /* a response has begun; the caller may have part of it
			  */
	uint32_t number; /* of the current try, 0 before the first */
	uint32_t max_tries;
} attempt_t;

void attempt_init(attempt_t *, bool idempotent, uint32_t max_tries);
bool attempt_may_start(const attempt_t *);
uint32_t attempt_start(attempt_t *);
/* Call before the first byte is handed to the connection. For this and the
 * functions below: false when number is not the current try. */
bool attempt_send(attempt_t *, uint32_t number);
bool attempt_response(attempt_t *, uint32_t number);
bool attempt_done(attempt_t *, uint32_t number);
bool attempt_failed(attempt_t *, uint32_t number);
attempt_outcome_t attempt_outcome(const attempt_t *);
const char *attempt_outcome_name(attempt_outcome_t);

#endif
