#include <string.h>

#include "gw/log.h"
#include "sched/fleet_impl.h"

/* A drain is asked for again, since the owner lets it lapse. */
#define DRAIN_REPEAT_US (250 * GW_US_PER_MS)
/* A move whose machine does not come free is given up. */
#define MOVE_DRAIN_MAX_US (3 * GW_US_PER_S)
/* An order without an answer, or refused as busy, is repeated. */
#define ORDER_RETRY_US (500 * GW_US_PER_MS)
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

static void
order(fleet_t *fleet, machine_t *machine, uint64_t now_us)
{
	fleet_set_phase(fleet, machine, PHASE_ORDERED);
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
		fleet_set_phase(fleet, machine, PHASE_AWAY);
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
	    (away_ms + SCHED_REGISTER_MARGIN_MS) * GW_US_PER_MS;
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
