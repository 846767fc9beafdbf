#ifndef MEMBER_GRANT_H
#define MEMBER_GRANT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "member/member.h"

/* In place of a view's number: the view is not sent yet. */
#define MEMBER_VIEW_UNSENT UINT64_MAX

/* Slots of one instance that one router may use. */
typedef struct {
	char node_id[GW_NAME_BYTES];
	uint32_t granted;  /* what the router may use from now on */
	uint32_t reserved; /* what it may still be using: granted or more */
	uint64_t revoked_sequence; /* view that carried the last reduction */
} member_grant_t;

/*
 * All grants of one instance. The sum of reserved never exceeds slots, except
 * by what routers report at a new planner, which then grants nothing.
 */
typedef struct {
	uint32_t slots;
	uint32_t unreported; /* admitted routers whose Hello is missing */
	GPtrArray *grants;   /* member_grant_t */
} member_grants_t;

member_grants_t *member_grants_new(uint32_t slots);
void member_grants_free(member_grants_t *);
uint32_t member_grants_reserved(const member_grants_t *);
uint32_t member_grants_free_slots(const member_grants_t *);
const member_grant_t *member_grants_find(
    const member_grants_t *, const char *node_id);

/*
 * Sets the wanted share of each router and grants what is free now; true when
 * a grant changed. Reductions are carried by view_sequence, or with
 * MEMBER_VIEW_UNSENT by the view that member_grants_sent() names.
 */
bool member_grants_divide(member_grants_t *, const GPtrArray *node_ids,
    const uint32_t *wanted, uint64_t view_sequence);
/* A view that carries the present grants was sent to the router. */
void member_grants_sent(
    member_grants_t *, const char *node_id, uint64_t view_sequence);
/* The router's Ack: the view in force, and slots in use beyond the grant. */
void member_grants_acked(member_grants_t *, const char *node_id,
    uint64_t view_sequence, uint32_t held);
/* Does a Hello of that epoch count as the router's report? */
bool member_report_counts(const member_lease_t *, uint64_t hello_epoch);
/* The router's Hello: what it holds; the first view's Ack confirms it. */
void member_grants_reported(member_grants_t *, const char *node_id,
    uint32_t held, uint64_t first_sequence);
/* member_router_gone() is true of the router, or it said Goodbye. */
void member_grants_drop(member_grants_t *, const char *node_id);
/* The instance is drained: no router holds a slot of it. */
void member_grants_reset(member_grants_t *);

#endif
