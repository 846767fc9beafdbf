#ifndef GWENDPOINT_SERVICE_H
#define GWENDPOINT_SERVICE_H

#include <stdint.h>

#include "faults.h"
#include "gw/runtime.h"
#include "http/httpd.h"
#include "runs.h"

/* State of one endpoint instance. */
typedef struct {
	gw_rt_t *rt;
	gw_httpd_t *httpd;
	runs_t runs;
	fault_t fault;
	uint32_t fault_requests_left; /* that get the fault */
	uint32_t slots;
	uint32_t service_us;
	uint32_t late_ms;
	uint32_t close_after;	 /* close at every such response; 0: never */
	uint32_t response_count; /* of runs, on all connections */
} service_t;

int service_handle_request(h2o_req_t *, void *arg);

#endif
