#ifndef GWENTRYD_PLANNER_H
#define GWENTRYD_PLANNER_H

#include "dispatch.h"
#include "platform/settings.h"
#include "store/store.h"
#include "view.h"

/* Role of the one process that orders machines to move or be maintained. */
#define PLANNER_ROLE "@planner"

/*
 * The planner: it asks the pools' owners for their load, has instances freed,
 * and orders machines. Each order is recorded first under the condition that
 * the role's key is unchanged, so that a former planner orders nothing.
 */
typedef struct planner planner_t;

typedef struct {
	void (*on_deposed)(const char *role, const char *reason, void *arg);
} planner_ops_t;

planner_t *planner_new(gw_rt_t *, store_t *, dispatch_t *,
    const plat_settings_t *, uint64_t fence, uint32_t parts,
    const planner_ops_t *, void *arg);
void planner_free(planner_t *);
void planner_set_config(planner_t *, const sched_config_t *);
void planner_set_wave(planner_t *, const plat_wave_t *);
void planner_instance_up(planner_t *, const sched_instance_info_t *);
void planner_instance_gone(planner_t *, const char *id);

#endif
