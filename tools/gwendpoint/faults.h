#ifndef GWENDPOINT_FAULTS_H
#define GWENDPOINT_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

typedef enum {
	FAULT_NONE = 0,
	FAULT_FAIL,	    /* status 500 after the run */
	FAULT_LATE,	    /* respond late_ms after the service time */
	FAULT_TWICE,	    /* a second response follows the first */
	FAULT_RESET,	    /* reset the connection after the run */
	FAULT_RESET_BEFORE, /* reset the connection without a run */
	FAULT_REFUSE,	    /* status 503 and Godwit-Outcome: not-run */
	FAULT_COUNT
} fault_t;

bool fault_parse(const char *, fault_t *);
const char *fault_name(fault_t);
void fault_reset(h2o_req_t *);
void fault_second_response(h2o_req_t *);

#endif
