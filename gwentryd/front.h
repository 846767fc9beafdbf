#ifndef GWENTRYD_FRONT_H
#define GWENTRYD_FRONT_H

#include "dispatch.h"
#include "gw/runtime.h"
#include "sched/config.h"
#include "stats.h"

/* The callers' interface: submit, ask for and cancel jobs, count a queue. */
typedef struct front front_t;

front_t *front_new(
    gw_rt_t *, dispatch_t *, stats_t *, const gw_addr_t *, gw_err_t *);
/* The configuration in force; it stays valid until the next call. */
void front_set_config(front_t *, const sched_config_t *);
/* The number of parts in which each pool is owned. */
void front_set_parts(front_t *, uint32_t parts);
/* Takes no more connections; open ones end after their next request. */
void front_shutdown(front_t *);
/*
 * Answers every open request now, since the process is about to end: a change
 * may have been made. Later ones are refused.
 */
void front_finish(front_t *);
uint32_t front_requests(const front_t *);
uint32_t front_connections(const front_t *);

#endif
