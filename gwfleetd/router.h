#ifndef FLEET_ROUTER_H
#define FLEET_ROUTER_H

#include "fleet.h"
#include "session.h"

/* A router's demand for one pool, as last reported. */
typedef struct {
	uint32_t queued;
	uint32_t in_flight;
	uint32_t slots_wanted;
	uint64_t refused;	     /* cumulative number of requests */
	uint64_t refused_last_round; /* refused, as of the last round */
} router_demand_t;

/* A router that the table lists, as the planner knows it. */
typedef struct {
	/* The first member, so that fleet->routers can be passed to lib/member
	 * as an array of contacts. */
	member_contact_t contact;
	char key[GW_NAME_BYTES]; /* names the router process in grants */
	uint64_t generation;	 /* in force there, by its last Ack */
	bool imported; /* its Hello has reported the slots that it holds */
	bool reported; /* and it has acknowledged a view of this planner */
	uint64_t heartbeat_us; /* arrival of the last heartbeat */
	GHashTable *demand;    /* pool -> router_demand_t */
} router_t;

void router_format_key(
    char key[GW_NAME_BYTES], const char *node_id, uint64_t boot_id);
router_t *router_new(const char *node_id, uint64_t boot_id);
void router_free(void *);
router_t *router_find(const fleet_t *, const char *node_id, uint64_t boot_id);
session_t *router_session(const fleet_t *, const router_t *);
void router_hello(fleet_t *, session_t *);
void router_heartbeat(fleet_t *, session_t *, const Gw__Heartbeat *);
void router_ack(fleet_t *, session_t *, const Gw__Ack *);
void router_goodbye(fleet_t *, session_t *, const Gw__Goodbye *);
void router_disconnected(fleet_t *, router_t *);
void router_mark_ended(
    fleet_t *, router_t *, bool said_goodbye, const char *reason);

/* Admission to the table and removal from it. */
void routers_update(fleet_t *, member_table_t *draft);
void routers_sync(fleet_t *);

#endif
