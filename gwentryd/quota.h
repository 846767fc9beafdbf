#ifndef GWENTRYD_QUOTA_H
#define GWENTRYD_QUOTA_H

#include "gw/runtime.h"
#include "sched/quota.h"
#include "store/store.h"

/*
 * Keeps the shard's parts of the teams' quotas in the store. Each team with a
 * quota has a key with the parts of all shards, which is changed on condition
 * that it is as it was read, that this process still owns the shard, and that
 * the configuration is the newest one. Without quotas it makes no calls.
 */
typedef struct quota quota_t;

typedef struct {
	/* True while the shard is loaded and no other process can own it. */
	bool (*may_write)(void *arg);
	/* See owner_ops_t. */
	uint64_t (*config_revision)(void *arg);
	void (*on_config_item)(const store_item_t *, void *arg);
	/* The shard's role key has changed: another process owns it. */
	void (*on_role_changed)(void *arg);
	/* Asks another shard's owner to give back what it does not use. */
	void (*ask_to_yield)(const char *shard, const char *team, void *arg);
	/* The shard has more, or less, than before. */
	void (*on_changed)(void *arg);
} quota_ops_t;

typedef struct {
	const char *shard;
	const char *role_key; /* valid until quota_free() */
	uint64_t fence;	      /* revision that the role key must still have */
} quota_role_t;

quota_t *quota_new(gw_rt_t *, store_t *, sched_pool_t *, const quota_role_t *,
    const quota_ops_t *, void *arg);
/* Frees it, after the call in progress if there is one. */
void quota_free(quota_t *);
/* Looks for changes that the shard wants, and writes them. */
void quota_update(quota_t *);

#endif
