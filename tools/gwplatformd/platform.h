#ifndef PLATFORM_PLATFORM_H
#define PLATFORM_PLATFORM_H

#include <stdbool.h>

#include <h2o.h>

#include "gw/runtime.h"
#include "instance.h"
#include "task.h"

/* Interval at which leases, reboots and the lagging list are brought forward.
 */
#define PLATFORM_TICK_MS 20

/* The list or the usage as it was at one moment. */
typedef struct {
	uint64_t at_us;
	char *text;
} snapshot_t;

/* The stand-in: what is true, and what it tells. */
typedef struct {
	gw_rt_t *rt;
	gw_timer_t timer;
	GHashTable *instances; /* id -> instance_t */
	GHashTable *tasks;     /* id -> task_t */
	GQueue lists;	       /* snapshot_t, oldest first */
	GQueue usages;	       /* snapshot_t, oldest first */
	uint32_t list_lag_ms;
	uint32_t usage_lag_ms;
	uint32_t reboot_ms;
	bool down;	 /* every request is answered with 503 */
	bool stale;	 /* the list does not go forward */
	uint64_t serial; /* of the last replacement's id */
} platform_t;

void platform_init(platform_t *, gw_rt_t *);
void platform_clear(platform_t *);
void platform_changed(platform_t *);
const char *platform_list(const platform_t *);
const char *platform_usage(const platform_t *);
int platform_add(platform_t *, const json_t *);
int platform_reboot(platform_t *, const char *id, const char *operation);
int platform_control(platform_t *, const json_t *);
int platform_on_request(h2o_req_t *, void *arg);

#endif
