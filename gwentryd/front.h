#ifndef GWENTRYD_FRONT_H
#define GWENTRYD_FRONT_H

#include "dispatch.h"
#include "gw/runtime.h"
#include "homes.h"
#include "http/budget.h"
#include "platform/settings.h"
#include "sched/config.h"
#include "stats.h"

/*
 * The HTTP interface for callers: submits and cancels jobs, returns their
 * states, and counts the pending jobs of a queue.
 */
typedef struct front front_t;

front_t *front_new(gw_rt_t *, dispatch_t *, const homes_t *, stats_t *,
    const plat_settings_t *, gw_err_t *);
/* Sets the configuration, which must stay valid until the next call. */
void front_set_config(front_t *, const sched_config_t *);
/* Sets the size of the registry, which leaves less memory to callers. */
void front_set_instance_count(front_t *, uint32_t count);
/* Returns what is held for callers. */
const gw_budget_t *front_budget(const front_t *);
/* The homes have been read again. */
void front_homes_read(front_t *);
/* The configuration was the newest one at at_us. */
void front_set_config_current(front_t *, uint64_t at_us);
/* Sets the number of shards of each pool; before, requests are refused. */
void front_set_shard_count(front_t *, uint32_t shard_count);
/* Each response ends its connection from now on, and says so. */
void front_announce_close(front_t *);
/* Closes the listener; open connections close after their next request. */
void front_close_listener(front_t *);
/*
 * Replies to every open request now, since the process is about to exit: 504 to
 * submits and cancels, which may have taken effect, and 503 to reads. Later
 * requests are refused.
 */
void front_reply_all(front_t *);
/* Returns the number of requests that libh2o has not released yet. */
uint32_t front_request_count(const front_t *);
uint32_t front_connection_count(const front_t *);

#endif
