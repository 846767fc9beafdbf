#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/* A rack's label begins with this letter and contains a '-'. */
#define RACK_LABEL_PREFIX 'r'

/*
 * Returns the instance with this id; adds it, as not listed, if it is unknown.
 * The previous owner may have renewed the lease of its runs, so the lease
 * counts as expired only at sched_pool_previous_expiry_us().
 */
sched_instance_t *
sched_instance_get(sched_pool_t *pool, const char *id)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);

	if (instance != NULL)
		return instance;
	instance = g_new0(sched_instance_t, 1);
	instance->pool = pool;
	g_strlcpy(instance->info.id, id, sizeof(instance->info.id));
	instance->tasks = g_ptr_array_new();
	instance->strays = sched_strays_new();
	instance->fence = pool->fence;
	instance->recorded_ends =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	instance->expiry_us = sched_pool_previous_expiry_us(
	    pool, id, gw_clock_now_us(pool->clock));
	g_hash_table_insert(pool->instances, instance->info.id, instance);
	return instance;
}

/*
 * Frees an instance on which nothing is placed.
 */
void
sched_instance_free(gpointer data)
{
	sched_instance_t *instance = data;

	g_ptr_array_free(instance->tasks, TRUE);
	sched_strays_free(instance->strays);
	g_hash_table_destroy(instance->recorded_ends);
	g_strfreev(instance->info.labels);
	g_free(instance);
}

/*
 * Returns why no new tasks may be placed on the instance.
 */
sched_exclusion_t
sched_instance_exclusion(const sched_instance_t *instance, uint64_t now_us)
{
	if (!instance->listed)
		return SCHED_EXCLUDED_NOT_LISTED;
	if (!instance->contacted)
		return SCHED_EXCLUDED_NOT_CONTACTED;
	if (instance->unreachable)
		return SCHED_EXCLUDED_UNREACHABLE;
	if (instance->info.leaving)
		return SCHED_EXCLUDED_LEAVING;
	if (instance->runs_unknown > 0)
		return SCHED_EXCLUDED_RUNS_UNKNOWN;
	if (now_us < instance->avoid_until_us)
		return SCHED_EXCLUDED_AVOIDED;
	if (now_us < instance->drain_until_us)
		return SCHED_EXCLUDED_DRAINING;
	if (sched_stray_is_possible(instance))
		return SCHED_EXCLUDED_STRAYS;
	if (sched_lapse_may_be_listed(instance))
		return SCHED_EXCLUDED_LAPSING;
	if (now_us < instance->failing_until_us &&
	    !instance->pool->jobs_at_fault)
		return SCHED_EXCLUDED_FAILING;
	return SCHED_EXCLUDED_NOT;
}

/*
 * Returns whether new tasks may be started on the instance, even if it has
 * failed several runs.
 */
bool
sched_instance_may_start(const sched_instance_t *instance, uint64_t now_us)
{
	sched_exclusion_t exclusion =
	    sched_instance_exclusion(instance, now_us);

	return exclusion == SCHED_EXCLUDED_NOT ||
	    exclusion == SCHED_EXCLUDED_FAILING;
}

/*
 * Returns whether new tasks may be placed on the instance.
 */
bool
sched_instance_is_usable(const sched_instance_t *instance, uint64_t now_us)
{
	return sched_instance_exclusion(instance, now_us) == SCHED_EXCLUDED_NOT;
}

/*
 * Returns whether it is not known that the instance runs its tasks, so that
 * they count as ended once its lease has expired.
 */
bool
sched_instance_has_no_contact(const sched_instance_t *instance)
{
	return instance->unreachable || !instance->listed ||
	    !instance->contacted;
}

/*
 * Returns whether another start would bring the instance over its capacity,
 * which may have shrunk since the tasks were placed there, or might, since the
 * room that a run takes is not known.
 */
bool
sched_instance_is_full(const sched_instance_t *instance)
{
	const sched_resources_t *capacity = &instance->info.capacity;
	const sched_resources_t *used = &instance->used;

	return used->cpu_millis > capacity->cpu_millis ||
	    used->memory_mib > capacity->memory_mib ||
	    used->accelerators > capacity->accelerators ||
	    instance->runs_unknown > 0;
}

/*
 * Returns whether a long-running task is placed on the instance.
 */
bool
sched_instance_hosts_long_running(const sched_instance_t *instance)
{
	for (guint i = 0; i < instance->tasks->len; i++)
		if (sched_task_step_spec(instance->tasks->pdata[i])->lasting)
			return true;
	return false;
}

/*
 * Returns the CPU of the long-running tasks that are placed on the instance.
 */
uint64_t
sched_instance_long_running_cpu_millis(const sched_instance_t *instance)
{
	uint64_t cpu_millis = 0;

	for (guint i = 0; i < instance->tasks->len; i++) {
		const sched_task_t *task = instance->tasks->pdata[i];

		if (task->job->spec != NULL &&
		    sched_task_step_spec(task)->lasting)
			cpu_millis +=
			    sched_step_cpu_millis(sched_task_step_spec(task));
	}
	return cpu_millis;
}

/*
 * Places the task on the instance and reserves its room.
 */
void
sched_instance_assign(sched_instance_t *instance, sched_task_t *task)
{
	sched_resources_t takes =
	    sched_step_resources(sched_task_step_spec(task));

	task->instance = instance;
	task->job->placed++;
	g_ptr_array_add(instance->tasks, task);
	task->has_lasted = false;
	sched_crash_run_placed(task);
	instance->used.cpu_millis += takes.cpu_millis;
	instance->used.memory_mib += takes.memory_mib;
	instance->used.accelerators += takes.accelerators;
	sched_team_add_used(task->job->team, &takes);
}

/*
 * Takes the task off its instance and frees its room.
 */
void
sched_instance_release(sched_task_t *task)
{
	sched_resources_t takes =
	    sched_step_resources(sched_task_step_spec(task));
	sched_instance_t *instance = task->instance;

	sched_wait_note_ran(task);
	sched_send_unreserved(instance->pool, task);
	sched_stray_add(task, gw_clock_now_us(instance->pool->clock));
	sched_crash_run_settled(task);
	instance->used.cpu_millis -= takes.cpu_millis;
	instance->used.memory_mib -= takes.memory_mib;
	instance->used.accelerators -= takes.accelerators;
	sched_team_subtract_used(task->job->team, &takes);
	g_ptr_array_remove_fast(instance->tasks, task);
	task->instance = NULL;
	task->job->placed--;
	task->confirmed_us = 0;
}

/*
 * Returns the longest time on the pool's clock in which an instance's clock
 * advances by ms.
 */
uint64_t
sched_drift_bound_us(uint64_t ms)
{
	return ms * GW_US_PER_MS * (1000 + SCHED_CLOCK_DRIFT_PERMILLE) / 1000;
}

/*
 * Estimates the current reading of the instance's clock.
 */
uint64_t
sched_instance_clock_ms(const sched_instance_t *instance, uint64_t now_us)
{
	return instance->clock_ms +
	    (gw_elapsed_us(now_us, instance->clock_read_us)) / GW_US_PER_MS;
}

/*
 * Returns the deadline for a start or renewal that is sent now. Sets expiry_us
 * to the latest end of the lease on the pool's clock, for the case that no
 * response comes. It allows for the drift of the instance's clock, which may
 * lag behind the estimate.
 */
uint64_t
sched_instance_extend_lease(sched_instance_t *instance, uint64_t now_us)
{
	uint64_t elapsed_us = gw_elapsed_us(now_us, instance->clock_read_us);
	uint64_t lag_us = elapsed_us * SCHED_CLOCK_DRIFT_PERMILLE / 1000;
	uint64_t left_us, expiry_us;

	instance->deadline_ms = MAX(instance->deadline_ms,
	    sched_instance_clock_ms(instance, now_us) + SCHED_LEASE_MS);
	left_us = (instance->deadline_ms - instance->clock_ms) * GW_US_PER_MS -
	    elapsed_us + lag_us;
	expiry_us =
	    now_us + left_us * (1000 + SCHED_CLOCK_DRIFT_PERMILLE) / 1000;
	instance->expiry_us = MAX(instance->expiry_us, expiry_us);
	instance->extended_us = now_us;
	return instance->deadline_ms;
}

/*
 * Records that the end with this number is in the store, and advances
 * ack_number to the last end before the first gap.
 */
void
sched_instance_ack(sched_instance_t *instance, uint64_t number)
{
	int64_t *key = g_new(int64_t, 1);
	int64_t next;

	*key = (int64_t)number;
	g_hash_table_add(instance->recorded_ends, key);
	for (;;) {
		next = (int64_t)instance->ack_number + 1;
		if (!g_hash_table_remove(instance->recorded_ends, &next))
			break;
		instance->ack_number++;
	}
	sched_instance_schedule_renewal(
	    instance, gw_clock_now_us(instance->pool->clock) + GW_US_PER_S);
}

/*
 * Counts the result of a start or stop.
 */
void
sched_instance_request_ended(sched_pool_t *pool, const char *id)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);

	if (instance != NULL)
		instance->requests_in_flight -=
		    MIN(instance->requests_in_flight, 1);
}

/*
 * Schedules a renewal at due_us, unless one is due earlier.
 */
void
sched_instance_schedule_renewal(sched_instance_t *instance, uint64_t due_us)
{
	if (instance->renew_due_us == 0 || due_us < instance->renew_due_us)
		instance->renew_due_us = due_us;
}

static const char *
find_rack(GStrv labels)
{
	const char *rack = NULL;

	for (char **label = labels; label != NULL && *label != NULL; label++)
		if ((*label)[0] == RACK_LABEL_PREFIX &&
		    strchr(*label, '-') != NULL)
			rack = *label;
	return rack;
}

/*
 * Applies a registry entry, which shows a new instance, a change, or another
 * incarnation with the same id.
 */
void
sched_pool_set_instance(sched_pool_t *pool, const sched_instance_info_t *info)
{
	sched_instance_t *instance = sched_instance_get(pool, info->id);
	uint64_t now_us = gw_clock_now_us(pool->clock);
	bool is_new_incarnation = instance->info.born_ms != info->born_ms;
	bool was_listed = instance->listed;
	bool has_moved;

	if (is_new_incarnation && instance->info.born_ms > info->born_ms)
		return; /* an entry of an earlier incarnation */
	if (is_new_incarnation)
		sched_instance_restarted(instance, info->born_ms);
	if (!was_listed || is_new_incarnation ||
	    info->leaving != instance->info.leaving ||
	    info->capacity.cpu_millis != instance->info.capacity.cpu_millis ||
	    info->capacity.memory_mib != instance->info.capacity.memory_mib)
		gw_log(GW_EV_INSTANCE_LISTED,
		    "instance=%s pool=%s machine=%s address=%s born=%" PRIu64
		    " leaving=%d leaves_in_ms=%u cpu_millis=%" PRIu64
		    " memory_mib=%" PRIu64,
		    info->id, pool->name, info->machine, info->address,
		    info->born_ms, info->leaving, info->leaves_in_ms,
		    info->capacity.cpu_millis, info->capacity.memory_mib);
	has_moved = strcmp(info->address, instance->info.address) != 0;
	/* Calls to the previous address are cancelled without a result. */
	if (has_moved) {
		instance->renewing = false;
		instance->requests_in_flight = 0;
		for (guint i = 0; i < instance->tasks->len; i++)
			((sched_task_t *)instance->tasks->pdata[i])
			    ->requests_in_flight = 0;
	}
	g_strfreev(instance->info.labels);
	instance->info = *info;
	instance->info.labels = g_strdupv(info->labels);
	instance->rack = find_rack(instance->info.labels);
	instance->listed = true;
	if (has_moved ||
	    (!was_listed && sched_instance_has_no_contact(instance)))
		sched_instance_schedule_renewal(instance, now_us);
}

/*
 * Handles the removal of an instance's registry entry. The lease of its runs is
 * renewed as long as the instance responds; otherwise its tasks wait until the
 * lease has expired.
 */
void
sched_pool_remove_instance(sched_pool_t *pool, const char *id)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);

	if (instance == NULL || !instance->listed)
		return;
	instance->listed = false;
	gw_log(GW_EV_INSTANCE_UNLISTED, "instance=%s pool=%s runs=%u", id,
	    pool->name, instance->tasks->len);
}

/*
 * Sends a renewal. It does not extend the lease of an unreachable instance,
 * which would otherwise never expire. It acknowledges ends only to an instance
 * that has reported recently: for another incarnation with the same id, the
 * number would mean another end.
 */
static void
send_renewal(sched_instance_t *instance, uint64_t now_us)
{
	sched_pool_t *pool = instance->pool;
	bool is_busy = instance->tasks->len > 0;
	bool is_watched = is_busy || instance->strays->len > 0;
	bool is_fresh = instance->contacted && !instance->unreachable &&
	    gw_elapsed_us(now_us, instance->report_us) <
		SCHED_ACK_REPORT_AGE_MAX_US;
	sched_renewal_t renewal = {.instance = instance->info.id,
	    .address = instance->info.address,
	    .fence = sched_fence_use(instance)};

	if (is_busy && instance->clock_ms != 0 && !instance->unreachable &&
	    !sched_lapse_may_be_listed(instance) &&
	    now_us < pool->ops->lease_until_us(pool->arg) +
		    pool->bounds.renew_grace_ms * GW_US_PER_MS)
		renewal.deadline_ms =
		    sched_instance_extend_lease(instance, now_us);
	renewal.ack_number = is_fresh ? instance->ack_number : 0;
	if (is_fresh && is_watched && instance->trials == 0)
		renewal.wait_ms = sched_crash_is_watched(instance, now_us) ||
			sched_lapse_may_be_listed(instance)
		    ? SCHED_RENEW_WATCH_MS
		    : SCHED_RENEW_WAIT_MS;
	instance->renewing = true;
	instance->renewal_has_effect =
	    renewal.deadline_ms != 0 || renewal.ack_number != 0;
	instance->renew_due_us = 0;
	instance->renew_sent_us = now_us;
	pool->ops->renew(&renewal, pool->arg);
}

/*
 * Returns whether the lease of the instance has expired for certain. Once this
 * process's own lease may have ended, for instance while it was suspended,
 * another owner may have renewed the instance's.
 */
static bool
has_lapsed(const sched_instance_t *instance, uint64_t now_us)
{
	const sched_pool_t *pool = instance->pool;

	return sched_instance_has_no_contact(instance) &&
	    now_us >= instance->expiry_us &&
	    now_us < pool->ops->lease_until_us(pool->arg);
}

/*
 * Returns whether the instance is to be used again once it responds, and has
 * not been asked whether it does.
 */
static bool
must_be_asked(const sched_instance_t *instance)
{
	return instance->listed && sched_instance_has_no_contact(instance) &&
	    !instance->renewing && instance->renew_due_us == 0;
}

/*
 * Sends the renewal that is due, and ends the runs of an instance whose lease
 * expired while it could not be reached.
 */
void
sched_instance_tick(sched_instance_t *instance, uint64_t now_us)
{
	if (instance->tasks->len > 0 && has_lapsed(instance, now_us))
		sched_instance_lapse(instance, now_us);
	if (must_be_asked(instance))
		sched_instance_schedule_renewal(
		    instance, now_us + SCHED_RENEW_RETRY_US);
	if (!instance->renewing && !instance->awaits_fence &&
	    instance->renew_due_us != 0 && now_us >= instance->renew_due_us &&
	    instance->info.address[0] != '\0')
		send_renewal(instance, now_us);
}

/*
 * Handles a failed renewal. Another incarnation at the address proves that this
 * one has ended; the lack of a response does not.
 */
void
sched_pool_renewal_failed(
    sched_pool_t *pool, const char *id, sched_result_t result)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);
	uint64_t now_us = gw_clock_now_us(pool->clock);

	if (instance == NULL)
		return;
	instance->renewing = false;
	if (result == SCHED_RESULT_REPLACED) {
		instance->is_gone = true;
		sched_instance_end_runs(instance, "replaced", SCHED_LOSS_CRASH);
		instance->contacted = false;
		instance->listed = false;
		return;
	}
	if (result == SCHED_RESULT_FENCED) {
		pool->ops->fenced(id, pool->arg);
		return;
	}
	if (!instance->unreachable)
		gw_log(GW_EV_INSTANCE_UNREACHABLE,
		    "instance=%s pool=%s runs=%u lapse_ms=%" PRId64, id,
		    pool->name, instance->tasks->len,
		    ((int64_t)instance->expiry_us - (int64_t)now_us) / 1000);
	instance->unreachable = true;
	if (instance->renewal_has_effect)
		instance->late_renewal_until_us =
		    now_us + SCHED_LATE_REQUEST_MAX_MS * GW_US_PER_MS;
	sched_crash_note_silence(instance, now_us);
	if (instance->listed || instance->tasks->len > 0)
		sched_instance_schedule_renewal(
		    instance, now_us + SCHED_RENEW_RETRY_US);
}
