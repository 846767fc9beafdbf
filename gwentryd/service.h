#ifndef GWENTRYD_SERVICE_H
#define GWENTRYD_SERVICE_H

#include "dispatch.h"
#include "owner.h"

/*
 * The pools that this process owns, by name, and the requests for them.
 */
typedef struct service service_t;

service_t *service_new(gw_rt_t *, store_t *, const char *data_centre,
    const sched_bounds_t *, const owner_ops_t *, void *arg);
void service_set_parts(service_t *, uint32_t parts);
void service_add(service_t *, const char *pool, uint64_t fence);
void service_remove(service_t *, const char *pool);
/* NULL when this process does not own the pool. */
owner_t *service_owner(const service_t *, const char *pool);
void service_set_instance(service_t *, const sched_instance_info_t *);
void service_remove_instance(service_t *, const char *id);
/* Answers a request; lease_valid tells that no other owner can exist. */
void service_call(service_t *, const Gw__Call *, bool lease_valid,
    dispatch_reply_t, void *arg);
/* Refuses further changes: the pools are about to be handed over. */
void service_close(service_t *);
bool service_is_quiet(const service_t *);
uint32_t service_pools(const service_t *);

#endif
