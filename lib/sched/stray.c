#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * Starts without a response, of runs that are over. They may be carried out
 * later. The incarnation that they were sent to refuses them, since it knows
 * that the run has ended or that the deadline has passed; one that begins later
 * under the same id knows neither. It is told to stop these runs, and then
 * refuses the starts, before it gets any others.
 *
 * Starts of a previous owner need no such stop: an instance refuses them once
 * it has had a request of this one.
 */

/* A stop without a response is repeated after this time. */
#define STOP_RETRY_US (400 * GW_US_PER_MS)

typedef struct {
	sched_task_ref_t ref;
	uint32_t run;
	uint32_t starts;  /* without a response */
	uint64_t born_ms; /* the incarnation that refuses them, or 0: none */
	uint64_t forget_us;
	uint64_t stop_sent_us;	    /* 0: no stop without a response */
	uint64_t stop_sent_born_ms; /* to this incarnation */
	/*
	 * The team for whose quota the start counts, which may run until the
	 * incarnation that it was sent to refuses it; NULL: none.
	 */
	sched_team_t *team;
	sched_resources_t takes;
	uint64_t refused_from_us;
	bool is_crash_open; /* the results tell whether it counts */
} stray_t;

GArray *
sched_strays_new(void)
{
	return g_array_new(FALSE, TRUE, sizeof(stray_t));
}

/*
 * Handles that the task leaves its instance.
 */
void
sched_stray_add(const sched_task_t *task, uint64_t now_us)
{
	sched_instance_t *instance = task->instance;
	stray_t stray = {.ref = sched_task_ref(task),
	    .run = task->run,
	    .starts = sched_late_start_count(task),
	    .born_ms = instance->info.born_ms,
	    .is_crash_open = task->is_crash_open,
	    .forget_us = now_us + SCHED_LATE_REQUEST_MAX_MS * GW_US_PER_MS};

	if (stray.starts == 0)
		return;
	stray.team = task->job->team;
	if (stray.team != NULL) {
		stray.takes = sched_step_resources(sched_task_step_spec(task));
		stray.refused_from_us = instance->expiry_us;
		stray.team->jobs++;
		sched_team_add_used(stray.team, &stray.takes);
	}
	g_array_append_val(instance->strays, stray);
}

/*
 * Handles that the start cannot be carried out any more.
 */
static void
leave_team(stray_t *stray)
{
	if (stray->team == NULL)
		return;
	sched_team_subtract_used(stray->team, &stray->takes);
	stray->team->jobs--;
	stray->team = NULL;
}

void
sched_strays_free(GArray *strays)
{
	for (guint i = 0; i < strays->len; i++)
		leave_team(&g_array_index(strays, stray_t, i));
	g_array_free(strays, TRUE);
}

static stray_t *
find(
    const sched_instance_t *instance, const sched_task_ref_t *ref, uint32_t run)
{
	for (guint i = 0; i < instance->strays->len; i++) {
		stray_t *stray = &g_array_index(instance->strays, stray_t, i);

		if (stray->run == run && stray->ref.index == ref->index &&
		    stray->ref.step == ref->step &&
		    stray->ref.occurrence == ref->occurrence &&
		    strcmp(stray->ref.job, ref->job) == 0)
			return stray;
	}
	return NULL;
}

/*
 * Handles the response to a start whose task has left the instance.
 */
void
sched_stray_start_answered(sched_instance_t *instance,
    const sched_task_ref_t *ref, uint32_t run, sched_result_t result)
{
	stray_t *stray = find(instance, ref, run);

	if (stray == NULL)
		return;
	if (result != SCHED_RESULT_NO_RESPONSE && stray->starts > 0)
		stray->starts--;
	if (stray->is_crash_open && !sched_crash_is_refusal(result)) {
		stray->is_crash_open = false;
		sched_crash_count_ended(
		    instance->pool, ref, run, instance->info.id);
	}
}

/*
 * Handles the result of a stop. One that was sent to an earlier incarnation
 * says nothing about the present one.
 */
void
sched_stray_stop_answered(sched_instance_t *instance,
    const sched_task_ref_t *ref, uint32_t run, sched_result_t result)
{
	stray_t *stray = find(instance, ref, run);

	if (stray == NULL || stray->stop_sent_us == 0 ||
	    stray->stop_sent_born_ms != instance->info.born_ms)
		return;
	if (result == SCHED_RESULT_OK || result == SCHED_RESULT_STALE)
		stray->born_ms = instance->info.born_ms;
}

/*
 * Returns whether the instance may still carry out a start of a run that is
 * over: this incarnation has not confirmed the stops.
 */
bool
sched_stray_is_possible(const sched_instance_t *instance)
{
	for (guint i = 0; i < instance->strays->len; i++) {
		const stray_t *stray =
		    &g_array_index(instance->strays, stray_t, i);

		if (stray->born_ms != instance->info.born_ms)
			return true;
	}
	return false;
}

static void
send_stop(sched_instance_t *instance, stray_t *stray, uint64_t now_us)
{
	sched_pool_t *pool = instance->pool;

	stray->stop_sent_us = now_us;
	stray->stop_sent_born_ms = instance->info.born_ms;
	gw_log(GW_EV_RUN_STOP,
	    "job=%s task=%u.%u.%u run=%u instance=%s reason=restarted",
	    stray->ref.job, stray->ref.occurrence, stray->ref.step,
	    stray->ref.index, stray->run, instance->info.id);
	instance->requests_in_flight++;
	pool->ops->stop(instance->info.id, instance->info.address, &stray->ref,
	    stray->run, sched_fence_use(instance), pool->arg);
}

/*
 * Sends the stops that the present incarnation has not confirmed, and forgets
 * starts that have been answered or are too old.
 */
void
sched_stray_tick(sched_instance_t *instance, uint64_t now_us)
{
	sched_window_t *window = instance->pool->window;

	for (guint i = instance->strays->len; i-- > 0;) {
		stray_t *stray = &g_array_index(instance->strays, stray_t, i);
		bool is_sent = stray->stop_sent_us != 0 &&
		    stray->stop_sent_born_ms == instance->info.born_ms;

		if (stray->born_ms == instance->info.born_ms &&
		    now_us >= stray->refused_from_us)
			leave_team(stray);
		if (stray->starts == 0 || now_us >= stray->forget_us) {
			leave_team(stray);
			g_array_remove_index_fast(instance->strays, i);
			continue;
		}
		if (stray->born_ms == instance->info.born_ms ||
		    !instance->listed || instance->unreachable ||
		    instance->awaits_fence ||
		    (is_sent &&
			gw_elapsed_us(now_us, stray->stop_sent_us) <
			    STOP_RETRY_US) ||
		    !sched_window_has_room_at(
			window, instance->requests_in_flight))
			continue;
		send_stop(instance, stray, now_us);
	}
}
