#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * What an owner learns from earlier ones, and tells later ones.
 */

/* Largest size of the ends that are handed over, and most of them. */
#define ENDS_MAX_BYTES (256 * 1024)
#define ENDS_MAX 4096
/*
 * How long ends are handed over. A job's id may be used again once its record
 * is removed, which is later.
 */
#define ENDS_KEPT_US (60 * GW_US_PER_S)

/* What earlier owners have told of an instance; see sched_lease_t. */
typedef struct {
	uint64_t expiry_us;
	uint64_t late_until_us;
} previous_lease_t;

/*
 * Returns when previous owners send no more renewals. An owner whose lease has
 * ended goes on for renew_grace_ms; one that only lost its key may renew its
 * own lease once more before it sees that. Both count from when the vacancy was
 * seen if no other process can have owned the role since; else from now, and if
 * the role may have been vacant for as long as a lease can be, another process
 * may have owned it meanwhile, unseen.
 */
static uint64_t
previous_renewals_end_us(const sched_bounds_t *bounds,
    const sched_vacancy_t *vacancy, uint64_t now_us)
{
	uint64_t lease_ms =
	    bounds->previous_renew_max_ms - bounds->renew_grace_ms;
	bool is_recent = vacancy->vacant_since_us != 0 &&
	    gw_elapsed_us(now_us, vacancy->vacant_since_us) <
		lease_ms * GW_US_PER_MS / 2;

	if (vacancy->last_owner_certain && vacancy->vacant_since_us != 0)
		return vacancy->vacant_since_us +
		    sched_drift_bound_us(vacancy->lease_ended
			    ? bounds->renew_grace_ms
			    : bounds->previous_renew_max_ms);
	return now_us +
	    sched_drift_bound_us(is_recent && vacancy->lease_ended
		    ? bounds->renew_grace_ms
		    : bounds->previous_renew_max_ms);
}

void
sched_pool_set_vacancy(sched_pool_t *pool, const sched_vacancy_t *vacancy)
{
	uint64_t now_us = gw_clock_now_us(pool->clock), expiry_us;

	pool->previous_renewals_end_us =
	    previous_renewals_end_us(&pool->bounds, vacancy, now_us);
	expiry_us = sched_pool_previous_expiry_us(pool, "", now_us);
	gw_log(GW_EV_LEASES_BOUNDED,
	    "pool=%s vacant_ms=%" PRIu64
	    " lease_ended=%d last_owner_certain=%d lapse_ms=%" PRIu64,
	    pool->name,
	    vacancy->vacant_since_us == 0
		? 0
		: gw_elapsed_us(now_us, vacancy->vacant_since_us) /
		    GW_US_PER_MS,
	    vacancy->lease_ended, vacancy->last_owner_certain,
	    gw_elapsed_us(expiry_us, now_us) / GW_US_PER_MS);
}

/*
 * Returns the time by which the lease that a previous owner granted to the
 * instance has expired for certain. Unless that owner has released the pool, it
 * may have renewed the lease after this one gained the pool.
 */
uint64_t
sched_pool_previous_expiry_us(
    const sched_pool_t *pool, const char *instance, uint64_t now_us)
{
	const previous_lease_t *known =
	    g_hash_table_lookup(pool->previous_leases, instance);
	uint64_t renewals_end_us = pool->previous_renewals_end_us;

	if (known != NULL)
		return known->expiry_us;
	if (pool->previous_gone)
		renewals_end_us = MIN(renewals_end_us, now_us);
	return renewals_end_us + sched_drift_bound_us(SCHED_LEASE_MS);
}

/*
 * Returns until when a start that a previous owner sent to the instance may run
 * without a lease; 0: not at all. If that owner was lost without a word, any
 * start may have had no response, and the longest lease counts for those that
 * were carried out before this owner gained the pool.
 */
uint64_t
sched_handover_late_until_us(const sched_pool_t *pool, const char *instance)
{
	const previous_lease_t *known =
	    g_hash_table_lookup(pool->previous_leases, instance);

	return known != NULL
	    ? known->late_until_us
	    : pool->created_us + sched_drift_bound_us(pool->bounds.hold_max_ms);
}

/*
 * Notes when a lease that a previous owner granted has expired, as told at
 * read_us or later. Each bound that is known holds, so the earliest counts. It
 * says nothing of a later incarnation.
 */
void
sched_handover_set_expiry(
    sched_pool_t *pool, const Gw__LeaseLeft *lease, uint64_t read_us)
{
	const sched_instance_t *instance =
	    g_hash_table_lookup(pool->instances, lease->instance);
	previous_lease_t *known =
	    g_hash_table_lookup(pool->previous_leases, lease->instance);
	uint64_t expiry_us = read_us + sched_drift_bound_us(lease->left_ms);
	uint64_t late_until_us = read_us + lease->late_left_ms * GW_US_PER_MS;

	if (instance != NULL && instance->info.born_ms > lease->born_ms &&
	    lease->born_ms != 0)
		return;
	if (known == NULL) {
		known = g_new(previous_lease_t, 1);
		known->expiry_us = expiry_us;
		known->late_until_us = late_until_us;
		g_hash_table_insert(
		    pool->previous_leases, g_strdup(lease->instance), known);
	}
	known->expiry_us = MIN(known->expiry_us, expiry_us);
	known->late_until_us = MIN(known->late_until_us, late_until_us);
}

/*
 * Shortens the wait for instances that have not responded yet: to the expiry of
 * the previous owner's lease, or to a full lease where it sent none.
 */
void
sched_pool_previous_owner_gone(
    sched_pool_t *pool, Gw__LeaseLeft *const *leases, size_t lease_count)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);
	sched_instance_t *instance;
	GHashTableIter iter;

	pool->previous_gone = true;
	for (size_t i = 0; i < lease_count; i++)
		sched_handover_set_expiry(pool, leases[i], now_us);
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance))
		if (!instance->contacted)
			sched_instance_limit_expiry(instance,
			    sched_pool_previous_expiry_us(
				pool, instance->info.id, now_us));
	gw_log(
	    GW_EV_FORMER_GONE, "pool=%s leases=%zu", pool->name, lease_count);
}

static void
ended_run_free(gpointer data)
{
	gw__ended_run__free_unpacked(data, NULL);
}

/*
 * Returns an empty list of Gw__EndedRun.
 */
GPtrArray *
sched_ended_runs_new(void)
{
	return g_ptr_array_new_with_free_func(ended_run_free);
}

static Gw__EndedRun *
ended_run_copy(const Gw__EndedRun *from)
{
	size_t size_bytes = gw__ended_run__get_packed_size(from);
	g_autofree uint8_t *data = g_malloc(size_bytes);

	gw__ended_run__pack(from, data);
	return gw__ended_run__unpack(NULL, size_bytes, data);
}

/*
 * Returns whether no run of the task is anywhere: its last one has ended, or
 * its start was never sent. A later owner may use the number of a run that the
 * store does not have.
 */
static bool
has_no_run(const sched_task_t *task)
{
	return task->recorded_run > 0 &&
	    (task->state == SCHED_TASK_WAITING ||
		task->state == SCHED_TASK_RESERVED);
}

static uint64_t
add_ended_run(GPtrArray *ended, const sched_task_t *task)
{
	sched_task_ref_t ref = sched_task_ref(task);
	Gw__TaskRecord record = GW__TASK_RECORD__INIT;
	Gw__EndedRun run = GW__ENDED_RUN__INIT;

	record.run = task->recorded_run;
	record.failures = task->failures;
	record.crashes = task->crashes;
	record.crashes_alone = task->crashes_alone;
	record.crashes_adopted = task->crashes_adopted;
	if (task->checkpoint != NULL)
		record.checkpoint = task->checkpoint;
	run.job = ref.job;
	run.occurrence = ref.occurrence;
	run.step = ref.step;
	run.index = ref.index;
	run.task = &record;
	g_ptr_array_add(ended, ended_run_copy(&run));
	return gw__ended_run__get_packed_size(&run);
}

/*
 * Adds the ends of a job whose record is not in the store as it is here.
 * Returns their size.
 */
static uint64_t
add_job_ends(GPtrArray *ended, const sched_job_t *job)
{
	uint64_t size_bytes = 0;

	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->task_count; k++)
			if (has_no_run(&occurrence->tasks[k]))
				size_bytes +=
				    add_ended_run(ended, &occurrence->tasks[k]);
	}
	return size_bytes;
}

static GPtrArray *
list_unrecorded_ends(const sched_pool_t *pool)
{
	GPtrArray *ended = sched_ended_runs_new();
	uint64_t size_bytes = 0;

	for (guint i = 0; i < pool->handed_ends->len; i++) {
		size_bytes +=
		    gw__ended_run__get_packed_size(pool->handed_ends->pdata[i]);
		if (size_bytes < ENDS_MAX_BYTES)
			g_ptr_array_add(
			    ended, ended_run_copy(pool->handed_ends->pdata[i]));
	}
	for (guint i = 0; i < pool->open->len && size_bytes < ENDS_MAX_BYTES;
	     i++) {
		const sched_job_t *job = pool->open->pdata[i];

		if (!sched_job_has_ended(job) &&
		    (job->dirty || job->in_batch || job->aside_until_us != 0))
			size_bytes += add_job_ends(ended, job);
	}
	if (size_bytes >= ENDS_MAX_BYTES)
		gw_log(GW_EV_ENDS_LEFT_OUT, "pool=%s ends=%u", pool->name,
		    ended->len);
	return ended;
}

static GArray *
list_leases(const sched_pool_t *pool)
{
	GArray *leases = g_array_new(FALSE, TRUE, sizeof(sched_lease_t));
	sched_instance_t *instance;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		sched_lease_t lease = {.born_ms = instance->info.born_ms,
		    .expiry_us = instance->expiry_us,
		    .late_until_us =
			sched_late_start_instance_until_us(instance)};

		g_strlcpy(
		    lease.instance, instance->info.id, sizeof(lease.instance));
		g_array_append_val(leases, lease);
	}
	return leases;
}

/*
 * Returns what later owners should know when this one releases the pool. Free
 * it with sched_handover_free().
 */
sched_handover_t *
sched_handover_new(const sched_pool_t *pool)
{
	sched_handover_t *handover = g_new(sched_handover_t, 1);

	handover->made_us = gw_clock_now_us(pool->clock);
	handover->leases = list_leases(pool);
	handover->ended = list_unrecorded_ends(pool);
	return handover;
}

/*
 * Returns the number of ends that later owners may still be told.
 */
uint32_t
sched_handover_end_count(const sched_handover_t *handover, uint64_t now_us)
{
	return gw_elapsed_us(now_us, handover->made_us) < ENDS_KEPT_US
	    ? handover->ended->len
	    : 0;
}

void
sched_handover_free(sched_handover_t *handover)
{
	g_array_free(handover->leases, TRUE);
	g_ptr_array_free(handover->ended, TRUE);
	g_free(handover);
}

static sched_task_t *
find_task(const sched_pool_t *pool, const Gw__EndedRun *run)
{
	sched_task_ref_t ref = {.occurrence = run->occurrence,
	    .step = run->step,
	    .index = run->index};

	g_strlcpy(ref.job, run->job, sizeof(ref.job));
	return sched_pool_find_task(pool, &ref);
}

/*
 * Ends the task's run if it was adopted from the records and its instance has
 * not responded. An instance that has responded lists its runs and ends itself,
 * and one that has begun again may carry out a start of the run late.
 */
static bool
apply_end(sched_pool_t *pool, const Gw__EndedRun *run)
{
	const Gw__TaskRecord *record = run->task;
	sched_task_t *task = find_task(pool, run);

	if (record == NULL || task == NULL || task->instance == NULL ||
	    task->instance->contacted || task->starts_sent > 0 ||
	    task->instance->late_start_until_us != 0 ||
	    task->state == SCHED_TASK_RESERVED || task->run > record->run)
		return false;
	sched_task_requeue(task, "handed-over");
	task->run = record->run;
	task->failures = MAX(task->failures, record->failures);
	task->crashes = MAX(task->crashes, record->crashes);
	task->crashes_alone = MAX(task->crashes_alone, record->crashes_alone);
	task->crashes_adopted =
	    MAX(task->crashes_adopted, record->crashes_adopted);
	task->job->has_suspect |= sched_crash_is_suspect(task);
	if (record->checkpoint[0] != '\0') {
		g_free(task->checkpoint);
		task->checkpoint = g_strdup(record->checkpoint);
	}
	return true;
}

/*
 * Applies the ends that were handed over, once the records are loaded.
 */
void
sched_handover_apply_ends(sched_pool_t *pool)
{
	guint listed = pool->handed_ends->len;
	uint32_t applied = 0;

	if (!pool->loaded || listed == 0)
		return;
	for (guint i = 0; i < listed; i++)
		applied += apply_end(pool, pool->handed_ends->pdata[i]);
	g_ptr_array_set_size(pool->handed_ends, 0);
	gw_log(GW_EV_ENDS_HANDED_OVER, "pool=%s ends=%u applied=%u", pool->name,
	    listed, applied);
}

static bool
is_known_end(const sched_pool_t *pool, const Gw__EndedRun *run)
{
	for (guint i = 0; i < pool->handed_ends->len; i++) {
		const Gw__EndedRun *known = pool->handed_ends->pdata[i];

		if (known->index == run->index && known->step == run->step &&
		    known->occurrence == run->occurrence &&
		    strcmp(known->job, run->job) == 0)
			return known->task != NULL && run->task != NULL &&
			    known->task->run >= run->task->run;
	}
	return false;
}

void
sched_pool_runs_ended(
    sched_pool_t *pool, Gw__EndedRun *const *runs, size_t run_count)
{
	for (size_t i = 0; i < run_count; i++)
		if (pool->handed_ends->len < ENDS_MAX &&
		    !is_known_end(pool, runs[i]))
			g_ptr_array_add(
			    pool->handed_ends, ended_run_copy(runs[i]));
	sched_handover_apply_ends(pool);
}
