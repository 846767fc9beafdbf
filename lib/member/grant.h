#ifndef MEMBER_GRANT_H
#define MEMBER_GRANT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "member/member.h"

/* Used as view sequence number while the view has not been sent yet. */
#define MEMBER_VIEW_UNSENT UINT64_MAX

/* The grant of one router: slots of an instance that the router may use. */
typedef struct {
	char node_id[GW_NAME_BYTES];
	uint32_t granted;	   /* slots the router may use from now on */
	uint32_t reserved;	   /* slots it may still be using, >= granted */
	uint64_t revoked_sequence; /* view with the last reduction */
} member_grant_t;

/*
 * All grants of one instance. The sum of reserved never exceeds slots, with one
 * exception: routers may report more to a new planner. The planner then grants
 * nothing until the sum has fallen.
 */
typedef struct {
	uint32_t slots;
	uint32_t unreported; /* admitted routers that sent no Hello yet */
	GPtrArray *grants;   /* member_grant_t */
} member_grants_t;

member_grants_t *member_grants_new(uint32_t slots);
void member_grants_free(member_grants_t *);
uint32_t member_grants_reserved(const member_grants_t *);
uint32_t member_grants_free_slots(const member_grants_t *);
const member_grant_t *member_grants_find(
    const member_grants_t *, const char *node_id);

/*
 * Divides the slots by what each router wants and grants the free ones; true
 * when a grant changed. view_sequence is the number of the view that carries
 * reductions to the routers. Pass MEMBER_VIEW_UNSENT when the number is not
 * known yet, and set it with member_grants_assign_view().
 */
bool member_grants_divide(member_grants_t *, const GPtrArray *node_ids,
    const uint32_t *wanted, uint64_t view_sequence);
/* Sets the number of the view that carried the grants to the router. */
void member_grants_assign_view(
    member_grants_t *, const char *node_id, uint64_t view_sequence);
/* Records the router's Ack of a view; held is the number of slots it uses. */
void member_grants_acked(member_grants_t *, const char *node_id,
    uint64_t view_sequence, uint32_t held);
/* Does a Hello sent under hello_epoch count as the router's report? */
bool member_report_counts(const member_lease_t *, uint64_t hello_epoch);
/* Records the slots that a router's Hello reports as held. */
void member_grants_reported(member_grants_t *, const char *node_id,
    uint32_t held, uint64_t first_sequence);
/* Frees the slots of a router; only after member_router_gone() or a Goodbye. */
void member_grants_drop(member_grants_t *, const char *node_id);
/* Frees the slots of all routers; only when the instance is drained. */
void member_grants_reset(member_grants_t *);

#endif
