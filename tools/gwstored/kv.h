#ifndef GWSTORED_KV_H
#define GWSTORED_KV_H

#include <inttypes.h>
#include <stdbool.h>

#include <glib.h>

/* A change of one key: a new version, or its deletion. */
typedef struct {
	char *key;
	GBytes *value; /* NULL for a deletion */
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t version;
	uint64_t lease_id;
} kv_event_t;

typedef void (*kv_event_cb_t)(const kv_event_t *, void *arg);

/* The keys, held in memory, and their history since the last compaction. */
typedef struct {
	uint64_t revision;
	bool in_txn;		     /* changes share one revision */
	bool txn_has_revision;	     /* the first change has taken it */
	uint64_t compacted_revision; /* history is dropped up to here */
	GHashTable *keys;	     /* key -> its latest kv_event_t */
	GPtrArray *history;	     /* kv_event_t in order of revision */
	kv_event_cb_t on_event;
	void *arg;
} kv_t;

kv_t *kv_new(kv_event_cb_t, void *arg);
void kv_free(kv_t *);
const kv_event_t *kv_get(const kv_t *, const char *key);
const kv_event_t *kv_get_stale(const kv_t *, const char *key);
uint64_t kv_put(kv_t *, const char *key, GBytes *value, uint64_t lease_id);
void kv_set_in_txn(kv_t *, bool in_txn);
void kv_delete(kv_t *, const char *key);
void kv_delete_lease(kv_t *, uint64_t lease_id);
void kv_compact(kv_t *);

#endif
