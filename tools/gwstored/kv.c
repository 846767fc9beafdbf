#include <string.h>

#include "kv.h"

static void
event_clear(gpointer data)
{
	kv_event_t *event = data;

	g_free(event->key);
	if (event->value != NULL)
		g_bytes_unref(event->value);
}

static void
event_unref(gpointer data)
{
	g_rc_box_release_full(data, event_clear);
}

/*
 * Returns an empty store at revision 1, as etcd starts. on_event is called
 * after each change of a key.
 */
kv_t *
kv_new(kv_event_cb_t on_event, void *arg)
{
	kv_t *kv;

	kv = g_new0(kv_t, 1);
	kv->revision = 1;
	kv->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, event_unref);
	kv->history = g_ptr_array_new_with_free_func(event_unref);
	kv->on_event = on_event;
	kv->arg = arg;
	return kv;
}

void
kv_free(kv_t *kv)
{
	g_hash_table_destroy(kv->keys);
	g_ptr_array_free(kv->history, TRUE);
	g_free(kv);
}

/*
 * Returns the latest version of a key, or NULL when it is absent.
 */
const kv_event_t *
kv_get(const kv_t *kv, const char *key)
{
	return g_hash_table_lookup(kv->keys, key);
}

/*
 * Returns the version of a key that its latest change replaced, or NULL when
 * the key was absent then or that version has been compacted.
 */
const kv_event_t *
kv_get_stale(const kv_t *kv, const char *key)
{
	const kv_event_t *event;
	unsigned found = 0;

	for (guint i = kv->history->len; i > 0; i--) {
		event = g_ptr_array_index(kv->history, i - 1);
		if (strcmp(event->key, key) == 0 && ++found == 2)
			return event->value == NULL ? NULL : event;
	}
	return NULL;
}

/*
 * Adds an event to the history, at a new revision or at that of the current
 * transaction.
 */
static kv_event_t *
history_append(kv_t *kv, const char *key)
{
	kv_event_t *event;

	event = g_rc_box_new0(kv_event_t);
	event->key = g_strdup(key);
	if (!kv->in_txn || !kv->txn_has_revision)
		kv->revision++;
	kv->txn_has_revision = true;
	event->mod_revision = kv->revision;
	g_ptr_array_add(kv->history, event);
	return event;
}

/*
 * Begins or ends a transaction. Its changes share one revision.
 */
void
kv_set_in_txn(kv_t *kv, bool in_txn)
{
	kv->in_txn = in_txn;
	kv->txn_has_revision = false;
}

/*
 * Writes a key. Returns its new mod_revision. Takes a reference to value.
 */
uint64_t
kv_put(kv_t *kv, const char *key, GBytes *value, uint64_t lease_id)
{
	const kv_event_t *previous = kv_get(kv, key);
	kv_event_t *event;

	event = history_append(kv, key);
	event->value = g_bytes_ref(value);
	event->lease_id = lease_id;
	event->create_revision =
	    previous == NULL ? event->mod_revision : previous->create_revision;
	event->version = previous == NULL ? 1 : previous->version + 1;
	g_hash_table_replace(kv->keys, event->key, g_rc_box_acquire(event));
	kv->on_event(event, kv->arg);
	return kv->revision;
}

/*
 * Deletes a key, which must exist.
 */
void
kv_delete(kv_t *kv, const char *key)
{
	kv_event_t *event;

	event = history_append(kv, key);
	g_hash_table_remove(kv->keys, event->key);
	kv->on_event(event, kv->arg);
}

/*
 * Deletes the keys attached to a lease.
 */
void
kv_delete_lease(kv_t *kv, uint64_t lease_id)
{
	g_autoptr(GList) values = g_hash_table_get_values(kv->keys);
	const kv_event_t *event;
	char *key;

	for (GList *item = values; item != NULL; item = item->next) {
		event = item->data;
		if (event->lease_id != lease_id)
			continue;
		key = g_strdup(event->key);
		kv_delete(kv, key);
		g_free(key);
	}
}

/*
 * Drops the history up to the current revision.
 */
void
kv_compact(kv_t *kv)
{
	kv->compacted_revision = kv->revision;
	g_ptr_array_set_size(kv->history, 0);
}
