#ifndef GWENTRYD_HOMES_H
#define GWENTRYD_HOMES_H

#include "gw/runtime.h"
#include "sched/config.h"
#include "sched/lookup.h"
#include "store/store.h"

/*
 * Which shards have accepted jobs of the queues in force, read from the rows
 * that the owners of the shards write: HOMES_KEY_PREFIX, the name of the shard,
 * a slash and the key of the queue. No shard gets its first job of a queue by a
 * configuration that has been replaced (owner_commit.c), so rows that are read
 * after a configuration was seen are those of all earlier ones.
 */
#define HOMES_KEY_PREFIX "gw/queue/"

typedef struct homes homes_t;

typedef struct {
	/* The rows have been read again. */
	void (*on_read)(void *arg);
	/* A shard has, or had, jobs. */
	void (*on_shard)(const char *shard, void *arg);
} homes_ops_t;

/* config_apply_ms: time after which each process has a new configuration. */
homes_t *homes_new(gw_rt_t *, store_t *, uint32_t config_apply_ms,
    const homes_ops_t *, void *arg);
/*
 * Reads the rows again if a queue is new or has another pool than before, or
 * may have had one: unless is_next, configurations in between are not known.
 */
void homes_set_config(homes_t *, const sched_config_t *, bool is_next);
/*
 * Returns whether the rows have been read since the queue was seen in its
 * present pool. Before, another pool may have jobs of it that are not known.
 */
bool homes_are_known(const homes_t *, const sched_queue_t *);
const sched_homes_t *homes_table(const homes_t *);

#endif
