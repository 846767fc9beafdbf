#ifndef FLEET_PLACEMENT_H
#define FLEET_PLACEMENT_H

#include "census.h"
#include "fleet.h"

/* Interval at which the planner requests the platform's instance list. */
#define PLACEMENT_LIST_MS 1000
/* Time after which an unanswered request for the list is repeated. */
#define PLACEMENT_LIST_TIMEOUT_MS 5000
/* Slots of an instance whose pool does not set slots_per_instance. */
#define PLACEMENT_DEFAULT_SLOTS 8

void placement_tick(fleet_t *);
void placement_store_list(fleet_t *, const fleet_msg_t *);
void placement_update(fleet_t *, member_table_t *draft);
uint32_t placement_target(const fleet_t *, const char *pool);
const manifest_pool_t *placement_choose_pool(
    const fleet_t *, const census_t *, const char *domain);
const platform_instance_t *placement_find_listed(
    const fleet_t *, const char *instance_id);

#endif
