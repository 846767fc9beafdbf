#ifndef GWENTRYD_OWNER_H
#define GWENTRYD_OWNER_H

#include "gw/runtime.h"
#include "roles.h"
#include "sched/sched.h"
#include "store/store.h"

/*
 * The owner of one shard of a pool. It loads the shard's records from the
 * store, runs the shard's jobs, and writes each decision to the store before
 * acting on it. Every write is conditional on the shard's role key, so that a
 * previous owner cannot write.
 */
typedef struct owner owner_t;

typedef struct {
	/* Another process owns the shard, or may own it. */
	void (*on_ownership_lost)(
	    const char *shard, const char *reason, void *arg);
	/*
	 * The store cannot expire this process's lease before this time, on the
	 * runtime's clock.
	 */
	uint64_t (*lease_until_us)(void *arg);
	/*
	 * Returns a time at which the key of the shard's list of lapsing leases
	 * was in the store with this revision.
	 */
	uint64_t (*lapsing_seen_us)(
	    const char *key, uint64_t revision, void *arg);
	/*
	 * Returns the revision of the newest configuration that this process
	 * has read; 0: none.
	 */
	uint64_t (*config_revision)(void *arg);
	/* A newer one has been read; the item is valid during the call. */
	void (*on_config_item)(const store_item_t *, void *arg);
	/*
	 * Returns why the configuration in force does not allow a submission to
	 * the shard's pool; NULL: it does.
	 */
	const char *(*get_refusal)(
	    const char *shard, const sched_submitter_t *, void *arg);
	/* See sched_ops_t; shard is the one that is owned. */
	bool (*find_shard)(const char *shard, const sched_seeker_t *,
	    char to[SCHED_NAME_BYTES], void *arg);
	void (*ask_room)(const char *shard, const sched_seeker_t *,
	    const char *to, void *arg);
	void (*tell_adopt)(
	    const char *shard, const char *to, const char *id, void *arg);
	void (*find_records)(const char *shard, const char *id, void *arg);
	void (*tell_part)(
	    const char *shard, const sched_part_call_t *, void *arg);
	/* Asks the owner of another shard, see quota_ops_t. */
	void (*ask_to_yield)(const char *shard, const char *team, void *arg);
} owner_ops_t;

/* Size of the key of a record in the store. */
#define OWNER_KEY_BYTES (ROLE_KEY_BYTES + SCHED_ROW_BYTES)
/* Formats the key of a record of a shard. */
void owner_record_key(char out[OWNER_KEY_BYTES], const char *shard,
    sched_write_kind_t, const char *id);

typedef struct {
	const char *shard; /* name of the shard, which is also its role */
	const char *data_centre;
	/* Create revision of the role key; higher for each later owner. */
	uint64_t fence;
	sched_bounds_t bounds;
	sched_window_t *window; /* shared by the owners of this process */
} owner_role_t;

owner_t *owner_new(
    gw_rt_t *, store_t *, const owner_role_t *, const owner_ops_t *, void *arg);
void owner_free(owner_t *);
/* True once the shard's records have been read. */
bool owner_is_loaded(const owner_t *);
void owner_set_instance(owner_t *, const sched_instance_info_t *);
void owner_remove_instance(owner_t *, const char *id);
/* Handles that there is a newer configuration, which is in force by now. */
void owner_config_changed(owner_t *);
/*
 * Returns the shard's scheduling state, which belongs to the owner, for
 * callers' requests. Call owner_schedule_tick() after a change.
 */
sched_pool_t *owner_pool(owner_t *);
uint64_t owner_fence(const owner_t *);
void owner_schedule_tick(owner_t *);
/* True while no other process can own the shard. */
bool owner_lease_is_valid(const owner_t *);
/* False while writes to the store fail, so that no job can be recorded. */
bool owner_can_write(const owner_t *);
/* True when every decision has been written to the store. */
bool owner_is_flushed(const owner_t *);

#endif
