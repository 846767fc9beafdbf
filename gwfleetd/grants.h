#ifndef FLEET_GRANTS_H
#define FLEET_GRANTS_H

#include "fleet.h"
#include "member/grant.h"
#include "router.h"

/* Shortest interval between two divisions of the slots among the routers. */
#define GRANTS_DIVIDE_MS 200
/* Interval when nothing was reported: an ended router's slots become free by
 * the passage of time alone. */
#define GRANTS_IDLE_MS 1000

/* The grants of one instance's slots to routers. */
typedef struct {
	member_grants_t *grants;
	/* Routers may hold slots that a previous planner granted and that are
	 * not reported to this one. */
	bool inherited;
} instance_grants_t;

void instance_grants_free(void *);
uint32_t grants_slots_of(
    const fleet_t *, const char *instance_id, const char *router_key);
void grants_inherit(fleet_t *);
void grants_import(fleet_t *, const router_t *, const session_t *);
void grants_release_acked(fleet_t *, const router_t *, const Gw__Ack *);
void grants_drop_router(fleet_t *, const router_t *);
void grants_reset_drained(
    fleet_t *, const member_table_t *before, const member_table_t *after);
void grants_tick(fleet_t *);

#endif
