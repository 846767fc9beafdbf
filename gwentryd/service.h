#ifndef GWENTRYD_SERVICE_H
#define GWENTRYD_SERVICE_H

#include "dispatch.h"
#include "owner.h"

/*
 * The shards that this process owns, by name, and the calls that concern them,
 * from callers and from other entry processes. A shard of a pool that has only
 * one is named like the pool.
 */
typedef struct service service_t;

service_t *service_new(gw_rt_t *, store_t *, const char *data_centre,
    const sched_bounds_t *, const owner_ops_t *, void *arg);
/* The number of shards of each pool. */
void service_set_shard_count(service_t *, uint32_t shard_count);
void service_add(service_t *, const char *shard, uint64_t fence);
void service_remove(service_t *, const char *shard);
/* The owner of a shard; NULL when this process does not own it. */
owner_t *service_owner(const service_t *, const char *shard);
void service_set_instance(service_t *, const sched_instance_info_t *);
void service_remove_instance(service_t *, const char *id);
/*
 * Handles a call and replies once, at once or after a write to the store.
 * lease_valid: the store cannot have expired this process's lease, so no other
 * owner can exist.
 */
void service_handle_call(service_t *, const Gw__Call *, bool lease_valid,
    dispatch_reply_cb_t, void *arg);
/*
 * Refuses submits and cancels from now on, before the shards are handed over;
 * reads are still answered.
 */
void service_refuse_changes(service_t *);
bool service_is_flushed(const service_t *);
uint32_t service_owned_shards(const service_t *);

#endif
