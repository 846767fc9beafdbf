#ifndef GWENTRYD_LAYOUT_H
#define GWENTRYD_LAYOUT_H

#include "gw/runtime.h"
#include "store/store.h"

/*
 * The number of shards into which each pool is divided. The first process of a
 * system derives it from the size of the largest pool and writes it to the
 * store; it never changes afterwards.
 */
typedef struct layout layout_t;

typedef struct {
	/* Returns the size of the largest pool; 0: not known yet. */
	uint32_t (*largest_pool_instances)(void *arg);
	/* Called once, when the number of shards is known. */
	void (*on_shards_known)(uint32_t shard_count, void *arg);
} layout_ops_t;

layout_t *layout_new(gw_rt_t *, store_t *, const layout_ops_t *, void *arg);
/* Returns the number of shards, or 0 before it is known. */
uint32_t layout_shard_count(const layout_t *);

#endif
