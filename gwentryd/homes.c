#include <string.h>

#include "gw/log.h"
#include "homes.h"

/* Pause after a failed read, doubled with each failure up to the maximum. */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 1600
/* Interval of reads while a queue in force has jobs in more than one pool. */
#define REREAD_MS 10000

/* A queue in force. */
typedef struct {
	char pool[SCHED_NAME_BYTES];
	uint64_t since_us; /* when it was first seen in this pool */
} queue_state_t;

struct homes {
	gw_rt_t *rt;
	store_t *store;
	uint32_t config_apply_ms;
	const homes_ops_t *ops;
	void *arg;
	GHashTable *queues;   /* key -> queue_state_t */
	sched_homes_t *table; /* as last read */
	/* The rows read so far; NULL unless they are being read. */
	sched_homes_t *reading;
	char *after_key;     /* last key of the last page, or NULL */
	uint64_t read_us;    /* when the last complete read began; 0: none */
	uint64_t reading_us; /* when the present one began */
	uint64_t changed_us; /* when a queue was last new or moved */
	uint32_t retry_ms;   /* pause after the next failure */
	gw_timer_t timer;    /* the next read */
};

static void read_page(homes_t *);

static void
begin_read(homes_t *homes)
{
	if (homes->reading != NULL)
		return; /* another one follows if this one is too old */
	homes->reading = sched_homes_new();
	homes->reading_us = gw_rt_now_us(homes->rt);
	read_page(homes);
}

static void
on_read_due(gw_timer_t *timer, void *arg)
{
	(void)timer;
	begin_read(arg);
}

static void
read_in(homes_t *homes, uint32_t delay_ms)
{
	gw_timer_start(homes->rt, &homes->timer, delay_ms * GW_US_PER_MS,
	    on_read_due, homes);
}

static bool
has_moved_queue(const homes_t *homes)
{
	GHashTableIter iter;
	gpointer key;
	queue_state_t *queue;

	g_hash_table_iter_init(&iter, homes->queues);
	while (g_hash_table_iter_next(&iter, &key, (gpointer *)&queue))
		if (sched_homes_has_other(homes->table, key, queue->pool))
			return true;
	return false;
}

/*
 * Schedules the next read. A process of an earlier version, which does not
 * name the configuration as a condition, may accept the first job of a queue in
 * its former pool for config_apply_ms, so the rows are read once more then.
 */
static void
schedule_next(homes_t *homes)
{
	uint64_t now_us = gw_rt_now_us(homes->rt);
	uint64_t settled_us =
	    homes->changed_us + homes->config_apply_ms * GW_US_PER_MS;

	if (homes->read_us < homes->changed_us)
		begin_read(homes);
	else if (homes->read_us < settled_us)
		read_in(homes,
		    settled_us > now_us
			? (uint32_t)((settled_us - now_us) / GW_US_PER_MS) + 1
			: 0);
	else if (has_moved_queue(homes))
		read_in(homes, REREAD_MS);
}

static void
end_read(homes_t *homes)
{
	sched_homes_free(homes->table);
	homes->table = homes->reading;
	homes->reading = NULL;
	homes->read_us = homes->reading_us;
	homes->retry_ms = RETRY_MIN_MS;
	sched_homes_foreach(homes->table, homes->ops->on_shard, homes->arg);
	schedule_next(homes);
	homes->ops->on_read(homes->arg);
}

static void
add_row(homes_t *homes, const char *key)
{
	const char *shard = key + strlen(HOMES_KEY_PREFIX);
	const char *slash = strchr(shard, '/');
	char name[SCHED_NAME_BYTES];

	if (slash == NULL || slash == shard ||
	    (size_t)(slash - shard) >= sizeof(name) ||
	    strlen(slash + 1) != SCHED_QUEUE_KEY_BYTES - 1) {
		gw_log(GW_EV_ENTRY_IGNORED,
		    "key=%s text=\"not a shard and a queue\"", key);
		return;
	}
	g_strlcpy(name, shard, (gsize)(slash - shard) + 1);
	sched_homes_add(homes->reading, slash + 1, name);
}

static void
on_page(const store_page_t *page, const gw_err_t *err, void *arg)
{
	homes_t *homes = arg;
	const store_item_t *item = NULL;

	if (err != NULL) {
		gw_log(GW_EV_HOMES_NOT_READ, "err=%s text=\"%s\" retry_ms=%u",
		    gw_errc_name(err->code), err->text, homes->retry_ms);
		sched_homes_free(homes->reading);
		homes->reading = NULL;
		g_clear_pointer(&homes->after_key, g_free);
		read_in(homes, homes->retry_ms);
		homes->retry_ms = MIN(homes->retry_ms * 2, RETRY_MAX_MS);
		return;
	}
	for (guint i = 0; i < page->items->len; i++) {
		item = page->items->pdata[i];
		add_row(homes, item->key);
	}
	g_clear_pointer(&homes->after_key, g_free);
	if (!page->truncated || item == NULL) {
		end_read(homes);
		return;
	}
	homes->after_key = g_strdup(item->key);
	read_page(homes);
}

static void
read_page(homes_t *homes)
{
	store_range(
	    homes->store, HOMES_KEY_PREFIX, homes->after_key, on_page, homes);
}

homes_t *
homes_new(gw_rt_t *rt, store_t *store, uint32_t config_apply_ms,
    const homes_ops_t *ops, void *arg)
{
	homes_t *homes = g_new0(homes_t, 1);

	homes->rt = rt;
	homes->store = store;
	homes->config_apply_ms = config_apply_ms;
	homes->retry_ms = RETRY_MIN_MS;
	homes->ops = ops;
	homes->arg = arg;
	homes->queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	homes->table = sched_homes_new();
	return homes;
}

void
homes_set_config(homes_t *homes, const sched_config_t *config, bool is_next)
{
	uint64_t now_us = gw_rt_now_us(homes->rt);
	GHashTable *queues =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (guint i = 0; i < config->queues->len; i++) {
		const sched_queue_t *queue =
		    &g_array_index(config->queues, sched_queue_t, i);
		const queue_state_t *before =
		    g_hash_table_lookup(homes->queues, queue->key);
		queue_state_t *state = g_new0(queue_state_t, 1);

		g_strlcpy(state->pool, queue->pool, sizeof(state->pool));
		state->since_us = now_us;
		if (is_next && before != NULL &&
		    strcmp(before->pool, queue->pool) == 0)
			state->since_us = before->since_us;
		else
			homes->changed_us = now_us;
		g_hash_table_replace(queues, g_strdup(queue->key), state);
	}
	g_hash_table_destroy(homes->queues);
	homes->queues = queues;
	if (homes->read_us < homes->changed_us) {
		gw_timer_stop(&homes->timer);
		begin_read(homes);
	}
}

bool
homes_are_known(const homes_t *homes, const sched_queue_t *queue)
{
	const queue_state_t *state =
	    g_hash_table_lookup(homes->queues, queue->key);

	return state != NULL && homes->read_us >= state->since_us;
}

const sched_homes_t *
homes_table(const homes_t *homes)
{
	return homes->table;
}
