#ifndef GWROUTED_INTAKE_H
#define GWROUTED_INTAKE_H

#include <h2o.h>

/* Handles callers' requests; arg is the router_t. */
int intake_handle(h2o_req_t *, void *arg);

#endif
