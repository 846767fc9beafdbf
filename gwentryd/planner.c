#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "planner_impl.h"
#include "roles.h"

/* Interval of fleet_tick(). */
#define TICK_MS 100
/* Interval of load requests, each a call to the owner of every shard. */
#define LOAD_INTERVAL_MS 200
/* Two load intervals; a call without a response by then has no effect here. */
#define CALL_TIMEOUT_MS 400
/* Added to the platform's order_handover_ms. */
#define ORDER_HANDOVER_MARGIN_MS 400

/* Calls to the pools' owners. */

static void
on_drain_response(const Gw__Reply *response, void *arg)
{
	planner_call_t *call = arg;
	planner_t *planner = call->planner;

	if (planner_end_call(planner) &&
	    response->outcome == GW__CALL_OUTCOME__CALL_OK)
		fleet_handle_drain_response(
		    planner->fleet, call->subject, response->drained);
	g_free(call);
}

static void
on_drain(const char *pool, const char *instance, void *arg)
{
	planner_t *planner = arg;
	Gw__Call call = GW__CALL__INIT;

	call.kind = GW__CALL_KIND__CALL_DRAIN;
	call.pool = (char *)pool;
	call.instance = (char *)instance;
	dispatch_call(planner->dispatch, &call, CALL_TIMEOUT_MS,
	    on_drain_response, planner_call_new(planner, instance));
}

static void
on_instance_ended(const char *pool, const char *instance, void *arg)
{
	planner_t *planner = arg;
	Gw__Call call = GW__CALL__INIT;

	call.kind = GW__CALL_KIND__CALL_DRAIN;
	call.pool = (char *)pool;
	call.instance = (char *)instance;
	call.ended = true;
	/* If the call is lost, the registry shows the owner the end. */
	dispatch_call(planner->dispatch, &call, CALL_TIMEOUT_MS,
	    on_drain_response, planner_call_new(planner, ""));
}

static void
on_load_response(const Gw__Reply *response, void *arg)
{
	planner_call_t *call = arg;
	planner_t *planner = call->planner;

	if (planner_end_call(planner) &&
	    response->outcome == GW__CALL_OUTCOME__CALL_OK &&
	    response->load != NULL)
		fleet_set_load(planner->fleet, call->subject, response->load);
	g_free(call);
}

/* The rates of all teams, in the form of a call. */
typedef struct {
	GArray *rates; /* fleet_team_rate_t */
	Gw__TeamRate *rows;
	Gw__TeamRate **list;
} call_rates_t;

static call_rates_t
call_rates_new(const fleet_t *fleet)
{
	call_rates_t rates = {.rates = fleet_team_rates(fleet)};

	rates.rows = g_new(Gw__TeamRate, rates.rates->len + 1);
	rates.list = g_new(Gw__TeamRate *, rates.rates->len + 1);
	for (guint i = 0; i < rates.rates->len; i++) {
		fleet_team_rate_t *from =
		    &g_array_index(rates.rates, fleet_team_rate_t, i);

		gw__team_rate__init(&rates.rows[i]);
		rates.rows[i].team = from->team;
		rates.rows[i].jobs_per_1000s = from->jobs_per_1000s;
		rates.list[i] = &rates.rows[i];
	}
	return rates;
}

static void
call_rates_clear(call_rates_t *rates)
{
	g_array_free(rates->rates, TRUE);
	g_free(rates->rows);
	g_free(rates->list);
}

static void
request_loads(planner_t *planner)
{
	call_rates_t rates = call_rates_new(planner->fleet);
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, planner->pools);
	while (g_hash_table_iter_next(&iter, &pool, NULL)) {
		Gw__Call call = GW__CALL__INIT;

		call.kind = GW__CALL_KIND__CALL_LOAD;
		call.pool = pool;
		call.coming = fleet_count_incoming(planner->fleet, pool);
		call.standby = fleet_count_standby(planner->fleet, pool);
		call.n_team_rates = rates.rates->len;
		call.team_rates = rates.list;
		dispatch_call(planner->dispatch, &call, CALL_TIMEOUT_MS,
		    on_load_response, planner_call_new(planner, pool));
	}
	call_rates_clear(&rates);
}

/*
 * Queues an order to be recorded and sent, in place of an earlier one to the
 * machine.
 */
static void
add_order(planner_t *planner, const order_t *order)
{
	for (guint i = planner->pending_orders->len; i-- > 0;)
		if (strcmp(g_array_index(planner->pending_orders, order_t, i)
			       .machine,
			order->machine) == 0)
			g_array_remove_index(planner->pending_orders, i);
	g_array_append_vals(planner->pending_orders, order, 1);
	planner_flush(planner);
}

static void
on_maintain(const char *machine, uint64_t wave, void *arg)
{
	planner_t *planner = arg;
	order_t order = {.wave = wave};

	g_strlcpy(order.machine, machine, sizeof(order.machine));
	add_order(planner, &order);
}

static void
on_move(const char *machine, const char *pool, void *arg)
{
	planner_t *planner = arg;
	order_t order = {0};
	char name[SCHED_NAME_BYTES];

	(void)shard_parse_name(pool, name);
	g_strlcpy(order.machine, machine, sizeof(order.machine));
	g_strlcpy(order.pool, name, sizeof(order.pool));
	add_order(planner, &order);
}

static void
on_wave_state_changed(uint64_t number, bool completed, void *arg)
{
	planner_t *planner = arg;
	wave_record_t *record = planner_wave_record(planner, number);

	record->has_state = true;
	record->completed = completed;
	record->dirty = true;
	planner_flush(planner);
}

static void
on_wave_machine_done(uint64_t number, const char *machine, void *arg)
{
	planner_t *planner = arg;
	wave_record_t *record = planner_wave_record(planner, number);

	g_ptr_array_add(record->done, g_strdup(machine));
	record->dirty = true;
	/* Written at once: the next planner must not repeat the order. */
	planner_flush(planner);
}

static const fleet_ops_t fleet_ops = {.drain = on_drain,
    .instance_ended = on_instance_ended,
    .maintain = on_maintain,
    .move = on_move,
    .wave_state_changed = on_wave_state_changed,
    .wave_machine_done = on_wave_machine_done};

static void
on_tick(gw_timer_t *timer, void *arg)
{
	planner_t *planner = arg;
	uint64_t now_us = gw_rt_now_us(planner->rt);

	if (gw_elapsed_us(now_us, planner->loads_requested_us) >=
	    LOAD_INTERVAL_MS * GW_US_PER_MS) {
		planner->loads_requested_us = now_us;
		request_loads(planner);
	}
	if (fleet_needs_list(planner->fleet))
		planner_list_machines(planner);
	fleet_set_orders_available(planner->fleet,
	    !planner->write_failed && !planner->machines_failed);
	if (planner->records_read)
		fleet_tick(planner->fleet);
	gw_timer_start(
	    planner->rt, timer, TICK_MS * GW_US_PER_MS, on_tick, planner);
}

/*
 * Creates a planner and starts it. Orders of a previous planner may still be
 * carried out, so a machine with a recent one gets no order for
 * order_handover_us.
 */
planner_t *
planner_new(gw_rt_t *rt, store_t *store, dispatch_t *dispatch,
    const plat_settings_t *settings, uint64_t fence, uint32_t shard_count,
    const planner_ops_t *ops, void *arg)
{
	const fleet_times_t times = {
	    settings->bounds.move_ms, settings->maintain_ms};
	planner_t *planner = g_new0(planner_t, 1);

	planner->rt = rt;
	planner->store = store;
	planner->dispatch = dispatch;
	g_strlcpy(planner->node, settings->node, sizeof(planner->node));
	roles_key(PLANNER_ROLE, planner->role_key, ROLE_KEY_BYTES);
	planner->fence = fence;
	planner->shard_count = shard_count;
	planner->order_handover_us =
	    (settings->order_handover_ms + ORDER_HANDOVER_MARGIN_MS) *
	    GW_US_PER_MS;
	planner->recent_orders =
	    g_array_new(FALSE, FALSE, sizeof(recorded_order_t));
	planner->ops = ops;
	planner->arg = arg;
	planner->fleet = fleet_new(
	    gw_rt_clock(rt), &fleet_lending_rate, &times, &fleet_ops, planner);
	if (settings->has_machines)
		planner->machines_api = gw_httpc_new(rt, &settings->machines);
	planner->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	planner->wave_records = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, planner_wave_record_free);
	planner->pending_orders = g_array_new(FALSE, FALSE, sizeof(order_t));
	planner->orders_in_write = g_array_new(FALSE, FALSE, sizeof(order_t));
	planner->queued_waves =
	    g_ptr_array_new_with_free_func((GDestroyNotify)plat_wave_free);
	planner_read_records(planner);
	on_tick(&planner->tick, planner);
	return planner;
}

/*
 * Stops the planner. It is freed after the last call in flight; the responses
 * are ignored.
 */
void
planner_free(planner_t *planner)
{
	if (planner == NULL)
		return;
	planner->released = true;
	gw_timer_stop(&planner->tick);
	gw_timer_stop(&planner->retry);
	if (planner->calls_in_flight == 0)
		planner_destroy(planner);
}

/*
 * Adds each shard of the configured pools to the fleet. The shards with the
 * same number form a group, within which machines move.
 */
void
planner_set_config(planner_t *planner, const sched_config_t *config)
{
	g_hash_table_remove_all(planner->pools);
	for (guint i = 0; i < config->pools->len; i++) {
		const sched_pool_config_t *pool =
		    &g_array_index(config->pools, sched_pool_config_t, i);

		for (uint32_t shard = 0; shard < planner->shard_count;
		     shard++) {
			char name[SCHED_NAME_BYTES];

			shard_format_name(
			    pool->name, shard, planner->shard_count, name);
			fleet_set_pool(
			    planner->fleet, name, shard, pool->standby);
			if (!pool->standby)
				g_hash_table_add(
				    planner->pools, g_strdup(name));
		}
	}
}

/*
 * Starts a wave that the operators requested, or queues it until the records
 * have been read.
 */
void
planner_add_wave(planner_t *planner, const plat_wave_t *wave)
{
	if (planner->records_read)
		planner_start_wave(planner, wave);
	else
		g_ptr_array_add(planner->queued_waves, plat_wave_copy(wave));
}

/*
 * Passes the registry's entry on to the fleet, under the name of its shard.
 */
void
planner_instance_up(planner_t *planner, const sched_instance_info_t *info)
{
	sched_instance_info_t copy = *info;

	planner_shard_of_machine(planner, info->pool, info->machine, copy.pool);
	fleet_instance_up(planner->fleet, &copy);
}

/*
 * Passes the removal of a registry entry on to the fleet.
 */
void
planner_instance_removed(planner_t *planner, const char *id)
{
	fleet_instance_removed(planner->fleet, id);
}
