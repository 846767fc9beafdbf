#ifndef GWENTRYD_FRONT_H
#define GWENTRYD_FRONT_H

#include "dispatch.h"
#include "gw/runtime.h"
#include "sched/config.h"
#include "stats.h"

/*
 * The HTTP interface for callers: submit a job, cancel it, get its state, and
 * count the pending jobs of a queue.
 */
typedef struct front front_t;

front_t *front_new(
    gw_rt_t *, dispatch_t *, stats_t *, const gw_addr_t *, gw_err_t *);
/* The configuration in force; it stays valid until the next call. */
void front_set_config(front_t *, const sched_config_t *);
/* The number of shards of each pool; until it is set, requests are refused. */
void front_set_shard_count(front_t *, uint32_t shard_count);
/* Accepts no more connections; open ones close after their next request. */
void front_close_listener(front_t *);
/*
 * Answers every open request now, since the process is about to end. A submit
 * or cancel that is cut off may have taken effect. Later requests are refused.
 */
void front_reply_all(front_t *);
/* Requests that libh2o has not released yet, also answered ones. */
uint32_t front_request_count(const front_t *);
uint32_t front_connection_count(const front_t *);

#endif
