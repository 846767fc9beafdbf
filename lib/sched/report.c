#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * Counts the runs on an instance that failed in a row. After too many, the
 * instance is the last choice for SCHED_AVOID_FAILING_US.
 */
static void
update_failure_streak(
    sched_instance_t *instance, const sched_run_end_t *end, uint64_t now_us)
{
	if (end->kind == SCHED_END_DONE)
		instance->consecutive_failures = 0;
	if (end->kind != SCHED_END_FAILED ||
	    ++instance->consecutive_failures < SCHED_CONSECUTIVE_FAILURES_MAX)
		return;
	instance->failing_until_us = now_us + SCHED_AVOID_FAILING_US;
	/* After the pause, one more failure leads to another pause. */
	instance->consecutive_failures = SCHED_CONSECUTIVE_FAILURES_MAX - 1;
	gw_log(GW_EV_INSTANCE_AVOIDED,
	    "instance=%s pool=%s reason=failing failed_in_row=%u "
	    "for_ms=%" PRIu64,
	    instance->info.id, instance->pool->name,
	    SCHED_CONSECUTIVE_FAILURES_MAX,
	    SCHED_AVOID_FAILING_US / GW_US_PER_MS);
}

static void
handle_end(
    sched_instance_t *instance, const sched_run_end_t *end, uint64_t now_us)
{
	sched_pool_t *pool = instance->pool;
	sched_task_t *task = sched_pool_find_task(pool, &end->ref);
	sched_ack_t ack = {
	    .born_ms = instance->info.born_ms, .number = end->number};
	/* If so, the end does not change the job's record. */
	bool is_recorded =
	    task == NULL || task->job->recorded >= GW__JOB_STATE__JOB_COMPLETED;

	instance->seen_number = end->number;
	update_failure_streak(instance, end, now_us);
	if (task != NULL)
		sched_task_apply_end(task, instance, end);
	if (is_recorded) {
		sched_instance_ack(instance, end->number);
		return;
	}
	g_strlcpy(ack.instance, instance->info.id, sizeof(ack.instance));
	g_array_append_val(task->job->acks, ack);
	sched_job_mark_dirty(pool, task->job);
}

static void
handle_running(sched_instance_t *instance, const sched_run_status_t *row,
    uint64_t sent_us, uint64_t now_us)
{
	sched_pool_t *pool = instance->pool;
	sched_task_t *task = sched_pool_find_task(pool, &row->ref);

	if (task == NULL || task->instance != instance ||
	    task->run != row->run) {
		gw_log(GW_EV_RUN_STOP,
		    "job=%s task=%u.%u.%u run=%u instance=%s reason=unknown",
		    row->ref.job, row->ref.occurrence, row->ref.step,
		    row->ref.index, row->run, instance->info.id);
		instance->runs_unknown++;
		instance->requests_in_flight++;
		pool->ops->stop(instance->info.id, instance->info.address,
		    &row->ref, row->run, sched_fence_use(instance), pool->arg);
		return;
	}
	if (task->state == SCHED_TASK_STARTING ||
	    task->state == SCHED_TASK_RESERVED) {
		sched_send_unreserved(pool, task);
		task->state = SCHED_TASK_RUNNING;
	}
	task->refused_as_stale = false;
	task->confirmed_us = MAX(task->confirmed_us, sent_us);
	task->is_listed = true;
	if (task->begun_us == 0)
		task->begun_us = now_us;
	sched_crash_run_survived(pool, task, sent_us);
	task->percent = row->percent;
	if (row->checkpoint != NULL && row->checkpoint[0] != '\0' &&
	    g_strcmp0(task->checkpoint, row->checkpoint) != 0) {
		g_free(task->checkpoint);
		task->checkpoint = g_strdup(row->checkpoint);
	}
	/* The run is still listed, so the stop is repeated. */
	if (task->state == SCHED_TASK_STOPPING &&
	    gw_elapsed_us(now_us, task->sent_us) > SCHED_REQUEST_RETRY_US)
		sched_task_stop(task);
}

static bool
report_lists_run(const sched_report_t *report, const sched_task_t *task)
{
	sched_task_ref_t ref = sched_task_ref(task);

	for (uint32_t i = 0; i < report->running_count; i++) {
		const sched_run_status_t *row = &report->running[i];

		if (row->run == task->run && row->ref.index == ref.index &&
		    row->ref.step == ref.step &&
		    row->ref.occurrence == ref.occurrence &&
		    strcmp(row->ref.job, ref.job) == 0)
			return true;
	}
	return false;
}

/*
 * Returns whether a run that the report does not list has ended for certain. It
 * has if, before the report was requested at sent_us, the instance had the run,
 * or was already going to refuse its start: an instance refuses starts of a
 * previous owner once it has seen this owner's fence, and the start of a
 * stopped run once it has responded to the stop.
 */
static bool
absence_is_final(const sched_task_t *task, uint64_t sent_us)
{
	if (task->refused_as_stale)
		return true;
	if (task->state == SCHED_TASK_RUNNING)
		return task->confirmed_us < sent_us;
	if (task->state != SCHED_TASK_STOPPING)
		return false;
	if (task->stop_answered_us != 0)
		return task->stop_answered_us < sent_us;
	return task->starts_sent == 0 ||
	    (task->confirmed_us != 0 && task->confirmed_us < sent_us);
}

/*
 * Requeues the tasks whose runs the instance does not list and can no longer
 * start. Either a previous owner has acknowledged their end, or they were never
 * started.
 */
static void
requeue_missing(
    sched_instance_t *instance, const sched_report_t *report, uint64_t sent_us)
{
	for (guint i = instance->tasks->len; i-- > 0;) {
		sched_task_t *task = instance->tasks->pdata[i];

		if (absence_is_final(task, sent_us) &&
		    !report_lists_run(report, task))
			sched_task_requeue(task, "missing");
	}
}

/*
 * Applies an instance's response to a renewal that was sent at sent_us.
 */
void
sched_pool_apply_report(sched_pool_t *pool, const char *id,
    const sched_report_t *report, uint64_t sent_us)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);
	uint64_t now_us = gw_clock_now_us(pool->clock);

	if (instance == NULL)
		return;
	instance->renewing = false;
	if (report->born_ms != 0 && report->born_ms != instance->info.born_ms) {
		sched_instance_restarted(instance, report->born_ms);
		return;
	}
	/* This incarnation has not seen its fence yet. */
	if (sent_us < instance->fence_since_us || instance->awaits_fence) {
		sched_instance_schedule_renewal(instance, now_us);
		return;
	}
	if (!instance->contacted || instance->unreachable)
		gw_log(GW_EV_INSTANCE_BACK,
		    "instance=%s pool=%s running=%u ends=%u", id, pool->name,
		    report->running_count, report->end_count);
	if (!instance->contacted)
		sched_fence_seen(instance, now_us);
	instance->contacted = true;
	instance->unreachable = false;
	instance->clock_ms = report->clock_ms;
	instance->clock_read_us = now_us;
	instance->report_us = now_us;
	instance->alive_us = MAX(instance->alive_us, sent_us);
	/* Ends before the first one listed have been acknowledged. */
	if (report->end_count > 0)
		instance->ack_number =
		    MAX(instance->ack_number, report->ends[0].number - 1);
	for (uint32_t i = 0; i < report->end_count; i++)
		if (report->ends[i].number > instance->seen_number)
			handle_end(instance, &report->ends[i], now_us);
	instance->runs_unknown = 0;
	for (uint32_t i = 0; i < report->running_count; i++)
		handle_running(instance, &report->running[i], sent_us, now_us);
	/*
	 * If the report is full, the end of a run that it does not list may
	 * follow in the next one.
	 */
	if (report->end_count < SCHED_REPORT_ENDS_MAX)
		requeue_missing(instance, report, sent_us);
	if (instance->trials > 0)
		sched_instance_schedule_renewal(
		    instance, sched_crash_report_due_us(instance, now_us));
	else if (instance->tasks->len > 0 || report->running_count > 0)
		sched_instance_schedule_renewal(
		    instance, now_us + sched_renew_delay_us(pool));
	else if (instance->strays->len > 0)
		/* Shows at once that another incarnation has begun. */
		sched_instance_schedule_renewal(
		    instance, now_us + SCHED_RENEW_WAIT_MS * GW_US_PER_MS);
	else if (instance->seen_number > instance->ack_number)
		sched_instance_schedule_renewal(
		    instance, now_us + GW_US_PER_S / 2);
}
