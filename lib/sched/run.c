#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/* Shortest time before the next run of a task that failed or was refused. */
#define FAILED_RESTART_DELAY_US (50 * GW_US_PER_MS)
#define REFUSED_RESTART_DELAY_US (20 * GW_US_PER_MS)
/* Readings of a clock may differ by this much, beside its drift. */
#define CLOCK_ERROR_MS 200

static const char *
end_name(sched_end_kind_t kind)
{
	static const char *const names[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};

	return names[kind];
}

static sched_pool_t *
pool_of(const sched_task_t *task)
{
	return task->instance->pool;
}

/*
 * Takes a task off its instance after its run has ended. Unless its job has
 * ended, the task waits for another run.
 */
void
sched_task_requeue(sched_task_t *task, const char *reason)
{
	sched_pool_t *pool = pool_of(task);
	uint64_t now_us = gw_clock_now_us(pool->clock);

	gw_log(GW_EV_RUN_REQUEUED,
	    "job=%s task=%u.%u.%u run=%u instance=%s reason=%s starts=%u "
	    "begun_ms=%" PRIu64 " with=%u",
	    task->job->id, task->occurrence, task->step, task->index, task->run,
	    task->instance->info.id, reason, task->starts_sent,
	    task->begun_us == 0
		? 0
		: gw_elapsed_us(now_us, task->begun_us) / GW_US_PER_MS,
	    task->instance->tasks->len - 1);
	sched_instance_release(task);
	task->state = SCHED_TASK_WAITING;
	task->refused_as_stale = false;
	task->starts_sent = 0;
	task->starts_settled = 0;
	task->starts_refused = 0;
	task->is_crash_open = false;
	task->stops_sent = 0;
	task->requests_in_flight = 0;
	task->stop_answered_us = 0;
	task->percent = 0;
	task->begun_us = 0;
	task->is_listed = false;
	g_clear_pointer(&task->ticket, g_free);
	sched_task_step_state(task)->waiting++;
	if (!sched_job_has_ended(task->job))
		sched_job_mark_dirty(pool, task->job);
}

/*
 * Sends the start of the task's run, or repeats it when there was no response.
 * Repeating it is safe, since an instance starts a given run only once.
 */
void
sched_task_send_start(sched_task_t *task, uint64_t now_us)
{
	sched_instance_t *instance = task->instance;
	sched_pool_t *pool = pool_of(task);
	sched_start_t start = {.instance = instance->info.id,
	    .address = instance->info.address,
	    .ref = sched_task_ref(task),
	    .run = task->run,
	    .payload = task->job->spec->payload,
	    .checkpoint = task->checkpoint == NULL ? "" : task->checkpoint,
	    .ticket = task->ticket,
	    .fence = sched_fence_use(instance)};

	sched_send_unreserved(pool, task);
	task->state = SCHED_TASK_STARTING;
	task->sent_us = now_us;
	/*
	 * While this process was suspended, another may have become the owner.
	 */
	if (now_us >= pool->ops->lease_until_us(pool->arg))
		return;
	if (sched_lapse_may_be_listed(instance))
		return;
	start.deadline_ms = sched_instance_extend_lease(instance, now_us);
	gw_log(GW_EV_RUN_START,
	    "job=%s task=%u.%u.%u run=%u instance=%s attempt=%u "
	    "used_cpu=%" PRIu64 " report_age_ms=%" PRIu64,
	    start.ref.job, start.ref.occurrence, start.ref.step,
	    start.ref.index, start.run, start.instance, task->starts_sent + 1,
	    instance->used.cpu_millis,
	    (gw_elapsed_us(now_us, instance->report_us)) / GW_US_PER_MS);
	task->starts_sent++;
	task->requests_in_flight++;
	instance->requests_in_flight++;
	task->job->started = true;
	if (task->job->state == GW__JOB_STATE__JOB_QUEUED)
		task->job->state = GW__JOB_STATE__JOB_RUNNING;
	pool->ops->start(&start, pool->arg);
}

/*
 * Sends the stop of a placed task's run. The task keeps its room on the
 * instance until the end is reported.
 */
void
sched_task_stop(sched_task_t *task)
{
	sched_instance_t *instance = task->instance;
	sched_pool_t *pool;
	sched_task_ref_t ref;

	if (instance == NULL)
		return;
	pool = instance->pool;
	if (task->state == SCHED_TASK_RESERVED) {
		sched_task_requeue(task, "not-needed");
		return;
	}
	ref = sched_task_ref(task);
	task->state = SCHED_TASK_STOPPING;
	task->sent_us = gw_clock_now_us(pool->clock);
	if (instance->awaits_fence)
		return; /* sent by sched_send_repeat() */
	gw_log(GW_EV_RUN_STOP,
	    "job=%s task=%u.%u.%u run=%u instance=%s reason=%s", ref.job,
	    ref.occurrence, ref.step, ref.index, task->run, instance->info.id,
	    sched_job_has_ended(task->job) ? "job-ended" : "moved");
	task->stops_sent++;
	task->requests_in_flight++;
	instance->requests_in_flight++;
	pool->ops->stop(instance->info.id, instance->info.address, &ref,
	    task->run, sched_fence_use(instance), pool->arg);
	sched_instance_schedule_renewal(
	    instance, task->sent_us + SCHED_RENEW_DELAY_US);
}

/*
 * Marks the task done, and completes its job when no task is open and no
 * occurrence is due later.
 */
static void
finish_task(sched_pool_t *pool, sched_task_t *task)
{
	sched_job_t *job = task->job;
	sched_occurrence_t *occurrence =
	    sched_job_find_occurrence(job, task->occurrence);

	if (task->instance != NULL)
		sched_instance_release(task);
	else
		sched_task_step_state(task)->waiting--;
	task->state = SCHED_TASK_DONE;
	sched_task_step_state(task)->open--;
	occurrence->open--;
	if (occurrence->open > 0 || sched_job_has_ended(job))
		return;
	for (guint i = 0; i < job->occurrences->len; i++)
		if (((sched_occurrence_t *)job->occurrences->pdata[i])->open >
		    0)
			return;
	if (job->next_occurrence >= MAX(job->spec->repeats, 1))
		sched_job_end(pool, job, GW__JOB_STATE__JOB_COMPLETED);
}

/*
 * Marks all members of a gang done, because one of them is.
 */
static void
finish_gang(sched_pool_t *pool, sched_task_t *task)
{
	sched_occurrence_t *occurrence =
	    sched_job_find_occurrence(task->job, task->occurrence);
	sched_step_t *step = &occurrence->steps[task->step];
	uint32_t count = sched_task_step_spec(task)->count;

	for (uint32_t i = 0; i < count; i++) {
		sched_task_t *member = &occurrence->tasks[step->first_task + i];

		if (member != task && member->state != SCHED_TASK_DONE)
			finish_task(pool, member);
	}
	if (task->state != SCHED_TASK_DONE)
		finish_task(pool, task);
}

/*
 * Counts a failed run, and fails the job once the task has failed max_attempts
 * times. For a gang, the failures of all members are added up. A failure of one
 * member ends the runs of all, but the kind of the other ends is not
 * SCHED_END_FAILED, so each failed run of the gang counts once.
 */
static void
count_failure(sched_pool_t *pool, sched_task_t *task, uint64_t now_us)
{
	sched_job_t *job = task->job;
	uint32_t failures = 0;

	task->not_before_us = now_us + FAILED_RESTART_DELAY_US;
	if (sched_task_step_spec(task)->lasting || sched_job_has_ended(job))
		return;
	task->failures++;
	failures = task->failures;
	if (sched_task_step_spec(task)->gang) {
		sched_occurrence_t *occurrence =
		    sched_job_find_occurrence(job, task->occurrence);
		uint32_t first = occurrence->steps[task->step].first_task;

		failures = 0;
		for (uint32_t i = 0; i < sched_task_step_spec(task)->count; i++)
			failures += occurrence->tasks[first + i].failures;
	}
	if (failures >= job->spec->max_attempts)
		sched_job_end(pool, job, GW__JOB_STATE__JOB_FAILED);
}

/*
 * Handles the reported end of a run. Ends of earlier runs than the task's last
 * one are only logged, since a task gets its next run only after the one before
 * has ended for certain.
 */
void
sched_task_apply_end(
    sched_task_t *task, sched_instance_t *instance, const sched_run_end_t *end)
{
	sched_pool_t *pool = instance->pool;
	uint64_t now_us = gw_clock_now_us(pool->clock);
	bool is_current = task->instance == instance && task->run == end->run;

	gw_log(GW_EV_RUN_END,
	    "job=%s task=%u.%u.%u run=%u instance=%s end=%s number=%" PRIu64
	    " current=%d ran_ms=%" PRIu64,
	    end->ref.job, end->ref.occurrence, end->ref.step, end->ref.index,
	    end->run, instance->info.id, end_name(end->kind), end->number,
	    is_current,
	    is_current ? (gw_elapsed_us(now_us, task->sent_us)) / GW_US_PER_MS
		       : 0);
	if (!is_current || task->state == SCHED_TASK_DONE)
		return;
	task->is_listed = true;
	/* The instance has survived the start of the run. */
	if (end->kind == SCHED_END_DONE || end->kind == SCHED_END_FAILED)
		sched_crash_clear(pool, task);
	if (end->checkpoint != NULL && end->checkpoint[0] != '\0') {
		g_free(task->checkpoint);
		task->checkpoint = g_strdup(end->checkpoint);
	}
	if (end->kind == SCHED_END_DONE &&
	    !sched_task_step_spec(task)->lasting) {
		if (sched_task_step_spec(task)->gang)
			finish_gang(pool, task);
		else
			finish_task(pool, task);
		return;
	}
	if (end->kind == SCHED_END_FAILED)
		g_strlcpy(task->failed_on, instance->info.id,
		    sizeof(task->failed_on));
	sched_task_requeue(task, end_name(end->kind));
	if (end->kind == SCHED_END_FAILED)
		count_failure(pool, task, now_us);
}

static void
avoid_instance(sched_instance_t *instance, uint64_t now_us)
{
	instance->avoid_until_us = now_us + SCHED_AVOID_REFUSED_US;
	gw_log(GW_EV_INSTANCE_AVOIDED,
	    "instance=%s pool=%s reason=refused for_ms=%" PRIu64,
	    instance->info.id, instance->pool->name,
	    SCHED_AVOID_REFUSED_US / GW_US_PER_MS);
}

static void
handle_refusal(sched_task_t *task, sched_result_t result, uint64_t now_us)
{
	sched_instance_t *instance = task->instance;

	switch (result) {
	case SCHED_RESULT_STALE:
		/*
		 * The instance had the run: the next report has its end, or
		 * does not list the run.
		 */
		task->refused_as_stale = true;
		sched_instance_schedule_renewal(instance, now_us);
		return;
	case SCHED_RESULT_LATE:
		/*
		 * The deadline was computed from a wrong estimate of the
		 * instance's clock; the next report corrects it.
		 */
		instance->contacted = false;
		sched_instance_schedule_renewal(instance, now_us);
		sched_task_requeue(task, "late");
		return;
	case SCHED_RESULT_NO_ROOM:
		task->not_before_us = now_us + REFUSED_RESTART_DELAY_US;
		instance->avoid_until_us = now_us + REFUSED_RESTART_DELAY_US;
		g_strlcpy(task->failed_on, instance->info.id,
		    sizeof(task->failed_on));
		sched_instance_schedule_renewal(instance, now_us);
		sched_task_requeue(task, "no-room");
		return;
	case SCHED_RESULT_BAD_TICKET:
		sched_step_clear_tickets(sched_task_step_state(task));
		sched_task_requeue(task, "ticket");
		return;
	case SCHED_RESULT_REFUSED:
		avoid_instance(instance, now_us);
		task->not_before_us = now_us + REFUSED_RESTART_DELAY_US;
		sched_task_requeue(task, "refused");
		return;
	default:
		return;
	}
}

/*
 * Handles the result of a stop. Once the instance has responded it refuses the
 * start of this run, however late that arrives; the next report shows whether
 * the instance had the run.
 */
void
sched_pool_apply_stop_result(sched_pool_t *pool, const char *id,
    const sched_task_ref_t *ref, uint32_t run, sched_result_t result)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);
	sched_task_t *task = sched_pool_find_task(pool, ref);
	uint64_t now_us = gw_clock_now_us(pool->clock);

	sched_instance_request_ended(pool, id);
	if (task == NULL || task->instance == NULL || task->run != run ||
	    strcmp(task->instance->info.id, id) != 0) {
		if (instance != NULL)
			sched_stray_stop_answered(instance, ref, run, result);
		return;
	}
	task->requests_in_flight -= MIN(task->requests_in_flight, 1);
	if (task->state != SCHED_TASK_STOPPING ||
	    (result != SCHED_RESULT_OK && result != SCHED_RESULT_STALE))
		return;
	if (task->stop_answered_us == 0)
		task->stop_answered_us = now_us;
	sched_instance_schedule_renewal(task->instance, now_us);
}

/*
 * Returns whether a response with this reading of the instance's clock is from
 * another incarnation than the one whose clock is known: it came after the last
 * start was sent, but shows an earlier time.
 */
static bool
is_from_next_incarnation(const sched_task_t *task, uint64_t clock_ms)
{
	const sched_instance_t *instance = task->instance;
	int64_t since_read_ms =
	    ((int64_t)task->sent_us - (int64_t)instance->clock_read_us) /
	    (int64_t)GW_US_PER_MS;
	int64_t error_ms = CLOCK_ERROR_MS +
	    ABS(since_read_ms) * SCHED_CLOCK_DRIFT_PERMILLE / 1000;

	return clock_ms != 0 && instance->clock_ms != 0 &&
	    (int64_t)clock_ms + error_ms <
	    (int64_t)instance->clock_ms + since_read_ms;
}

/*
 * Handles the result of a start, with the instance's clock at the response; 0:
 * not known. A start without a response is repeated by sched_pool_tick(), until
 * the instance responds or its lease has expired. So is one that the next
 * incarnation has carried out: the next report shows that one.
 */
void
sched_pool_apply_start_result(sched_pool_t *pool, const char *id,
    const sched_task_ref_t *ref, uint32_t run, sched_result_t result,
    uint64_t clock_ms)
{
	sched_instance_t *instance = g_hash_table_lookup(pool->instances, id);
	sched_task_t *task = sched_pool_find_task(pool, ref);
	uint64_t now_us = gw_clock_now_us(pool->clock);
	bool has_response;

	sched_instance_request_ended(pool, id);
	if (result == SCHED_RESULT_FENCED)
		pool->ops->fenced(id, pool->arg);
	if (task == NULL || task->instance == NULL || task->run != run ||
	    strcmp(task->instance->info.id, id) != 0) {
		if (instance != NULL)
			sched_stray_start_answered(instance, ref, run, result);
		return;
	}
	task->requests_in_flight -= MIN(task->requests_in_flight, 1);
	if (result == SCHED_RESULT_OK &&
	    is_from_next_incarnation(task, clock_ms)) {
		gw_log(GW_EV_RUN_REFUSED,
		    "job=%s task=%u.%u.%u run=%u instance=%s order=start "
		    "answer=restarted clock_ms=%" PRIu64
		    " known_clock_ms=%" PRIu64,
		    ref->job, ref->occurrence, ref->step, ref->index, run, id,
		    clock_ms, sched_instance_clock_ms(instance, now_us));
		result = SCHED_RESULT_NO_RESPONSE;
	}
	has_response = result != SCHED_RESULT_NO_RESPONSE &&
	    result != SCHED_RESULT_NOT_SENT;
	task->starts_settled += result != SCHED_RESULT_NO_RESPONSE;
	task->starts_refused += sched_crash_is_refusal(result);
	/* A repeated start may have been answered to an earlier request. */
	if (has_response && result != SCHED_RESULT_REPLACED &&
	    task->starts_sent == 1 && task->stops_sent == 0)
		instance->alive_us = MAX(instance->alive_us, task->sent_us);
	if (task->state != SCHED_TASK_STARTING || result == SCHED_RESULT_FENCED)
		return;
	if (result == SCHED_RESULT_OK) {
		task->state = SCHED_TASK_RUNNING;
		task->confirmed_us = now_us;
		if (task->begun_us == 0)
			task->begun_us = now_us;
		sched_instance_schedule_renewal(instance,
		    task->on_trial ? sched_crash_report_due_us(instance, now_us)
				   : now_us + sched_renew_delay_us(pool));
	} else if (result == SCHED_RESULT_REPLACED) {
		sched_pool_renewal_failed(pool, id, result);
	} else if (!has_response) {
		sched_instance_schedule_renewal(instance, now_us);
	} else if (task->starts_sent > 1 && result != SCHED_RESULT_STALE) {
		/* Another start of this run may still be accepted. */
		sched_task_stop(task);
	} else {
		handle_refusal(task, result, now_us);
	}
}
