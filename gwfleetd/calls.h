#ifndef FLEET_CALLS_H
#define FLEET_CALLS_H

#include "fleet.h"

/* Takes the answer to a store call. */
typedef void (*call_fn_t)(fleet_t *, const fleet_msg_t *, void *arg);

/* The store calls that wait for an answer. */
typedef struct {
	GHashTable *waiting; /* call number -> call_t */
	uint64_t last;
} calls_t;

void calls_init(calls_t *);
void calls_clear(calls_t *);
uint64_t calls_add(calls_t *, call_fn_t, void *arg);
void calls_forget(calls_t *, uint64_t call);
void calls_answer(calls_t *, fleet_t *, const fleet_msg_t *);

#endif
