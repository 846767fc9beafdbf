#ifndef MEMBER_ATTEMPT_H
#define MEMBER_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of the current try of one request at an endpoint. */
typedef enum {
	ATTEMPT_NOT_SENT = 0, /* no byte was handed to a connection */
	ATTEMPT_SENT,	      /* bytes may have been sent */
	ATTEMPT_RESPONDING,   /* the response has begun */
	ATTEMPT_DONE,	      /* the response is complete */
	ATTEMPT_FAILED	      /* the connection broke or timed out */
} attempt_state_t;

/* What the caller may be told (Godwit-Outcome). */
typedef enum {
	ATTEMPT_NOT_RUN = 0,
	ATTEMPT_ANSWERED,
	ATTEMPT_UNKNOWN
} attempt_outcome_t;

/* The tries of one request. A try is numbered from 1; 0 is none yet. */
typedef struct {
	attempt_state_t state;
	bool idempotent;
	bool may_have_run; /* some try may have reached an endpoint */
	bool responding;   /* a response has begun, perhaps to the caller */
	uint32_t number;   /* of the current try */
	uint32_t max_tries;
} attempt_t;

void attempt_init(attempt_t *, bool idempotent, uint32_t max_tries);
bool attempt_may_start(const attempt_t *);
uint32_t attempt_start(attempt_t *);
/* Call before the first byte is handed to the connection. */
bool attempt_send(attempt_t *, uint32_t number);
bool attempt_response(attempt_t *, uint32_t number);
bool attempt_done(attempt_t *, uint32_t number);
bool attempt_failed(attempt_t *, uint32_t number);
attempt_outcome_t attempt_outcome(const attempt_t *);
const char *attempt_outcome_name(attempt_outcome_t);

#endif
