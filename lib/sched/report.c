#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * Counts how the runs on an instance end: one that fails all that it starts is
 * given nothing for a while.
 */
static void
judge(sched_instance_t *instance, const sched_end_t *end, uint64_t now_us)
{
	if (end->kind == SCHED_END_DONE)
		instance->failed_in_row = 0;
	if (end->kind != SCHED_END_FAILED ||
	    ++instance->failed_in_row < SCHED_FAILURES_MAX)
		return;
	instance->avoid_until_us = now_us + SCHED_AVOID_FAILING_US;
	/* One more failure after the pause is enough for another. */
	instance->failed_in_row = SCHED_FAILURES_MAX - 1;
	gw_log(GW_EV_INSTANCE_AVOIDED,
	    "instance=%s pool=%s reason=failing failed_in_row=%u "
	    "for_ms=%" PRIu64,
	    instance->info.id, instance->pool->name, SCHED_FAILURES_MAX,
	    SCHED_AVOID_FAILING_US / GW_US_PER_MS);
}

static void
take_end(sched_instance_t *instance, const sched_end_t *end, uint64_t now_us)
{
	sched_pool_t *pool = instance->pool;
	sched_task_t *task = sched_pool_task(pool, &end->ref);
	sched_ack_t ack = {
	    .born_ms = instance->info.born_ms, .number = end->number};
	/* Then the end adds nothing to the job's record. */
	bool is_recorded =
	    task == NULL || task->job->recorded >= GW__JOB_STATE__JOB_COMPLETED;

	instance->seen_number = end->number;
	judge(instance, end, now_us);
	if (task != NULL)
		sched_task_ended(task, instance, end);
	if (is_recorded) {
		sched_instance_ack(instance, end->number);
		return;
	}
	g_strlcpy(ack.instance, instance->info.id, sizeof(ack.instance));
	g_array_append_val(task->job->acks, ack);
	sched_job_mark(pool, task->job);
}

static void
take_running(sched_instance_t *instance, const sched_running_t *row,
    uint64_t sent_us, uint64_t now_us)
{
	sched_pool_t *pool = instance->pool;
	sched_task_t *task = sched_pool_task(pool, &row->ref);

	if (task == NULL || task->instance != instance ||
	    task->run != row->run) {
		gw_log(GW_EV_RUN_STOP,
		    "job=%s task=%u.%u.%u run=%u instance=%s reason=unknown",
		    row->ref.job, row->ref.occurrence, row->ref.step,
		    row->ref.index, row->run, instance->info.id);
		pool->ops->stop(instance->info.id, instance->info.address,
		    &row->ref, row->run, pool->arg);
		return;
	}
	if (task->state == SCHED_STARTING || task->state == SCHED_RESERVED)
		task->state = SCHED_RUNNING;
	task->refused_as_old = false;
	task->confirmed_us = MAX(task->confirmed_us, sent_us);
	task->percent = row->percent;
	if (row->checkpoint != NULL && row->checkpoint[0] != '\0' &&
	    g_strcmp0(task->checkpoint, row->checkpoint) != 0) {
		g_free(task->checkpoint);
		task->checkpoint = g_strdup(row->checkpoint);
	}
	/* Its job has ended, or a stop had no answer: tell it again. */
	if (task->state == SCHED_STOPPING &&
	    gw_elapsed_us(now_us, task->sent_us) > SCHED_START_RETRY_US)
		sched_task_stop(task);
}

static bool
is_listed(const sched_report_t *report, const sched_task_t *task)
{
	sched_ref_t ref = sched_task_ref(task);

	for (uint32_t i = 0; i < report->running_count; i++) {
		const sched_running_t *row = &report->running[i];

		if (row->run == task->run && row->ref.index == ref.index &&
		    row->ref.step == ref.step &&
		    row->ref.occurrence == ref.occurrence &&
		    strcmp(row->ref.job, ref.job) == 0)
			return true;
	}
	return false;
}

/*
 * Tells whether the instance had the run, or had refused it for good, before it
 * was asked at sent_us. Runs of a former owner are refused since this owner's
 * fence is there; a run that was told to stop, once the stop was answered.
 */
static bool
was_settled(const sched_task_t *task, uint64_t sent_us)
{
	if (task->refused_as_old)
		return true;
	if (task->state == SCHED_RUNNING)
		return task->confirmed_us < sent_us;
	if (task->state != SCHED_STOPPING)
		return false;
	if (task->stopped_us != 0)
		return task->stopped_us < sent_us;
	return task->orders == 0 ||
	    (task->confirmed_us != 0 && task->confirmed_us < sent_us);
}

/*
 * Ends the runs that the instance no longer has: they are not listed, and no
 * order can bring them back. Their end was acknowledged to a former owner, or
 * they were never started.
 */
static void
requeue_missing(
    sched_instance_t *instance, const sched_report_t *report, uint64_t sent_us)
{
	for (guint i = instance->tasks->len; i-- > 0;) {
		sched_task_t *task = instance->tasks->pdata[i];

		if (was_settled(task, sent_us) && !is_listed(report, task))
			sched_task_requeue(task, "missing");
	}
}

/*
 * Takes an instance's answer to a hold that was sent at sent_us.
 */
void
sched_pool_report(sched_pool_t *pool, const char *id,
    const sched_report_t *report, uint64_t sent_us)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);
	uint64_t now_us = gw_clock_now_us(pool->clock);

	if (instance == NULL)
		return;
	instance->holding = false;
	if (report->born_ms != 0 && report->born_ms != instance->info.born_ms) {
		sched_instance_lost(instance, "restarted");
		sched_instance_begin_life(instance, report->born_ms);
		sched_instance_hold_at(instance, now_us);
		return;
	}
	if (!instance->contacted || instance->unreachable)
		gw_log(GW_EV_INSTANCE_BACK,
		    "instance=%s pool=%s running=%u ends=%u", id, pool->name,
		    report->running_count, report->end_count);
	/* From now on the fence keeps a former owner's holds away. */
	if (!instance->contacted)
		instance->lapse_us = now_us + sched_drifted_us(SCHED_HOLD_MS);
	instance->contacted = true;
	instance->unreachable = false;
	instance->clock_ms = report->clock_ms;
	instance->clock_us = now_us;
	instance->report_us = now_us;
	/* What comes before the first listed end was acknowledged earlier. */
	if (report->end_count > 0)
		instance->ack_number =
		    MAX(instance->ack_number, report->ends[0].number - 1);
	for (uint32_t i = 0; i < report->end_count; i++)
		if (report->ends[i].number > instance->seen_number)
			take_end(instance, &report->ends[i], now_us);
	for (uint32_t i = 0; i < report->running_count; i++)
		take_running(instance, &report->running[i], sent_us, now_us);
	/* A full page may leave out the end of a run that is not listed. */
	if (report->end_count < SCHED_ENDS_PAGE)
		requeue_missing(instance, report, sent_us);
	if (instance->tasks->len > 0 || report->running_count > 0)
		sched_instance_hold_at(instance, now_us + SCHED_HOLD_PAUSE_US);
	else if (instance->seen_number > instance->ack_number)
		sched_instance_hold_at(instance, now_us + GW_US_PER_S / 2);
}
