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
	g_clear_pointer(&job->peers, g_ptr_array_unref);
	g_ptr_array_remove_fast(pool->split, job);
}

/*
 * Sets what the job's record says of other shards.
 */
void
sched_part_load(
    sched_pool_t *pool, sched_job_t *job, const Gw__JobRecord *record)
{
	job->hand_count = record->handed;
	g_strlcpy(job->part_of, record->part_of, sizeof(job->part_of));
	if (sched_job_is_part(job))
		sched_part_tell(pool, job, job->part_of);
	for (size_t i = 0; i < record->n_parts; i++)
		sched_part_tell(pool, job, record->parts[i]);
}

static void
hand_free(sched_hand_t *hand)
{
	g_bytes_unref(hand->value);
	g_free(hand);
}

void
sched_part_free(sched_job_t *job)
{
	g_clear_pointer(&job->peers, g_ptr_array_unref);
	g_clear_pointer(&job->hand, hand_free);
	g_clear_pointer(&job->received, g_ptr_array_unref);
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
count_handable(const sched_occurrence_t *occurrence, const sched_step_t *step,
    const Gw__JobStep *spec, uint64_t now_us)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < spec->count; i++)
		count += may_be_handed(
		    &occurrence->tasks[step->first_task + i], now_us);
	return spec->gang && count < spec->count ? 0 : count;
}

/*
 * Finds the first step of the job with tasks that may be handed over. Returns
 * their number, 0 if there are none.
 */
static uint32_t
find_step(const sched_job_t *job, uint64_t now_us,
    sched_occurrence_t **occurrence, uint32_t *step)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		*occurrence = job->occurrences->pdata[i];
		for (*step = 0; *step < (*occurrence)->step_count; (*step)++) {
			const Gw__JobStep *spec = job->spec->steps[*step];
			uint32_t count;

			if (!spec->lasting ||
			    (*occurrence)->steps[*step].waiting == 0 ||
			    !sched_step_is_ready(job, *occurrence, *step))
				continue;
			count = count_handable(*occurrence,
			    &(*occurrence)->steps[*step], spec, now_us);
			if (count > 0)
				return count;
		}
	}
	return 0;
}

/*
 * Returns whether tasks of the job may be handed to another shard now. A job of
 * which nothing is placed goes as a whole if a shard has room for all of it.
 */
bool
sched_part_may_go(
    const sched_pool_t *pool, const sched_job_t *job, uint64_t now_us)
{
	sched_occurrence_t *occurrence;
	uint32_t step;
	bool stays = job->placed > 0 || sched_job_is_part(job) ||
	    sched_job_is_split(job) ||
	    job->room_answered + 1 >= pool->shard_count;

	return stays && job->long_running && job->spec_recorded &&
	    !job->in_batch && job->move_to[0] == '\0' &&
	    job->aside_until_us == 0 && job->hand == NULL &&
	    !sched_job_has_ended(job) && now_us >= job->hand_due_us &&
	    find_step(job, now_us, &occurrence, &step) > 0;
}

/*
 * Asks the owner of the shard for how many of the job's tasks it has room. The
 * answer may come at once.
 */
void
sched_part_ask(sched_pool_t *pool, const sched_job_t *job, const char *shard,
    uint64_t now_us)
{
	Gw__JobSpec spec = GW__JOB_SPEC__INIT;
	sched_occurrence_t *occurrence;
	uint32_t number;
	uint32_t count = find_step(job, now_us, &occurrence, &number);
	Gw__JobStep step = *job->spec->steps[number];
	Gw__JobStep *steps[] = {&step};
	const bool is_open[SCHED_STEPS_MAX] = {true};
	const sched_seeker_t seeker = {.id = job->id,
	    .spec = &spec,
	    .is_open = is_open,
	    .is_part = true,
	    .step = number};

	step.count = count;
	step.n_after = 0;
	step.after = NULL;
	spec.id = (char *)job->id;
	spec.queue = job->queue;
	spec.n_steps = 1;
	spec.steps = steps;
	pool->ops->ask_room(&seeker, shard, pool->arg);
}

/*
 * Marks up to count tasks of the step as away.
 */
static uint32_t
mark_handed(sched_occurrence_t *occurrence, sched_step_t *step, uint32_t tasks,
    uint32_t count, uint64_t now_us)
{
	uint32_t marked = 0;

	for (uint32_t i = 0; i < tasks && marked < count; i++) {
		sched_task_t *task = &occurrence->tasks[step->first_task + i];

		if (!may_be_handed(task, now_us))
			continue;
		task->state = SCHED_TASK_AWAY;
		task->is_handed = true;
		step->waiting--;
		marked++;
	}
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
 * Begins to hand up to count tasks of the step to the shard.
 */
static void
hand_over(sched_pool_t *pool, sched_job_t *job, const char *shard,
    sched_occurrence_t *occurrence, uint32_t step, uint32_t count,
    uint64_t now_us)
{
	sched_hand_t *hand = g_new0(sched_hand_t, 1);

	hand->tasks = mark_handed(occurrence, &occurrence->steps[step],
	    job->spec->steps[step]->count, count, now_us);
	hand->value = encode_row(pool, job);
	if (hand->value == NULL) {
		gw_log(GW_EV_TASKS_HANDED,
		    "job=%s pool=%s to=%s tasks=0 step=%u "
		    "text=\"too large for a row\"",
		    job->id, pool->name, shard, step);
		job->hand_due_us = now_us + TOO_LARGE_US;
		settle_handed(job, true);
		g_free(hand);
		return;
	}
	hand->step = step;
	g_strlcpy(hand->shard, shard, sizeof(hand->shard));
	job->hand_count++;
	(void)snprintf(hand->row, sizeof(hand->row), "%s.%u.%u", job->id,
	    pool->shard_number, job->hand_count);
	job->hand = hand;
	/* Named in the record that says that the tasks are away. */
	sched_part_tell(pool, job, shard);
	sched_part_find_peer(job, shard)->is_told = true;
	if (find_step(job, now_us, &occurrence, &step) == 0)
		job->blocked_since_us = 0;
	sched_job_mark_dirty(pool, job);
}

/*
 * Handles that the shard has room for some of the job's tasks. Those of a part
 * go back to the shard that has the job.
 */
void
sched_part_apply_offer(
    sched_pool_t *pool, sched_job_t *job, const char *shard, uint32_t tasks)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);
	const char *to = sched_job_is_part(job) ? job->part_of : shard;
	sched_occurrence_t *occurrence;
	uint32_t step, count;

	if (!sched_part_may_go(pool, job, now_us) || job->blocked_since_us == 0)
		return;
	count = find_step(job, now_us, &occurrence, &step);
	if (job->spec->steps[step]->gang && tasks < count)
		return;
	gw_log(GW_EV_ROOM_OFFERED,
	    "job=%s pool=%s by=%s to=%s waited_ms=%" PRIu64 " tasks=%u",
	    job->id, pool->name, shard, to,
	    gw_elapsed_us(now_us, job->blocked_since_us) / GW_US_PER_MS, tasks);
	hand_over(pool, job, to, occurrence, step, tasks, now_us);
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

	if (!job->has_hopeless || !sched_part_may_go(pool, job, now_us))
		return;
	count = find_step(job, now_us, &occurrence, &step);
	hand_over(pool, job, job->part_of, occurrence, step, count, now_us);
	job->has_hopeless = false;
}

/* Writes. */

/*
 * Returns how many rows are written or removed with the job's record.
 */
uint32_t
sched_part_count_writes(const sched_job_t *job)
{
	return (job->hand != NULL) +
	    (job->received == NULL ? 0 : job->received->len);
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
	g_clear_pointer(&job->hand, hand_free);
}

/*
 * Takes back the hand-over in progress, of which nothing is in the store.
 */
static void
undo_hand(sched_job_t *job)
{
	if (job->hand == NULL)
		return;
	settle_handed(job, true);
	g_clear_pointer(&job->hand, hand_free);
}

/*
 * Handles that the store has refused the batch with the job's record.
 */
void
sched_part_not_recorded(sched_job_t *job)
{
	job->received_in_batch = 0;
	undo_hand(job);
}

/*
 * Handles that the job has ended: its tasks go nowhere any more.
 */
void
sched_part_job_ended(sched_pool_t *pool, sched_job_t *job)
{
	if (job->hand != NULL && !job->hand->in_batch)
		undo_hand(job);
	if (sched_job_is_part(job))
		return;
	for (guint i = 0; job->peers != NULL && i < job->peers->len; i++)
		sched_part_tell(
		    pool, job, ((sched_peer_t *)job->peers->pdata[i])->shard);
}
