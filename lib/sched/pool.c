#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/* Longest time between ticks, for timeouts and delays that cause no event. */
#define TICK_BUSY_US (50 * GW_US_PER_MS)
#define TICK_IDLE_US (500 * GW_US_PER_MS)

/*
 * Returns a pool without jobs or instances. It does nothing before
 * sched_pool_finish_load().
 */
sched_pool_t *
sched_pool_new(const char *name, const char *data_centre,
    const gw_clock_t *clock, const sched_bounds_t *bounds,
    const sched_ops_t *ops, void *arg)
{
	sched_pool_t *pool;

	pool = g_new0(sched_pool_t, 1);
	g_strlcpy(pool->name, name, sizeof(pool->name));
	g_strlcpy(pool->data_centre, data_centre, sizeof(pool->data_centre));
	pool->clock = clock;
	pool->created_us = gw_clock_now_us(clock);
	pool->bounds = *bounds;
	pool->ops = ops;
	pool->arg = arg;
	pool->jobs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, sched_job_free);
	pool->instances = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, sched_instance_free);
	pool->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	pool->kinds =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->previous_leases =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->transfers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	pool->old_transfers = g_queue_new();
	pool->split = g_ptr_array_new();
	pool->old_rows = g_queue_new();
	pool->handed_ends = sched_ended_runs_new();
	pool->lapsing =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->may_lapse =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pool->previous_renewals_end_us = gw_clock_now_us(clock) +
	    sched_drift_bound_us(bounds->previous_renew_max_ms);
	pool->quota_policy = &sched_quota_spare;
	pool->quota_parts = 1;
	pool->sharing = &sched_sharing_weighted;
	pool->order = &sched_order_priority;
	pool->admission = &sched_admission_in_time;
	pool->refusals = sched_refusals_new();
	pool->window = pool->own_window = sched_window_new(&sched_window_fixed);
	pool->unsent = g_ptr_array_new();
	pool->open = g_ptr_array_new();
	pool->cleanup = g_ptr_array_new();
	pool->aside = g_ptr_array_new();
	pool->dirty = g_queue_new();
	pool->ended = g_queue_new();
	return pool;
}

void
sched_pool_set_shard(sched_pool_t *pool, uint32_t number, uint32_t count)
{
	pool->shard_number = number;
	pool->shard_count = count;
}

/*
 * Frees the pool. Waiting callers are told that the outcome is unknown.
 */
void
sched_pool_free(sched_pool_t *pool)
{
	GHashTableIter iter;
	sched_job_t *job;

	if (pool == NULL)
		return;
	g_hash_table_iter_init(&iter, pool->jobs);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job))
		sched_notify_waiters(job->waiters, &sched_response_owner_gone);
	g_hash_table_destroy(pool->jobs);
	g_hash_table_destroy(pool->instances);
	g_ptr_array_free(pool->unsent, TRUE);
	sched_window_free(pool->own_window);
	g_hash_table_destroy(pool->previous_leases);
	g_ptr_array_free(pool->handed_ends, TRUE);
	g_hash_table_destroy(pool->lapsing);
	g_hash_table_destroy(pool->may_lapse);
	g_hash_table_destroy(pool->queues);
	g_hash_table_destroy(pool->teams);
	g_hash_table_destroy(pool->kinds);
	g_hash_table_destroy(pool->transfers);
	g_queue_free_full(pool->old_transfers, g_free);
	g_queue_free_full(pool->old_rows, g_free);
	g_ptr_array_free(pool->split, TRUE);
	sched_refusals_free(pool->refusals);
	g_ptr_array_free(pool->open, TRUE);
	g_ptr_array_free(pool->cleanup, TRUE);
	g_ptr_array_free(pool->aside, TRUE);
	g_queue_free(pool->dirty);
	g_queue_free(pool->ended);
	g_free(pool);
}

/*
 * Loads a job's specification from the store. Returns -1 when it is malformed.
 */
int
sched_pool_load_spec(
    sched_pool_t *pool, const char *id, const void *data, size_t size_bytes)
{
	Gw__JobSpec *spec = gw__job_spec__unpack(NULL, size_bytes, data);
	sched_job_t *job;

	if (spec == NULL)
		return -1;
	if (!sched_spec_is_valid(spec)) {
		gw__job_spec__free_unpacked(spec, NULL);
		return -1;
	}
	job = sched_job_new(pool, id);
	job->spec_recorded = true;
	sched_job_set_spec(job, spec);
	sched_job_set_queue_key(pool, job, spec->queue_key);
	sched_job_set_team(pool, job, spec->team);
	return 0;
}

static void
load_ended(sched_pool_t *pool, sched_job_t *job, const Gw__JobRecord *record)
{
	job->ended_us = gw_clock_now_us(pool->clock);
	job->finished_wall_ms = record->finished_wall_ms;
	job->cancelled_first = record->cancelled_first;
	g_queue_push_tail(pool->ended, job);
}

/*
 * Loads a job's progress from the store, after all specifications. Returns -1
 * when it is malformed, or when an open job has no specification.
 */
int
sched_pool_load_record(
    sched_pool_t *pool, const char *id, const void *data, size_t size_bytes)
{
	Gw__JobRecord *record = gw__job_record__unpack(NULL, size_bytes, data);
	sched_job_t *job = g_hash_table_lookup(pool->jobs, id);
	int rc = 0;

	if (record == NULL)
		return -1;
	if (job == NULL && record->state < GW__JOB_STATE__JOB_COMPLETED) {
		gw__job_record__free_unpacked(record, NULL);
		return -1;
	}
	if (job == NULL) {
		job = sched_job_new(pool, id);
		job->queue = g_strdup(record->queue);
		job->spec_recorded = true;
		sched_job_set_queue_key(pool, job, record->queue_key);
		sched_job_set_team(pool, job, record->team);
	}
	job->state = job->recorded = record->state;
	sched_part_load(pool, job, record);
	if (sched_job_has_ended(job))
		load_ended(pool, job, record);
	else
		rc = sched_record_apply(pool, job, record);
	gw__job_record__free_unpacked(record, NULL);
	return rc;
}

/*
 * Ends the load, after all records of the store have been loaded.
 */
void
sched_pool_finish_load(sched_pool_t *pool)
{
	uint32_t jobs = 0, placed = 0;
	GHashTableIter iter;
	sched_job_t *job;

	g_hash_table_iter_init(&iter, pool->jobs);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
		if (sched_job_has_ended(job))
			continue;
		g_ptr_array_add(pool->open, job);
		jobs++;
		placed += job->placed;
	}
	pool->loaded = true;
	pool->loaded_us = gw_clock_now_us(pool->clock);
	gw_log(GW_EV_ROLE_LOADED, "pool=%s open_jobs=%u placed=%u ended=%u",
	    pool->name, jobs, placed, pool->ended->length);
	sched_handover_apply_ends(pool);
	sched_crash_give_up_loaded(pool);
}

/*
 * Repeats unanswered starts and stops, stops runs on an instance that is
 * leaving or being drained, and sends a renewal that is due.
 */
static void
tick_instance(sched_instance_t *instance, uint64_t now_us)
{
	bool is_reachable =
	    !instance->unreachable && instance->info.address[0] != '\0';

	for (guint i = 0; is_reachable && i < instance->tasks->len; i++)
		sched_send_repeat(instance->tasks->pdata[i], now_us);
	sched_stray_tick(instance, now_us);
	sched_evacuate(instance, now_us);
	sched_instance_tick(instance, now_us);
}

static uint64_t
tick_instances(sched_pool_t *pool, uint64_t now_us)
{
	uint64_t due_us = UINT64_MAX;
	sched_instance_t *instance;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		tick_instance(instance, now_us);
		if (!instance->listed && instance->tasks->len == 0 &&
		    instance->strays->len == 0 && !instance->renewing &&
		    now_us >= instance->late_renewal_until_us) {
			pool->ops->instance_removed(
			    instance->info.id, pool->arg);
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (instance->renew_due_us != 0 && !instance->renewing &&
		    !instance->awaits_fence)
			due_us = MIN(due_us, instance->renew_due_us);
	}
	return due_us;
}

/*
 * Frees the tasks and specifications of ended jobs, once none of their tasks is
 * placed and the final state is in the store.
 */
static void
clean_up_ended(sched_pool_t *pool)
{
	for (guint i = pool->cleanup->len; i-- > 0;) {
		sched_job_t *job = pool->cleanup->pdata[i];

		if (job->placed > 0 || job->in_batch || job->dirty ||
		    job->recorded != job->state)
			continue;
		g_ptr_array_set_size(job->occurrences, 0);
		gw__job_spec__free_unpacked(job->spec, NULL);
		job->spec = NULL;
		g_ptr_array_remove_index_fast(pool->cleanup, i);
	}
}

/*
 * Marks ended jobs for removal from the store status_s after their end.
 */
static void
expire_ended_jobs(sched_pool_t *pool, uint64_t now_us)
{
	uint64_t kept_us = pool->bounds.status_s * GW_US_PER_S;

	while (pool->ended->length > 0) {
		sched_job_t *job = g_queue_peek_head(pool->ended);

		if (gw_elapsed_us(now_us, job->ended_us) < kept_us ||
		    job->spec != NULL)
			return;
		g_queue_pop_head(pool->ended);
		if (sched_job_is_part(job))
			sched_part_forget_peers(pool, job);
		job->is_overdue_expiry = sched_job_is_split(job);
		if (job->is_overdue_expiry)
			continue; /* until its peers have been told */
		job->expired = true;
		sched_job_mark_dirty(pool, job);
	}
}

static void
update_occurrences(sched_pool_t *pool)
{
	for (guint i = 0; i < pool->open->len; i++) {
		sched_job_t *job = pool->open->pdata[i];

		if (job->spec->repeats > 0)
			sched_job_close_occurrences(job);
		if (job->next_occurrence < MAX(job->spec->repeats, 1))
			sched_job_open_occurrences(pool, job, pool->wall_ms);
	}
}

/*
 * Runs one round.
 */
uint64_t
sched_pool_tick(sched_pool_t *pool, uint64_t wall_ms)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);
	uint64_t due_us, delay_us;

	pool->wall_ms = wall_ms;
	if (!pool->loaded)
		return TICK_BUSY_US;
	sched_aside_tick(pool, now_us);
	update_occurrences(pool);
	sched_fence_tick(pool);
	due_us = tick_instances(pool, now_us);
	sched_lapse_tick(pool, now_us);
	sched_send_starts(pool, now_us);
	sched_transfer_tick(pool, now_us);
	sched_part_tick(pool, now_us);
	sched_place_round(pool, now_us);
	sched_overflow_tick(pool, now_us);
	sched_wait_tick(pool, now_us);
	clean_up_ended(pool);
	expire_ended_jobs(pool, now_us);
	delay_us = pool->open->len > 0 ? TICK_BUSY_US : TICK_IDLE_US;
	if (due_us != UINT64_MAX)
		delay_us =
		    MIN(delay_us, due_us > now_us ? due_us - now_us : 1000);
	return delay_us;
}

/*
 * Places nothing on the instance for for_ms; sched_evacuate() stops the runs
 * that may be stopped. Returns true once no task is placed there, and also for
 * an instance that the pool does not know.
 */
bool
sched_pool_drain(sched_pool_t *pool, const char *id, uint32_t for_ms)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);
	uint64_t now_us = gw_clock_now_us(pool->clock);

	if (instance == NULL)
		return true;
	if (instance->drain_until_us < now_us)
		gw_log(GW_EV_INSTANCE_DRAIN,
		    "instance=%s pool=%s runs=%u for_ms=%u", id, pool->name,
		    instance->tasks->len, for_ms);
	instance->drain_until_us = now_us + for_ms * GW_US_PER_MS;
	return instance->tasks->len == 0 ||
	    sched_instance_waits_for_late_starts(instance, now_us);
}
