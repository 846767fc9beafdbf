#include <string.h>

#include "store/call.h"
#include "store/follow.h"

/*
 * A poll that waits longer would notice a silent connection too late for a
 * configuration that must be in force within 2 s of its acknowledgement.
 */
#define POLL_WAIT_MS 1500
/* Pause after a failed call, doubled up to the maximum. */
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 400

struct store_follow {
	store_t *store;
	char *prefix;
	const store_follow_ops_t *ops;
	void *arg;
	GHashTable *known;  /* key -> revision (uint64_t *) */
	GHashTable *listed; /* keys of the list under way, NULL outside */
	char *after_key;    /* end of the last page */
	uint64_t list_revision;
	uint64_t revision; /* polls go on behind it */
	uint32_t backoff_ms;
	uint32_t pause_ms; /* after a report with changes */
	gw_timer_t retry;
	bool calling;
	bool dead;
};

static void next_call(store_follow_t *);

static void
follow_destroy(store_follow_t *follow)
{
	gw_timer_stop(&follow->retry);
	g_hash_table_destroy(follow->known);
	if (follow->listed != NULL)
		g_hash_table_destroy(follow->listed);
	g_free(follow->after_key);
	g_free(follow->prefix);
	g_free(follow);
}

static void
report(store_follow_t *follow, const store_item_t *item)
{
	uint64_t *known = g_hash_table_lookup(follow->known, item->key);

	if (known != NULL && item->mod_revision <= *known)
		return;
	if (item->removed && known == NULL)
		return;
	if (item->removed) {
		g_hash_table_remove(follow->known, item->key);
	} else {
		known = g_new(uint64_t, 1);
		*known = item->mod_revision;
		g_hash_table_replace(follow->known, g_strdup(item->key), known);
	}
	follow->ops->on_item(item, follow->arg);
}

/*
 * Reports the removal of known keys that a whole list did not have.
 */
static void
report_missing(store_follow_t *follow)
{
	g_autoptr(GPtrArray) missing = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, follow->known);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(follow->listed, key))
			g_ptr_array_add(missing, g_strdup(key));
	for (guint i = 0; i < missing->len; i++) {
		store_item_t item = {.key = missing->pdata[i],
		    .mod_revision = follow->list_revision,
		    .removed = true};
		report(follow, &item);
	}
}

static void
begin_list(store_follow_t *follow)
{
	if (follow->listed != NULL)
		g_hash_table_destroy(follow->listed);
	follow->listed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_clear_pointer(&follow->after_key, g_free);
	follow->list_revision = 0;
}

static void
end_list(store_follow_t *follow)
{
	report_missing(follow);
	g_hash_table_destroy(follow->listed);
	follow->listed = NULL;
	g_clear_pointer(&follow->after_key, g_free);
	follow->revision = follow->list_revision;
	follow->ops->on_listed(follow->arg);
}

static void
on_retry(gw_timer_t *timer, void *arg)
{
	(void)timer;
	next_call(arg);
}

/*
 * Handles a failed call: a lost history calls for a new list, all else for
 * another try after a pause.
 */
static void
failed(store_follow_t *follow, const gw_err_t *err)
{
	if (err->code == GW_ERR_NOT_FOUND) {
		begin_list(follow);
		next_call(follow);
		return;
	}
	follow->ops->on_contact(err, follow->arg);
	gw_timer_start(follow->store->rt, &follow->retry,
	    follow->backoff_ms * GW_US_PER_MS, on_retry, follow);
	follow->backoff_ms = MIN(follow->backoff_ms * 2, BACKOFF_MAX_MS);
}

/*
 * Common start of the answers' handlers; false when the owner has gone or the
 * call failed.
 */
static bool
answered(store_follow_t *follow, const gw_err_t *err)
{
	follow->calling = false;
	if (follow->dead) {
		follow_destroy(follow);
		return false;
	}
	if (err != NULL) {
		failed(follow, err);
		return false;
	}
	follow->backoff_ms = BACKOFF_MIN_MS;
	follow->ops->on_contact(NULL, follow->arg);
	return true;
}

static void
on_page(const store_page_t *page, const gw_err_t *err, void *arg)
{
	store_follow_t *follow = arg;
	const store_item_t *item = NULL;

	if (!answered(follow, err))
		return;
	/* Changes during the list are seen again: the first page counts. */
	if (follow->list_revision == 0)
		follow->list_revision = page->store_revision;
	for (guint i = 0; i < page->items->len; i++) {
		item = page->items->pdata[i];
		g_hash_table_add(follow->listed, g_strdup(item->key));
		report(follow, item);
	}
	if (page->truncated && item != NULL) {
		g_free(follow->after_key);
		follow->after_key = g_strdup(item->key);
	} else {
		end_list(follow);
	}
	next_call(follow);
}

static void
on_events(const store_page_t *page, const gw_err_t *err, void *arg)
{
	store_follow_t *follow = arg;

	if (!answered(follow, err))
		return;
	for (guint i = 0; i < page->items->len; i++)
		report(follow, page->items->pdata[i]);
	follow->revision = MAX(follow->revision, page->store_revision);
	if (page->items->len == 0 || follow->pause_ms == 0)
		next_call(follow);
	else
		gw_timer_start(follow->store->rt, &follow->retry,
		    follow->pause_ms * GW_US_PER_MS, on_retry, follow);
}

static void
next_call(store_follow_t *follow)
{
	if (follow->dead || follow->calling)
		return;
	follow->calling = true;
	if (follow->listed != NULL)
		store_range(follow->store, follow->prefix, follow->after_key,
		    on_page, follow);
	else
		store_poll(follow->store, follow->prefix, follow->revision,
		    POLL_WAIT_MS, on_events, follow);
}

/*
 * Begins to follow the keys that begin with prefix. Reports come from the
 * loop, never from this call.
 */
store_follow_t *
store_follow(store_t *store, const char *prefix, uint32_t pause_ms,
    const store_follow_ops_t *ops, void *arg)
{
	store_follow_t *follow;

	follow = g_new0(store_follow_t, 1);
	follow->store = store;
	follow->prefix = g_strdup(prefix);
	follow->ops = ops;
	follow->arg = arg;
	follow->backoff_ms = BACKOFF_MIN_MS;
	follow->pause_ms = pause_ms;
	follow->known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	begin_list(follow);
	next_call(follow);
	return follow;
}

/*
 * Ends it without further reports. Must be called before the store is freed.
 */
void
store_follow_free(store_follow_t *follow)
{
	if (follow == NULL)
		return;
	follow->dead = true;
	if (!follow->calling)
		follow_destroy(follow);
}
