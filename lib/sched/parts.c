#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "gw/clock.h"
#include "sched/parts.h"

/*
 * Instances that one owner looks after: a pool's surge of five times its mean
 * then takes about a tenth of a core of its owner.
 */
#define INSTANCES_PER_PART 45
/* Instances register within a heartbeat of theirs, 1.5 s, of each other. */
#define SETTLED_US (1500 * GW_US_PER_MS)
/* Instances that come and go for ever must not keep the system from starting.
 */
#define SETTLE_MAX_US (6 * GW_US_PER_S)
/* Does not occur in names of pools, which are host labels. */
#define SEPARATOR '~'

/*
 * Returns the number of parts, between 1 and PARTS_MAX.
 */
uint32_t
parts_for(uint32_t instances)
{
	uint32_t count =
	    (instances + INSTANCES_PER_PART - 1) / INSTANCES_PER_PART;

	return CLAMP(count, 1, PARTS_MAX);
}

/*
 * Tells whether the largest pool has stopped to grow. A decision on the first
 * instances that register would give a large fleet too few parts for ever.
 */
bool
parts_settled(parts_growth_t *growth, uint32_t largest, uint64_t now_us)
{
	if (growth->since_us == 0)
		growth->begun_us = now_us;
	if (growth->since_us == 0 || largest > growth->largest) {
		growth->largest = largest;
		growth->since_us = now_us;
		return false;
	}
	if (growth->largest == 0)
		return false;
	return gw_elapsed_us(now_us, growth->since_us) >= SETTLED_US ||
	    gw_elapsed_us(now_us, growth->begun_us) >= SETTLE_MAX_US;
}

/*
 * Returns the part that a job or an instance belongs to.
 */
uint32_t
parts_of(const char *id, uint32_t count)
{
	if (count <= 1)
		return 0;
	return (uint32_t)(XXH64(id, strlen(id), 0) % count);
}

/*
 * Writes the name of a part of a pool.
 */
void
parts_name(
    const char *pool, uint32_t part, uint32_t count, char out[SCHED_NAME_BYTES])
{
	if (count <= 1)
		(void)g_strlcpy(out, pool, SCHED_NAME_BYTES);
	else
		(void)snprintf(
		    out, SCHED_NAME_BYTES, "%s%c%u", pool, SEPARATOR, part);
}

/*
 * Takes a part's name apart.
 */
uint32_t
parts_split(const char *name, char pool[SCHED_NAME_BYTES])
{
	const char *mark = strrchr(name, SEPARATOR);

	(void)g_strlcpy(pool, name, SCHED_NAME_BYTES);
	if (mark == NULL)
		return 0;
	pool[MIN((size_t)(mark - name), SCHED_NAME_BYTES - 1)] = '\0';
	return (uint32_t)strtoul(mark + 1, NULL, 10);
}
