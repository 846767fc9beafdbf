#ifndef SCHED_LOOKUP_H
#define SCHED_LOOKUP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "sched/sched.h"

/*
 * Where the jobs of a queue are. The configuration names the pool that gets the
 * queue's next jobs. A job stays in the pool that accepted it, so that after a
 * change of the configuration a caller's request may have to go to others too.
 */

/* The shards that have accepted jobs of each queue. */
typedef struct sched_homes sched_homes_t;

sched_homes_t *sched_homes_new(void);
void sched_homes_free(sched_homes_t *);
/* Adds a shard, by its name, to those of the queue with this key. */
void sched_homes_add(sched_homes_t *, const char *key, const char *shard);
/* Returns whether a shard of another pool has accepted jobs of the queue. */
bool sched_homes_has_other(
    const sched_homes_t *, const char *key, const char *pool);
/* Calls cb with each of the shards. */
void sched_homes_foreach(
    const sched_homes_t *, void (*cb)(const char *shard, void *arg), void *arg);

/* The queue of a caller's request, as the configuration in force has it. */
typedef struct {
	const char *key;  /* see sched_queue_t */
	const char *pool; /* gets the queue's next jobs */
	uint32_t shard_count;
} sched_lookup_queue_t;

/* A call that a request needs, to the owner of a shard. */
typedef struct {
	Gw__CallKind kind;
	char shard[SCHED_NAME_BYTES];
} sched_lookup_call_t;

/*
 * The calls for one request. Those that count the pending jobs of a queue are
 * made at the same time; of others, the next one is made only once the last one
 * has not decided the request.
 */
typedef struct sched_lookup sched_lookup_t;

/*
 * Returns the calls for a request about a job, or about a queue if its kind is
 * GW__CALL_KIND__CALL_PENDING; then id is not used.
 */
sched_lookup_t *sched_lookup_new(const sched_homes_t *,
    const sched_lookup_queue_t *, Gw__CallKind kind, const char *id);
void sched_lookup_free(sched_lookup_t *);
/* Returns the next call, or NULL after the last one. */
const sched_lookup_call_t *sched_lookup_next(sched_lookup_t *);
/* Returns whether all calls are made at the same time. */
bool sched_lookup_is_parallel(const sched_lookup_t *);
/*
 * Takes the response to a call that sched_lookup_next() returned. Returns true
 * once the request is decided.
 */
bool sched_lookup_add(sched_lookup_t *, const Gw__Reply *);
/* Returns the response to the request, once it is decided. */
const Gw__Reply *sched_lookup_result(const sched_lookup_t *);

#endif
