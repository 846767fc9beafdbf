#ifndef GWROUTED_DRAIN_H
#define GWROUTED_DRAIN_H

#include "gw/runtime.h"

typedef struct router router_t;

/* The graceful shutdown of a router. */
typedef struct {
	router_t *router;
	gw_timer_t timer;
	uint64_t closed_us; /* when the listener was closed */
	uint64_t end_us;    /* the shutdown ends then in any case */
} drain_t;

void drain_begin(drain_t *, router_t *);

#endif
