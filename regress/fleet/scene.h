#ifndef REGRESS_SCENE_H
#define REGRESS_SCENE_H

#include "world.h"

/* Time within which a planner is elected and its first table is written. */
#define SCENE_SETTLE_MS 2000
/* Time within which another planner serves after the planner's last renewal. */
#define SCENE_FAIL_OVER_MS (GW_LEASE_TTL_MS + 4000)

/*
 * Common start of the tests: two gwfleetd, four instances in two racks, two
 * routers, manifest generation 1.
 */
typedef struct {
	world_t *w;
	node_t *n1, *n2;
	fake_router_t *r1, *r2;
} scene_t;

void scene_start(scene_t *, const fleet_policy_t *);
void scene_end(scene_t *);
void scene_manifest(scene_t *, uint64_t generation, int pool_a, int pool_b);
void scene_other_centre(bool present);
void scene_run(scene_t *, uint64_t ms);
void scene_reconnect(scene_t *);
uint32_t scene_granted_slots(const scene_t *, const char *instance_id);
member_instance_t scene_instance(const scene_t *, const char *id);

#endif
