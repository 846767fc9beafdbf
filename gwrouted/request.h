#ifndef GWROUTED_REQUEST_H
#define GWROUTED_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "attempt.h"
#include "caller.h"
#include "gw/runtime.h"
#include "policy/fairq.h"
#include "pool.h"
#include "reason.h"

#define REQUEST_ID_BYTES 80

typedef struct router router_t;

/*
 * One request of a caller. It owns its place in the queue and its attempt; it
 * ends by an answer, a refusal or a failure, exactly once.
 */
struct request {
	router_t *router;
	caller_t *caller; /* NULL once the caller is gone */
	pool_t *pool;	  /* NULL while it is read */
	fairq_item_t item;
	GList live;	  /* in the router's list */
	gw_timer_t timer; /* deadline */
	GString *head;	  /* request line and headers for endpoints */
	attempt_t attempt;
	uint32_t attempts;
	bool idempotent;
	bool is_head_method;
	bool is_hop;	   /* another data centre's router sent it */
	bool own_deadline; /* the caller asked for less than the route has */
	bool may_have_run;
	bool spill_tried;
	void *spill_peer; /* for spill_ended() */
	char id[REQUEST_ID_BYTES];
};

extern const pool_ops_t request_pool_ops;

request_t *request_new(router_t *, h2o_req_t *);
void request_admit(request_t *);
void request_answered(request_t *);
void request_failed(request_t *, reason_t);
void request_refuse(request_t *, reason_t);
bool request_is_waiting(const request_t *);

#endif
