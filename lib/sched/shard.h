#ifndef SCHED_SHARD_H
#define SCHED_SHARD_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/name.h"

/*
 * A pool is divided into shards with one owner each, so that no single process
 * schedules the whole pool. A job belongs to a shard by the hash of its id, an
 * instance by the hash of its machine; a job that its shard cannot run is
 * transferred to another one (transfer.c). Machines are lent only between
 * shards with the same number. The number of shards is decided once for a
 * system and kept in the store.
 */
#define SHARDS_MAX 16

/* Returns the number of shards for pools of up to this many instances. */
uint32_t shard_count_for(uint32_t instances);
/*
 * The growth of the registry after the start of a system, whose instances
 * register one by one.
 */
typedef struct {
	uint32_t largest; /* size of the largest pool so far, in instances */
	/* When the largest pool last grew; 0: not polled yet. */
	uint64_t since_us;
	uint64_t started_us; /* first poll */
} shard_growth_t;
/*
 * Records the size of the largest pool at now_us. Returns true once the number
 * of shards can be decided.
 */
bool shard_growth_settled(shard_growth_t *, uint32_t largest, uint64_t now_us);
uint32_t shard_of_id(const char *id, uint32_t count);
/*
 * Writes the name of a shard, which is also the name of the owner's role. When
 * there is only one shard it is the name of the pool.
 */
void shard_format_name(const char *pool, uint32_t shard, uint32_t count,
    char out[SCHED_NAME_BYTES]);
/*
 * Writes the name of the pool to which a shard belongs, and returns the shard's
 * number.
 */
uint32_t shard_parse_name(const char *name, char pool[SCHED_NAME_BYTES]);

#endif
