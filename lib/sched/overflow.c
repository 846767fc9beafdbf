#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"
#include "sched/room.h"
#include "sched/shard.h"

/*
 * Jobs that this shard's instances could run, but that find them full while
 * those of another shard have room. Such a job goes where the room is, unless
 * one of its tasks is placed here; then those of its tasks go that last and
 * wait (part.c). (A job that they could not run even if they
 * were empty is transferred by the registry alone; see transfer.c.)
 *
 * The owner asks those of the other shards in turn, for one job at a time. One
 * that has room at that moment offers it, and makes no other offer before the
 * job has used it or the offer has expired, so that many owners do not send
 * their jobs to the same room. A job is transferred for an offer only, so it
 * does not go to and fro. An owner whose lease may have ended makes none.
 */

/* Least time between two questions, and between two rounds for one job. */
#define ASK_INTERVAL_US (100 * GW_US_PER_MS)
#define ASK_LASTING_INTERVAL_US (20 * GW_US_PER_MS)
#define ASK_AGAIN_US (500 * GW_US_PER_MS)
/* How long an offer holds; a transfer takes less. */
#define OFFER_US GW_US_PER_S
/*
 * How long a job with tasks that last waits for an offer of room for all of
 * them, before those that find room here are placed.
 */
#define HOLD_MAX_US GW_US_PER_S

/*
 * Returns what the tasks on the instance leave of its capacity.
 */
static sched_resources_t
left_on(const sched_instance_t *instance)
{
	const sched_resources_t *capacity = &instance->info.capacity;
	const sched_resources_t *used = &instance->used;

	return (sched_resources_t){.cpu_millis = capacity->cpu_millis -
		MIN(used->cpu_millis, capacity->cpu_millis),
	    .memory_mib = capacity->memory_mib -
		MIN(used->memory_mib, capacity->memory_mib),
	    .accelerators = capacity->accelerators -
		MIN(used->accelerators, capacity->accelerators)};
}

/*
 * Returns whether the instances have room now for each open step of a job of
 * which nothing is placed here. Instances that were withheld in the last round
 * are kept for other jobs.
 */
static bool
has_room(const sched_pool_t *pool, const Gw__JobSpec *spec, const bool *is_open,
    uint64_t now_us)
{
	sched_room_t *room = sched_room_new(spec);
	sched_instance_t *instance;
	GHashTableIter iter;
	bool suffices = false;

	g_hash_table_iter_init(&iter, pool->instances);
	while (!suffices &&
	    g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		sched_instance_info_t info = instance->info;

		if (!sched_instance_is_usable(instance, now_us) ||
		    instance->withheld_round == pool->round)
			continue;
		info.capacity = left_on(instance);
		sched_room_add(room, &info);
		suffices = sched_room_suffices(room, is_open);
	}
	sched_room_free(room);
	return suffices;
}

/*
 * Returns how many tasks of the step of the job are placed on the instance.
 */
static uint32_t
count_placed(const sched_instance_t *instance, const sched_seeker_t *job)
{
	uint32_t count = 0;

	for (guint i = 0; i < instance->tasks->len; i++) {
		const sched_task_t *task = instance->tasks->pdata[i];

		count += task->step == job->step &&
		    strcmp(task->job->id, job->id) == 0;
	}
	return count;
}

/*
 * Returns for how many of the tasks that wait in another shard the instances
 * have room now, beside those that this one was given before.
 */
static uint32_t
count_room(const sched_pool_t *pool, const sched_seeker_t *job, uint64_t now_us)
{
	Gw__JobStep *step = job->spec->steps[0];
	uint32_t apart = step->max_per_instance;
	sched_room_t *room = sched_room_new(job->spec);
	sched_instance_t *instance;
	GHashTableIter iter;
	uint64_t count;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		sched_instance_info_t info = instance->info;
		uint32_t placed = apart == 0 ? 0 : count_placed(instance, job);

		if (!sched_instance_is_usable(instance, now_us) ||
		    instance->withheld_round == pool->round ||
		    (apart > 0 && placed >= apart))
			continue;
		step->max_per_instance = apart - placed;
		info.capacity = left_on(instance);
		sched_room_add(room, &info);
	}
	step->max_per_instance = apart;
	count = MIN(sched_room_count(room, 0), step->count);
	sched_room_free(room);
	return step->gang && count < step->count ? 0 : (uint32_t)count;
}

/*
 * Returns whether room is offered to a job that has not used it yet. An offer
 * to a part ends when its tasks have come.
 */
static bool
is_offer_open(const sched_pool_t *pool, uint64_t now_us)
{
	const sched_job_t *job =
	    g_hash_table_lookup(pool->jobs, pool->offered_to);

	return now_us < pool->offer_until_us &&
	    (job == NULL || sched_job_is_part(job) ||
		(job->placed == 0 && !sched_job_has_ended(job)));
}

/*
 * Answers another shard's owner for how many tasks of its job this shard has
 * room.
 */
uint32_t
sched_pool_offer_room(sched_pool_t *pool, const sched_seeker_t *job)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);
	uint32_t tasks;

	if (!pool->loaded || now_us >= pool->ops->lease_until_us(pool->arg) ||
	    (is_offer_open(pool, now_us) &&
		strcmp(pool->offered_to, job->id) != 0))
		return 0;
	if (job->is_part)
		tasks = count_room(pool, job, now_us);
	else if (sched_pool_holds_part(pool, job->id))
		tasks = 0;
	else
		tasks = has_room(pool, job->spec, job->is_open, now_us);
	if (tasks == 0)
		return 0;
	g_strlcpy(pool->offered_to, job->id, sizeof(pool->offered_to));
	pool->offer_until_us = now_us + OFFER_US;
	return tasks;
}

/*
 * Returns whether the job is in the store here, and nothing of it runs here or
 * may yet begin.
 */
static bool
may_go(const sched_job_t *job, uint64_t now_us)
{
	return job->placed == 0 && !sched_job_is_split(job) &&
	    now_us >= job->late_until_us && job->spec_recorded &&
	    !job->in_batch && job->move_to[0] == '\0' &&
	    job->aside_until_us == 0 && !sched_job_has_ended(job);
}

/*
 * Returns since when the job, or some of its tasks, has found no room here, if
 * owners of other shards are to be asked now; else 0.
 */
static uint64_t
seeks_since_us(
    const sched_pool_t *pool, const sched_job_t *job, uint64_t now_us)
{
	uint64_t min_us = job->held_since_us != 0 ? 0 : SCHED_BLOCKED_MIN_US;
	uint64_t since_us;

	if (now_us < job->room_ask_us)
		return 0;
	since_us = sched_part_blocked_since_us(pool, job, now_us);
	if (since_us != 0)
		return since_us;
	if (!may_go(job, now_us) || job->blocked_since_us == 0 ||
	    job->misfit_since_us != 0 ||
	    gw_elapsed_us(now_us, job->blocked_since_us) < min_us)
		return 0;
	return job->blocked_since_us;
}

/*
 * Returns the job that has waited longest for room, of those whose turn it is.
 */
static sched_job_t *
find_seeker(const sched_pool_t *pool, uint64_t now_us)
{
	sched_job_t *first = NULL;
	uint64_t first_us = 0;

	for (guint i = 0; i < pool->open->len; i++) {
		sched_job_t *job = pool->open->pdata[i];
		uint64_t since_us = seeks_since_us(pool, job, now_us);

		if (since_us == 0 || (first != NULL && since_us >= first_us))
			continue;
		first = job;
		first_us = since_us;
	}
	return first;
}

/*
 * Asks the owner of the next shard. The answer may come at once.
 */
static void
ask_next(sched_pool_t *pool, sched_job_t *job, uint64_t now_us)
{
	uint32_t others = pool->shard_count - 1;
	bool is_open[SCHED_STEPS_MAX];
	const sched_seeker_t seeker = {
	    .id = job->id, .spec = job->spec, .is_open = is_open};
	char shard[SCHED_NAME_BYTES], name[SCHED_NAME_BYTES];
	uint32_t number = (pool->shard_number + 1 + job->room_asked % others) %
	    pool->shard_count;

	(void)shard_parse_name(pool->name, name);
	shard_format_name(name, number, pool->shard_count, shard);
	sched_job_find_open_steps(job, is_open);
	pool->room_ask_us = now_us +
	    (job->long_running ? ASK_LASTING_INTERVAL_US : ASK_INTERVAL_US);
	pool->is_asking_room = true;
	pool->is_asking_part =
	    sched_part_blocked_since_us(pool, job, now_us) != 0;
	if (++job->room_asked % others == 0) {
		job->room_ask_us = now_us + ASK_AGAIN_US;
		job->room_rounds++;
	}
	if (pool->is_asking_part)
		sched_part_ask(pool, job, shard, now_us);
	else
		pool->ops->ask_room(&seeker, shard, pool->arg);
}

/*
 * Handles the answer to sched_ops_t.ask_room(). A job away from its home goes
 * back there first, as any transfer does.
 */
void
sched_pool_apply_room_answer(
    sched_pool_t *pool, const char *id, const char *shard, uint32_t tasks)
{
	sched_job_t *job = g_hash_table_lookup(pool->jobs, id);
	uint32_t home = shard_of_id(id, pool->shard_count);
	uint64_t now_us = gw_clock_now_us(pool->clock);
	char name[SCHED_NAME_BYTES];

	pool->is_asking_room = false;
	if (job != NULL)
		job->room_answered++;
	if (tasks > 0 && job != NULL && pool->is_asking_part)
		sched_part_apply_offer(pool, job, shard, tasks);
	if (tasks == 0 || job == NULL || pool->is_asking_part ||
	    !may_go(job, now_us) || job->blocked_since_us == 0)
		return;
	g_strlcpy(job->move_to, shard, sizeof(job->move_to));
	if (home != pool->shard_number) {
		(void)shard_parse_name(pool->name, name);
		shard_format_name(name, home, pool->shard_count, job->move_to);
	}
	gw_log(GW_EV_ROOM_OFFERED,
	    "job=%s pool=%s by=%s to=%s waited_ms=%" PRIu64, id, pool->name,
	    shard, job->move_to,
	    gw_elapsed_us(now_us, job->blocked_since_us) / GW_US_PER_MS);
	sched_job_mark_dirty(pool, job);
}

/*
 * Returns whether a job with tasks that last is not placed yet, although some
 * of them find room: once a task is placed the job stays, and the others would
 * wait for room here. If no shard has room for all of them, or a machine may
 * come, those that find room are placed.
 */
bool
sched_overflow_holds(sched_pool_t *pool, sched_job_t *job, uint64_t now_us)
{
	bool is_open[SCHED_STEPS_MAX];
	bool has_come = strcmp(pool->offered_to, job->id) == 0;

	if (!job->long_running || job->placed > 0 || job->started ||
	    pool->shard_count <= 1 || has_come || job->misfit_since_us != 0 ||
	    pool->incoming_machines + pool->standby > 0 ||
	    job->room_answered >= pool->shard_count - 1)
		return false;
	sched_job_find_open_steps(job, is_open);
	if (has_room(pool, job->spec, is_open, now_us))
		return false;
	if (job->held_since_us == 0)
		job->held_since_us = now_us;
	if (gw_elapsed_us(now_us, job->held_since_us) >= HOLD_MAX_US)
		return false;
	sched_place_mark_blocked(job, now_us);
	return true;
}

/*
 * Looks for room in other shards for the job that has waited longest.
 */
void
sched_overflow_tick(sched_pool_t *pool, uint64_t now_us)
{
	sched_job_t *job;

	if (pool->shard_count <= 1 || pool->is_asking_room ||
	    now_us < pool->room_ask_us)
		return;
	job = find_seeker(pool, now_us);
	if (job != NULL)
		ask_next(pool, job, now_us);
}
