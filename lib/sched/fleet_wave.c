#include <string.h>

#include "gw/log.h"
#include "sched/fleet_impl.h"

/*
 * Estimated time for the drain and the maintenance of one machine together; the
 * real time is not known beforehand.
 */
#define MAINTENANCE_ESTIMATE_MS 4000
/* A wave is planned to end within this share of the time that is left. */
#define PLANNED_TIME_PERCENT 70
/*
 * A busy machine is drained only while at most this share of its pool's
 * machines is in maintenance.
 */
#define POOL_AWAY_PERCENT 25

void
fleet_wave_free(gpointer data)
{
	wave_t *wave = data;

	g_ptr_array_free(wave->machines, TRUE);
	g_hash_table_destroy(wave->done);
	g_free(wave);
}

static wave_t *
find_wave(const fleet_t *fleet, uint64_t number)
{
	for (guint i = 0; i < fleet->waves->len; i++) {
		wave_t *wave = fleet->waves->pdata[i];

		if (wave->number == number)
			return wave;
	}
	return NULL;
}

/*
 * Adds a wave, unless one with this number is known.
 */
void
fleet_add_wave(fleet_t *fleet, uint64_t number, const GPtrArray *machines,
    uint32_t duration_ms, uint32_t at_once_max)
{
	uint64_t now_us = gw_clock_now_us(fleet->clock);
	wave_t *wave = find_wave(fleet, number);

	if (wave != NULL)
		return;
	wave = g_new0(wave_t, 1);
	wave->number = number;
	wave->machines = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < machines->len; i++)
		g_ptr_array_add(wave->machines, g_strdup(machines->pdata[i]));
	wave->done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	wave->at_once_max = MAX(at_once_max, 1);
	wave->accepted_us = now_us;
	wave->deadline_us = now_us + duration_ms * GW_US_PER_MS;
	g_ptr_array_add(fleet->waves, wave);
	gw_log(GW_EV_MAINTENANCE,
	    "wave=%" PRIu64 " machines=%u at_once_max=%u duration_ms=%u "
	    "state=planned",
	    number, machines->len, at_once_max, duration_ms);
}

/*
 * Marks a machine as done for the wave and has this recorded: its maintenance
 * has begun, or the platform rejected the order.
 */
void
fleet_wave_record_done(fleet_t *fleet, uint64_t number, const char *machine)
{
	fleet_wave_mark_done(fleet, number, machine);
	fleet->ops->wave_machine_done(number, machine, fleet->arg);
}

/*
 * Marks a machine as done: it needs no further order for the wave.
 */
void
fleet_wave_mark_done(fleet_t *fleet, uint64_t number, const char *machine)
{
	wave_t *wave = find_wave(fleet, number);

	if (wave != NULL)
		g_hash_table_add(wave->done, g_strdup(machine));
}

/*
 * Counts the machines of the wave that are down for maintenance or about to be:
 * those with this goal, and those that a previous planner ordered.
 */
static uint32_t
count_under_way(const fleet_t *fleet, const wave_t *wave, uint64_t now_us)
{
	GHashTableIter iter;
	machine_t *machine;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		count += (machine->goal == GOAL_MAINTAIN &&
			     machine->wave == wave->number) ||
		    (machine->previous_order_wave == wave->number &&
			now_us < machine->previous_order_until_us);
	return count;
}

/*
 * Returns how many machines must be in maintenance at once for the wave to end
 * in time; at most at_once_max.
 */
static uint32_t
concurrency_needed(const wave_t *wave, uint32_t left, uint64_t now_us)
{
	uint64_t time_ms;

	if (now_us >= wave->deadline_us)
		return wave->at_once_max;
	time_ms = (wave->deadline_us - now_us) / GW_US_PER_MS *
	    PLANNED_TIME_PERCENT / 100;
	if (time_ms < MAINTENANCE_ESTIMATE_MS)
		return wave->at_once_max;
	return MIN(wave->at_once_max,
	    (uint32_t)((left * MAINTENANCE_ESTIMATE_MS + time_ms - 1) /
		time_ms));
}

/*
 * Returns the machine of that name if its maintenance could begin now, else
 * NULL.
 */
static machine_t *
find_available(
    const fleet_t *fleet, const wave_t *wave, const char *name, uint64_t now_us)
{
	machine_t *machine = g_hash_table_lookup(fleet->machines, name);

	if (machine == NULL || g_hash_table_contains(wave->done, name) ||
	    machine->goal != GOAL_NONE || !machine->state.up ||
	    now_us < machine->backoff_until_us)
		return NULL;
	return machine;
}

static bool
hosts_long_running(fleet_t *fleet, const machine_t *machine)
{
	return g_hash_table_contains(
	    fleet_get_pool(fleet, machine->state.pool)->long_running_hosts,
	    machine->state.instance);
}

/*
 * Counts for each pool the machines that waves keep out of service, and the
 * machines with long-running tasks whose maintenance in this wave has not begun
 * but could begin now. Machines that move do not count as out of service: they
 * move to pools that need them, and in a busy fleet some always do.
 */
static void
count_by_pool(fleet_t *fleet, const wave_t *wave, uint64_t now_us)
{
	GHashTableIter iter;
	machine_t *machine;
	pool_t *pool;

	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		pool->in_maintenance = pool->long_running_left = 0;
	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (machine->goal == GOAL_MAINTAIN)
			fleet_get_pool(fleet, machine->state.pool)
			    ->in_maintenance++;
	for (guint i = 0; i < wave->machines->len; i++) {
		machine = find_available(
		    fleet, wave, wave->machines->pdata[i], now_us);
		if (machine != NULL && hosts_long_running(fleet, machine))
			fleet_get_pool(fleet, machine->state.pool)
			    ->long_running_left++;
	}
}

/*
 * Returns whether a busy machine may be drained now. A machine with
 * long-running tasks never becomes idle, so it is not left for later: as many
 * such machines of a pool are drained at a time as the wave needs to end in
 * time, and the pool's owner stops the tasks as their availability budgets
 * allow. Other machines are drained only if the wave is behind schedule, and
 * only POOL_AWAY_PERCENT of a pool's machines.
 */
static bool
may_drain_busy(fleet_t *fleet, const wave_t *wave, const machine_t *machine,
    bool behind_schedule, uint64_t now_us)
{
	const pool_t *pool = fleet_get_pool(fleet, machine->state.pool);
	uint32_t concurrent_max;

	if (hosts_long_running(fleet, machine)) {
		concurrent_max =
		    concurrency_needed(wave, pool->long_running_left, now_us);
		return pool->in_maintenance < MAX(1, concurrent_max);
	}
	return behind_schedule &&
	    pool->in_maintenance * 100 <=
	    POOL_AWAY_PERCENT * fleet_count_pool_machines(fleet, pool->name);
}

/*
 * Returns the machine to maintain next: an idle one, whose maintenance disturbs
 * no task, else a busy one of the pool with the fewest machines out of service.
 * Returns NULL if there is none.
 */
static machine_t *
choose_machine(
    fleet_t *fleet, const wave_t *wave, bool behind_schedule, uint64_t now_us)
{
	machine_t *best = NULL;
	uint32_t fewest = UINT32_MAX;

	for (guint i = 0; i < wave->machines->len; i++) {
		machine_t *machine = find_available(
		    fleet, wave, wave->machines->pdata[i], now_us);
		uint32_t in_maintenance;

		if (machine == NULL)
			continue;
		if (fleet_machine_is_idle(fleet, machine))
			return machine;
		in_maintenance =
		    fleet_get_pool(fleet, machine->state.pool)->in_maintenance;
		if (in_maintenance >= fewest ||
		    !may_drain_busy(
			fleet, wave, machine, behind_schedule, now_us))
			continue;
		best = machine;
		fewest = in_maintenance;
	}
	return best;
}

/*
 * Counts the machines that have not been maintained yet. Machines that the
 * platform does not list no longer exist and do not count.
 */
static uint32_t
count_left(const fleet_t *fleet, const wave_t *wave)
{
	uint32_t left = 0;

	for (guint i = 0; i < wave->machines->len; i++) {
		const char *name = wave->machines->pdata[i];

		left += !g_hash_table_contains(wave->done, name) &&
		    g_hash_table_contains(fleet->machines, name);
	}
	return left;
}

/*
 * Starts a machine's maintenance, and updates the counts of its pool.
 */
static void
start_maintenance(fleet_t *fleet, const wave_t *wave, machine_t *machine)
{
	pool_t *pool = fleet_get_pool(fleet, machine->state.pool);

	pool->in_maintenance++;
	if (hosts_long_running(fleet, machine))
		pool->long_running_left--;
	machine->wave = wave->number;
	fleet_start_goal(fleet, machine, GOAL_MAINTAIN);
}

/*
 * Completes a wave when no machine is left, else starts the maintenance of as
 * many machines as may be down at once.
 */
static void
advance_wave(fleet_t *fleet, wave_t *wave, uint64_t now_us)
{
	uint32_t left = count_left(fleet, wave);
	uint32_t busy = count_under_way(fleet, wave, now_us);
	uint32_t needed = concurrency_needed(wave, left, now_us);

	if (!wave->running_reported) {
		wave->running_reported = true;
		fleet->ops->wave_state_changed(wave->number, false, fleet->arg);
	}
	if (left == 0 && busy == 0) {
		wave->completed = true;
		gw_log(GW_EV_MAINTENANCE,
		    "wave=%" PRIu64 " machines=%u state=completed "
		    "took_ms=%" PRIu64,
		    wave->number, wave->machines->len,
		    (gw_elapsed_us(now_us, wave->accepted_us)) / GW_US_PER_MS);
		fleet->ops->wave_state_changed(wave->number, true, fleet->arg);
		return;
	}
	count_by_pool(fleet, wave, now_us);
	for (; busy < wave->at_once_max; busy++) {
		machine_t *machine =
		    choose_machine(fleet, wave, busy < needed, now_us);

		if (machine == NULL)
			return;
		start_maintenance(fleet, wave, machine);
	}
}

/*
 * Advances every wave that is not completed.
 */
void
fleet_advance_waves(fleet_t *fleet, uint64_t now_us)
{
	for (guint i = 0; i < fleet->waves->len; i++) {
		wave_t *wave = fleet->waves->pdata[i];

		if (!wave->completed)
			advance_wave(fleet, wave, now_us);
	}
}
