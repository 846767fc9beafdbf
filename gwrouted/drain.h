#ifndef GWROUTED_DRAIN_H
#define GWROUTED_DRAIN_H

#include "gw/runtime.h"

typedef struct router router_t;

/* Graceful shutdown of a router. */
typedef struct {
	router_t *router;
	gw_timer_t timer;
	uint64_t listener_closed_us; /* time when the listener closed */
	uint64_t deadline_us; /* the shutdown ends then even if requests run */
} drain_t;

void drain_begin(drain_t *, router_t *);

#endif
