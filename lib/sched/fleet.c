#include <string.h>

#include "gw/log.h"
#include "sched/fleet_impl.h"

/* The request is repeated, since a drain expires at the owner. */
#define DRAIN_REPEAT_US (250 * GW_US_PER_MS)
/* A move is cancelled if the drain takes longer. */
#define MOVE_DRAIN_TIMEOUT_US (3 * GW_US_PER_S)
/* A drain that keeps room from a long-running task is paused after this time.
 */
#define BLOCKING_DRAIN_MAX_US (2 * GW_US_PER_S)
#define BLOCKING_DRAIN_PAUSE_US (5 * GW_US_PER_S)
/*
 * Time before a machine whose order was refused gets a new one. After twice
 * this time without a response the machine is drained anew, and the order
 * repeated: the drain may have expired, or the owner have changed.
 */
#define ORDER_RETRY_DELAY_US (500 * GW_US_PER_MS)
/* When a machine has been away for this long, its goal is cleared. */
#define AWAY_MAX_US (16 * GW_US_PER_S)
#define LIST_INTERVAL_US (5 * GW_US_PER_S)
#define LIST_INTERVAL_MIN_US GW_US_PER_S

static void
pool_free(gpointer data)
{
	pool_t *pool = data;

	g_hash_table_destroy(pool->idle);
	g_hash_table_destroy(pool->long_running_hosts);
	g_hash_table_destroy(pool->team_counts);
	forecast_free(pool->forecast);
	g_free(pool);
}

/*
 * Creates a fleet without machines.
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

void
fleet_set_orders_available(fleet_t *fleet, bool available)
{
	if (fleet->orders_unavailable == available)
		gw_log(GW_EV_POOL_WANT, "orders_available=%d", available);
	fleet->orders_unavailable = !available;
}

/*
 * Sends the order that the machine was prepared for.
 */
static void
send_order(fleet_t *fleet, machine_t *machine, uint64_t now_us)
{
	fleet_set_phase(fleet, machine, PHASE_ORDERED);
	machine->requested_us = now_us;
	machine->is_ordered = true;
	gw_log(GW_EV_MACHINE_ORDER,
	    "machine=%s pool=%s instance=%s order=%s wave=%" PRIu64
	    " target=%s list_age_ms=%" PRIu64,
	    machine->state.name, machine->state.pool, machine->old_instance,
	    machine->goal == GOAL_MOVE ? "move" : "maintain", machine->wave,
	    machine->target_pool,
	    (gw_elapsed_us(now_us, fleet->list_read_us)) / GW_US_PER_MS);
	if (machine->goal == GOAL_MOVE)
		fleet->ops->move(
		    machine->state.name, machine->target_pool, fleet->arg);
	else
		fleet->ops->maintain(
		    machine->state.name, machine->wave, fleet->arg);
}

/*
 * Handles an owner's response to a drain. "drained" means that nothing runs on
 * the instance and that the owner starts nothing there until the drain expires.
 */
void
fleet_handle_drain_response(fleet_t *fleet, const char *instance, bool drained)
{
	machine_t *machine = fleet_find_machine(fleet, instance);

	if (machine != NULL && drained && machine->goal != GOAL_NONE &&
	    machine->phase == PHASE_DRAINING)
		send_order(fleet, machine, gw_clock_now_us(fleet->clock));
}

/*
 * Handles the result of an order to a machine.
 */
void
fleet_handle_order_result(
    fleet_t *fleet, const char *name, fleet_order_result_t result)
{
	machine_t *machine = g_hash_table_lookup(fleet->machines, name);
	uint64_t now_us = gw_clock_now_us(fleet->clock);

	if (machine == NULL || machine->goal == GOAL_NONE ||
	    machine->phase == PHASE_AWAY || !machine->is_ordered)
		return;
	switch (result) {
	case FLEET_ORDER_OK:
		if (machine->goal == GOAL_MAINTAIN)
			fleet_wave_record_done(fleet, machine->wave, name);
		machine->state.up = false;
		if (machine->old_instance[0] != '\0')
			fleet->ops->instance_ended(machine->state.pool,
			    machine->old_instance, fleet->arg);
		if (machine->goal == GOAL_MOVE)
			g_strlcpy(machine->state.pool, machine->target_pool,
			    sizeof(machine->state.pool));
		fleet_set_phase(fleet, machine, PHASE_AWAY);
		return;
	case FLEET_ORDER_REJECTED:
		if (machine->goal == GOAL_MAINTAIN)
			fleet_wave_record_done(fleet, machine->wave, name);
		machine->goal = GOAL_NONE;
		machine->backoff_until_us = now_us + ORDER_RETRY_DELAY_US;
		fleet->list_read_us = 0;
		return;
	case FLEET_ORDER_BUSY:
		machine->goal = GOAL_NONE;
		machine->backoff_until_us = now_us + ORDER_RETRY_DELAY_US;
		fleet->list_read_us = 0;
		return;
	case FLEET_ORDER_NO_RESPONSE:
		if (machine->phase == PHASE_ORDERED)
			machine->requested_us = now_us;
		return;
	}
}

bool
fleet_may_send_order(const fleet_t *fleet, const char *name)
{
	const machine_t *machine = g_hash_table_lookup(fleet->machines, name);

	return machine != NULL && machine->goal != GOAL_NONE &&
	    machine->phase == PHASE_ORDERED;
}

/*
 * Returns whether a machine on standby counts as back by now. It runs no
 * instance that could report its return.
 */
static bool
standby_return_due(fleet_t *fleet, const machine_t *machine, uint64_t now_us)
{
	return machine->phase == PHASE_AWAY &&
	    fleet_get_pool(fleet, machine->state.pool)->standby &&
	    gw_elapsed_us(now_us, machine->phase_since_us) >
	    (fleet_away_ms(fleet, machine) + SCHED_REGISTER_MARGIN_MS) *
		GW_US_PER_MS;
}

/*
 * Returns whether the drain should pause: it takes long, and its machine may
 * have the only room for a long-running task. Neither may be able to go on
 * without the other, since the owner stops a task only while the others of its
 * step are available.
 */
static bool
drain_blocks_task(fleet_t *fleet, const machine_t *machine, uint64_t now_us)
{
	const pool_t *pool = fleet_get_pool(fleet, machine->state.pool);

	return machine->phase == PHASE_DRAINING &&
	    gw_elapsed_us(now_us, machine->phase_since_us) >
	    BLOCKING_DRAIN_MAX_US &&
	    fleet_lacking_room_us(fleet, pool, now_us) > BLOCKING_DRAIN_MAX_US;
}

/*
 * Pauses the drain of a machine, which then begins anew. An order without a
 * response may yet be carried out, so its goal remains.
 */
static void
pause_drain(machine_t *machine, uint64_t now_us)
{
	if (!machine->is_ordered) {
		machine->goal = GOAL_NONE;
		machine->backoff_until_us = now_us + BLOCKING_DRAIN_PAUSE_US;
	} else if (gw_elapsed_us(now_us, machine->phase_since_us) >
	    BLOCKING_DRAIN_MAX_US + BLOCKING_DRAIN_PAUSE_US) {
		machine->phase_since_us = now_us;
	}
}

/*
 * Advances a machine towards its goal: sends or repeats requests and orders,
 * and clears the goal if it takes too long.
 */
static void
advance_machine(fleet_t *fleet, machine_t *machine, uint64_t now_us)
{
	bool needs_no_drain = machine->state.instance[0] == '\0' ||
	    fleet_get_pool(fleet, machine->state.pool)->standby;

	if (machine->goal == GOAL_NONE)
		return;
	if (standby_return_due(fleet, machine, now_us)) {
		machine->goal = GOAL_NONE;
		machine->state.up = true;
		machine->state.instance[0] = '\0';
	} else if (machine->phase == PHASE_DRAINING && needs_no_drain) {
		send_order(fleet, machine, now_us);
	} else if (machine->phase == PHASE_DRAINING &&
	    machine->goal == GOAL_MOVE &&
	    gw_elapsed_us(now_us, machine->phase_since_us) >
		MOVE_DRAIN_TIMEOUT_US) {
		machine->goal = GOAL_NONE;
	} else if (drain_blocks_task(fleet, machine, now_us)) {
		/* The drain expires at the owner. */
		pause_drain(machine, now_us);
	} else if (machine->phase == PHASE_DRAINING &&
	    gw_elapsed_us(now_us, machine->requested_us) > DRAIN_REPEAT_US) {
		machine->requested_us = now_us;
		fleet->ops->drain(
		    machine->state.pool, machine->state.instance, fleet->arg);
	} else if (machine->phase == PHASE_ORDERED &&
	    gw_elapsed_us(now_us, machine->requested_us) >
		2 * ORDER_RETRY_DELAY_US) {
		fleet_set_phase(fleet, machine, PHASE_DRAINING);
	} else if (machine->phase == PHASE_AWAY &&
	    gw_elapsed_us(now_us, machine->phase_since_us) > AWAY_MAX_US) {
		/* The machine, or the report of its return, was lost. */
		machine->goal = GOAL_NONE;
	}
}

/*
 * Returns whether the list of machines should be read: at the start, after a
 * refused order, then every LIST_INTERVAL_US, or every LIST_INTERVAL_MIN_US
 * while a machine is overdue.
 */
bool
fleet_needs_list(const fleet_t *fleet)
{
	uint64_t now_us = gw_clock_now_us(fleet->clock);
	uint64_t age_us = gw_elapsed_us(now_us, fleet->list_read_us);
	GHashTableIter iter;
	machine_t *machine;

	if (!fleet->has_list || age_us > LIST_INTERVAL_US)
		return true;
	if (age_us < LIST_INTERVAL_MIN_US)
		return false;
	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		if (fleet_machine_is_overdue(fleet, machine))
			return true;
	return false;
}

/*
 * Advances waves, moves and orders. Does nothing before the list of machines
 * has been read.
 */
void
fleet_tick(fleet_t *fleet)
{
	uint64_t now_us = gw_clock_now_us(fleet->clock);
	GHashTableIter iter;
	machine_t *machine;

	if (!fleet->has_list)
		return;
	fleet_advance_waves(fleet, now_us);
	fleet_lend(fleet, now_us);
	g_hash_table_iter_init(&iter, fleet->machines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&machine))
		advance_machine(fleet, machine, now_us);
}
