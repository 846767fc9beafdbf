#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "gw/clock.h"
#include "sched/shard.h"

/*
 * A surge to five times the mean load of a shard of this size takes about a
 * tenth of a core of its owner.
 */
#define INSTANCES_PER_SHARD 45
/* Each instance registers within one of its heartbeat intervals. */
#define SETTLED_US (1500 * GW_US_PER_MS)
/*
 * The number of shards is decided after this time even if instances keep
 * registering; otherwise the system might never start.
 */
#define SETTLE_MAX_US (6 * GW_US_PER_S)
/* Cannot occur in the name of a pool, which is a host label. */
#define SEPARATOR '~'

/*
 * Returns the number of shards, between 1 and SHARDS_MAX.
 */
uint32_t
shard_count_for(uint32_t instances)
{
	uint32_t count =
	    (instances + INSTANCES_PER_SHARD - 1) / INSTANCES_PER_SHARD;

	return CLAMP(count, 1, SHARDS_MAX);
}

/*
 * Returns whether the largest pool has stopped growing. A decision made while
 * instances still register would give a large fleet too few shards for good.
 */
bool
shard_growth_settled(shard_growth_t *growth, uint32_t largest, uint64_t now_us)
{
	if (growth->since_us == 0)
		growth->started_us = now_us;
	if (growth->since_us == 0 || largest > growth->largest) {
		growth->largest = largest;
		growth->since_us = now_us;
		return false;
	}
	if (growth->largest == 0)
		return false;
	return gw_elapsed_us(now_us, growth->since_us) >= SETTLED_US ||
	    gw_elapsed_us(now_us, growth->started_us) >= SETTLE_MAX_US;
}

/*
 * Returns the number of the shard that a job or an instance belongs to.
 */
uint32_t
shard_of_id(const char *id, uint32_t count)
{
	if (count <= 1)
		return 0;
	return (uint32_t)(XXH64(id, strlen(id), 0) % count);
}

/*
 * Writes the name of a shard of a pool to out.
 */
void
shard_format_name(const char *pool, uint32_t shard, uint32_t count,
    char out[SCHED_NAME_BYTES])
{
	if (count <= 1)
		(void)g_strlcpy(out, pool, SCHED_NAME_BYTES);
	else
		(void)snprintf(
		    out, SCHED_NAME_BYTES, "%s%c%u", pool, SEPARATOR, shard);
}

/*
 * Splits a shard's name into the pool's name and the shard's number.
 */
uint32_t
shard_parse_name(const char *name, char pool[SCHED_NAME_BYTES])
{
	const char *mark = strrchr(name, SEPARATOR);

	(void)g_strlcpy(pool, name, SCHED_NAME_BYTES);
	if (mark == NULL)
		return 0;
	pool[MIN((size_t)(mark - name), SCHED_NAME_BYTES - 1)] = '\0';
	return (uint32_t)strtoul(mark + 1, NULL, 10);
}
