#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "planner_impl.h"
#include "roles.h"

/* The fleet decides at this pace. */
#define TICK_MS 100
/* Loads are asked for at this pace: each round costs a call to each owner. */
#define LOAD_EVERY_MS 200
/* An owner that does not answer within two rounds is left out of this one. */
#define CALL_TIMEOUT_MS 400
/* Beyond the bound between two holders' orders to one machine. */
#define TURN_MARGIN_MS 400

/* Calls to the pools' owners. */

static void
on_drain_reply(const Gw__Reply *reply, void *arg)
{
	asked_t *asked = arg;
	planner_t *planner = asked->planner;

	if (planner_call_ended(planner) &&
	    reply->outcome == GW__CALL_OUTCOME__CALL_OK)
		fleet_drained(planner->fleet, asked->machine, reply->drained);
	g_free(asked);
}

static void
on_drain(const char *pool, const char *instance, void *arg)
{
	planner_t *planner = arg;
	Gw__Call call = GW__CALL__INIT;

	call.kind = GW__CALL_KIND__CALL_DRAIN;
	call.pool = (char *)pool;
	call.instance = (char *)instance;
	dispatch_call(planner->dispatch, &call, CALL_TIMEOUT_MS, on_drain_reply,
	    planner_asked_new(planner, instance));
}

static void
on_ended(const char *pool, const char *instance, void *arg)
{
	planner_t *planner = arg;
	Gw__Call call = GW__CALL__INIT;

	call.kind = GW__CALL_KIND__CALL_DRAIN;
	call.pool = (char *)pool;
	call.instance = (char *)instance;
	call.ended = true;
	/* A call that is lost is made up for by the registry. */
	dispatch_call(planner->dispatch, &call, CALL_TIMEOUT_MS, on_drain_reply,
	    planner_asked_new(planner, ""));
}

static void
on_load_reply(const Gw__Reply *reply, void *arg)
{
	asked_t *asked = arg;
	planner_t *planner = asked->planner;

	if (planner_call_ended(planner) &&
	    reply->outcome == GW__CALL_OUTCOME__CALL_OK && reply->load != NULL)
		fleet_set_load(planner->fleet, asked->machine, reply->load);
	g_free(asked);
}

static void
ask_loads(planner_t *planner)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, planner->pools);
	while (g_hash_table_iter_next(&iter, &pool, NULL)) {
		Gw__Call call = GW__CALL__INIT;

		call.kind = GW__CALL_KIND__CALL_LOAD;
		call.pool = pool;
		call.coming = fleet_coming(planner->fleet, pool);
		call.standby = fleet_on_standby(planner->fleet, pool);
		dispatch_call(planner->dispatch, &call, CALL_TIMEOUT_MS,
		    on_load_reply, planner_asked_new(planner, pool));
	}
}

static void
on_maintain(const char *machine, uint64_t wave, void *arg)
{
	planner_t *planner = arg;
	order_t order = {.wave = wave};

	g_strlcpy(order.machine, machine, sizeof(order.machine));
	g_array_append_val(planner->orders, order);
	planner_flush(planner);
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
	g_array_append_val(planner->orders, order);
	planner_flush(planner);
}

static void
on_wave_state(uint64_t number, bool completed, void *arg)
{
	planner_t *planner = arg;
	wave_record_t *record = planner_wave_record(planner, number);

	record->has_state = true;
	record->completed = completed;
	record->dirty = true;
	planner_flush(planner);
}

static void
on_wave_machine(uint64_t number, const char *machine, void *arg)
{
	planner_t *planner = arg;
	wave_record_t *record = planner_wave_record(planner, number);

	g_ptr_array_add(record->done, g_strdup(machine));
	record->dirty = true;
	/* At once: the next planner would order the machine again. */
	planner_flush(planner);
}

static const fleet_ops_t fleet_ops = {.drain = on_drain,
    .ended = on_ended,
    .maintain = on_maintain,
    .move = on_move,
    .wave_state = on_wave_state,
    .wave_machine = on_wave_machine};

static void
on_tick(gw_timer_t *timer, void *arg)
{
	planner_t *planner = arg;
	uint64_t now_us = gw_rt_now_us(planner->rt);

	if (gw_elapsed_us(now_us, planner->load_us) >=
	    LOAD_EVERY_MS * GW_US_PER_MS) {
		planner->load_us = now_us;
		ask_loads(planner);
	}
	if (fleet_wants_list(planner->fleet))
		planner_list_machines(planner);
	if (planner->records_read)
		fleet_tick(planner->fleet);
	gw_timer_start(
	    planner->rt, timer, TICK_MS * GW_US_PER_MS, on_tick, planner);
}

/*
 * Begins to plan. A former planner's orders may still be under way: machines
 * that it ordered of late are left alone for the platform's bound between two
 * holders.
 */
planner_t *
planner_new(gw_rt_t *rt, store_t *store, dispatch_t *dispatch,
    const plat_settings_t *settings, uint64_t fence, uint32_t parts,
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
	planner->parts = parts;
	planner->turn_us =
	    (settings->order_turn_ms + TURN_MARGIN_MS) * GW_US_PER_MS;
	planner->recent = g_array_new(FALSE, FALSE, sizeof(recent_t));
	planner->ops = ops;
	planner->arg = arg;
	planner->fleet = fleet_new(
	    gw_rt_clock(rt), &fleet_lending_rate, &times, &fleet_ops, planner);
	if (settings->has_machines)
		planner->machines = gw_httpc_new(rt, &settings->machines);
	planner->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	planner->waves = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, planner_wave_record_free);
	planner->orders = g_array_new(FALSE, FALSE, sizeof(order_t));
	planner->recording = g_array_new(FALSE, FALSE, sizeof(order_t));
	planner->wave_queue =
	    g_ptr_array_new_with_free_func((GDestroyNotify)plat_wave_free);
	planner_read_records(planner);
	on_tick(&planner->tick, planner);
	return planner;
}

/*
 * Gives the role up; calls under way end without effect here.
 */
void
planner_free(planner_t *planner)
{
	if (planner == NULL)
		return;
	planner->dead = true;
	gw_timer_stop(&planner->tick);
	gw_timer_stop(&planner->retry);
	if (planner->refs == 0)
		planner_destroy(planner);
}

/*
 * Takes the pools of the configuration, each in its parts.
 */
void
planner_set_config(planner_t *planner, const sched_config_t *config)
{
	g_hash_table_remove_all(planner->pools);
	for (guint i = 0; i < config->pools->len; i++) {
		const sched_pool_config_t *pool =
		    &g_array_index(config->pools, sched_pool_config_t, i);

		for (uint32_t part = 0; part < planner->parts; part++) {
			char name[SCHED_NAME_BYTES];

			shard_format_name(
			    pool->name, part, planner->parts, name);
			fleet_set_pool(
			    planner->fleet, name, part, pool->standby);
			if (!pool->standby)
				g_hash_table_add(
				    planner->pools, g_strdup(name));
		}
	}
}

/*
 * Takes a wave that the operators asked for.
 */
void
planner_set_wave(planner_t *planner, const plat_wave_t *wave)
{
	if (planner->records_read)
		planner_plan_wave(planner, wave);
	else
		g_ptr_array_add(planner->wave_queue, plat_wave_copy(wave));
}

/*
 * Passes the registry's entry on to the fleet, under the name of its part.
 */
void
planner_instance_up(planner_t *planner, const sched_instance_info_t *info)
{
	sched_instance_info_t copy = *info;

	planner_part_of_machine(planner, info->pool, info->machine, copy.pool);
	fleet_instance_up(planner->fleet, &copy);
}

/*
 * Passes the removal of an entry on to the fleet.
 */
void
planner_instance_gone(planner_t *planner, const char *id)
{
	fleet_instance_gone(planner->fleet, id);
}
