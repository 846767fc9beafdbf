#include <string.h>

#include "gw/log.h"
#include "sched/fleet_impl.h"

/* A drain is asked for again, since the owner lets it lapse. */
#define DRAIN_REPEAT_US (250 * GW_US_PER_MS)
/* A move whose machine does not come free is given up. */
#define MOVE_DRAIN_MAX_US (3 * GW_US_PER_S)
/* An order without an answer, or refused as busy, is repeated. */
#define ORDER_RETRY_US (500 * GW_US_PER_MS)
/* Beyond the time that the platform names for an order. */
#define AWAY_MARGIN_US (300 * GW_US_PER_MS)
/* A machine that has not come back by then is read from the list. */
#define AWAY_MAX_US (4 * GW_US_PER_S)
#define LIST_EVERY_US (5 * GW_US_PER_S)
#define LIST_SOON_US GW_US_PER_S

static void
pool_free(gpointer data)
{
	pool_t *pool = data;

	g_hash_table_destroy(pool->idle);
	g_hash_table_destroy(pool->lasting);
	g_free(pool);
}

/*
 * Returns a fleet without machines.
 */
fleet_t *
fleet_new(const gw_clock_t *clock, const fleet_lending_t *lending,
    const fleet_times_t *times, const fleet_ops_t *ops, void *arg)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->clock = clock;
	fleet->lending = lending;
	fleet->times = *times;
	fleet->ops = ops;
	fleet->arg = arg;
	fleet->machines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	fleet->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	fleet->waves = g_ptr_array_new_with_free_func(fleet_wave_free);
	return fleet;
}

/*
 * Frees the fleet.
 */
void
fleet_free(fleet_t *fleet)
{
	if (fleet == NULL)
		return;
	g_hash_table_destroy(fleet->machines);
	g_hash_table_destroy(fleet->pools);
	g_ptr_array_free(fleet->waves, TRUE);
	g_free(fleet);
}

/*
 * Returns the pool, adding an unknown one.
 */
pool_t *
fleet_pool(fleet_t *fleet, const char *name)
{
	pool_t *pool = g_hash_table_lookup(fleet->pools, name);

	if (pool != NULL)
		return pool;
	pool = g_new0(pool_t, 1);
	g_strlcpy(pool->name, name, sizeof(pool->name));
	pool->idle =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pool->lasting =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(fleet->pools, pool->name, pool);
	return pool;
}

/*
 * Takes a pool as configured.
 */
void
fleet_set_pool(fleet_t *fleet, const char *name, uint32_t group, bool standby)
{
	pool_t *pool = fleet_pool(fleet, name);

	pool->group = group;
	pool->standby = standby;
}

static void
set_names(GHashTable *names, char *const *from, size_t count)
{
	g_hash_table_remove_all(names);
	for (size_t i = 0; i < count; i++)
		g_hash_table_add(names, g_strdup(from[i]));
}

/*
 * Takes an owner's report of its load.
 */
void
fleet_set_load(fleet_t *fleet, const char *name, const Gw__PoolLoad *load)
{
	pool_t *pool = fleet_pool(fleet, name);

	fleet_take_demand(pool, load, gw_clock_now_us(fleet->clock));
	pool->load_us = gw_clock_now_us(fleet->clock);
	pool->instances = load->instances;
	pool->capacity_cpu_millis = load->capacity_cpu_millis;
	pool->used_cpu_millis = load->used_cpu_millis;
	pool->waiting_cpu_ms = load->waiting_cpu_ms;
	pool->waiting_cpu_millis = load->waiting_cpu_millis;
	pool->capacity_memory_mib = load->capacity_memory_mib;
	pool->used_memory_mib = load->used_memory_mib;
	pool->waiting_memory_mib_ms = load->waiting_memory_mib_ms;
	pool->lasting_waiting = load->lasting_waiting;
	set_names(pool->idle, load->idle_instances, load->n_idle_instances);
	set_names(
	    pool->lasting, load->lasting_instances, load->n_lasting_instances);
}

static machine_t *
machine_get(fleet_t *fleet, const char *name)
{
	machine_t *machine = g_hash_table_lookup(fleet->machines, name);

	if (machine != NULL)
		return machine;
	machine = g_new0(machine_t, 1);
	g_strlcpy(machine->at.name, name, sizeof(machine->at.name));
	g_hash_table_insert(fleet->machines, machine->at.name, machine);
	return machine;
}

/*
 * Keeps a machine from new orders for a while, and counts it as down for its
 * wave.
 */
void
fleet_ordered_before(
    fleet_t *fleet, const char *name, uint64_t wave, uint64_t for_ms)
{
	machine_t *machine = machine_get(fleet, name);

	machine->before_until_us =
	    gw_clock_now_us(fleet->clock) + for_ms * GW_US_PER_MS;
	machine->before_wave = wave;
	machine->retry_us = machine->before_until_us;
}

/*
 * Returns the machine that runs the instance, or NULL.
 */
machine_t *
fleet_machine_of(const fleet_t *fleet, const char *instance)
{
	GHashTableIter iter;
	machine_t *machine;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (strcmp(machine->at.instance, instance) == 0)
			return machine;
	return NULL;
}

/*
 * Begins a whole list: machines that it does not name are gone.
 */
void
fleet_begin_list(fleet_t *fleet)
{
	GHashTableIter iter;
	machine_t *machine;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		machine->listed = false;
}

/*
 * Ends what a machine was prepared for once it runs another instance.
 */
static void
come_back(fleet_t *fleet, machine_t *machine, const char *instance)
{
	if (machine->phase != PHASE_AWAY || machine->goal == GOAL_NONE ||
	    strcmp(machine->before, instance) == 0)
		return;
	gw_log(GW_EV_MACHINE_ORDER,
	    "machine=%s instance=%s state=back away_ms=%" PRIu64,
	    machine->at.name, instance,
	    gw_elapsed_us(gw_clock_now_us(fleet->clock), machine->since_us) /
		GW_US_PER_MS);
	machine->goal = GOAL_NONE;
}

/*
 * Takes one machine of the list.
 */
void
fleet_list_machine(fleet_t *fleet, const fleet_machine_t *from)
{
	machine_t *machine = machine_get(fleet, from->name);

	machine->listed = true;
	/* The registry is newer than the list for an instance that is up. */
	if (machine->at.up && machine->at.instance[0] != '\0' &&
	    machine->goal == GOAL_NONE && from->up &&
	    strcmp(machine->at.pool, from->pool) == 0)
		return;
	machine->at = *from;
	if (from->up && from->instance[0] != '\0')
		come_back(fleet, machine, from->instance);
}

/*
 * Ends the list.
 */
void
fleet_end_list(fleet_t *fleet)
{
	GHashTableIter iter;
	machine_t *machine;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (!machine->listed)
			g_hash_table_iter_remove(&iter);
	fleet->listed = true;
	fleet->list_us = gw_clock_now_us(fleet->clock);
}

/*
 * Takes the registry's entry of a machine's instance.
 */
void
fleet_instance_up(fleet_t *fleet, const sched_info_t *info)
{
	machine_t *machine;

	if (info->machine[0] == '\0')
		return;
	machine = machine_get(fleet, info->machine);
	g_strlcpy(machine->at.pool, info->pool, sizeof(machine->at.pool));
	g_strlcpy(machine->at.instance, info->id, sizeof(machine->at.instance));
	machine->at.cpu_millis = info->capacity.cpu_millis;
	machine->at.up = !info->leaving;
	if (machine->at.up)
		come_back(fleet, machine, info->id);
}

/*
 * Takes the removal of an instance's entry: its machine is not up.
 */
void
fleet_instance_gone(fleet_t *fleet, const char *instance)
{
	machine_t *machine = fleet_machine_of(fleet, instance);

	if (machine != NULL)
		machine->at.up = false;
}

/*
 * Tells whether nothing runs on the machine, by its owner's last report.
 */
bool
fleet_is_idle(fleet_t *fleet, const machine_t *machine)
{
	pool_t *pool = fleet_pool(fleet, machine->at.pool);

	return pool->standby || machine->at.instance[0] == '\0' ||
	    g_hash_table_contains(pool->idle, machine->at.instance);
}

/*
 * Counts the machines that the pool has or is getting.
 */
uint32_t
fleet_pool_machines(const fleet_t *fleet, const char *pool)
{
	GHashTableIter iter;
	machine_t *machine;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine)) {
		if (machine->goal == GOAL_MOVE)
			count += strcmp(machine->target, pool) == 0;
		else if (strcmp(machine->at.pool, pool) == 0)
			count +=
			    machine->at.up || machine->goal == GOAL_MAINTAIN;
	}
	return count;
}

/*
 * Counts the machines that are moving to the pool.
 */
uint32_t
fleet_coming(const fleet_t *fleet, const char *pool)
{
	GHashTableIter iter;
	machine_t *machine;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		count += machine->goal == GOAL_MOVE &&
		    strcmp(machine->target, pool) == 0;
	return count;
}

static void
set_phase(fleet_t *fleet, machine_t *machine, phase_t phase)
{
	machine->phase = phase;
	machine->since_us = gw_clock_now_us(fleet->clock);
	machine->asked_us = 0;
}

/*
 * Begins to prepare a machine for what its goal says.
 */
void
fleet_begin(fleet_t *fleet, machine_t *machine, goal_t goal)
{
	machine->goal = goal;
	g_strlcpy(
	    machine->before, machine->at.instance, sizeof(machine->before));
	set_phase(fleet, machine, PHASE_DRAIN);
}

static void
order(fleet_t *fleet, machine_t *machine, uint64_t now_us)
{
	set_phase(fleet, machine, PHASE_ORDERED);
	machine->asked_us = now_us;
	gw_log(GW_EV_MACHINE_ORDER,
	    "machine=%s pool=%s instance=%s order=%s wave=%" PRIu64
	    " target=%s list_age_ms=%" PRIu64,
	    machine->at.name, machine->at.pool, machine->before,
	    machine->goal == GOAL_MOVE ? "move" : "maintain", machine->wave,
	    machine->target,
	    (gw_elapsed_us(now_us, fleet->list_us)) / GW_US_PER_MS);
	if (machine->goal == GOAL_MOVE)
		fleet->ops->move(machine->at.name, machine->target, fleet->arg);
	else
		fleet->ops->maintain(
		    machine->at.name, machine->wave, fleet->arg);
}

/*
 * Takes an owner's answer: nothing runs on the instance, and nothing will for a
 * while.
 */
void
fleet_drained(fleet_t *fleet, const char *instance, bool drained)
{
	machine_t *machine = fleet_machine_of(fleet, instance);

	if (machine != NULL && drained && machine->goal != GOAL_NONE &&
	    machine->phase == PHASE_DRAIN)
		order(fleet, machine, gw_clock_now_us(fleet->clock));
}

/*
 * Takes the answer to an order.
 */
void
fleet_ordered(fleet_t *fleet, const char *name, fleet_answer_t answer)
{
	machine_t *machine = g_hash_table_lookup(fleet->machines, name);
	uint64_t now_us = gw_clock_now_us(fleet->clock);

	if (machine == NULL || machine->goal == GOAL_NONE ||
	    machine->phase != PHASE_ORDERED)
		return;
	switch (answer) {
	case FLEET_ORDER_OK:
		if (machine->goal == GOAL_MAINTAIN)
			fleet_wave_done(fleet, machine->wave, name);
		machine->at.up = false;
		if (machine->before[0] != '\0')
			fleet->ops->ended(
			    machine->at.pool, machine->before, fleet->arg);
		if (machine->goal == GOAL_MOVE)
			g_strlcpy(machine->at.pool, machine->target,
			    sizeof(machine->at.pool));
		set_phase(fleet, machine, PHASE_AWAY);
		return;
	case FLEET_ORDER_REJECTED:
		if (machine->goal == GOAL_MAINTAIN)
			fleet_wave_done(fleet, machine->wave, name);
		machine->goal = GOAL_NONE;
		machine->retry_us = now_us + ORDER_RETRY_US;
		fleet->list_us = 0;
		return;
	case FLEET_ORDER_BUSY:
		machine->goal = GOAL_NONE;
		machine->retry_us = now_us + ORDER_RETRY_US;
		fleet->list_us = 0;
		return;
	case FLEET_ORDER_NO_ANSWER:
		machine->asked_us = now_us;
		return;
	}
}

/*
 * Tells whether a machine that runs no instance must be back by now: nothing
 * else reports it.
 */
static bool
is_back_on_standby(fleet_t *fleet, const machine_t *machine, uint64_t now_us)
{
	uint32_t away_ms = machine->goal == GOAL_MOVE
	    ? fleet->times.move_ms
	    : fleet->times.maintain_ms;

	return machine->phase == PHASE_AWAY &&
	    fleet_pool(fleet, machine->at.pool)->standby &&
	    gw_elapsed_us(now_us, machine->since_us) >
	    away_ms * GW_US_PER_MS + AWAY_MARGIN_US;
}

/*
 * Asks again for what has no answer yet.
 */
static void
tick_machine(fleet_t *fleet, machine_t *machine, uint64_t now_us)
{
	bool is_off = machine->at.instance[0] == '\0' ||
	    fleet_pool(fleet, machine->at.pool)->standby;

	if (machine->goal == GOAL_NONE)
		return;
	if (is_back_on_standby(fleet, machine, now_us)) {
		machine->goal = GOAL_NONE;
		machine->at.up = true;
		machine->at.instance[0] = '\0';
	} else if (machine->phase == PHASE_DRAIN && is_off) {
		order(fleet, machine, now_us);
	} else if (machine->phase == PHASE_DRAIN &&
	    machine->goal == GOAL_MOVE &&
	    gw_elapsed_us(now_us, machine->since_us) > MOVE_DRAIN_MAX_US) {
		machine->goal = GOAL_NONE;
	} else if (machine->phase == PHASE_DRAIN &&
	    gw_elapsed_us(now_us, machine->asked_us) > DRAIN_REPEAT_US) {
		machine->asked_us = now_us;
		fleet->ops->drain(
		    machine->at.pool, machine->at.instance, fleet->arg);
	} else if (machine->phase == PHASE_ORDERED &&
	    gw_elapsed_us(now_us, machine->asked_us) > 2 * ORDER_RETRY_US) {
		order(fleet, machine, now_us);
	} else if (machine->phase == PHASE_AWAY &&
	    gw_elapsed_us(now_us, machine->since_us) > 4 * AWAY_MAX_US) {
		/* It does not come back: lost, or the news were. */
		machine->goal = GOAL_NONE;
	}
}

/*
 * Tells whether the list should be read: at the start, when a machine is long
 * away, and now and then.
 */
bool
fleet_wants_list(const fleet_t *fleet)
{
	uint64_t now_us = gw_clock_now_us(fleet->clock);
	uint64_t age_us = gw_elapsed_us(now_us, fleet->list_us);
	GHashTableIter iter;
	machine_t *machine;

	if (!fleet->listed || age_us > LIST_EVERY_US)
		return true;
	if (age_us < LIST_SOON_US)
		return false;
	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (machine->goal != GOAL_NONE &&
		    machine->phase == PHASE_AWAY &&
		    gw_elapsed_us(now_us, machine->since_us) > AWAY_MAX_US)
			return true;
	return false;
}

/*
 * Goes on with waves, moves and orders.
 */
void
fleet_tick(fleet_t *fleet)
{
	uint64_t now_us = gw_clock_now_us(fleet->clock);
	GHashTableIter iter;
	machine_t *machine;

	if (!fleet->listed)
		return;
	fleet_waves(fleet, now_us);
	fleet_lend(fleet, now_us);
	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		tick_machine(fleet, machine, now_us);
}
