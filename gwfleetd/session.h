#ifndef FLEET_SESSION_H
#define FLEET_SESSION_H

#include "fleet.h"

/* One connection to a router or to another gwfleetd. */
typedef struct {
	fleet_link_t *link;
	bool dialed;
	bool closing;  /* being closed; messages are ignored */
	Gw__Role role; /* ROLE_UNKNOWN before Hello */
	char node_id[GW_NAME_BYTES];
	uint64_t boot_id;
	char key[GW_NAME_BYTES]; /* key of the router process in grants */
	uint64_t generation;	 /* highest the peer has or was sent */
	uint64_t hello_version;	 /* table version in the peer's Hello */
	GHashTable *held;	 /* instance id -> held_slots_t */
	GHashTable *sent;      /* instance id -> hash of the entry sent last */
	uint64_t sent_epoch;   /* of the view sent last */
	uint64_t sent_version; /* table version of that view */
	uint64_t table_sent_version; /* last sent to a gwfleetd, in PeerState */
	/*
	 * Sequence of the first view whose grants the router accepts, since it
	 * has a Contact of this gwfleetd; 0: no Contact yet.
	 */
	uint64_t grants_from;
	bool sent_any;	    /* a view was sent; false: send a full one */
	bool sent_admitted; /* value in the view sent last */
} session_t;

/* Slots of an instance that a router holds, as reported in Hello. */
typedef struct {
	char incarnation[GW_NAME_BYTES];
	uint32_t slots;
} held_slots_t;

void session_free(void *);
session_t *session_find(const fleet_t *, const fleet_link_t *);
void session_open(fleet_t *, const fleet_msg_t *);
void session_message(fleet_t *, const fleet_msg_t *);
void session_closed(fleet_t *, const fleet_msg_t *);
void session_refuse(fleet_t *, session_t *, const char *reason);
void session_close(fleet_t *, session_t *);
void sessions_send_generation(fleet_t *);

#endif
