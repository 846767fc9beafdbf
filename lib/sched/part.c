#include <string.h>

#include "sched/impl.h"

/*
 * Parts of a job in other shards. Tasks that last do not end, so a job stays
 * where some of them are placed, even if its others find no room there. Those
 * are handed to a shard that offers room. One transaction writes the job's
 * record, in which they are away, and a row of the other shard; that one's
 * owner removes the row with the write of its own record. So each task is in
 * one record or one row of the store at any time, and whoever loads that goes
 * on with it.
 *
 * The part is a job of its shard for everything about its runs, and for nothing
 * that callers ask: state and cancel are those of the shard that has the job.
 * Its owner tells each shard with a part of the end of the job. Tasks of a part
 * that find no room go back to that shard, which hands them on, so that it
 * knows of all parts.
 */

bool
sched_job_is_part(const sched_job_t *job)
{
	return job->part_of[0] != '\0';
}

/*
 * Returns whether other shards may have tasks of the job.
 */
bool
sched_job_is_split(const sched_job_t *job)
{
	return job->peers != NULL || job->hand != NULL;
}

/*
 * Returns the job with this id, or NULL if the shard has none, or only a part
 * of it.
 */
sched_job_t *
sched_pool_find_job(const sched_pool_t *pool, const char *id)
{
	sched_job_t *job = g_hash_table_lookup(pool->jobs, id);

	return job == NULL || sched_job_is_part(job) ? NULL : job;
}

bool
sched_pool_holds_part(const sched_pool_t *pool, const char *id)
{
	const sched_job_t *job = g_hash_table_lookup(pool->jobs, id);

	return job != NULL && sched_job_is_part(job);
}

/* The shards that are told of a job. */

sched_peer_t *
sched_part_find_peer(const sched_job_t *job, const char *shard)
{
	for (guint i = 0; job->peers != NULL && i < job->peers->len; i++) {
		sched_peer_t *peer = job->peers->pdata[i];

		if (strcmp(peer->shard, shard) == 0)
			return peer;
	}
	return NULL;
}

static void
peer_free(gpointer data)
{
	sched_peer_t *peer = data;

	if (peer->steps != NULL)
		g_array_unref(peer->steps);
	g_free(peer);
}

/*
 * Notes that the shard is to be told of the job, at once.
 */
void
sched_part_tell(sched_pool_t *pool, sched_job_t *job, const char *shard)
{
	sched_peer_t *peer = sched_part_find_peer(job, shard);

	if (job->peers == NULL) {
		job->peers = g_ptr_array_new_with_free_func(peer_free);
		g_ptr_array_add(pool->split, job);
	}
	if (peer == NULL) {
		peer = g_new0(sched_peer_t, 1);
		g_strlcpy(peer->shard, shard, sizeof(peer->shard));
		g_ptr_array_add(job->peers, peer);
	}
	peer->version++;
	peer->is_told = false;
	peer->due_us = gw_clock_now_us(pool->clock);
	peer->retry_us = SCHED_PEER_RETRY_US;
}

/*
 * Handles that no other shard has tasks of the job.
 */
void
sched_part_forget_peers(sched_pool_t *pool, sched_job_t *job)
{
	if (job->peers == NULL)
		return;
	g_ptr_array_unref(job->peers);
	job->peers = NULL;
	g_ptr_array_remove_fast(pool->split, job);
}

/*
 * Sets what the job's record says of other shards.
 */
void
sched_part_load(
    sched_pool_t *pool, sched_job_t *job, const Gw__JobRecord *record)
{
	/* An owner that knows no parts leaves the specification as it is. */
	g_strlcpy(job->part_of,
	    record->part_of[0] == '\0' && job->spec != NULL ? job->spec->part_of
							    : record->part_of,
	    sizeof(job->part_of));
	if (sched_job_is_part(job))
		sched_part_tell(pool, job, job->part_of);
	for (size_t i = 0; i < record->n_parts; i++)
		sched_part_tell(pool, job, record->parts[i]);
}

/*
 * Forgets the hand-over in progress.
 */
void
sched_part_clear_hand(sched_job_t *job)
{
	g_bytes_unref(job->hand->value);
	g_free(job->hand);
	job->hand = NULL;
}

void
sched_part_free(sched_job_t *job)
{
	if (job->peers != NULL)
		g_ptr_array_unref(job->peers);
	if (job->hand != NULL)
		sched_part_clear_hand(job);
	if (job->received != NULL)
		g_ptr_array_unref(job->received);
}
