#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "planner_impl.h"

/* Delay before a failed read or write of the records is retried. */
#define RETRY_DELAY_MS 100
/*
 * Most time from the write of an order's record until the order is sent. The
 * next planner adds it to order_handover_us.
 */
#define ORDER_DELAY_MAX_MS 2000
/* Keys of the records, and the words that begin a line of a wave record. */
#define RECORD_PREFIX "gw/planner/"
#define WAVE_RECORD_PREFIX RECORD_PREFIX "wave/"
#define ORDERS_KEY RECORD_PREFIX "orders"
#define DONE_KEYWORD "done"
#define END_KEYWORD "end"

/*
 * Frees the record of a wave.
 */
void
planner_wave_record_free(gpointer data)
{
	wave_record_t *record = data;

	g_ptr_array_free(record->done, TRUE);
	g_free(record);
}

/*
 * Returns the record of a wave; creates an empty one if there is none.
 */
wave_record_t *
planner_wave_record(planner_t *planner, uint64_t number)
{
	wave_record_t *record =
	    g_hash_table_lookup(planner->wave_records, &number);

	if (record != NULL)
		return record;
	record = g_new0(wave_record_t, 1);
	record->number = number;
	record->done = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(planner->wave_records, &record->number, record);
	return record;
}

static void
on_retry(gw_timer_t *timer, void *arg)
{
	(void)timer;
	planner_flush(arg);
}

/*
 * Ends a write for the wave records in it, which become dirty again if the
 * write failed.
 */
static void
finish_wave_writes(planner_t *planner, bool written)
{
	GHashTableIter iter;
	wave_record_t *record;

	g_hash_table_iter_init(&iter, planner->wave_records);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record)) {
		record->dirty |= record->being_written && !written;
		record->being_written = false;
	}
}

/*
 * Queues the orders of the last write for the next one.
 */
static void
requeue_orders(planner_t *planner)
{
	g_array_prepend_vals(planner->pending_orders,
	    planner->orders_in_write->data, planner->orders_in_write->len);
	g_array_set_size(planner->orders_in_write, 0);
}

/*
 * Sends the orders that were recorded, or queues them for the next write if the
 * write failed or took too long. A conflict means that another process has the
 * role.
 */
static void
on_written(uint64_t revision, const store_page_t *current, const gw_err_t *err,
    void *arg)
{
	planner_t *planner = arg;

	(void)revision;
	(void)current;
	planner->writing = false;
	if (!planner_end_call(planner))
		return;
	if (err != NULL && err->code == GW_ERR_CONFLICT) {
		planner->ops->on_ownership_lost(
		    PLANNER_ROLE, "role-key-changed", planner->arg);
		return;
	}
	planner->write_failed = err != NULL;
	finish_wave_writes(planner, err == NULL);
	if (err != NULL) {
		gw_log(GW_EV_COMMIT_FAILED, "pool=%s err=%s text=\"%s\"",
		    PLANNER_ROLE, gw_errc_name(err->code), err->text);
		requeue_orders(planner);
		gw_timer_start(planner->rt, &planner->retry,
		    RETRY_DELAY_MS * GW_US_PER_MS, on_retry, planner);
		return;
	}
	/* The process may have been suspended and replaced meanwhile. */
	if (gw_elapsed_us(gw_rt_now_us(planner->rt), planner->write_sent_us) >
	    ORDER_DELAY_MAX_MS * GW_US_PER_MS)
		requeue_orders(planner);
	for (guint i = 0; i < planner->orders_in_write->len; i++) {
		const order_t *order =
		    &g_array_index(planner->orders_in_write, order_t, i);

		if (fleet_may_send_order(planner->fleet, order->machine))
			planner_send_order(planner, order);
	}
	g_array_set_size(planner->orders_in_write, 0);
	planner_flush(planner);
}

/* Keys and values of one write. */
typedef struct {
	GPtrArray *texts; /* the keys and values, freed together */
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

	if (record->end_wall_ms != 0)
		g_string_append_printf(
		    value, END_KEYWORD " %" PRIu64 "\n", record->end_wall_ms);
	for (guint i = 0; i < record->done->len; i++)
		g_string_append_printf(value, "%s %s\n", DONE_KEYWORD,
		    (const char *)record->done->pdata[i]);
	add_change(changes,
	    g_strdup_printf(WAVE_RECORD_PREFIX "%" PRIu64, record->number),
	    g_string_free(value, FALSE));
	if (record->has_state)
		add_change(changes,
		    g_strdup_printf(
			PLAT_WAVE_STATUS_KEY_PREFIX "%" PRIu64, record->number),
		    g_strdup(plat_wave_status(record->completed)));
	record->dirty = false;
	record->being_written = true;
}

/*
 * Returns for how long after the record of an order was written no other
 * planner may send one to the machine.
 */
static uint64_t
record_valid_us(const planner_t *planner)
{
	return planner->order_handover_us + ORDER_DELAY_MAX_MS * GW_US_PER_MS;
}

/*
 * Adds the record of recent orders to the write, with the pending orders. The
 * next planner sends no orders to the machines in it for record_valid_us().
 */
static void
add_orders(planner_t *planner, changes_t *changes, uint64_t now_us)
{
	GString *value = g_string_new(NULL);

	for (guint i = planner->recent_orders->len; i-- > 0;)
		if (gw_elapsed_us(now_us,
			g_array_index(
			    planner->recent_orders, recorded_order_t, i)
			    .recorded_us) > record_valid_us(planner))
			g_array_remove_index_fast(planner->recent_orders, i);
	for (guint i = 0; i < planner->pending_orders->len; i++) {
		recorded_order_t recent = {
		    g_array_index(planner->pending_orders, order_t, i), now_us};

		g_array_append_val(planner->recent_orders, recent);
	}
	for (guint i = 0; i < planner->recent_orders->len; i++) {
		const order_t *order =
		    &g_array_index(planner->recent_orders, recorded_order_t, i)
			 .order;

		g_string_append_printf(
		    value, "%s %" PRIu64 "\n", order->machine, order->wave);
	}
	add_change(changes, g_strdup(ORDERS_KEY), g_string_free(value, FALSE));
}

/*
 * Writes dirty wave records and pending orders to the store, unless a write is
 * in progress. on_written() sends the orders.
 */
void
planner_flush(planner_t *planner)
{
	changes_t changes = {g_ptr_array_new_with_free_func(g_free),
	    g_array_new(FALSE, FALSE, sizeof(store_write_t))};
	store_precondition_t precondition = {planner->role_key, planner->fence};
	store_txn_t txn = {
	    .preconditions = &precondition, .precondition_count = 1};
	uint64_t now_us = gw_rt_now_us(planner->rt);
	wave_record_t *record;
	GHashTableIter iter;

	if (planner->writing || planner->released)
		goto out;
	g_hash_table_iter_init(&iter, planner->wave_records);
	/* Leaves room for a wave's two writes, orders and precondition. */
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record))
		if (record->dirty &&
		    changes.writes->len + 3 < STORE_TXN_ENTRIES_MAX)
			add_wave(&changes, record);
	if (planner->pending_orders->len > 0) {
		add_orders(planner, &changes, now_us);
		g_array_append_vals(planner->orders_in_write,
		    planner->pending_orders->data,
		    planner->pending_orders->len);
		g_array_set_size(planner->pending_orders, 0);
	}
	if (changes.writes->len == 0)
		goto out;
	txn.writes = (const store_write_t *)(void *)changes.writes->data;
	txn.write_count = changes.writes->len;
	planner->writing = true;
	planner->write_sent_us = now_us;
	planner->calls_in_flight++;
	store_txn(planner->store, &txn, on_written, planner);
out:
	g_array_free(changes.writes, TRUE);
	g_ptr_array_free(changes.texts, TRUE);
}

static void
load_wave_record(planner_t *planner, const store_item_t *item)
{
	uint64_t number =
	    g_ascii_strtoull(item->key + strlen(WAVE_RECORD_PREFIX), NULL, 10);
	g_auto(GStrv) lines = g_strsplit(item->value, "\n", -1);
	wave_record_t *record = planner_wave_record(planner, number);

	for (char **line = lines; *line != NULL; line++) {
		if (g_str_has_prefix(*line, DONE_KEYWORD " "))
			g_ptr_array_add(record->done,
			    g_strdup(*line + strlen(DONE_KEYWORD " ")));
		if (g_str_has_prefix(*line, END_KEYWORD " "))
			record->end_wall_ms = g_ascii_strtoull(
			    *line + strlen(END_KEYWORD " "), NULL, 10);
	}
}

/*
 * Bars a machine that a previous planner ordered at least age_us ago from
 * orders, for order_handover_us at most, since that planner has lost the role.
 * The next planner needs its record too, which this one overwrites.
 */
static void
load_recent_order(planner_t *planner, const recorded_order_t *recent)
{
	uint64_t age_us =
	    gw_elapsed_us(gw_rt_now_us(planner->rt), recent->recorded_us);
	uint64_t left_us =
	    record_valid_us(planner) - MIN(age_us, record_valid_us(planner));

	if (left_us == 0)
		return;
	g_array_append_vals(planner->recent_orders, recent, 1);
	fleet_add_previous_order(planner->fleet, recent->order.machine,
	    recent->order.wave,
	    MIN(left_us, planner->order_handover_us) / GW_US_PER_MS);
}

/*
 * Loads the recent orders of previous planners. Their age counts from when this
 * process first saw the store's revision at or above that of their record.
 */
static void
load_recent_orders(planner_t *planner, const store_item_t *item)
{
	g_auto(GStrv) lines = g_strsplit(item->value, "\n", -1);

	for (char **line = lines; *line != NULL; line++) {
		g_auto(GStrv) words = g_strsplit(*line, " ", 2);
		recorded_order_t recent = {
		    .recorded_us = gw_rt_now_us(planner->rt) -
			store_revision_age_us(
			    planner->store, item->mod_revision)};

		if (g_strv_length(words) != 2)
			continue;
		if (g_strlcpy(recent.order.machine, words[0],
			SCHED_NAME_BYTES) >= SCHED_NAME_BYTES) {
			gw_log(GW_EV_ENTRY_IGNORED,
			    "key=%s text=\"name too long\"", item->key);
			continue;
		}
		recent.order.wave = g_ascii_strtoull(words[1], NULL, 10);
		load_recent_order(planner, &recent);
	}
}

/*
 * Adds a wave to the fleet, with the machines of it that need no more orders.
 */
void
planner_start_wave(planner_t *planner, const plat_wave_t *wave)
{
	wave_record_t *record = planner_wave_record(planner, wave->number);
	uint64_t wall_ms = gw_clock_wall_ms();
	uint64_t left_ms;

	/* The first planner of a wave sets its deadline; later ones keep it. */
	if (record->end_wall_ms == 0)
		record->end_wall_ms = wall_ms + wave->duration_ms;
	left_ms = record->end_wall_ms - MIN(record->end_wall_ms, wall_ms);
	fleet_add_wave(planner->fleet, wave->number, wave->machines,
	    (uint32_t)MIN(left_ms, wave->duration_ms), wave->at_once_max);
	for (guint i = 0; i < record->done->len; i++)
		fleet_wave_mark_done(
		    planner->fleet, wave->number, record->done->pdata[i]);
}

static void
on_read_retry(gw_timer_t *timer, void *arg)
{
	(void)timer;
	planner_read_records(arg);
}

static void
load_records(planner_t *planner, const store_page_t *page)
{
	for (guint i = 0; i < page->items->len; i++) {
		const store_item_t *item = page->items->pdata[i];

		if (strcmp(item->key, ORDERS_KEY) == 0)
			load_recent_orders(planner, item);
		else if (g_str_has_prefix(item->key, WAVE_RECORD_PREFIX))
			load_wave_record(planner, item);
	}
}

static void
on_records(const store_page_t *page, const gw_err_t *err, void *arg)
{
	planner_t *planner = arg;
	const store_item_t *last;

	if (!planner_end_call(planner))
		return;
	if (err != NULL) {
		gw_log(GW_EV_COMMIT_FAILED,
		    "pool=%s step=load err=%s text=\"%s\"", PLANNER_ROLE,
		    gw_errc_name(err->code), err->text);
		gw_timer_start(planner->rt, &planner->retry,
		    RETRY_DELAY_MS * GW_US_PER_MS, on_read_retry, planner);
		return;
	}
	load_records(planner, page);
	g_clear_pointer(&planner->records_resume_key, g_free);
	if (page->truncated && page->items->len > 0) {
		last = page->items->pdata[page->items->len - 1];
		planner->records_resume_key = g_strdup(last->key);
		planner_read_records(planner);
		return;
	}
	planner->records_read = true;
	for (guint i = 0; i < planner->queued_waves->len; i++)
		planner_start_wave(planner, planner->queued_waves->pdata[i]);
	g_ptr_array_set_size(planner->queued_waves, 0);
}

/*
 * Reads the records of previous planners, page by page. No wave starts before
 * all have been read.
 */
void
planner_read_records(planner_t *planner)
{
	planner->calls_in_flight++;
	store_range(planner->store, RECORD_PREFIX, planner->records_resume_key,
	    on_records, planner);
}
