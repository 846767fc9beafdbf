#include <string.h>

#include "gw/log.h"
#include "sched/fleet_impl.h"

/* A machine's maintenance with its drain, as long as it is not known. */
#define TURN_MS 4000
/* Work is planned to end in this share of the time that is left. */
#define TIME_SHARE_PERCENT 70
/* Of a pool's machines, those that may be away while there is time. */
#define POOL_SHARE_PERCENT 25

/*
 * Frees a wave.
 */
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
 * Takes a wave; one that is known is left as it is.
 */
void
fleet_set_wave(fleet_t *fleet, uint64_t number, const GPtrArray *machines,
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
	wave->seen_us = now_us;
	wave->end_us = now_us + duration_ms * GW_US_PER_MS;
	g_ptr_array_add(fleet->waves, wave);
	gw_log(GW_EV_MAINTENANCE,
	    "wave=%" PRIu64 " machines=%u at_once_max=%u duration_ms=%u "
	    "state=planned",
	    number, machines->len, at_once_max, duration_ms);
}

/*
 * Notes that a machine's maintenance has begun, or that it cannot be had.
 */
void
fleet_wave_done(fleet_t *fleet, uint64_t number, const char *machine)
{
	fleet_wave_known_done(fleet, number, machine);
	fleet->ops->wave_machine(number, machine, fleet->arg);
}

/*
 * Notes that a machine needs no more orders for the wave.
 */
void
fleet_wave_known_done(fleet_t *fleet, uint64_t number, const char *machine)
{
	wave_t *wave = find_wave(fleet, number);

	if (wave != NULL)
		g_hash_table_add(wave->done, g_strdup(machine));
}

/*
 * Counts the machines of the wave that are down for it or may be about to.
 */
static uint32_t
under_way(const fleet_t *fleet, const wave_t *wave, uint64_t now_us)
{
	GHashTableIter iter;
	machine_t *machine;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		count += (machine->goal == GOAL_MAINTAIN &&
			     machine->wave == wave->number) ||
		    (machine->before_wave == wave->number &&
			now_us < machine->before_until_us);
	return count;
}

/*
 * Returns how many machines must be worked on at once to end in time.
 */
static uint32_t
needed_at_once(const wave_t *wave, uint32_t left, uint64_t now_us)
{
	uint64_t time_ms;

	if (now_us >= wave->end_us)
		return wave->at_once_max;
	time_ms =
	    (wave->end_us - now_us) / GW_US_PER_MS * TIME_SHARE_PERCENT / 100;
	if (time_ms < TURN_MS)
		return wave->at_once_max;
	return MIN(wave->at_once_max,
	    (uint32_t)((left * TURN_MS + time_ms - 1) / time_ms));
}

static machine_t *
available(
    const fleet_t *fleet, const wave_t *wave, const char *name, uint64_t now_us)
{
	machine_t *machine = g_hash_table_lookup(fleet->machines, name);

	if (machine == NULL || g_hash_table_contains(wave->done, name) ||
	    machine->goal != GOAL_NONE || !machine->at.up ||
	    now_us < machine->retry_us)
		return NULL;
	return machine;
}

static bool
hosts_lasting(fleet_t *fleet, const machine_t *machine)
{
	return g_hash_table_contains(
	    fleet_pool(fleet, machine->at.pool)->lasting, machine->at.instance);
}

/*
 * Counts for each pool the machines that waves keep from service, and those of
 * this wave that are left and host lasting tasks. Moves do not count as kept
 * from service: they go to where machines are needed, and a busy fleet is never
 * without them.
 */
static void
count_pools(fleet_t *fleet, const wave_t *wave, uint64_t now_us)
{
	GHashTableIter iter;
	machine_t *machine;
	pool_t *pool;

	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool))
		pool->maintained = pool->lasting_left = 0;
	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (machine->goal == GOAL_MAINTAIN)
			fleet_pool(fleet, machine->at.pool)->maintained++;
	for (guint i = 0; i < wave->machines->len; i++) {
		machine =
		    available(fleet, wave, wave->machines->pdata[i], now_us);
		if (machine != NULL && hosts_lasting(fleet, machine))
			fleet_pool(fleet, machine->at.pool)->lasting_left++;
	}
}

/*
 * Tells whether a busy machine may be taken. One with lasting tasks never
 * becomes idle, so that it is taken early, as many of a pool at a time as end
 * in time; their owner stops the tasks as their bounds allow. Others are taken
 * only when time calls for it, and not too many of one pool.
 */
static bool
may_take_busy(fleet_t *fleet, const wave_t *wave, const machine_t *machine,
    bool time_calls, uint64_t now_us)
{
	const pool_t *pool = fleet_pool(fleet, machine->at.pool);
	uint32_t together;

	if (hosts_lasting(fleet, machine)) {
		together = needed_at_once(wave, pool->lasting_left, now_us);
		return pool->maintained < MAX(1, together);
	}
	return time_calls &&
	    pool->maintained * 100 <=
	    POOL_SHARE_PERCENT * fleet_pool_machines(fleet, pool->name);
}

/*
 * Returns the machine to take next: an idle one, which costs nothing, else a
 * busy one of the pool that has the fewest away.
 */
static machine_t *
choose(fleet_t *fleet, const wave_t *wave, bool time_calls, uint64_t now_us)
{
	machine_t *best = NULL;
	uint32_t fewest = UINT32_MAX;

	for (guint i = 0; i < wave->machines->len; i++) {
		machine_t *machine =
		    available(fleet, wave, wave->machines->pdata[i], now_us);
		uint32_t maintained;

		if (machine == NULL)
			continue;
		if (fleet_is_idle(fleet, machine))
			return machine;
		maintained = fleet_pool(fleet, machine->at.pool)->maintained;
		if (maintained >= fewest ||
		    !may_take_busy(fleet, wave, machine, time_calls, now_us))
			continue;
		best = machine;
		fewest = maintained;
	}
	return best;
}

/*
 * Counts the machines that still have to be maintained. One that the platform
 * does not list has gone for good.
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
 * Begins a machine's maintenance, and counts it in its pool.
 */
static void
begin(fleet_t *fleet, const wave_t *wave, machine_t *machine)
{
	pool_t *pool = fleet_pool(fleet, machine->at.pool);

	pool->maintained++;
	if (hosts_lasting(fleet, machine))
		pool->lasting_left--;
	machine->wave = wave->number;
	fleet_begin(fleet, machine, GOAL_MAINTAIN);
}

static void
work_on(fleet_t *fleet, wave_t *wave, uint64_t now_us)
{
	uint32_t left = count_left(fleet, wave);
	uint32_t busy = under_way(fleet, wave, now_us);
	uint32_t needed = needed_at_once(wave, left, now_us);

	if (!wave->running_said) {
		wave->running_said = true;
		fleet->ops->wave_state(wave->number, false, fleet->arg);
	}
	if (left == 0 && busy == 0) {
		wave->completed = true;
		gw_log(GW_EV_MAINTENANCE,
		    "wave=%" PRIu64 " machines=%u state=completed "
		    "took_ms=%" PRIu64,
		    wave->number, wave->machines->len,
		    (gw_elapsed_us(now_us, wave->seen_us)) / GW_US_PER_MS);
		fleet->ops->wave_state(wave->number, true, fleet->arg);
		return;
	}
	count_pools(fleet, wave, now_us);
	for (; busy < wave->at_once_max; busy++) {
		machine_t *machine = choose(fleet, wave, busy < needed, now_us);

		if (machine == NULL)
			return;
		begin(fleet, wave, machine);
	}
}

/*
 * Goes on with the waves.
 */
void
fleet_waves(fleet_t *fleet, uint64_t now_us)
{
	for (guint i = 0; i < fleet->waves->len; i++) {
		wave_t *wave = fleet->waves->pdata[i];

		if (!wave->completed)
			work_on(fleet, wave, now_us);
	}
}
