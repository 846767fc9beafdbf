#ifndef GWENTRYD_OWNERS_H
#define GWENTRYD_OWNERS_H

#include "dispatch.h"
#include "owner.h"
#include "sched/config.h"

/*
 * The owners of the shards that this process owns, by the name of the shard.
 * They handle the calls of callers and of other entry processes. The shard of a
 * pool that has only one has the name of the pool.
 */
typedef struct owners owners_t;

owners_t *owners_new(gw_rt_t *, store_t *, const char *data_centre,
    const sched_bounds_t *, const owner_ops_t *, void *arg);
/* Sets the number of shards of each pool. */
void owners_set_shard_count(owners_t *, uint32_t shard_count);
void owners_set_config(owners_t *, const sched_config_t *);
void owners_add(
    owners_t *, const char *shard, uint64_t fence, const sched_vacancy_t *);
void owners_remove(owners_t *, const char *shard);
/* Returns the owner of a shard, or NULL if this process does not own it. */
owner_t *owners_find(const owners_t *, const char *shard);
void owners_set_instance(owners_t *, const sched_instance_info_t *);
void owners_remove_instance(owners_t *, const char *id);
/*
 * Handles a call, and passes one response to the callback, at once or after a
 * write to the store. lease_valid: this process's lease cannot have expired at
 * the store, so no other owner can exist.
 */
void owners_handle_call(owners_t *, const Gw__Call *, bool lease_valid,
    dispatch_response_cb_t, void *arg);
/*
 * Refuses submits and cancels from now on, before the shards are released.
 * Reads are still replied to.
 */
void owners_refuse_changes(owners_t *);
bool owners_are_closing(const owners_t *);
bool owners_are_flushed(const owners_t *);
uint32_t owners_count(const owners_t *);
/*
 * Returns the names of the shards that this process owns (const char *), valid
 * until the next change; the caller frees the array.
 */
GPtrArray *owners_shards(const owners_t *);
/*
 * Returns why the configuration in force does not allow a submission to the
 * shard's pool; NULL: it does.
 */
const char *owners_refusal(
    const owners_t *, const char *shard, const sched_submitter_t *);
/* Returns what waits in all shards that this process owns. */
sched_waits_t owners_waits(const owners_t *);

#endif
