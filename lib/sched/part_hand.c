#include <stdio.h>
#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * Handing tasks of a job to another shard that offers room: which ones, in
 * which row of the store, and what follows the write; see part.c.
 */

static bool
may_be_handed(const sched_task_t *task, uint64_t now_us)
{
	return task->state == SCHED_TASK_WAITING &&
	    now_us >= task->late_until_us;
}

/*
 * Returns how many tasks of the step may be handed over. The members of a gang
 * start together, so all of them go or none.
 */
static uint32_t
count_handable(const sched_job_t *job, const sched_occurrence_t *occurrence,
    uint32_t number, uint64_t now_us)
{
	const Gw__JobStep *spec = job->spec->steps[number];
	const sched_step_t *step = &occurrence->steps[number];
	uint32_t count = 0;

	if (!spec->lasting || step->waiting == 0)
		return 0;
	for (uint32_t i = 0; i < spec->count; i++)
		count += may_be_handed(
		    &occurrence->tasks[step->first_task + i], now_us);
	return spec->gang && count < spec->count ? 0 : count;
}

/* A step of which tasks may be handed over. */
typedef struct {
	sched_occurrence_t *occurrence;
	uint32_t step;
	uint32_t count; /* of these tasks; 0: there is no such step */
	uint64_t blocked_since_us;
} found_t;

/*
 * Finds a step with tasks that have found no room for SCHED_BLOCKED_MIN_US. Of
 * several, each is found in its turn, as others may have room for some only.
 */
static found_t
find_step(const sched_job_t *job, uint64_t now_us)
{
	found_t found[SCHED_STEPS_MAX] = {0};
	uint32_t steps = 0;

	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence = job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->step_count; k++) {
			uint64_t since_us =
			    occurrence->steps[k].blocked_since_us;
			uint32_t count;

			if (steps == SCHED_STEPS_MAX || since_us == 0 ||
			    gw_elapsed_us(now_us, since_us) <
				SCHED_BLOCKED_MIN_US)
				continue;
			count = count_handable(job, occurrence, k, now_us);
			if (count > 0)
				found[steps++] =
				    (found_t){occurrence, k, count, since_us};
		}
	}
	return found[steps == 0 ? 0 : job->room_rounds % steps];
}

/*
 * Returns since when tasks of the job that may be handed to another shard now
 * have found no room; 0: there are none. A job of which nothing is placed goes
 * as a whole if a shard has room for all of it. Rows that were received are
 * removed first, since their tasks would be taken again.
 */
uint64_t
sched_part_blocked_since_us(
    const sched_pool_t *pool, const sched_job_t *job, uint64_t now_us)
{
	bool stays = job->placed > 0 || sched_job_is_part(job) ||
	    sched_job_is_split(job) ||
	    job->room_answered + 1 >= pool->shard_count;

	if (!stays || !job->long_running || !job->spec_recorded ||
	    job->in_batch || job->move_to[0] != '\0' ||
	    job->aside_until_us != 0 || job->hand != NULL ||
	    (job->received != NULL && job->received->len > 0) ||
	    sched_job_has_ended(job) || now_us < job->hand_due_us)
		return 0;
	return find_step(job, now_us).blocked_since_us;
}

/*
 * Asks the owner of the shard for how many of the job's tasks it has room. The
 * answer may come at once.
 */
void
sched_part_ask(
    sched_pool_t *pool, sched_job_t *job, const char *shard, uint64_t now_us)
{
	const found_t found = find_step(job, now_us);
	Gw__JobSpec spec = GW__JOB_SPEC__INIT;
	Gw__JobStep step = *job->spec->steps[found.step];
	Gw__JobStep *steps[] = {&step};
	const bool is_open[SCHED_STEPS_MAX] = {true};
	const sched_seeker_t seeker = {.id = job->id,
	    .spec = &spec,
	    .is_open = is_open,
	    .is_part = true,
	    .step = found.step};

	job->asked_occurrence = found.occurrence->number;
	job->asked_step = found.step;
	step.count = found.count;
	step.n_after = 0;
	step.after = NULL;
	spec.id = (char *)job->id;
	spec.queue = job->queue;
	spec.n_steps = 1;
	spec.steps = steps;
	pool->ops->ask_room(&seeker, shard, pool->arg);
}

/*
 * Marks up to count tasks of the step as away; of a part, only those that are
 * to be given up if is_hopeless is set.
 */
static uint32_t
mark_handed(sched_occurrence_t *occurrence, uint32_t step, uint32_t count,
    bool is_hopeless, uint64_t now_us)
{
	sched_step_t *state = &occurrence->steps[step];
	sched_task_t *first = &occurrence->tasks[state->first_task];
	uint32_t tasks = sched_task_step_spec(first)->count, marked = 0;

	for (uint32_t i = 0; i < tasks && marked < count; i++) {
		sched_task_t *task = &first[i];

		if (!may_be_handed(task, now_us) ||
		    (is_hopeless && !sched_crash_is_hopeless(task)))
			continue;
		task->state = SCHED_TASK_AWAY;
		task->is_handed = true;
		state->waiting--;
		marked++;
	}
	if (state->waiting == 0)
		state->blocked_since_us = 0;
	return marked;
}

/*
 * Ends the hand-over in progress. Its tasks wait here again if it is undone.
 */
static void
settle_handed(sched_job_t *job, bool is_undone)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence = job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->task_count; k++) {
			sched_task_t *task = &occurrence->tasks[k];

			if (!task->is_handed)
				continue;
			task->is_handed = false;
			if (!is_undone)
				continue;
			task->state = SCHED_TASK_WAITING;
			occurrence->steps[task->step].waiting++;
		}
	}
}

/*
 * Returns the row with the marked tasks, or NULL if the store would not take
 * it.
 */
static GBytes *
encode_row(const sched_pool_t *pool, const sched_job_t *job)
{
	Gw__HandedTasks handed = GW__HANDED_TASKS__INIT;
	g_autoptr(GBytes) record = NULL;
	uint64_t spec_bytes = gw__job_spec__get_packed_size(job->spec);
	uint64_t max_bytes = pool->bounds.value_max_bytes == 0
	    ? UINT64_MAX
	    : pool->bounds.value_max_bytes;
	gsize size_bytes;
	const void *data;
	uint8_t *row;

	record = sched_record_encode_handed(job,
	    sched_job_is_part(job) ? "" : pool->name,
	    max_bytes - MIN(max_bytes, spec_bytes + SCHED_ROW_OVERHEAD_BYTES));
	data = g_bytes_get_data(record, &size_bytes);
	if (spec_bytes + size_bytes + SCHED_ROW_OVERHEAD_BYTES > max_bytes)
		return NULL;
	handed.spec = job->spec;
	handed.record = gw__job_record__unpack(NULL, size_bytes, data);
	size_bytes = gw__handed_tasks__get_packed_size(&handed);
	row = g_malloc(size_bytes);
	gw__handed_tasks__pack(&handed, row);
	gw__job_record__free_unpacked(handed.record, NULL);
	return g_bytes_new_take(row, size_bytes);
}

/*
 * Begins to hand the marked tasks of the step to the shard.
 */
static void
hand_over(sched_pool_t *pool, sched_job_t *job, const char *shard,
    uint32_t step, uint32_t tasks, uint64_t now_us)
{
	GBytes *value = encode_row(pool, job);
	sched_hand_t *hand;

	if (value == NULL) {
		gw_log(GW_EV_TASKS_HANDED,
		    "job=%s pool=%s to=%s tasks=0 step=%u "
		    "text=\"too large for a row\"",
		    job->id, pool->name, shard, step);
		job->hand_due_us = now_us + SCHED_HAND_PAUSE_US;
		settle_handed(job, true);
		return;
	}
	hand = g_new0(sched_hand_t, 1);
	hand->value = value;
	hand->step = step;
	hand->tasks = tasks;
	g_strlcpy(hand->shard, shard, sizeof(hand->shard));
	(void)snprintf(hand->row, sizeof(hand->row), "%s.%u.%" PRIu64 ".%u",
	    job->id, pool->shard_number, pool->fence, ++pool->hand_count);
	job->hand = hand;
	/* The next round shows whether others of its tasks find no room. */
	job->blocked_since_us = 0;
	/* Named in the record that says that the tasks are away. */
	sched_part_tell(pool, job, shard);
	sched_part_find_peer(job, shard)->is_told = true;
	sched_job_mark_dirty(pool, job);
}

/*
 * Handles that the shard has room for some of the tasks that it was asked
 * about. Those of a part go back to the shard that has the job.
 */
void
sched_part_apply_offer(
    sched_pool_t *pool, sched_job_t *job, const char *shard, uint32_t tasks)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);
	const char *to = sched_job_is_part(job) ? job->part_of : shard;
	sched_occurrence_t *occurrence;
	uint32_t step = job->asked_step, count;
	uint64_t since_us;

	if (sched_part_blocked_since_us(pool, job, now_us) == 0)
		return;
	occurrence = sched_job_find_occurrence(job, job->asked_occurrence);
	count = occurrence == NULL
	    ? 0
	    : count_handable(job, occurrence, step, now_us);
	if (count == 0 || (job->spec->steps[step]->gang && tasks < count))
		return;
	since_us = occurrence->steps[step].blocked_since_us;
	gw_log(GW_EV_ROOM_OFFERED,
	    "job=%s pool=%s by=%s to=%s waited_ms=%" PRIu64 " tasks=%u",
	    job->id, pool->name, shard, to,
	    since_us == 0 ? 0 : gw_elapsed_us(now_us, since_us) / GW_US_PER_MS,
	    tasks);
	hand_over(pool, job, to, step,
	    mark_handed(occurrence, step, tasks, false, now_us), now_us);
}

/*
 * Returns whether tasks of a part wait that have crashed too many instances.
 * Sets their step.
 */
static bool
find_hopeless(const sched_job_t *job, sched_occurrence_t **occurrence,
    uint32_t *step, uint64_t now_us)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		*occurrence = job->occurrences->pdata[i];
		for (uint32_t k = 0; k < (*occurrence)->task_count; k++) {
			const sched_task_t *task = &(*occurrence)->tasks[k];

			if (!may_be_handed(task, now_us) ||
			    !sched_crash_is_hopeless(task))
				continue;
			*step = task->step;
			return true;
		}
	}
	return false;
}

/*
 * Gives the tasks of a part that have crashed too many instances back to the
 * shard that has the job, which fails it.
 */
void
sched_part_return_hopeless(
    sched_pool_t *pool, sched_job_t *job, uint64_t now_us)
{
	sched_occurrence_t *occurrence;
	uint32_t step, count;

	if (!job->has_hopeless || job->in_batch || job->hand != NULL ||
	    job->aside_until_us != 0 || sched_job_has_ended(job) ||
	    (job->received != NULL && job->received->len > 0) ||
	    !find_hopeless(job, &occurrence, &step, now_us))
		return;
	count = mark_handed(occurrence, step, UINT32_MAX,
	    !job->spec->steps[step]->gang, now_us);
	hand_over(pool, job, job->part_of, step, count, now_us);
}

/* Writes. */

/*
 * Returns how many rows are written or removed with the job's record.
 */
uint32_t
sched_part_count_writes(const sched_job_t *job)
{
	return (job->hand != NULL) +
	    (job->received == NULL
		    ? 0
		    : MIN(job->received->len, SCHED_ROWS_REMOVED_MAX));
}

/*
 * Handles that the job's record is in the store.
 */
void
sched_part_recorded(sched_pool_t *pool, sched_job_t *job)
{
	sched_hand_t *hand = job->hand;

	if (job->received_in_batch > 0) {
		g_ptr_array_remove_range(
		    job->received, 0, job->received_in_batch);
		job->received_in_batch = 0;
		if (job->received->len > 0)
			sched_job_mark_dirty(pool, job);
		/* A list of rows that was asked for earlier has them still. */
		pool->transfer_count++;
	}
	job->spec_unwritten = false;
	if (hand == NULL || !hand->in_batch)
		return;
	gw_log(GW_EV_TASKS_HANDED, "job=%s pool=%s to=%s tasks=%u step=%u",
	    job->id, pool->name, hand->shard, hand->tasks, hand->step);
	settle_handed(job, false);
	sched_part_tell(pool, job, hand->shard);
	sched_part_clear_hand(job);
}

/*
 * Takes back the hand-over in progress, of which nothing is in the store. The
 * shard may have been about to be told of an earlier one.
 */
static void
undo_hand(sched_pool_t *pool, sched_job_t *job)
{
	if (job->hand == NULL)
		return;
	sched_part_tell(pool, job, job->hand->shard);
	settle_handed(job, true);
	sched_part_clear_hand(job);
}

/*
 * Handles that the store has refused the batch with the job's record.
 */
void
sched_part_not_recorded(sched_pool_t *pool, sched_job_t *job)
{
	job->received_in_batch = 0;
	undo_hand(pool, job);
}

/*
 * Handles that the job has ended: its tasks go nowhere any more.
 */
void
sched_part_job_ended(sched_pool_t *pool, sched_job_t *job)
{
	if (job->hand != NULL && !job->hand->in_batch)
		undo_hand(pool, job);
	if (sched_job_is_part(job))
		return;
	for (guint i = 0; job->peers != NULL && i < job->peers->len; i++)
		sched_part_tell(
		    pool, job, ((sched_peer_t *)job->peers->pdata[i])->shard);
}
