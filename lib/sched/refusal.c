#include <string.h>

#include "sched/impl.h"

/* The jobs that were refused, and when they were told to return. */

/*
 * A job of a few seconds is overdue by then, so that the time of its first
 * submission no longer matters.
 */
#define REFUSAL_RETENTION_US (12 * GW_US_PER_S)
/* Bounds the memory for refusals; beyond this number the oldest is evicted. */
#define REFUSALS_MAX 4096
/* Limits of the delay in the Retry-After header, which has whole seconds. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 4000

/* A refused job. When it is submitted again, its age counts from first_us. */
typedef struct {
	char id[SCHED_JOB_ID_BYTES];
	uint64_t first_us;
	uint64_t due_us; /* told to return then; 0: accepted since */
} refusal_t;

struct sched_refusals {
	GHashTable *by_id; /* id -> refusal_t, owned by order */
	GQueue *order;	   /* refusal_t, oldest first */
};

/*
 * Returns an empty list of refusals.
 */
sched_refusals_t *
sched_refusals_new(void)
{
	sched_refusals_t *refusals = g_new0(sched_refusals_t, 1);

	refusals->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	refusals->order = g_queue_new();
	return refusals;
}

/*
 * Frees the list of refusals.
 */
void
sched_refusals_free(sched_refusals_t *refusals)
{
	g_hash_table_destroy(refusals->by_id);
	g_queue_free_full(refusals->order, g_free);
	g_free(refusals);
}

static void
evict_oldest(sched_refusals_t *refusals)
{
	refusal_t *oldest = g_queue_pop_head(refusals->order);

	g_hash_table_remove(refusals->by_id, oldest->id);
	g_free(oldest);
}

static void
evict_expired(sched_refusals_t *refusals, uint64_t now_us)
{
	const refusal_t *oldest;

	while ((oldest = g_queue_peek_head(refusals->order)) != NULL &&
	    (gw_elapsed_us(now_us, oldest->first_us) > REFUSAL_RETENTION_US ||
		g_queue_get_length(refusals->order) > REFUSALS_MAX))
		evict_oldest(refusals);
}

/*
 * Returns the time at which the job was first submitted.
 */
uint64_t
sched_refusal_first_us(
    const sched_pool_t *pool, const char *id, uint64_t now_us)
{
	const refusal_t *refusal =
	    g_hash_table_lookup(pool->refusals->by_id, id);

	return refusal == NULL ? now_us : refusal->first_us;
}

static uint64_t
spec_cpu_ms(const Gw__JobSpec *spec)
{
	uint64_t cpu_ms = 0;

	for (size_t i = 0; i < spec->n_steps; i++)
		cpu_ms += sched_step_work_cpu_ms(
		    spec->steps[i], spec->steps[i]->count);
	return cpu_ms;
}

/*
 * Returns when a refused job may return: when what is ahead of it has had its
 * room, in wait_ms.
 */
uint32_t
sched_refusal_retry_ms(uint64_t wait_ms)
{
	return (uint32_t)CLAMP(wait_ms, RETRY_MIN_MS, RETRY_MAX_MS);
}

/*
 * Notes that the job is refused and was told to return after this time. Whoever
 * returns then and is refused again was promised too much.
 */
void
sched_refusal_record(sched_pool_t *pool, const Gw__JobSpec *spec,
    uint32_t retry_after_ms, uint64_t now_us)
{
	refusal_t *refusal =
	    g_hash_table_lookup(pool->refusals->by_id, spec->id);

	if (refusal != NULL) {
		pool->estimates.promises_broken +=
		    refusal->due_us != 0 && now_us >= refusal->due_us;
		refusal->due_us = now_us + retry_after_ms * GW_US_PER_MS;
		return;
	}
	refusal = g_new0(refusal_t, 1);
	refusal->due_us = now_us + retry_after_ms * GW_US_PER_MS;
	g_strlcpy(refusal->id, spec->id, sizeof(refusal->id));
	refusal->first_us = now_us;
	g_queue_push_tail(pool->refusals->order, refusal);
	g_hash_table_insert(pool->refusals->by_id, refusal->id, refusal);
	evict_expired(pool->refusals, now_us);
	/* The planner counts refused work as demand. */
	pool->demand_cpu_ms += spec_cpu_ms(spec);
}

/*
 * Notes that a job that may have been refused before is accepted.
 */
void
sched_refusal_accepted(sched_pool_t *pool, const char *id)
{
	refusal_t *refusal = g_hash_table_lookup(pool->refusals->by_id, id);

	if (refusal == NULL || refusal->due_us == 0)
		return;
	refusal->due_us = 0;
	pool->estimates.promises_held++;
}
