#include <string.h>

#include "sched/impl.h"

/* The choice of an instance for a task; place.c and trial.c place it there. */

/*
 * Tasks of one long-running step that may share an instance before other
 * instances are preferred.
 */
#define LONG_RUNNING_PER_INSTANCE 2
/*
 * An instance that has failed several runs is the last choice for a task that
 * has not failed for this long, so that a task that always fails does not start
 * there again and again.
 */
#define LAST_CHOICE_PAUSE_US GW_US_PER_S

/*
 * Returns the CPU that a task takes from its instance's capacity, in
 * thousandths of a core. A task that uses only CPU left over by others takes
 * none.
 */
uint64_t
sched_step_cpu_millis(const Gw__JobStep *step)
{
	return step->fills ? 0 : step->cpu_millis;
}

/*
 * Returns whether the instance has room for one more task of the step.
 */
bool
sched_place_fits(const sched_instance_t *instance, const Gw__JobStep *step)
{
	const sched_resources_t *capacity = &instance->info.capacity;
	const sched_resources_t *used = &instance->used;

	return used->cpu_millis + sched_step_cpu_millis(step) <=
	    capacity->cpu_millis &&
	    used->memory_mib + step->memory_mib <= capacity->memory_mib &&
	    used->accelerators + step->accelerators <= capacity->accelerators;
}

/*
 * Returns whether the instance has the label; every one has the empty label.
 */
static bool
has_label(const sched_instance_t *instance, const char *label)
{
	return label[0] == '\0' ||
	    (instance->info.labels != NULL &&
		g_strv_contains(
		    (const char *const *)instance->info.labels, label));
}

/*
 * Counts the tasks of the same step and occurrence on the instance.
 */
static uint32_t
count_step(const sched_instance_t *instance, const sched_task_t *task)
{
	uint32_t count = 0;

	for (guint i = 0; i < instance->tasks->len; i++) {
		const sched_task_t *other = instance->tasks->pdata[i];

		count += other->job == task->job && other->step == task->step &&
		    other->occurrence == task->occurrence;
	}
	return count;
}

/*
 * Returns why the task's step may not run on the instance, whatever room it
 * has.
 */
static sched_exclusion_t
step_exclusion(const sched_instance_t *instance, const sched_task_t *task)
{
	const Gw__JobStep *step = sched_task_step_spec(task);
	const GHashTable *tickets = sched_task_step_state(task)->tickets;

	if (sched_late_start_excludes(task, instance))
		return SCHED_EXCLUDED_STRAYS;
	if (!has_label(instance, step->label))
		return SCHED_EXCLUDED_LABEL;
	if (task->job->spec->advice != NULL &&
	    (tickets == NULL ||
		!g_hash_table_contains(
		    (GHashTable *)tickets, instance->info.id)))
		return SCHED_EXCLUDED_TICKET;
	if (step->max_per_instance > 0 &&
	    count_step(instance, task) >= step->max_per_instance)
		return SCHED_EXCLUDED_APART;
	return SCHED_EXCLUDED_NOT;
}

/*
 * Returns why the task may not run on the instance now, whatever room it has.
 */
static sched_exclusion_t
task_exclusion(const sched_instance_t *instance, const sched_task_t *task)
{
	sched_exclusion_t exclusion = step_exclusion(instance, task);

	if (exclusion == SCHED_EXCLUDED_NOT &&
	    !sched_crash_may_start(instance, task))
		return SCHED_EXCLUDED_CRASH;
	return exclusion;
}

/*
 * Returns why the task is not placed on the instance now. last_choice: one that
 * has failed several runs is taken too.
 */
static sched_exclusion_t
get_exclusion(const sched_instance_t *instance, const sched_task_t *task,
    bool last_choice, uint64_t now_us)
{
	sched_exclusion_t exclusion =
	    sched_instance_exclusion(instance, now_us);

	if (exclusion != SCHED_EXCLUDED_NOT &&
	    (exclusion != SCHED_EXCLUDED_FAILING || !last_choice))
		return exclusion;
	if (!sched_place_fits(instance, sched_task_step_spec(task)))
		return SCHED_EXCLUDED_FULL;
	exclusion = task_exclusion(instance, task);
	if (exclusion != SCHED_EXCLUDED_NOT)
		return exclusion;
	return instance->withheld_round == instance->pool->round
	    ? SCHED_EXCLUDED_WITHHELD
	    : SCHED_EXCLUDED_NOT;
}

/*
 * Returns why the task is placed on the instance neither as the first nor as
 * the last choice.
 */
sched_exclusion_t
sched_place_exclusion(
    const sched_instance_t *instance, const sched_task_t *task, uint64_t now_us)
{
	return get_exclusion(instance, task,
	    sched_place_takes_last_choice(task, now_us), now_us);
}

/*
 * Returns whether the instance has room for the task once all runs there have
 * ended but those of long-running tasks, which never end by themselves.
 */
static bool
will_have_room(const sched_instance_t *instance, const Gw__JobStep *step)
{
	const sched_resources_t *capacity = &instance->info.capacity;
	sched_resources_t kept = {0};

	for (guint i = 0; i < instance->tasks->len; i++) {
		const sched_task_t *task = instance->tasks->pdata[i];
		const Gw__JobStep *other;

		if (task->state == SCHED_TASK_STOPPING)
			continue;
		other = sched_task_step_spec(task);
		if (!other->lasting)
			continue;
		kept.cpu_millis += sched_step_cpu_millis(other);
		kept.memory_mib += other->memory_mib;
		kept.accelerators += other->accelerators;
	}
	return kept.cpu_millis + sched_step_cpu_millis(step) <=
	    capacity->cpu_millis &&
	    kept.memory_mib + step->memory_mib <= capacity->memory_mib &&
	    kept.accelerators + step->accelerators <= capacity->accelerators;
}

/*
 * Returns whether the instance can run the task once runs there have ended.
 */
bool
sched_place_will_fit(const sched_instance_t *instance, const sched_task_t *task)
{
	return step_exclusion(instance, task) == SCHED_EXCLUDED_NOT &&
	    will_have_room(instance, sched_task_step_spec(task));
}

/*
 * Returns the cost of placing the task on an instance on which it fits; the
 * instance with the lowest cost is chosen. In descending order of weight, it
 * avoids:
 * - the instance on which the task failed last or found no room, as it may
 *   again;
 * - other racks than that of the task's data, where it runs slower;
 * - for a long-running task, an instance that has several tasks of its step,
 *   since an instance may fail, and one without long-running tasks; and
 * - after a sign of a crash, an instance where another job has just begun.
 *
 * The unused CPU is added, so that the fullest instance is preferred: others
 * stay idle and can be lent or switched off. Another data centre, where
 * requests take longer, costs as much as half a core of unused CPU.
 */
static uint64_t
placement_cost(
    const sched_instance_t *instance, const sched_task_t *task, uint64_t now_us)
{
	const Gw__JobStep *step = sched_task_step_spec(task);
	const sched_pool_t *pool = instance->pool;
	uint64_t free_cpu = instance->info.capacity.cpu_millis -
	    MIN(instance->info.capacity.cpu_millis, instance->used.cpu_millis);
	uint64_t cost = 0;

	if (sched_crash_is_suspect(task))
		return sched_trial_cost(instance);
	if (strcmp(task->failed_on, instance->info.id) == 0)
		cost += UINT64_C(1) << 50;
	if (step->rack[0] != '\0' && g_strcmp0(step->rack, instance->rack) != 0)
		cost += UINT64_C(1) << 49;
	if (step->lasting) {
		if (count_step(instance, task) >= LONG_RUNNING_PER_INSTANCE)
			cost += UINT64_C(1) << 48;
		if (!sched_instance_hosts_long_running(instance))
			cost += UINT64_C(1) << 47;
	}
	if (sched_crash_prefers_other(instance, task, now_us))
		cost += UINT64_C(1) << 46;
	if (strcmp(instance->info.data_centre, pool->data_centre) != 0)
		cost += 500;
	return cost + free_cpu;
}

/*
 * Returns whether the task may start on an instance that has failed several
 * runs. A long-running task should run at all times, and its failures are not
 * limited. Other tasks wait, since each failure there uses up an attempt.
 */
bool
sched_place_takes_last_choice(const sched_task_t *task, uint64_t now_us)
{
	return sched_task_step_spec(task)->lasting &&
	    now_us >= task->not_before_us + LAST_CHOICE_PAUSE_US;
}

/*
 * Returns the instance with the lowest cost for the task, or NULL if none has
 * room. last_choice: also of those that have failed several runs.
 */
static sched_instance_t *
find_cheapest(sched_pool_t *pool, const sched_task_t *task,
    const char *only_rack, bool last_choice, uint64_t now_us)
{
	sched_instance_t *instance, *best = NULL;
	uint64_t best_cost = 0, cost;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		if (get_exclusion(instance, task, last_choice, now_us) !=
		    SCHED_EXCLUDED_NOT)
			continue;
		if (only_rack != NULL &&
		    g_strcmp0(instance->rack, only_rack) != 0)
			continue;
		cost = placement_cost(instance, task, now_us);
		if (best == NULL || cost < best_cost) {
			best = instance;
			best_cost = cost;
		}
	}
	return best;
}

/*
 * Returns the instance with the lowest cost for the task, or NULL if none has
 * room. only_rack limits the choice to one rack; NULL: any rack.
 */
sched_instance_t *
sched_place_find_instance(sched_pool_t *pool, const sched_task_t *task,
    const char *only_rack, uint64_t now_us)
{
	sched_instance_t *instance =
	    find_cheapest(pool, task, only_rack, false, now_us);

	if (instance != NULL || !sched_place_takes_last_choice(task, now_us))
		return instance;
	return find_cheapest(pool, task, only_rack, true, now_us);
}

/*
 * Withholds the emptiest instance that will have room for the task from all
 * other tasks in this round. Otherwise smaller tasks would take all room that
 * becomes free in a full pool, and the task would wait for ever. Returns
 * whether there is one.
 */
bool
sched_place_withhold(
    sched_pool_t *pool, const sched_task_t *task, uint64_t now_us)
{
	const sched_resources_t *capacity;
	sched_instance_t *instance, *best = NULL;
	GHashTableIter iter;
	uint64_t best_free = 0;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		uint64_t free_share;

		if (!sched_instance_is_usable(instance, now_us) ||
		    instance->withheld_round == pool->round ||
		    task_exclusion(instance, task) != SCHED_EXCLUDED_NOT)
			continue;
		capacity = &instance->info.capacity;
		/*
		 * The free share of CPU or of memory, whichever is less, in
		 * thousandths, plus 1.
		 */
		free_share = 1 +
		    MIN((capacity->cpu_millis -
			    MIN(capacity->cpu_millis,
				instance->used.cpu_millis)) *
			    1000 / MAX(capacity->cpu_millis, 1),
			(capacity->memory_mib -
			    MIN(capacity->memory_mib,
				instance->used.memory_mib)) *
			    1000 / MAX(capacity->memory_mib, 1));
		if (free_share > best_free &&
		    will_have_room(instance, sched_task_step_spec(task))) {
			best = instance;
			best_free = free_share;
		}
	}
	if (best != NULL)
		best->withheld_round = pool->round;
	return best != NULL;
}
