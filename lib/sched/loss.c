#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * The end of an instance, or of one of its incarnations, with all that runs
 * there.
 */

static void
log_lost(const sched_instance_t *instance, const char *reason, guint runs)
{
	if (runs > 0)
		gw_log(GW_EV_INSTANCE_LOST,
		    "instance=%s pool=%s reason=%s runs=%u born=%" PRIu64
		    " late_starts=%u",
		    instance->info.id, instance->pool->name, reason, runs,
		    instance->info.born_ms, instance->tasks->len - runs);
}

static void
end_runs(sched_instance_t *instance, const GPtrArray *tasks, const char *reason,
    sched_loss_t loss)
{
	g_autoptr(GPtrArray) suspects = NULL;

	log_lost(instance, reason, tasks->len);
	if (loss != SCHED_LOSS_PLANNED)
		suspects = sched_crash_count_runs(instance, tasks, loss);
	for (guint i = tasks->len; i-- > 0;)
		sched_task_requeue(tasks->pdata[i], reason);
	if (suspects != NULL)
		sched_crash_give_up(instance->pool, suspects);
}

/*
 * Ends all runs on the instance: its incarnation has ended, and no other one
 * can have begun under its id.
 */
void
sched_instance_end_runs(
    sched_instance_t *instance, const char *reason, sched_loss_t loss)
{
	g_autoptr(GPtrArray) tasks =
	    g_ptr_array_copy(instance->tasks, NULL, NULL);

	end_runs(instance, tasks, reason, loss);
	instance->renew_due_us = 0;
}

/*
 * Ends the runs on an instance whose lease has expired, except those that an
 * incarnation which this owner has not heard of may have begun late.
 */
void
sched_instance_lapse(sched_instance_t *instance, uint64_t now_us)
{
	g_autoptr(GPtrArray) tasks = g_ptr_array_new();

	for (guint i = 0; i < instance->tasks->len; i++) {
		sched_task_t *task = instance->tasks->pdata[i];

		if (now_us >= sched_late_start_until_us(task))
			g_ptr_array_add(tasks, task);
		else
			/* What has begun on the earlier incarnation is over. */
			task->begun_us = 0;
	}
	if (tasks->len == 0)
		return;
	end_runs(instance, tasks, "lapsed", SCHED_LOSS_LAPSED);
	if (instance->tasks->len == 0)
		instance->renew_due_us = 0;
}

/*
 * Returns whether the lease of the instance has expired, and its tasks only
 * wait for starts that may be carried out late.
 */
bool
sched_instance_waits_for_late_starts(
    const sched_instance_t *instance, uint64_t now_us)
{
	if (!sched_instance_has_no_contact(instance) ||
	    now_us < instance->expiry_us)
		return false;
	for (guint i = 0; i < instance->tasks->len; i++)
		if (now_us >=
		    sched_late_start_until_us(instance->tasks->pdata[i]))
			return false;
	return instance->tasks->len > 0;
}

/*
 * Resets the state that belongs to one incarnation of the instance.
 */
static void
begin_incarnation(sched_instance_t *instance, uint64_t born_ms)
{
	instance->has_begun_again = instance->info.born_ms != 0;
	instance->is_gone = false;
	instance->info.born_ms = born_ms;
	instance->renewing = false;
	instance->contacted = false;
	instance->unreachable = false;
	instance->runs_unknown = 0;
	instance->alive_us = 0;
	instance->seen_number = 0;
	instance->ack_number = 0;
	instance->clock_ms = 0;
	instance->deadline_ms = 0;
	instance->consecutive_failures = 0;
	instance->avoid_until_us = 0;
	instance->failing_until_us = 0;
	g_hash_table_remove_all(instance->recorded_ends);
}

/*
 * Returns whether an incarnation that began later may have carried out a start
 * of the run, or may yet: not all starts are known to have been carried out by
 * the one that has ended. A response to a start does not show which one it is
 * from. The starts of a previous owner are not known at all.
 */
static bool
may_reach_next_incarnation(const sched_task_t *task)
{
	return task->state != SCHED_TASK_RESERVED &&
	    (task->starts_sent != 1 || !task->is_listed);
}

/*
 * Notes that a start which was meant for an earlier incarnation may be carried
 * out by this one, with a deadline on the clock of the earlier one.
 */
void
sched_instance_expect_late_start(sched_instance_t *instance, uint64_t now_us)
{
	instance->late_start_until_us =
	    now_us + sched_drift_bound_us(instance->pool->bounds.hold_max_ms);
	instance->expiry_us =
	    MAX(instance->expiry_us, instance->late_start_until_us);
}

/*
 * Applies a bound of the lease that an earlier owner has told.
 */
void
sched_instance_limit_expiry(sched_instance_t *instance, uint64_t bound_us)
{
	instance->expiry_us = MAX(
	    instance->late_start_until_us, MIN(instance->expiry_us, bound_us));
}

/*
 * Handles that the instance has started again under its id. Orders name only
 * the id, so the new incarnation may carry out a start that was meant for the
 * previous one. Such a run is stopped before its task runs elsewhere.
 */
void
sched_instance_restarted(sched_instance_t *instance, uint64_t born_ms)
{
	uint64_t now_us = gw_clock_now_us(instance->pool->clock);
	g_autoptr(GPtrArray) tasks =
	    g_ptr_array_copy(instance->tasks, NULL, NULL);
	g_autoptr(GPtrArray) suspects =
	    sched_crash_count_runs(instance, tasks, SCHED_LOSS_CRASH);

	log_lost(instance, "restarted", tasks->len);
	for (guint i = 0; i < tasks->len; i++)
		sched_late_start_begun_again(tasks->pdata[i]);
	begin_incarnation(instance, born_ms);
	if (instance->has_begun_again)
		sched_fence_raise(instance);
	for (guint i = tasks->len; i-- > 0;) {
		sched_task_t *task = tasks->pdata[i];

		if (!may_reach_next_incarnation(task)) {
			sched_task_requeue(task, "restarted");
			continue;
		}
		task->begun_us = 0;
		task->is_listed = false;
		task->confirmed_us = 0;
		task->refused_as_stale = false;
		task->stop_answered_us = 0;
		sched_task_stop(task);
	}
	if (instance->tasks->len > 0)
		sched_instance_expect_late_start(instance, now_us);
	sched_instance_schedule_renewal(instance, now_us);
	sched_crash_give_up(instance->pool, suspects);
}

static void
end_instance(sched_instance_t *instance, const char *reason, sched_loss_t loss)
{
	instance->is_gone = true;
	sched_instance_end_runs(instance, reason, loss);
	instance->listed = false;
	instance->contacted = false;
}

/*
 * Ends the runs of an instance whose machine was ordered to stop.
 */
void
sched_pool_end_instance(sched_pool_t *pool, const char *id, const char *reason)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);

	if (instance != NULL)
		end_instance(instance, reason, SCHED_LOSS_PLANNED);
}

/*
 * Ends the other instances that ran on the same machine before this one.
 * Registry entries may arrive out of order, so the start times are compared.
 */
void
sched_pool_end_superseded(sched_pool_t *pool, const sched_instance_info_t *info)
{
	sched_instance_t *instance;
	GHashTableIter iter;

	if (info->machine[0] == '\0')
		return;
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance))
		if (strcmp(instance->info.machine, info->machine) == 0 &&
		    strcmp(instance->info.id, info->id) != 0 &&
		    instance->info.born_ms < info->born_ms)
			end_instance(
			    instance, "machine-restarted", SCHED_LOSS_CRASH);
}
