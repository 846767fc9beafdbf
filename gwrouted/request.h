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
 * One request of a caller. It owns its entry in the queue and its current
 * attempt. It ends exactly once: with an endpoint's response, a refusal or a
 * failure.
 */
struct request {
	router_t *router;
	caller_t *caller; /* NULL once the caller has closed */
	pool_t *pool;	  /* NULL until the route is known */
	fairq_item_t item;
	GList link;	  /* in router->requests */
	gw_timer_t timer; /* deadline */
	GString *head;	  /* request line and headers for endpoints */
	attempt_t attempt;
	uint32_t attempts; /* started so far, including those on peers */
	bool idempotent;
	bool is_head_method;
	bool from_peer; /* sent by a router of another data centre */
	/* The caller set an earlier deadline than the route. */
	bool deadline_from_caller;
	bool may_have_run; /* the endpoint may have run an earlier attempt */
	bool spill_tried;
	void *spill_peer; /* set with spill_tried; for spill_attempt_ended() */
	char id[REQUEST_ID_BYTES];
};

extern const pool_ops_t request_pool_ops;

request_t *request_new(router_t *, h2o_req_t *);
void request_schedule(request_t *);
void request_complete(request_t *);
void request_attempt_failed(request_t *, reason_t);
void request_refuse(request_t *, reason_t);
bool request_is_queued(const request_t *);

#endif
