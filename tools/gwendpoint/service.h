#ifndef GWENDPOINT_SERVICE_H
#define GWENDPOINT_SERVICE_H

#include <stdint.h>

#include "faults.h"
#include "gw/runtime.h"
#include "http/httpd.h"
#include "runs.h"

/* The service of one endpoint instance. */
typedef struct {
	gw_rt_t *rt;
	gw_httpd_t *httpd;
	runs_t runs;
	fault_t fault;
	uint32_t fault_left; /* requests that it still applies to */
	uint32_t slots;
	uint32_t service_us;
	uint32_t late_ms;
	uint32_t close_after; /* responses per connection; 0 is no limit */
	uint32_t served;
} service_t;

int service_handle(h2o_req_t *, void *arg);

#endif
