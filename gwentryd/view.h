#ifndef GWENTRYD_VIEW_H
#define GWENTRYD_VIEW_H

#include "gw/runtime.h"
#include "platform/machines.h"
#include "sched/config.h"
#include "store/store.h"

/*
 * This process's copy of what operators and instances write to the store: the
 * configuration, the maintenance waves and the instances' registry entries. The
 * version of the configuration never decreases while the process runs.
 */
typedef struct view view_t;

typedef struct {
	/*
	 * A configuration is in force. is_next: there was no other one since
	 * the last report.
	 */
	void (*on_config)(const sched_config_t *, bool is_next, void *arg);
	/* The configuration in force was the newest one at at_us. */
	void (*on_config_current)(uint64_t at_us, void *arg);
	void (*on_instance)(const sched_instance_info_t *, void *arg);
	void (*on_instance_removed)(const char *id, void *arg);
	void (*on_wave)(const plat_wave_t *, void *arg);
} view_ops_t;

view_t *view_new(gw_rt_t *, store_t *, const view_ops_t *, void *arg);
/* Begins to follow the instances; only owners need them. */
void view_follow_instances(view_t *);
/* Returns the instances of the largest pool; 0 before the registry was read. */
uint32_t view_largest_pool_instances(const view_t *);
/* Returns the number of instances in the registry, as far as it was read. */
uint32_t view_instance_count(const view_t *);
/* Returns the configuration in force; NULL before the first one was read. */
const sched_config_t *view_config(const view_t *);
uint64_t view_config_current_us(const view_t *);
/*
 * Returns the revision of the newest configuration that was read, in force or
 * not; 0: none.
 */
uint64_t view_config_revision(const view_t *);
/* Takes the configuration from an item that was read elsewhere. */
void view_take_config(view_t *, const store_item_t *);
/* Call the function for each known instance or wave, for a new owner. */
void view_replay_instances(
    const view_t *, void (*)(const sched_instance_info_t *, void *), void *arg);
void view_replay_waves(
    const view_t *, void (*)(const plat_wave_t *, void *), void *arg);

#endif
