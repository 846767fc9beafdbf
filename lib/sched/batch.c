#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * Most writes that one job adds to a batch: specification, progress and queue;
 * or, if it is transferred, two records that are removed, two that are written,
 * a note and the queue.
 */
#define JOB_WRITES_MAX 3
#define TRANSFER_WRITES_MAX 6
/* No job is added to a batch whose values have this size. */
#define BATCH_FULL_BYTES (256 * 1024)
/* A wait of records that is logged. */
#define HELD_MIN_US (200 * GW_US_PER_MS)
#define HELD_LOG_INTERVAL_US (500 * GW_US_PER_MS)

const sched_response_t sched_response_owner_gone = {
    .outcome = GW__CALL_OUTCOME__CALL_UNKNOWN, .reason = "owner-gone"};

/*
 * Sends the same response to all waiters (sched_waiter_t).
 */
void
sched_notify_waiters(const GArray *waiters, const sched_response_t *response)
{
	for (guint i = 0; i < waiters->len; i++) {
		const sched_waiter_t *waiter =
		    &g_array_index(waiters, sched_waiter_t, i);

		waiter->cb(response, waiter->arg);
	}
}

static void
write_clear(gpointer data)
{
	sched_write_t *write = data;

	if (write->value != NULL)
		g_bytes_unref(write->value);
}

static sched_batch_t *
batch_new(void)
{
	sched_batch_t *batch = g_new0(sched_batch_t, 1);

	batch->writes = g_array_new(FALSE, FALSE, sizeof(sched_write_t));
	g_array_set_clear_func(batch->writes, write_clear);
	batch->jobs = g_array_new(FALSE, FALSE, sizeof(sched_batch_job_t));
	batch->starts =
	    g_array_new(FALSE, FALSE, sizeof(sched_pending_start_t));
	batch->acks = g_array_new(FALSE, FALSE, sizeof(sched_ack_t));
	batch->waiters = g_array_new(FALSE, FALSE, sizeof(sched_waiter_t));
	return batch;
}

static void
batch_free(sched_batch_t *batch)
{
	g_array_free(batch->writes, TRUE);
	g_array_free(batch->jobs, TRUE);
	g_array_free(batch->starts, TRUE);
	g_array_free(batch->acks, TRUE);
	g_array_free(batch->waiters, TRUE);
	g_free(batch);
}

static void
add_write_to(sched_batch_t *batch, const char *shard, sched_write_kind_t kind,
    const char *id, GBytes *value)
{
	sched_write_t write = {.kind = kind, .value = value};

	batch->size_bytes += value == NULL ? 0 : g_bytes_get_size(value);
	g_strlcpy(write.id, id, sizeof(write.id));
	g_strlcpy(write.shard, shard, sizeof(write.shard));
	g_array_append_val(batch->writes, write);
}

static void
add_write(sched_batch_t *batch, sched_write_kind_t kind, const char *id,
    GBytes *value)
{
	add_write_to(batch, "", kind, id, value);
}

/*
 * Returns the specification in the encoding of the store.
 */
GBytes *
sched_spec_encode(const Gw__JobSpec *spec)
{
	size_t size_bytes = gw__job_spec__get_packed_size(spec);
	uint8_t *data = g_malloc(size_bytes);

	gw__job_spec__pack(spec, data);
	return g_bytes_new_take(data, size_bytes);
}

static void
collect_starts(sched_batch_t *batch, sched_job_t *job)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence = job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->task_count; k++) {
			sched_pending_start_t pending = {
			    &occurrence->tasks[k], occurrence->tasks[k].run};

			if (pending.task->state == SCHED_TASK_RESERVED)
				g_array_append_val(batch->starts, pending);
		}
	}
}

/*
 * Adds the row of the job's queue, unless the store has it.
 */
static void
add_queue(sched_pool_t *pool, sched_batch_t *batch, sched_job_t *job)
{
	if (sched_queue_take_row(pool, job))
		add_write(batch, SCHED_WRITE_QUEUE, job->queue_key,
		    g_bytes_new(job->queue, strlen(job->queue)));
}

/*
 * Moves the records of a job, of which nothing is placed, to another shard.
 */
static void
add_transfer(sched_pool_t *pool, sched_batch_t *batch, sched_job_t *job)
{
	sched_transfer_keep_row(pool, job->id);
	add_queue(pool, batch, job);
	add_write(batch, SCHED_WRITE_SPEC, job->id, NULL);
	add_write(batch, SCHED_WRITE_RECORD, job->id, NULL);
	add_write(
	    batch, SCHED_WRITE_TRANSFER, job->id, sched_transfer_encode(job));
	add_write_to(batch, job->move_to, SCHED_WRITE_SPEC, job->id,
	    sched_spec_encode(job->spec));
	add_write_to(batch, job->move_to, SCHED_WRITE_RECORD, job->id,
	    sched_record_encode(job, pool->bounds.value_max_bytes));
}

/*
 * Adds the row of tasks that are handed to another shard, and removes those of
 * tasks that the job's record has now.
 */
static void
add_part_rows(sched_batch_t *batch, sched_job_t *job)
{
	if (job->hand != NULL) {
		add_write_to(batch, job->hand->shard, SCHED_WRITE_HANDED,
		    job->hand->row, g_bytes_ref(job->hand->value));
		job->hand->in_batch = true;
	}
	if (job->received == NULL)
		return;
	job->received_in_batch =
	    MIN(job->received->len, SCHED_ROWS_REMOVED_MAX);
	for (guint i = 0; i < job->received_in_batch; i++)
		add_write(
		    batch, SCHED_WRITE_HANDED, job->received->pdata[i], NULL);
}

/*
 * Adds the acknowledgements and callers that wait for the job's writes.
 */
static void
add_waiting(sched_batch_t *batch, sched_job_t *job)
{
	g_array_append_vals(batch->acks, job->acks->data, job->acks->len);
	g_array_set_size(job->acks, 0);
	g_array_append_vals(
	    batch->waiters, job->waiters->data, job->waiters->len);
	g_array_set_size(job->waiters, 0);
}

/*
 * Adds the writes of one job, and the starts, acknowledgements and waiters that
 * wait for them.
 */
static void
add_job(sched_pool_t *pool, sched_batch_t *batch, sched_job_t *job)
{
	sched_batch_job_t entry = {.job = job,
	    .first_ack = batch->acks->len,
	    .first_waiter = batch->waiters->len};

	batch->dirty_since_us = MIN(batch->dirty_since_us, job->dirty_since_us);
	job->dirty = false;
	job->in_batch = true;
	job->batch_state = job->state;
	g_array_append_val(batch->jobs, entry);
	if (job->expired) {
		add_write(batch, SCHED_WRITE_RECORD, job->id, NULL);
		sched_queue_job_removed(pool, job);
		return;
	}
	batch->has_new_jobs |= !job->spec_recorded;
	if (job->move_to[0] != '\0') {
		add_transfer(pool, batch, job);
		add_waiting(batch, job);
		return;
	}
	if ((!job->spec_recorded || job->spec_unwritten) &&
	    !sched_job_has_ended(job))
		add_write(batch, SCHED_WRITE_SPEC, job->id,
		    sched_spec_encode(job->spec));
	else if (sched_job_has_ended(job) &&
	    job->recorded < GW__JOB_STATE__JOB_COMPLETED && job->spec_recorded)
		add_write(batch, SCHED_WRITE_SPEC, job->id, NULL);
	add_queue(pool, batch, job);
	add_write(batch, SCHED_WRITE_RECORD, job->id,
	    sched_record_encode(job, pool->bounds.value_max_bytes));
	add_part_rows(batch, job);
	collect_starts(batch, job);
	add_waiting(batch, job);
}

/*
 * Removes the rows of queues whose last job has been removed.
 */
static void
remove_unused_queues(
    sched_pool_t *pool, sched_batch_t *batch, uint32_t writes_max)
{
	while (batch->writes->len < writes_max) {
		g_autofree char *key = sched_queue_take_unused(pool);

		if (key == NULL)
			return;
		add_write(batch, SCHED_WRITE_QUEUE, key, NULL);
	}
}

/*
 * Removes the notes on transferred jobs that are not needed any more.
 */
static void
remove_old_transfers(
    sched_pool_t *pool, sched_batch_t *batch, uint32_t writes_max)
{
	while (batch->writes->len < writes_max) {
		g_autofree char *id = sched_transfer_take_old(pool);

		if (id == NULL)
			return;
		add_write(batch, SCHED_WRITE_TRANSFER, id, NULL);
	}
}

/*
 * Removes the rows of tasks that came for jobs that are gone.
 */
static void
remove_old_rows(sched_pool_t *pool, sched_batch_t *batch, uint32_t writes_max)
{
	while (batch->writes->len < writes_max && pool->old_rows->length > 0) {
		g_autofree char *row = g_queue_pop_head(pool->old_rows);

		add_write(batch, SCHED_WRITE_OLD_ROW, row, NULL);
	}
}

/*
 * Returns whether the next job goes into the batch.
 */
static bool
has_room(
    const sched_batch_t *batch, const sched_job_t *next, uint32_t writes_max)
{
	const sched_batch_job_t *first =
	    &g_array_index(batch->jobs, sched_batch_job_t, 0);
	uint32_t needed =
	    next->move_to[0] == '\0' ? JOB_WRITES_MAX : TRANSFER_WRITES_MAX;

	needed += sched_part_count_writes(next);
	if (batch->jobs->len == 0)
		return true;
	return batch->writes->len + needed <= writes_max &&
	    batch->size_bytes < BATCH_FULL_BYTES && !next->write_alone &&
	    !first->job->write_alone;
}

/*
 * Returns a batch of at most writes_max writes, or NULL if no record must be
 * written. The caller passes it to sched_pool_batch_done() once all of it is in
 * the store.
 */
sched_batch_t *
sched_pool_take_batch(sched_pool_t *pool, uint32_t writes_max)
{
	sched_batch_t *batch;

	if (!sched_pool_is_dirty(pool))
		return NULL;
	batch = batch_new();
	batch->taken_us = gw_clock_now_us(pool->clock);
	batch->dirty_since_us = batch->taken_us;
	batch->has_lapsing = pool->lapsing_is_stale;
	if (batch->has_lapsing)
		add_write(batch, SCHED_WRITE_LAPSING, "",
		    sched_lapse_take_list(pool));
	while (pool->dirty->length > 0 &&
	    has_room(batch, g_queue_peek_head(pool->dirty), writes_max))
		add_job(pool, batch, g_queue_pop_head(pool->dirty));
	remove_unused_queues(pool, batch, writes_max);
	remove_old_transfers(pool, batch, writes_max);
	remove_old_rows(pool, batch, writes_max);
	return batch;
}

/*
 * Returns whether any record must be written.
 */
bool
sched_pool_is_dirty(const sched_pool_t *pool)
{
	return pool->dirty->length > 0 || pool->lapsing_is_stale ||
	    pool->awaits_fence || pool->old_transfers->length > 0 ||
	    pool->old_rows->length > 0;
}

/*
 * Returns the number of writes of a batch.
 */
uint32_t
sched_batch_write_count(const sched_batch_t *batch)
{
	return batch->writes->len;
}

/*
 * Returns the i-th write; it belongs to the batch.
 */
const sched_write_t *
sched_batch_write(const sched_batch_t *batch, uint32_t i)
{
	return &g_array_index(batch->writes, sched_write_t, i);
}

/*
 * Lets the end be acknowledged, which needs no write to the store any more.
 */
void
sched_acknowledge(sched_pool_t *pool, const sched_ack_t *ack)
{
	sched_instance_t *instance =
	    g_hash_table_lookup(pool->instances, ack->instance);

	if (instance != NULL && instance->info.born_ms == ack->born_ms)
		sched_instance_ack(instance, ack->number);
}

/*
 * Queues the starts of the runs whose records the batch has written.
 */
static void
queue_starts(sched_pool_t *pool, const sched_batch_t *batch)
{
	for (guint i = 0; i < batch->starts->len; i++) {
		const sched_pending_start_t *pending =
		    &g_array_index(batch->starts, sched_pending_start_t, i);

		pending->task->recorded_run = pending->run;
		if (pending->task->state == SCHED_TASK_RESERVED &&
		    pending->task->run == pending->run)
			sched_send_recorded(pool, pending->task);
	}
}

/*
 * Logs that records waited long, with the tasks that are placed but not
 * started.
 */
static void
log_held(sched_pool_t *pool, const sched_batch_t *batch, uint64_t now_us)
{
	uint64_t waited_us = gw_elapsed_us(now_us, batch->dirty_since_us);
	uint64_t unsent_cpu_millis = 0;
	sched_instance_t *instance;
	GHashTableIter iter;
	uint32_t unsent = 0;

	if (waited_us < HELD_MIN_US ||
	    gw_elapsed_us(now_us, pool->records_logged_us) <
		HELD_LOG_INTERVAL_US)
		return;
	pool->records_logged_us = now_us;
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance))
		for (guint i = 0; i < instance->tasks->len; i++) {
			const sched_task_t *task = instance->tasks->pdata[i];

			if (task->state != SCHED_TASK_RESERVED)
				continue;
			unsent++;
			unsent_cpu_millis +=
			    sched_step_cpu_millis(sched_task_step_spec(task));
		}
	gw_log(GW_EV_RECORDS_HELD,
	    "pool=%s writes=%u waited_ms=%" PRIu64 " took_ms=%" PRIu64
	    " queued=%u unsent=%u unsent_cpu=%" PRIu64,
	    pool->name, batch->writes->len, waited_us / GW_US_PER_MS,
	    gw_elapsed_us(now_us, batch->taken_us) / GW_US_PER_MS,
	    pool->dirty->length, unsent, unsent_cpu_millis);
}

/*
 * Handles a batch that is in the store: starts the runs, lets ends be
 * acknowledged and replies to callers. Frees the batch.
 */
void
sched_pool_batch_done(sched_pool_t *pool, sched_batch_t *batch)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);
	const sched_response_t ok = {.outcome = GW__CALL_OUTCOME__CALL_OK};

	log_held(pool, batch, now_us);
	if (batch->has_lapsing)
		sched_lapse_list_written(pool);
	queue_starts(pool, batch);
	sched_send_starts(pool, now_us);
	for (guint i = 0; i < batch->jobs->len; i++) {
		sched_job_t *job =
		    g_array_index(batch->jobs, sched_batch_job_t, i).job;

		job->in_batch = false;
		job->write_alone = false;
		job->recorded = job->batch_state;
		job->spec_recorded = true;
		sched_job_clear_key(job);
		sched_part_recorded(pool, job);
		if (job->expired)
			g_hash_table_remove(pool->jobs, job->id);
		else if (job->move_to[0] != '\0')
			sched_transfer_done(pool, job);
	}
	for (guint i = 0; i < batch->acks->len; i++)
		sched_acknowledge(
		    pool, &g_array_index(batch->acks, sched_ack_t, i));
	sched_notify_waiters(batch->waiters, &ok);
	batch_free(batch);
}

/*
 * Gives back to a job the acknowledgements and callers that waited for the
 * batch.
 */
static void
return_job(sched_pool_t *pool, const sched_batch_t *batch, guint i)
{
	const sched_batch_job_t *entry =
	    &g_array_index(batch->jobs, sched_batch_job_t, i);
	bool is_last = i + 1 == batch->jobs->len;
	guint ack_end = is_last ? batch->acks->len : entry[1].first_ack;
	guint waiter_end =
	    is_last ? batch->waiters->len : entry[1].first_waiter;

	entry->job->in_batch = false;
	sched_part_not_recorded(pool, entry->job);
	for (guint k = entry->first_ack; k < ack_end; k++)
		g_array_append_val(entry->job->acks,
		    g_array_index(batch->acks, sched_ack_t, k));
	for (guint k = entry->first_waiter; k < waiter_end; k++)
		g_array_append_val(entry->job->waiters,
		    g_array_index(batch->waiters, sched_waiter_t, k));
}

/*
 * Takes back what was to be written besides the jobs.
 */
static void
undo_writes(sched_pool_t *pool, const sched_batch_t *batch)
{
	pool->lapsing_is_stale |= batch->has_lapsing;
	for (guint i = 0; i < batch->writes->len; i++) {
		const sched_write_t *write = sched_batch_write(batch, i);

		if (write->kind == SCHED_WRITE_QUEUE)
			sched_queue_undo_write(pool, write);
		if (write->kind == SCHED_WRITE_TRANSFER)
			sched_transfer_undo_write(pool, write);
		if (write->kind == SCHED_WRITE_OLD_ROW)
			g_queue_push_tail(pool->old_rows, g_strdup(write->id));
	}
}

bool
sched_batch_accepts_jobs(const sched_batch_t *batch)
{
	return batch->has_new_jobs;
}

void
sched_pool_batch_outdated(sched_pool_t *pool, sched_batch_t *batch)
{
	undo_writes(pool, batch);
	for (guint i = 0; i < batch->jobs->len; i++) {
		return_job(pool, batch, i);
		sched_job_mark_dirty(
		    pool, g_array_index(batch->jobs, sched_batch_job_t, i).job);
	}
	batch_free(batch);
}

/*
 * Handles a batch that the store refuses as it is. Its jobs are written again
 * one by one, so that only those whose own records are refused are set aside.
 * Frees the batch.
 */
void
sched_pool_batch_refused(sched_pool_t *pool, sched_batch_t *batch)
{
	bool is_alone = batch->jobs->len == 1;

	undo_writes(pool, batch);
	for (guint i = 0; i < batch->jobs->len; i++) {
		sched_job_t *job =
		    g_array_index(batch->jobs, sched_batch_job_t, i).job;

		return_job(pool, batch, i);
		job->write_alone = true;
		if (is_alone)
			sched_aside_add(pool, job);
		else
			sched_job_mark_dirty(pool, job);
	}
	batch_free(batch);
}

/*
 * Frees a batch of a pool that is released, and replies to its callers that the
 * outcome is unknown.
 */
void
sched_batch_drop(sched_batch_t *batch)
{
	sched_notify_waiters(batch->waiters, &sched_response_owner_gone);
	batch_free(batch);
}
