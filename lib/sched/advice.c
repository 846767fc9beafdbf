#include "sched/impl.h"

/* Delay before the next request after one that failed or gave no instance. */
#define ADVICE_RETRY_US (200 * GW_US_PER_MS)

static sched_step_t *
find_step(const sched_pool_t *pool, const sched_task_ref_t *ref)
{
	const sched_task_t *task = sched_pool_find_task(pool, ref);

	return task == NULL ? NULL : sched_task_step_state(task);
}

/*
 * Stores which instances may run a step, with their tickets.
 */
void
sched_pool_set_advice(sched_pool_t *pool, const sched_task_ref_t *ref,
    const char *const *instances, const char *const *tickets, uint32_t count,
    uint32_t valid_ms)
{
	sched_step_t *step = find_step(pool, ref);
	uint64_t now_us = gw_clock_now_us(pool->clock);

	if (step == NULL)
		return;
	step->advice_pending = false;
	if (step->tickets != NULL)
		g_hash_table_destroy(step->tickets);
	step->tickets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (uint32_t i = 0; i < count; i++)
		g_hash_table_insert(step->tickets, g_strdup(instances[i]),
		    g_strdup(tickets[i]));
	step->tickets_expiry_us = now_us + valid_ms * GW_US_PER_MS;
	if (count == 0)
		step->advice_retry_us = now_us + ADVICE_RETRY_US;
}

/*
 * Handles a failed request for advice, which is repeated later.
 */
void
sched_pool_advice_failed(sched_pool_t *pool, const sched_task_ref_t *ref)
{
	sched_step_t *step = find_step(pool, ref);

	if (step == NULL)
		return;
	step->advice_pending = false;
	step->advice_retry_us = gw_clock_now_us(pool->clock) + ADVICE_RETRY_US;
}
