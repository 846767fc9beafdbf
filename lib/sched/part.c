#include <stdio.h>
#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"
#include "sched/shard.h"

/*
 * Parts of a job in other shards. Tasks that last do not end, so a job stays
 * where some of them are placed, even if its others find no room there. Those
 * are handed to a shard that offers room. One transaction writes the job's
 * record, in which they are away, and a row of the other shard; that one's
 * owner removes the row with the write of its own record. So each task is in
 * one record or one row of the store at any time, and whoever loads that goes
 * on with it.
 *
 * The part is a job of its shard for everything about its runs, and for nothing
 * that callers ask: state and cancel are those of the shard that has the job.
 * Its owner tells each shard with a part of the end of the job. Tasks of a part
 * that find no room go back to that shard, which hands them on, so that it
 * knows of all parts.
 */

/* How long a job is not split whose specification no row can hold. */
#define TOO_LARGE_US (60 * GW_US_PER_S)

bool
sched_job_is_part(const sched_job_t *job)
{
	return job->part_of[0] != '\0';
}

/*
 * Returns whether other shards may have tasks of the job.
 */
bool
sched_job_is_split(const sched_job_t *job)
{
	return job->peers != NULL || job->hand != NULL;
}

/*
 * Returns the job with this id, or NULL if the shard has none, or only a part
 * of it.
 */
sched_job_t *
sched_pool_find_job(const sched_pool_t *pool, const char *id)
{
	sched_job_t *job = g_hash_table_lookup(pool->jobs, id);

	return job == NULL || sched_job_is_part(job) ? NULL : job;
}

bool
sched_pool_holds_part(const sched_pool_t *pool, const char *id)
{
	const sched_job_t *job = g_hash_table_lookup(pool->jobs, id);

	return job != NULL && sched_job_is_part(job);
}

/* The shards that are told of a job. */

sched_peer_t *
sched_part_find_peer(const sched_job_t *job, const char *shard)
{
	for (guint i = 0; job->peers != NULL && i < job->peers->len; i++) {
		sched_peer_t *peer = job->peers->pdata[i];

		if (strcmp(peer->shard, shard) == 0)
			return peer;
	}
	return NULL;
}

static void
peer_free(gpointer data)
{
	sched_peer_t *peer = data;

	if (peer->steps != NULL)
		g_array_unref(peer->steps);
	g_free(peer);
}

/*
 * Notes that the shard is to be told of the job, at once.
 */
void
sched_part_tell(sched_pool_t *pool, sched_job_t *job, const char *shard)
{
	sched_peer_t *peer = sched_part_find_peer(job, shard);

	if (job->peers == NULL) {
		job->peers = g_ptr_array_new_with_free_func(peer_free);
		g_ptr_array_add(pool->split, job);
	}
	if (peer == NULL) {
		peer = g_new0(sched_peer_t, 1);
		g_strlcpy(peer->shard, shard, sizeof(peer->shard));
		g_ptr_array_add(job->peers, peer);
	}
	peer->version++;
	peer->is_told = false;
	peer->due_us = gw_clock_now_us(pool->clock);
	peer->retry_us = SCHED_PEER_RETRY_US;
}

/*
 * Handles that no other shard has tasks of the job.
 */
void
sched_part_forget_peers(sched_pool_t *pool, sched_job_t *job)
{
	if (job->peers == NULL)
		return;
	g_ptr_array_unref(job->peers);
	job->peers = NULL;
	g_ptr_array_remove_fast(pool->split, job);
}

/*
 * Sets what the job's record says of other shards.
 */
void
sched_part_load(
    sched_pool_t *pool, sched_job_t *job, const Gw__JobRecord *record)
{
	/* An owner that knows no parts leaves the specification as it is. */
	g_strlcpy(job->part_of,
	    record->part_of[0] == '\0' && job->spec != NULL ? job->spec->part_of
							    : record->part_of,
	    sizeof(job->part_of));
	if (sched_job_is_part(job))
		sched_part_tell(pool, job, job->part_of);
	for (size_t i = 0; i < record->n_parts; i++)
		sched_part_tell(pool, job, record->parts[i]);
}

static void
clear_hand(sched_job_t *job)
{
	g_bytes_unref(job->hand->value);
	g_free(job->hand);
	job->hand = NULL;
}

void
sched_part_free(sched_job_t *job)
{
	if (job->peers != NULL)
		g_ptr_array_unref(job->peers);
	if (job->hand != NULL)
		clear_hand(job);
	if (job->received != NULL)
		g_ptr_array_unref(job->received);
}

/* Handing tasks over. */

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
	clear_hand(job);
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
	clear_hand(job);
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
