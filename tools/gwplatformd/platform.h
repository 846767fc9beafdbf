#ifndef PLATFORM_PLATFORM_H
#define PLATFORM_PLATFORM_H

#include <stdbool.h>

#include <h2o.h>

#include "gw/runtime.h"
#include "instance.h"
#include "task.h"

/* Interval at which tasks, reboots and snapshots are updated. */
#define PLATFORM_TICK_MS 20

/* The instance list or the usage at one time. */
typedef struct {
	uint64_t at_us;
	char *text; /* JSON */
} snapshot_t;

/* Current state, and the older snapshots of it that are reported. */
typedef struct {
	gw_rt_t *rt;
	gw_timer_t timer;
	GHashTable *instances;	/* id -> instance_t */
	GHashTable *tasks;	/* id -> task_t */
	GQueue list_snapshots;	/* snapshot_t, oldest first */
	GQueue usage_snapshots; /* snapshot_t, oldest first */
	uint32_t list_lag_ms;
	uint32_t usage_lag_ms;
	uint32_t reboot_ms;
	bool down;  /* requests except /v1/control get status 503 */
	bool stale; /* the reported list is frozen */
	uint64_t replacement_count; /* numbers the ids of replacements */
} platform_t;

void platform_init(platform_t *, gw_rt_t *);
void platform_clear(platform_t *);
void platform_take_snapshots(platform_t *);
const char *platform_list_json(const platform_t *);
const char *platform_usage_json(const platform_t *);
int platform_add(platform_t *, const json_t *);
int platform_reboot(platform_t *, const char *id, const char *operation);
int platform_control(platform_t *, const json_t *);
int platform_on_request(h2o_req_t *, void *arg);

#endif
