#ifndef GWROUTED_DRAIN_H
#define GWROUTED_DRAIN_H

#include "gw/runtime.h"
#include "http/drain.h"

typedef struct router router_t;

/* Graceful shutdown of a router. */
typedef struct {
	router_t *router;
	gw_timer_t timer;
	gw_drain_plan_t plan;
	uint64_t begun_us;
} drain_t;

void drain_begin(drain_t *, router_t *);

#endif
