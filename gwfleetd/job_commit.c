#include <stdlib.h>
#include <string.h>

#include "gw/log.h"
#include "jobs_state.h"

static job_shard_t *
shard_from_record(record_t *record)
{
	return (job_shard_t *)record;
}

static char *
encode_shard(const fleet_t *fleet, const job_shard_t *shard)
{
	json_t *array = json_array(), *root;
	GHashTableIter iter;
	gpointer value;
	char *text, *copy;
	job_t *job;

	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job = value;
		if (job->shard != shard->number)
			continue;
		job->in_write = true;
		(void)json_array_append_new(array, job_encode(job));
	}
	root = json_pack("{s:I, s:I, s:o}", "epoch",
	    (json_int_t)fleet->election.lease.epoch, "serial",
	    (json_int_t)shard->serial, "jobs", array);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	copy = g_strdup(text);
	free(text);
	return copy;
}

/*
 * Adds a job that was read from the store. If two shards have a job of this id,
 * the copy that was started is kept.
 */
static void
add_recorded_job(fleet_t *fleet, job_shard_t *shard, job_t *job)
{
	job_t *known = jobs_find(fleet, job->spec.id);

	shard->serial++;
	if (known != NULL && known->state != JOB_WAITING) {
		g_free(job);
		return;
	}
	if (known != NULL)
		job_commit_remove(fleet, known);
	job->shard = shard->number;
	job->serial = shard->committed_serial;
	job->recorded = true;
	job->task_may_exist = job_placed(job);
	job->task_known_us = fleet_now_us(fleet);
	job->accepted_us = fleet_now_us(fleet);
	job->ended_us = fleet_now_us(fleet);
	if (job->state == JOB_RUNNING || job->state == JOB_CHECKPOINTING)
		job->state = JOB_STARTING;
	shard->jobs++;
	g_hash_table_insert(fleet->jobs->by_id, g_strdup(job->spec.id), job);
}

/*
 * Reads the jobs of a shard that a previous planner wrote. Each job raises the
 * serial, so that the shard is written again: a late write of the previous
 * planner then fails its compare-and-swap.
 */
static void
on_shard_read(fleet_t *fleet, record_t *record)
{
	job_shard_t *shard = shard_from_record(record);
	json_t *root, *from;
	job_t *job;
	size_t i;

	if (!shard->loaded)
		fleet->jobs->loaded++;
	shard->loaded = true;
	shard->committed_serial = shard->serial;
	if (record->value == NULL)
		return;
	root = json_loads(record->value, 0, NULL);
	shard->serial = MAX(shard->serial,
	    (uint64_t)json_integer_value(json_object_get(root, "serial")));
	shard->committed_serial = shard->serial;
	json_array_foreach(json_object_get(root, "jobs"), i, from)
	{
		job = job_decode(from);
		if (job != NULL)
			add_recorded_job(fleet, shard, job);
	}
	json_decref(root);
	gw_log(GW_EV_JOB_SHARD, "shard=%u jobs=%u", shard->number, shard->jobs);
}

/*
 * Ends the shard's write: its jobs are recorded if the write took effect.
 */
static void
finish_write(fleet_t *fleet, const job_shard_t *shard, bool written)
{
	GHashTableIter iter;
	gpointer value;
	job_t *job;

	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job = value;
		if (job->shard != shard->number)
			continue;
		job->recorded |= written && job->in_write;
		job->in_write = false;
	}
}

static void
on_shard_written(fleet_t *fleet, record_t *record)
{
	job_shard_t *shard = shard_from_record(record);
	jobs_t *jobs = fleet->jobs;

	finish_write(fleet, shard, true);
	shard->committed_serial = shard->writing_serial;
	for (guint i = 0; i < jobs->waiters->len; i++) {
		job_waiter_t *waiter = jobs->waiters->pdata[i];

		if (waiter->shard == shard->number &&
		    waiter->serial <= shard->committed_serial)
			job_reply_committed(fleet, waiter);
	}
	job_waiters_remove_answered(jobs);
	jobs_tick(fleet);
}

/*
 * Handles a write that lost against another planner's: the jobs are replaced by
 * those in the store, and changes that are not stored are discarded.
 */
static void
on_shard_lost(fleet_t *fleet, record_t *record)
{
	job_shard_t *shard = shard_from_record(record);
	jobs_t *jobs = fleet->jobs;
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < jobs->waiters->len; i++) {
		job_waiter_t *waiter = jobs->waiters->pdata[i];

		if (waiter->shard == shard->number)
			job_reply_refused(fleet, waiter,
			    "another planner wrote the record first");
	}
	job_waiters_remove_answered(jobs);
	g_hash_table_iter_init(&iter, jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((job_t *)value)->shard != shard->number)
			continue;
		job_place_remove(fleet, value);
		g_hash_table_iter_remove(&iter);
	}
	shard->jobs = 0;
	jobs->adopted = false;
	on_shard_read(fleet, record);
}

static const record_ops_t shard_ops = {
    .on_read = on_shard_read,
    .on_written = on_shard_written,
    .on_lost = on_shard_lost,
};

/*
 * Initializes the records of all shards.
 */
void
job_commit_init(fleet_t *fleet)
{
	char key[160];

	for (guint i = 0; i < JOB_SHARDS; i++) {
		job_shard_t *shard = &fleet->jobs->shards[i];

		(void)g_snprintf(key, sizeof(key), "/gw/dc/%s/jobs/%u",
		    fleet->config.data_centre, i);
		record_init(&shard->record, &shard_ops, key);
		shard->number = i;
	}
}

/*
 * Reads all shards at the beginning of a term.
 */
void
job_commit_read(fleet_t *fleet)
{
	jobs_t *jobs = fleet->jobs;

	jobs->write_tokens = JOB_WRITES_BURST;
	jobs->tokens_us = fleet_now_us(fleet);
	for (guint i = 0; i < JOB_SHARDS; i++)
		record_read(fleet, &jobs->shards[i].record);
}

/*
 * Returns whether the change that the request waits for may have reached the
 * store with the pending write.
 */
static bool
may_be_in_store(const job_shard_t *shard, const job_waiter_t *waiter)
{
	return !record_idle(&shard->record) &&
	    waiter->serial <= shard->writing_serial &&
	    (shard->record.sent || shard->record.retry_us == 0);
}

/*
 * Ends the term and frees all jobs. Submissions that cannot have reached the
 * store are refused; the outcome of all other waiting requests is unknown.
 */
void
job_commit_end(fleet_t *fleet)
{
	jobs_t *jobs = fleet->jobs;

	for (guint i = 0; i < jobs->waiters->len; i++) {
		job_waiter_t *waiter = jobs->waiters->pdata[i];

		if (!waiter->creates_job ||
		    may_be_in_store(&jobs->shards[waiter->shard], waiter))
			job_reply_unknown(fleet, waiter);
		else
			job_reply_refused(
			    fleet, waiter, "this gwfleetd is not the planner");
	}
	g_ptr_array_set_size(jobs->waiters, 0);
	for (guint i = 0; i < JOB_SHARDS; i++) {
		job_shard_t *shard = &jobs->shards[i];

		record_cancel(fleet, &shard->record);
		shard->loaded = false;
		shard->write_first = false;
		shard->jobs = 0;
	}
	g_hash_table_remove_all(jobs->by_id);
	jobs->loaded = 0;
}

/*
 * Adds a new job to the first shard that is not full, since one write stores
 * all changes of a shard. Returns false when all shards are full.
 */
bool
job_commit_add(fleet_t *fleet, job_t *job)
{
	jobs_t *jobs = fleet->jobs;

	for (guint i = 0; i < JOB_SHARDS; i++) {
		if (jobs->shards[i].jobs >= JOB_SHARD_JOBS_MAX)
			continue;
		jobs->shards[i].jobs++;
		job->shard = i;
		g_hash_table_insert(jobs->by_id, g_strdup(job->spec.id), job);
		job_mark_changed(fleet, job);
		return true;
	}
	return false;
}

/*
 * Removes a job from its shard and frees it.
 */
void
job_commit_remove(fleet_t *fleet, job_t *job)
{
	job_shard_t *shard = &fleet->jobs->shards[job->shard];

	shard->serial++;
	shard->jobs--;
	job_place_remove(fleet, job);
	g_hash_table_remove(fleet->jobs->by_id, job->spec.id);
}

/*
 * Marks the job as changed, so that its shard is written. A start waits for the
 * write, so it gets priority.
 */
void
job_mark_changed(fleet_t *fleet, job_t *job)
{
	job_shard_t *shard = &fleet->jobs->shards[job->shard];

	job->serial = ++shard->serial;
	if (job->state == JOB_STARTING)
		shard->write_first = true;
}

/*
 * Returns whether the job's last change is in the store.
 */
bool
job_committed(const fleet_t *fleet, const job_t *job)
{
	return job->serial <= fleet->jobs->shards[job->shard].committed_serial;
}

/*
 * Replies to the request once the job's last change is in the store.
 */
void
job_wait_for_commit(fleet_t *fleet, const job_t *job, void *request,
    bool creates_job, bool repeated)
{
	job_waiter_t *waiter = g_new0(job_waiter_t, 1);

	waiter->request = request;
	waiter->shard = job->shard;
	waiter->serial = job->serial;
	waiter->since_us = fleet_now_us(fleet);
	waiter->creates_job = creates_job;
	waiter->repeated = repeated;
	g_strlcpy(waiter->id, job->spec.id, sizeof(waiter->id));
	if (job_committed(fleet, job)) {
		job_reply_committed(fleet, waiter);
		g_free(waiter);
		return;
	}
	fleet->jobs->shards[job->shard].write_first = true;
	g_ptr_array_add(fleet->jobs->waiters, waiter);
	job_commit_flush(fleet);
}

static void
flush_shards(fleet_t *fleet, bool write_first)
{
	jobs_t *jobs = fleet->jobs;

	for (guint i = 0; i < JOB_SHARDS && jobs->write_tokens >= 1; i++) {
		job_shard_t *shard = &jobs->shards[i];

		if (!shard->loaded || shard->write_first != write_first ||
		    !record_idle(&shard->record) ||
		    shard->serial <= shard->committed_serial ||
		    shard->record.retry_us > fleet_now_us(fleet))
			continue;
		jobs->write_tokens--;
		jobs->metrics.writes->value++;
		shard->write_first = false;
		shard->writing_serial = shard->serial;
		record_write(fleet, &shard->record, encode_shard(fleet, shard));
	}
}

/*
 * Writes the shards that changed, as far as the write rate allows; first those
 * that a client or a start waits for. Changes during a write go into the next
 * one.
 */
void
job_commit_flush(fleet_t *fleet)
{
	jobs_t *jobs = fleet->jobs;
	uint64_t now_us = fleet_now_us(fleet);

	if (!jobs_ready(fleet))
		return;
	jobs->write_tokens = MIN(JOB_WRITES_BURST,
	    jobs->write_tokens +
		(double)(now_us - jobs->tokens_us) * JOB_WRITES_PER_S /
		    (double)GW_US_PER_S);
	jobs->tokens_us = now_us;
	flush_shards(fleet, true);
	flush_shards(fleet, false);
}

/*
 * Refuses the new jobs of a shard that the store cannot write now, except those
 * that an earlier attempt may have stored.
 */
static void
refuse_unsent(fleet_t *fleet, job_shard_t *shard)
{
	jobs_t *jobs = fleet->jobs;
	bool removed = false;
	job_t *job;

	for (guint i = 0; i < jobs->waiters->len; i++) {
		job_waiter_t *waiter = jobs->waiters->pdata[i];

		if (waiter->shard != shard->number || !waiter->creates_job ||
		    may_be_in_store(shard, waiter))
			continue;
		job = jobs_find(fleet, waiter->id);
		if (job != NULL && !job->recorded)
			job_commit_remove(fleet, job);
		job_reply_refused(
		    fleet, waiter, "the store takes no writes now");
		removed = true;
	}
	if (removed && shard->record.phase == RECORD_WRITING &&
	    !shard->record.sent) {
		record_cancel(fleet, &shard->record);
		finish_write(fleet, shard, false);
	}
	if (record_idle(&shard->record))
		shard->record.retry_us =
		    fleet_now_us(fleet) + RECORD_RETRY_MS * GW_US_PER_MS;
	job_waiters_remove_answered(jobs);
}

/*
 * Repeats store calls that failed, and expires requests that waited too long.
 */
void
job_commit_tick(fleet_t *fleet)
{
	jobs_t *jobs = fleet->jobs;

	for (guint i = 0; i < JOB_SHARDS; i++) {
		job_shard_t *shard = &jobs->shards[i];

		if (shard->loaded && shard->record.retry_us != 0 &&
		    !record_idle(&shard->record))
			refuse_unsent(fleet, shard);
		if (!record_idle(&shard->record))
			record_tick(fleet, &shard->record);
	}
	job_waiters_expire(fleet);
}
