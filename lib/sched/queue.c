#include "sched/impl.h"

/*
 * The queues whose jobs the pool has. Each has a row in the store from its
 * first job to the removal of its last one, by which other processes find the
 * jobs when the configuration sends the queue to another pool. The row is
 * written in the same batch as the specification of the first job.
 */
struct sched_queue_use {
	uint32_t jobs;	  /* in the pool, ended ones too */
	bool is_recorded; /* the store has, or is about to have, the row */
};

static sched_queue_use_t *
get_use(sched_pool_t *pool, const char *key)
{
	sched_queue_use_t *use = g_hash_table_lookup(pool->queues, key);

	if (use != NULL)
		return use;
	use = g_new0(sched_queue_use_t, 1);
	g_hash_table_insert(pool->queues, g_strdup(key), use);
	return use;
}

/*
 * Sets the queue of a job. Jobs from before the key was recorded have none.
 */
void
sched_job_set_queue_key(sched_pool_t *pool, sched_job_t *job, const char *key)
{
	if (key[0] == '\0' || job->queue_key[0] != '\0')
		return;
	g_strlcpy(job->queue_key, key, sizeof(job->queue_key));
	get_use(pool, job->queue_key)->jobs++;
}

/*
 * Counts a job of the queue that is in another shard, but is found by this one.
 */
void
sched_queue_use(sched_pool_t *pool, const char *key)
{
	if (key[0] != '\0')
		get_use(pool, key)->jobs++;
}

/*
 * Handles that the queue has one job less.
 */
void
sched_queue_unuse(sched_pool_t *pool, const char *key)
{
	sched_queue_use_t *use = g_hash_table_lookup(pool->queues, key);

	if (use == NULL)
		return;
	use->jobs--;
	if (use->jobs == 0 && use->is_recorded)
		pool->has_unused_queues = true;
	else if (use->jobs == 0)
		(void)g_hash_table_remove(pool->queues, key);
}

/*
 * Handles that the job is removed from the pool, or is about to be.
 */
void
sched_queue_job_removed(sched_pool_t *pool, sched_job_t *job)
{
	sched_queue_unuse(pool, job->queue_key);
	job->queue_key[0] = '\0';
}

/*
 * Returns whether the row of the job's queue must be written with the job, and
 * counts it as written.
 */
bool
sched_queue_take_row(sched_pool_t *pool, const sched_job_t *job)
{
	sched_queue_use_t *use =
	    g_hash_table_lookup(pool->queues, job->queue_key);

	if (use == NULL || use->is_recorded)
		return false;
	use->is_recorded = true;
	return true;
}

/*
 * Removes a queue without jobs from the table and returns its key, whose row is
 * to be removed from the store; NULL if there is none. The caller frees the
 * key.
 */
char *
sched_queue_take_unused(sched_pool_t *pool)
{
	GHashTableIter iter;
	sched_queue_use_t *use;
	gpointer key;

	if (!pool->has_unused_queues)
		return NULL;
	g_hash_table_iter_init(&iter, pool->queues);
	while (g_hash_table_iter_next(&iter, &key, (gpointer *)&use)) {
		if (use->jobs > 0)
			continue;
		g_hash_table_iter_steal(&iter);
		g_free(use);
		return key;
	}
	pool->has_unused_queues = false;
	return NULL;
}

/*
 * Loads a row from the store, after the jobs.
 */
void
sched_pool_load_queue(sched_pool_t *pool, const char *key)
{
	sched_queue_use_t *use = get_use(pool, key);

	use->is_recorded = true;
	pool->has_unused_queues |= use->jobs == 0;
}

/*
 * Handles that the store has refused a batch with a write of a row.
 */
void
sched_queue_undo_write(sched_pool_t *pool, const sched_write_t *write)
{
	sched_queue_use_t *use = g_hash_table_lookup(pool->queues, write->id);

	if (write->value == NULL)
		sched_pool_load_queue(pool, write->id);
	else if (use != NULL)
		use->is_recorded = false;
}
