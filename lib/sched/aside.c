#include "gw/log.h"
#include "sched/impl.h"

/*
 * Jobs whose record the store refuses as it is. Such a job must not keep others
 * from being written: it is set aside, with its last record in the store, and
 * tried again later, when its record may have changed. Its runs go on, but
 * nothing new of it is started or acknowledged, since neither would be
 * recorded.
 */

/* How long a job is set aside. */
#define ASIDE_US (5 * GW_US_PER_S)

/*
 * Takes back the starts that wait for the record.
 */
static void
release_reserved(sched_job_t *job)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence = job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->task_count; k++)
			if (occurrence->tasks[k].state == SCHED_TASK_RESERVED)
				sched_task_requeue(
				    &occurrence->tasks[k], "not-recorded");
	}
}

static void
undo_mark_dirty(sched_pool_t *pool, sched_job_t *job)
{
	if (job->dirty)
		(void)g_queue_remove(pool->dirty, job);
	job->dirty = false;
}

static void
notify_waiters(sched_job_t *job, const sched_response_t *response)
{
	sched_notify_waiters(job->waiters, response);
	g_array_set_size(job->waiters, 0);
}

/*
 * Removes a job of which nothing is in the store, and refuses it.
 */
void
sched_job_refuse_new(
    sched_pool_t *pool, sched_job_t *job, const sched_response_t *refused)
{
	release_reserved(job);
	notify_waiters(job, refused);
	undo_mark_dirty(pool, job);
	g_ptr_array_remove_fast(pool->open, job);
	g_ptr_array_remove_fast(pool->cleanup, job);
	(void)g_queue_remove(pool->ended, job);
	sched_queue_job_removed(pool, job);
	g_hash_table_remove(pool->jobs, job->id);
}

/*
 * Handles that the store has refused the records of one job.
 */
void
sched_aside_add(sched_pool_t *pool, sched_job_t *job)
{
	const sched_response_t unknown = {
	    .outcome = GW__CALL_OUTCOME__CALL_UNKNOWN,
	    .reason = "record-refused"};
	const sched_response_t refused = {
	    .outcome = GW__CALL_OUTCOME__CALL_REFUSED,
	    .retry_after_ms = SCHED_REFUSED_RETRY_AFTER_MS,
	    .reason = "record-refused"};

	gw_log(GW_EV_RECORD_REFUSED,
	    "job=%s pool=%s recorded=%d occurrences=%u retry_ms=%" PRIu64,
	    job->id, pool->name, job->spec_recorded, job->occurrences->len,
	    job->spec_recorded ? ASIDE_US / GW_US_PER_MS : 0);
	if (!job->spec_recorded && !sched_job_has_ended(job)) {
		sched_job_refuse_new(pool, job, &refused);
		return;
	}
	release_reserved(job);
	notify_waiters(job, &unknown);
	undo_mark_dirty(pool, job);
	job->move_to[0] = '\0';
	job->aside_until_us = gw_clock_now_us(pool->clock) + ASIDE_US;
	job->hand_due_us = job->aside_until_us + SCHED_HAND_PAUSE_US;
	g_ptr_array_add(pool->aside, job);
}

/*
 * Lets the job be written again.
 */
void
sched_aside_end(sched_pool_t *pool, sched_job_t *job)
{
	if (job->aside_until_us == 0)
		return;
	job->aside_until_us = 0;
	g_ptr_array_remove_fast(pool->aside, job);
	sched_job_mark_dirty(pool, job);
}

void
sched_aside_tick(sched_pool_t *pool, uint64_t now_us)
{
	for (guint i = pool->aside->len; i-- > 0;) {
		sched_job_t *job = pool->aside->pdata[i];

		if (now_us >= job->aside_until_us)
			sched_aside_end(pool, job);
	}
}
