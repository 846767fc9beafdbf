#ifndef GWENTRYD_VIEW_H
#define GWENTRYD_VIEW_H

#include "gw/runtime.h"
#include "platform/machines.h"
#include "sched/config.h"
#include "store/store.h"

/*
 * What the operators and the instances write into the store, as typed values:
 * the configuration, whose version never goes back in the life of a process,
 * the instances, and the maintenance waves.
 */
typedef struct view view_t;

typedef struct {
	void (*on_config)(const sched_config_t *, void *arg);
	void (*on_instance)(const sched_instance_info_t *, void *arg);
	void (*on_instance_gone)(const char *id, void *arg);
	void (*on_wave)(const plat_wave_t *, void *arg);
} view_ops_t;

view_t *view_new(gw_rt_t *, store_t *, const view_ops_t *, void *arg);
/* Begins to follow the instances, which only owners need. */
void view_want_instances(view_t *);
/* The most instances that a pool has; 0 before the registry was read. */
uint32_t view_largest_pool(const view_t *);
/* NULL before the first one was read. */
const sched_config_t *view_config(const view_t *);
/* Reports every known instance again, for a new owner. */
void view_replay(
    const view_t *, void (*)(const sched_instance_info_t *, void *), void *arg);
void view_replay_waves(
    const view_t *, void (*)(const plat_wave_t *, void *), void *arg);

#endif
