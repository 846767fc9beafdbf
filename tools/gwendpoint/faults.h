#ifndef GWENDPOINT_FAULTS_H
#define GWENDPOINT_FAULTS_H

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

typedef enum {
	FAULT_NONE = 0,
	FAULT_FAIL,	    /* 500 at once */
	FAULT_LATE,	    /* answer after the service time and late_ms */
	FAULT_TWICE,	    /* a second response follows the first */
	FAULT_RESET,	    /* reset the connection after the run */
	FAULT_RESET_BEFORE, /* reset the connection instead of running */
	FAULT_REFUSE,	    /* 503, declared as not run */
	FAULT_COUNT
} fault_t;

bool fault_parse(const char *, fault_t *);
const char *fault_name(fault_t);
void fault_reset(h2o_req_t *);
void fault_second_response(h2o_req_t *);

#endif
