#include <string.h>

#include "sched/impl.h"

/*
 * The estimate of when a job would run: room becomes free as runs end, by their
 * estimated time, and as machines arrive; the waiting work that comes first
 * takes it. The load: queues submit more than the pool can do, their jobs need
 * CPU and memory in different proportions, and differ in width.
 */

/*
 * Room is counted in intervals of this length up to this many; later all that
 * runs now has ended.
 */
#define SLOT_MS 50
#define SLOTS 100

/* CPU in thousandths of a core, or memory in MiB. */
typedef struct {
	uint64_t capacity; /* once all runs have ended and machines arrived */
	/* What becomes free in each slot; negative: what is taken there. */
	int64_t change[SLOTS];
} timeline_t;

typedef struct {
	timeline_t cpu;
	timeline_t memory;
} timelines_t;

static void
add_from(timeline_t *line, uint64_t slot, int64_t amount)
{
	if (slot < SLOTS)
		line->change[slot] += amount;
}

static uint64_t
slot_at(uint64_t ms)
{
	return (ms + SLOT_MS - 1) / SLOT_MS;
}

/*
 * Returns the slot in which another run can have the room of one that ends
 * after this time. The owner learns of the end a little later.
 */
static uint64_t
slot_after_run(uint64_t ms)
{
	return slot_at(ms + SCHED_RENEW_DELAY_US / GW_US_PER_MS);
}

/*
 * Estimates how much longer a run lasts. One that has lasted longer than was
 * estimated goes on for as long again as it is over.
 */
static uint64_t
remaining_ms(const sched_task_t *task, uint64_t now_us)
{
	uint64_t estimate_ms = sched_task_step_spec(task)->estimate_ms;
	uint64_t ran_ms = task->begun_us == 0
	    ? 0
	    : gw_elapsed_us(now_us, task->begun_us) / GW_US_PER_MS;

	return ran_ms <= estimate_ms ? estimate_ms - ran_ms
				     : ran_ms - estimate_ms;
}

static void
add_instance(
    timelines_t *lines, const sched_instance_t *instance, uint64_t now_us)
{
	uint64_t cpu_millis = instance->info.capacity.cpu_millis;
	uint64_t memory_mib = instance->info.capacity.memory_mib;

	for (guint i = 0; i < instance->tasks->len; i++) {
		const sched_task_t *task = instance->tasks->pdata[i];
		const Gw__JobStep *step;
		sched_resources_t need;
		uint64_t end;

		if (task->job->spec == NULL)
			continue;
		step = sched_task_step_spec(task);
		need = sched_step_resources(step);
		if (step->lasting) {
			cpu_millis -= MIN(cpu_millis, need.cpu_millis);
			memory_mib -= MIN(memory_mib, need.memory_mib);
			continue;
		}
		add_from(&lines->cpu, 0, -(int64_t)need.cpu_millis);
		add_from(&lines->memory, 0, -(int64_t)need.memory_mib);
		end = slot_after_run(remaining_ms(task, now_us));
		add_from(&lines->cpu, end, (int64_t)need.cpu_millis);
		add_from(&lines->memory, end, (int64_t)need.memory_mib);
	}
	lines->cpu.capacity += cpu_millis;
	lines->memory.capacity += memory_mib;
}

/*
 * Adds machines that have as much as the mean instance and arrive one after
 * the other, the last one in the middle of the last interval before until_ms.
 */
static void
add_machines(timelines_t *lines, const sched_pool_t *pool, uint32_t machines,
    uint64_t instances, uint64_t from_ms, uint64_t until_ms)
{
	uint64_t cpu_millis = pool->capacity.cpu_millis / instances;
	uint64_t memory_mib = pool->capacity.memory_mib / instances;

	lines->cpu.capacity += cpu_millis * machines;
	lines->memory.capacity += memory_mib * machines;
	for (uint32_t i = 0; i < machines; i++) {
		uint64_t slot = slot_at(from_ms +
		    (until_ms - from_ms) * (2 * i + 1) / (2 * machines));

		add_from(&lines->cpu, slot, (int64_t)cpu_millis);
		add_from(&lines->memory, slot, (int64_t)memory_mib);
	}
}

/*
 * Sets the room of the pool over time. How far the machines on their way have
 * come is not known, so they count as spread over it. Returns false if the pool
 * has no usable instance.
 */
static bool
set_timelines(timelines_t *lines, const sched_pool_t *pool,
    const sched_arrivals_t *arrivals, bool with_standby, uint64_t now_us)
{
	uint64_t move_ms = pool->bounds.move_ms + SCHED_REGISTER_MARGIN_MS;
	sched_instance_t *instance;
	uint64_t instances = 0;
	GHashTableIter iter;

	*lines = (timelines_t){0};
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		if (!sched_instance_is_usable(instance, now_us))
			continue;
		instances++;
		add_instance(lines, instance, now_us);
	}
	if (instances == 0)
		return false;
	add_from(&lines->cpu, 0, (int64_t)lines->cpu.capacity);
	add_from(&lines->memory, 0, (int64_t)lines->memory.capacity);
	add_machines(lines, pool, arrivals->coming, instances, 0, move_ms);
	if (with_standby)
		add_machines(lines, pool, arrivals->standby, instances, move_ms,
		    move_ms);
	return lines->cpu.capacity > 0 && lines->memory.capacity > 0;
}

static uint64_t
times(int64_t free, uint64_t need, uint64_t limit)
{
	if (free < (int64_t)need)
		return 0;
	return need == 0 ? limit : MIN(limit, (uint64_t)free / need);
}

/* The room that is free while time passes. */
typedef struct {
	timelines_t *lines;
	uint64_t slot;
	int64_t cpu_millis;
	int64_t memory_mib;
} clock_hand_t;

static void
next_slot(clock_hand_t *hand)
{
	hand->slot++;
	if (hand->slot >= SLOTS)
		return;
	hand->cpu_millis += hand->lines->cpu.change[hand->slot];
	hand->memory_mib += hand->lines->memory.change[hand->slot];
}

/*
 * Returns how many of the tasks find room in this slot. One that needs more
 * than all room counts as if it needed just that: it isn't this pool's to
 * refuse, since another shard may run it.
 */
static uint64_t
count_fitting(
    const clock_hand_t *hand, const sched_resources_t *need, uint64_t tasks)
{
	uint64_t count = times(hand->cpu_millis,
	    MIN(need->cpu_millis, hand->lines->cpu.capacity), tasks);

	return times(hand->memory_mib,
	    MIN(need->memory_mib, hand->lines->memory.capacity), count);
}

/*
 * Starts the tasks of the step as they find room, in waves if need be, and
 * stops after the last one or at the end of the timelines. Returns how many
 * are left.
 */
static uint64_t
start_tasks(clock_hand_t *hand, const sched_waiting_step_t *step)
{
	uint64_t left = step->tasks;

	while (hand->slot < SLOTS) {
		uint64_t count = count_fitting(hand, &step->need, left);
		uint64_t end = hand->slot + slot_after_run(step->estimate_ms);
		int64_t cpu_millis = (int64_t)(count * step->need.cpu_millis);
		int64_t memory_mib = (int64_t)(count * step->need.memory_mib);

		hand->cpu_millis -= cpu_millis;
		hand->memory_mib -= memory_mib;
		add_from(&hand->lines->cpu, end, cpu_millis);
		add_from(&hand->lines->memory, end, memory_mib);
		left -= count;
		if (left == 0)
			return 0;
		next_slot(hand);
	}
	return left;
}

/*
 * Returns the time after which a task with this need finds room, once all other
 * waiting tasks, or those ahead only, have been started in turn.
 */
static uint64_t
wait_ms(timelines_t *lines, const sched_backlog_t *backlog, bool ahead_only,
    const sched_resources_t *need, const char **scarce)
{
	clock_hand_t hand = {.lines = lines,
	    .cpu_millis = lines->cpu.change[0],
	    .memory_mib = lines->memory.change[0]};
	uint64_t left_cpu_ms = 0, left;

	for (guint i = 0; i < backlog->steps->len; i++) {
		const sched_waiting_step_t *step =
		    &g_array_index(backlog->steps, sched_waiting_step_t, i);

		if (ahead_only && !step->is_ahead)
			continue;
		left = start_tasks(&hand, step);
		left_cpu_ms += left * step->need.cpu_millis * step->estimate_ms;
	}
	*scarce = "none";
	while (hand.slot < SLOTS && count_fitting(&hand, need, 1) == 0) {
		*scarce = hand.memory_mib < (int64_t)need->memory_mib ? "memory"
								      : "cpu";
		next_slot(&hand);
	}
	if (hand.slot > 0 && strcmp(*scarce, "none") == 0)
		*scarce = "cpu";
	return hand.slot * SLOT_MS + left_cpu_ms / lines->cpu.capacity;
}

/*
 * Returns how long a step takes in the room of the pool.
 */
static uint64_t
step_ms(const timelines_t *lines, const Gw__JobStep *step)
{
	sched_resources_t need = sched_step_resources(step);
	uint64_t width = step->count;

	if (need.cpu_millis > 0)
		width = MIN(width, lines->cpu.capacity / need.cpu_millis);
	if (need.memory_mib > 0)
		width = MIN(width, lines->memory.capacity / need.memory_mib);
	width = MAX(width, 1);
	return (step->count + width - 1) / width * step->estimate_ms;
}

static uint64_t
chain_ms(const timelines_t *lines, const Gw__JobSpec *spec)
{
	uint64_t end_ms[SCHED_STEPS_MAX], longest_ms = 0;

	for (size_t i = 0; i < spec->n_steps; i++) {
		const Gw__JobStep *step = spec->steps[i];

		end_ms[i] = 0;
		for (size_t k = 0; k < step->n_after; k++)
			end_ms[i] = MAX(end_ms[i], end_ms[step->after[k]]);
		end_ms[i] += step_ms(lines, step);
		longest_ms = MAX(longest_ms, end_ms[i]);
	}
	return longest_ms;
}

/*
 * Counts how far the end of a completed job was from its estimate.
 */
void
sched_estimate_record_end(sched_pool_t *pool, const sched_job_t *job)
{
	uint64_t estimate_us = job->estimate_ms * GW_US_PER_MS;
	uint64_t age_us = gw_elapsed_us(job->ended_us, job->accepted_us);

	if (job->estimate_ms == 0)
		return;
	if (age_us < estimate_us)
		gw_histogram_record(
		    &pool->estimates.early_us, estimate_us - age_us);
	else
		gw_histogram_record(
		    &pool->estimates.late_us, age_us - estimate_us);
}

static void
add_histogram(gw_histogram_t *sum, const gw_histogram_t *part)
{
	for (int i = 0; i < GW_HISTOGRAM_BUCKETS; i++)
		sum->buckets[i] += part->buckets[i];
	sum->count += part->count;
	sum->sum_us += part->sum_us;
}

/*
 * Adds up how the estimates of several pools have held.
 */
void
sched_estimate_add_errors(
    const sched_pool_t *pool, sched_estimate_errors_t *sum)
{
	add_histogram(&sum->early_us, &pool->estimates.early_us);
	add_histogram(&sum->late_us, &pool->estimates.late_us);
	sum->promises_held += pool->estimates.promises_held;
	sum->promises_broken += pool->estimates.promises_broken;
}

/*
 * Estimates when a job would run. Returns false if the pool has no room that
 * tells, as just after a takeover.
 */
bool
sched_estimate_job(const sched_pool_t *pool, const Gw__JobSpec *spec,
    const sched_backlog_t *backlog, const sched_arrivals_t *arrivals,
    uint64_t now_us, sched_estimate_t *estimate)
{
	sched_resources_t need = sched_step_resources(spec->steps[0]);
	const char *scarce;
	timelines_t lines;

	if (!set_timelines(&lines, pool, arrivals, true, now_us))
		return false;
	estimate->wait_all_ms = wait_ms(&lines, backlog, false, &need, &scarce);
	if (!set_timelines(&lines, pool, arrivals, false, now_us))
		return false;
	estimate->wait_ms =
	    wait_ms(&lines, backlog, true, &need, &estimate->scarce);
	estimate->chain_ms = chain_ms(&lines, spec);
	return true;
}
