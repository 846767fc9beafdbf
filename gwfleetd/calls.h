#ifndef FLEET_CALLS_H
#define FLEET_CALLS_H

#include "fleet.h"

/* Handles the reply to a store call. */
typedef void (*call_fn_t)(fleet_t *, const fleet_msg_t *, void *arg);

/* Store calls without a reply yet. */
typedef struct {
	GHashTable *pending; /* call number -> call_t */
	uint64_t last;	     /* number given last, also to watches */
} calls_t;

void calls_init(calls_t *);
void calls_clear(calls_t *);
uint64_t calls_add(calls_t *, call_fn_t, void *arg);
void calls_cancel(calls_t *, uint64_t call);
void calls_dispatch(calls_t *, fleet_t *, const fleet_msg_t *);

#endif
