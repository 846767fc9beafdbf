#ifndef GWENTRYD_PLANNER_H
#define GWENTRYD_PLANNER_H

#include "dispatch.h"
#include "platform/settings.h"
#include "store/store.h"
#include "view.h"

/* Role of the process that sends orders to machines. */
#define PLANNER_ROLE "@planner"

/*
 * The planner plans moves of machines between pools, and maintenance waves. It
 * requests load reports and drains from the pools' owners, and sends orders to
 * machines. Each order is first recorded in the store, on condition that the
 * role's key is unchanged, so that a previous planner sends no orders.
 */
typedef struct planner planner_t;

typedef struct {
	/* Another process has the role: this planner must be freed. */
	void (*on_ownership_lost)(
	    const char *role, const char *reason, void *arg);
} planner_ops_t;

/* fence: of the role; shard_count: number of shards of each pool. */
planner_t *planner_new(gw_rt_t *, store_t *, dispatch_t *,
    const plat_settings_t *, uint64_t fence, uint32_t shard_count,
    const planner_ops_t *, void *arg);
void planner_free(planner_t *);
void planner_set_config(planner_t *, const sched_config_t *);
void planner_add_wave(planner_t *, const plat_wave_t *);
void planner_instance_up(planner_t *, const sched_instance_info_t *);
void planner_instance_removed(planner_t *, const char *id);

#endif
