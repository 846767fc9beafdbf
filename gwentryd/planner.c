#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "planner.h"
#include "platform/machines.h"
#include "roles.h"
#include "sched/fleet.h"
#include "sched/parts.h"

#define TICK_MS 100
#define LOAD_EVERY_MS 200
#define CALL_TIMEOUT_MS 400
#define ORDER_TIMEOUT_MS 1200
#define LIST_TIMEOUT_MS 1500
#define RETRY_MS 100
/* Beyond the bound between two holders' orders to one machine. */
#define TURN_MARGIN_MS 400
#define KEY_BYTES 200
#define RECORD_PREFIX "gw/planner/"
#define WAVE_RECORD_PREFIX RECORD_PREFIX "wave/"
#define ORDERS_KEY RECORD_PREFIX "orders"
#define DONE_WORD "done"

/* An order that waits for its record. */
typedef struct {
	char machine[SCHED_NAME_BYTES];
	char pool[SCHED_NAME_BYTES]; /* empty: maintenance */
	uint64_t wave;
} order_t;

/* An order that was recorded, and when. */
typedef struct {
	order_t order;
	uint64_t recorded_us;
} recent_t;

/* What is recorded of a wave. */
typedef struct {
	uint64_t number;
	GPtrArray *done; /* char * */
	bool has_state;
	bool completed;
	bool dirty;
} wave_record_t;

struct planner {
	gw_rt_t *rt;
	store_t *store;
	dispatch_t *dispatch;
	char node[SCHED_NAME_BYTES];
	char role_key[KEY_BYTES];
	uint64_t fence;
	uint32_t parts;	  /* in which each pool is owned */
	uint64_t turn_us; /* between two planners' orders to a machine */
	GArray *recent;	  /* recent_t, no older than turn_us */
	const planner_ops_t *ops;
	void *arg;
	fleet_t *fleet;
	gw_httpc_t *machines;  /* NULL: the platform moves none */
	GHashTable *pools;     /* name -> NULL, not on standby */
	GHashTable *waves;     /* number -> wave_record_t */
	GArray *orders;	       /* order_t, not yet recorded */
	GArray *recording;     /* order_t, in the write under way */
	GPtrArray *wave_queue; /* plat_wave_t, until the records are read */
	char *page;
	gw_timer_t tick;
	gw_timer_t retry;
	uint64_t load_us;
	uint32_t refs; /* calls under way */
	bool records_read;
	bool listing;
	bool writing;
	bool dead;
};

/* A call, and the machine, instance or part that it is about. */
typedef struct {
	planner_t *planner;
	char machine[PARTS_NAME_BYTES];
} asked_t;

static void flush(planner_t *);

static void
wave_record_free(gpointer data)
{
	wave_record_t *record = data;

	g_ptr_array_free(record->done, TRUE);
	g_free(record);
}

static void
planner_destroy(planner_t *planner)
{
	fleet_free(planner->fleet);
	gw_httpc_free(planner->machines);
	g_hash_table_destroy(planner->pools);
	g_hash_table_destroy(planner->waves);
	g_array_free(planner->recent, TRUE);
	g_array_free(planner->orders, TRUE);
	g_array_free(planner->recording, TRUE);
	g_ptr_array_free(planner->wave_queue, TRUE);
	g_free(planner->page);
	g_free(planner);
}

/*
 * Ends a call; false when the planner was given up meanwhile.
 */
static bool
call_ended(planner_t *planner)
{
	planner->refs--;
	if (!planner->dead)
		return true;
	if (planner->refs == 0)
		planner_destroy(planner);
	return false;
}

static asked_t *
asked_new(planner_t *planner, const char *machine)
{
	asked_t *asked = g_new0(asked_t, 1);

	asked->planner = planner;
	g_strlcpy(asked->machine, machine, sizeof(asked->machine));
	planner->refs++;
	return asked;
}

/* Calls to the pools' owners. */

static void
on_drain_reply(const Gw__Reply *reply, void *arg)
{
	asked_t *asked = arg;
	planner_t *planner = asked->planner;

	if (call_ended(planner) && reply->outcome == GW__CALL_OUTCOME__CALL_OK)
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
	    asked_new(planner, instance));
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
	/* The reply tells nothing more; a lost call is made up for by the
	 * registry. */
	dispatch_call(planner->dispatch, &call, CALL_TIMEOUT_MS, on_drain_reply,
	    asked_new(planner, ""));
}

static void
on_load_reply(const Gw__Reply *reply, void *arg)
{
	asked_t *asked = arg;
	planner_t *planner = asked->planner;

	if (call_ended(planner) &&
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
		dispatch_call(planner->dispatch, &call, CALL_TIMEOUT_MS,
		    on_load_reply, asked_new(planner, pool));
	}
}

/* The platform's machines. */

/*
 * Names the part of the pool to which the machine belongs. The fleet knows the
 * parts as pools of their own.
 */
static void
part_of_machine(const planner_t *planner, const char *pool, const char *machine,
    char out[SCHED_NAME_BYTES])
{
	char name[PARTS_NAME_BYTES];

	parts_name(
	    pool, parts_of(machine, planner->parts), planner->parts, name);
	g_strlcpy(out, name, SCHED_NAME_BYTES);
}

static void list_page(planner_t *);

static void
take_page(planner_t *planner, const gw_http_response_t *response)
{
	GArray *machines = g_array_new(FALSE, FALSE, sizeof(plat_machine_t));
	gw_err_t err;

	g_clear_pointer(&planner->page, g_free);
	if (plat_machines_decode(machines, &planner->page, response, &err) !=
	    0) {
		gw_log(GW_EV_DEPENDENCY_LOST,
		    "dependency=machines step=\"%s\" text=\"%s\"", err.step,
		    err.text);
		g_array_free(machines, TRUE);
		planner->listing = false;
		return;
	}
	for (guint i = 0; i < machines->len; i++) {
		const plat_machine_t *from =
		    &g_array_index(machines, plat_machine_t, i);
		fleet_machine_t machine = {
		    .cpu_millis = from->capacity.cpu_millis,
		    .up = from->state == PLAT_MACHINE_UP};

		g_strlcpy(machine.name, from->name, sizeof(machine.name));
		part_of_machine(planner, from->pool, from->name, machine.pool);
		g_strlcpy(
		    machine.instance, from->instance, sizeof(machine.instance));
		fleet_list_machine(planner->fleet, &machine);
	}
	g_array_free(machines, TRUE);
	if (planner->page != NULL) {
		list_page(planner);
		return;
	}
	planner->listing = false;
	fleet_end_list(planner->fleet);
}

static void
on_page(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	planner_t *planner = arg;

	if (!call_ended(planner))
		return;
	if (response != NULL) {
		take_page(planner, response);
		return;
	}
	gw_log(GW_EV_DEPENDENCY_LOST,
	    "dependency=machines step=\"%s\" text=\"%s\"", err->step,
	    err->text);
	planner->listing = false;
}

static void
list_page(planner_t *planner)
{
	g_autofree char *path = plat_machines_path(planner->page);

	planner->refs++;
	(void)gw_httpc_call(planner->machines, "GET", path, NULL,
	    LIST_TIMEOUT_MS, on_page, planner);
}

static void
list_machines(planner_t *planner)
{
	if (planner->listing || planner->machines == NULL)
		return;
	planner->listing = true;
	g_clear_pointer(&planner->page, g_free);
	fleet_begin_list(planner->fleet);
	list_page(planner);
}

/* Orders. */

static wave_record_t *
wave_record(planner_t *planner, uint64_t number)
{
	wave_record_t *record = g_hash_table_lookup(planner->waves, &number);

	if (record != NULL)
		return record;
	record = g_new0(wave_record_t, 1);
	record->number = number;
	record->done = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(planner->waves, &record->number, record);
	return record;
}

static fleet_answer_t
translate(plat_machine_answer_t answer)
{
	switch (answer) {
	case PLAT_MACHINE_OK:
		return FLEET_ORDER_OK;
	case PLAT_MACHINE_NOT_OF_WAVE:
	case PLAT_MACHINE_INVALID:
		return FLEET_ORDER_REJECTED;
	case PLAT_MACHINE_NO_ANSWER:
		return FLEET_ORDER_NO_ANSWER;
	default:
		return FLEET_ORDER_BUSY;
	}
}

static void
on_ordered(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	asked_t *asked = arg;
	planner_t *planner = asked->planner;
	fleet_answer_t answer = FLEET_ORDER_NO_ANSWER;

	if (response != NULL)
		answer = translate(plat_machine_answer(response));
	gw_log(GW_EV_MACHINE_ORDER, "machine=%s status=%d err=%s",
	    asked->machine, response == NULL ? 0 : response->status,
	    err == NULL ? "none" : gw_errc_name(err->code));
	if (call_ended(planner))
		fleet_ordered(planner->fleet, asked->machine, answer);
	g_free(asked);
}

static void
send_order(planner_t *planner, const order_t *order)
{
	g_autofree char *headers =
	    plat_machine_headers(planner->node, planner->fence);
	bool is_move = order->pool[0] != '\0';
	g_autofree char *body = is_move
	    ? plat_move_body(order->machine, order->pool)
	    : plat_maintain_body(order->machine, order->wave);

	(void)gw_httpc_call_with(planner->machines, "POST",
	    is_move ? PLAT_MOVE_PATH : PLAT_MAINTAIN_PATH, headers, body,
	    ORDER_TIMEOUT_MS, on_ordered, asked_new(planner, order->machine));
}

static void
on_maintain(const char *machine, uint64_t wave, void *arg)
{
	planner_t *planner = arg;
	order_t order = {.wave = wave};

	g_strlcpy(order.machine, machine, sizeof(order.machine));
	g_array_append_val(planner->orders, order);
	flush(planner);
}

static void
on_move(const char *machine, const char *pool, void *arg)
{
	planner_t *planner = arg;
	order_t order = {0};
	char name[PARTS_NAME_BYTES];

	(void)parts_split(pool, name);
	g_strlcpy(order.machine, machine, sizeof(order.machine));
	g_strlcpy(order.pool, name, sizeof(order.pool));
	g_array_append_val(planner->orders, order);
	flush(planner);
}

static void
on_wave_state(uint64_t number, bool completed, void *arg)
{
	planner_t *planner = arg;
	wave_record_t *record = wave_record(planner, number);

	record->has_state = true;
	record->completed = completed;
	record->dirty = true;
	flush(planner);
}

static void
on_wave_machine(uint64_t number, const char *machine, void *arg)
{
	planner_t *planner = arg;
	wave_record_t *record = wave_record(planner, number);

	g_ptr_array_add(record->done, g_strdup(machine));
	record->dirty = true;
}

static const fleet_ops_t fleet_ops = {.drain = on_drain,
    .ended = on_ended,
    .maintain = on_maintain,
    .move = on_move,
    .wave_state = on_wave_state,
    .wave_machine = on_wave_machine};

/* Records. */

static void
on_retry(gw_timer_t *timer, void *arg)
{
	(void)timer;
	flush(arg);
}

static void
on_written(uint64_t revision, const store_page_t *current, const gw_err_t *err,
    void *arg)
{
	planner_t *planner = arg;

	(void)revision;
	(void)current;
	planner->writing = false;
	if (!call_ended(planner))
		return;
	if (err != NULL && err->code == GW_ERR_CONFLICT) {
		planner->ops->on_deposed(
		    PLANNER_ROLE, "role-key-changed", planner->arg);
		return;
	}
	if (err != NULL) {
		gw_log(GW_EV_COMMIT_FAILED, "pool=%s err=%s text=\"%s\"",
		    PLANNER_ROLE, gw_errc_name(err->code), err->text);
		g_array_prepend_vals(planner->orders, planner->recording->data,
		    planner->recording->len);
		g_array_set_size(planner->recording, 0);
		gw_timer_start(planner->rt, &planner->retry,
		    RETRY_MS * GW_US_PER_MS, on_retry, planner);
		return;
	}
	for (guint i = 0; i < planner->recording->len; i++)
		send_order(
		    planner, &g_array_index(planner->recording, order_t, i));
	g_array_set_size(planner->recording, 0);
	flush(planner);
}

/* Keys and values of one write. */
typedef struct {
	GPtrArray *texts; /* freed with the write */
	GArray *writes;	  /* store_write_t */
} changes_t;

static void
add_change(changes_t *changes, char *key, char *value)
{
	store_write_t write = {
	    .key = key, .value = value, .size_bytes = strlen(value)};

	g_ptr_array_add(changes->texts, key);
	g_ptr_array_add(changes->texts, value);
	g_array_append_val(changes->writes, write);
}

static void
add_wave(changes_t *changes, wave_record_t *record)
{
	GString *value = g_string_new(NULL);

	for (guint i = 0; i < record->done->len; i++)
		g_string_append_printf(value, "%s %s\n", DONE_WORD,
		    (const char *)record->done->pdata[i]);
	add_change(changes,
	    g_strdup_printf(WAVE_RECORD_PREFIX "%" PRIu64, record->number),
	    g_string_free(value, FALSE));
	if (record->has_state)
		add_change(changes,
		    g_strdup_printf(
			PLAT_WAVE_STATUS_PREFIX "%" PRIu64, record->number),
		    g_strdup(plat_wave_status(record->completed)));
	record->dirty = false;
}

/*
 * Adds the record of the orders of late, these included: another planner keeps
 * away from their machines for a while.
 */
static void
add_orders(planner_t *planner, changes_t *changes, uint64_t now_us)
{
	GString *value = g_string_new(NULL);

	for (guint i = planner->recent->len; i-- > 0;)
		if (gw_elapsed_us(now_us,
			g_array_index(planner->recent, recent_t, i)
			    .recorded_us) > planner->turn_us)
			g_array_remove_index_fast(planner->recent, i);
	for (guint i = 0; i < planner->orders->len; i++) {
		recent_t recent = {
		    g_array_index(planner->orders, order_t, i), now_us};

		g_array_append_val(planner->recent, recent);
	}
	for (guint i = 0; i < planner->recent->len; i++) {
		const order_t *order =
		    &g_array_index(planner->recent, recent_t, i).order;

		g_string_append_printf(
		    value, "%s %" PRIu64 "\n", order->machine, order->wave);
	}
	add_change(changes, g_strdup(ORDERS_KEY), g_string_free(value, FALSE));
}

/*
 * Writes what is to be recorded, then sends the orders of that write.
 */
static void
flush(planner_t *planner)
{
	changes_t changes = {g_ptr_array_new_with_free_func(g_free),
	    g_array_new(FALSE, FALSE, sizeof(store_write_t))};
	store_guard_t guard = {planner->role_key, planner->fence};
	store_txn_t txn = {.guards = &guard, .guard_count = 1};
	uint64_t now_us = gw_rt_now_us(planner->rt);
	wave_record_t *record;
	GHashTableIter iter;

	if (planner->writing || planner->dead)
		goto out;
	g_hash_table_iter_init(&iter, planner->waves);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record))
		if (record->dirty &&
		    changes.writes->len + 3 < STORE_TXN_ENTRIES_MAX)
			add_wave(&changes, record);
	if (planner->orders->len > 0) {
		add_orders(planner, &changes, now_us);
		g_array_append_vals(planner->recording, planner->orders->data,
		    planner->orders->len);
		g_array_set_size(planner->orders, 0);
	}
	if (changes.writes->len == 0)
		goto out;
	txn.writes = (const store_write_t *)(void *)changes.writes->data;
	txn.write_count = changes.writes->len;
	planner->writing = true;
	planner->refs++;
	store_txn(planner->store, &txn, on_written, planner);
out:
	g_array_free(changes.writes, TRUE);
	g_ptr_array_free(changes.texts, TRUE);
}

static void
take_record(planner_t *planner, const store_item_t *item)
{
	uint64_t number =
	    g_ascii_strtoull(item->key + strlen(WAVE_RECORD_PREFIX), NULL, 10);
	g_auto(GStrv) lines = g_strsplit(item->value, "\n", -1);
	wave_record_t *record = wave_record(planner, number);

	for (char **line = lines; *line != NULL; line++)
		if (g_str_has_prefix(*line, DONE_WORD " "))
			g_ptr_array_add(record->done,
			    g_strdup(*line + strlen(DONE_WORD " ")));
}

/*
 * Takes the former planner's orders of late.
 */
static void
take_orders(planner_t *planner, const store_item_t *item)
{
	g_auto(GStrv) lines = g_strsplit(item->value, "\n", -1);

	for (char **line = lines; *line != NULL; line++) {
		g_auto(GStrv) words = g_strsplit(*line, " ", 2);

		if (g_strv_length(words) == 2)
			fleet_ordered_before(planner->fleet, words[0],
			    g_ascii_strtoull(words[1], NULL, 10),
			    planner->turn_us / GW_US_PER_MS);
	}
}

static void
plan_wave(planner_t *planner, const plat_wave_t *wave)
{
	wave_record_t *record = wave_record(planner, wave->number);

	fleet_set_wave(planner->fleet, wave->number, wave->machines,
	    wave->duration_ms, wave->at_once_max);
	for (guint i = 0; i < record->done->len; i++)
		fleet_wave_known_done(
		    planner->fleet, wave->number, record->done->pdata[i]);
}

static void read_records(planner_t *);

static void
on_read_retry(gw_timer_t *timer, void *arg)
{
	(void)timer;
	read_records(arg);
}

static void
on_records(const store_page_t *page, const gw_err_t *err, void *arg)
{
	planner_t *planner = arg;

	if (!call_ended(planner))
		return;
	if (err != NULL) {
		gw_timer_start(planner->rt, &planner->retry,
		    RETRY_MS * GW_US_PER_MS, on_read_retry, planner);
		return;
	}
	for (guint i = 0; i < page->items->len; i++) {
		const store_item_t *item = page->items->pdata[i];

		if (strcmp(item->key, ORDERS_KEY) == 0)
			take_orders(planner, item);
		else if (g_str_has_prefix(item->key, WAVE_RECORD_PREFIX))
			take_record(planner, item);
	}
	planner->records_read = true;
	for (guint i = 0; i < planner->wave_queue->len; i++)
		plan_wave(planner, planner->wave_queue->pdata[i]);
	g_ptr_array_set_size(planner->wave_queue, 0);
}

static void
read_records(planner_t *planner)
{
	planner->refs++;
	store_range(planner->store, RECORD_PREFIX, NULL, on_records, planner);
}

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
		list_machines(planner);
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
	const fleet_times_t times = {settings->move_ms, settings->maintain_ms};
	planner_t *planner = g_new0(planner_t, 1);

	planner->rt = rt;
	planner->store = store;
	planner->dispatch = dispatch;
	g_strlcpy(planner->node, settings->node, sizeof(planner->node));
	roles_key(PLANNER_ROLE, planner->role_key, KEY_BYTES);
	planner->fence = fence;
	planner->parts = parts;
	planner->turn_us =
	    (settings->order_turn_ms + TURN_MARGIN_MS) * GW_US_PER_MS;
	planner->recent = g_array_new(FALSE, FALSE, sizeof(recent_t));
	planner->ops = ops;
	planner->arg = arg;
	planner->fleet = fleet_new(gw_rt_clock(rt), &fleet_lending_demand,
	    &times, &fleet_ops, planner);
	if (settings->has_machines)
		planner->machines = gw_httpc_new(rt, &settings->machines);
	planner->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	planner->waves = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, wave_record_free);
	planner->orders = g_array_new(FALSE, FALSE, sizeof(order_t));
	planner->recording = g_array_new(FALSE, FALSE, sizeof(order_t));
	planner->wave_queue =
	    g_ptr_array_new_with_free_func((GDestroyNotify)plat_wave_free);
	read_records(planner);
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

void
planner_set_config(planner_t *planner, const sched_config_t *config)
{
	g_hash_table_remove_all(planner->pools);
	for (guint i = 0; i < config->pools->len; i++) {
		const sched_pool_config_t *pool =
		    &g_array_index(config->pools, sched_pool_config_t, i);

		for (uint32_t part = 0; part < planner->parts; part++) {
			char name[PARTS_NAME_BYTES];

			parts_name(pool->name, part, planner->parts, name);
			fleet_set_pool(
			    planner->fleet, name, part, pool->standby);
			if (!pool->standby)
				g_hash_table_add(
				    planner->pools, g_strdup(name));
		}
	}
}

void
planner_set_wave(planner_t *planner, const plat_wave_t *wave)
{
	if (planner->records_read)
		plan_wave(planner, wave);
	else
		g_ptr_array_add(planner->wave_queue, plat_wave_copy(wave));
}

void
planner_instance_up(planner_t *planner, const sched_info_t *info)
{
	sched_info_t copy = *info;

	part_of_machine(planner, info->pool, info->machine, copy.pool);
	fleet_instance_up(planner->fleet, &copy);
}

void
planner_instance_gone(planner_t *planner, const char *id)
{
	fleet_instance_gone(planner->fleet, id);
}
