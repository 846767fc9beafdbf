#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/addr.h"
#include "gw/err.h"
#include "gw/runtime.h"

/* Largest value that the store accepts, unless the platform says otherwise. */
#define GW_STORE_VALUE_MAX_BYTES (1024 * 1024)

/*
 * A client of a key-value store. The functions for a single key (store_get(),
 * store_put(), store_lease_grant(), store_watch() and their like) speak the
 * etcd v3 JSON gateway.
 */
typedef struct store store_t;

/* One key as read. An absent key has mod_revision 0 and no value. */
typedef struct {
	const char *value; /* NUL-terminated; NULL when absent */
	uint64_t size_bytes;
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t lease_id;	 /* 0: none */
	uint64_t store_revision; /* of the store when it responded */
} store_value_t;

/* The value, or the error; the other is NULL. */
typedef void (*store_get_cb_t)(
    const store_value_t *, const gw_err_t *, void *arg);
/*
 * On success mod_revision is the new revision of the key. Errors:
 * GW_ERR_CONFLICT when the comparison failed, GW_ERR_UNAVAILABLE when the write
 * was not sent, GW_ERR_UNKNOWN or GW_ERR_TIMEOUT when it may have taken effect.
 */
typedef void (*store_put_cb_t)(
    uint64_t mod_revision, const gw_err_t *, void *arg);
typedef void (*store_lease_cb_t)(
    uint64_t lease_id, uint32_t ttl_s, const gw_err_t *, void *arg);

/* A watch of one key. */
typedef struct store_watch store_watch_t;
typedef struct {
	/* The key has changed; called in order of revision. */
	void (*on_value)(const store_value_t *, void *arg);
	/*
	 * The watch has ended: the history was compacted, the store cancelled
	 * the watch or the connection broke. The owner has to read the key
	 * again before a new watch, as changes may have been missed.
	 */
	void (*on_end)(const gw_err_t *, void *arg);
} store_watch_ops_t;

/*
 * The functions from store_range() to store_lease_close() speak the protocol
 * that store_set_protocol() sets, a table of encoders and decoders
 * (protocol.h). They handle several keys at a time, key prefixes and leases in
 * milliseconds.
 */
typedef struct store_protocol store_protocol_t;

/* The key must have this mod_revision; 0: it must be absent. */
typedef struct {
	const char *key;
	uint64_t revision;
} store_precondition_t;

typedef struct {
	const char *key;
	const void *value;
	uint64_t size_bytes;
	uint64_t lease_id; /* 0: none */
} store_write_t;

/*
 * One atomic change, made when all preconditions hold. The arrays belong to
 * the caller.
 */
typedef struct {
	const store_precondition_t *preconditions;
	uint32_t precondition_count;
	const store_write_t *writes;
	uint32_t write_count;
	const char *const *removes;
	uint32_t remove_count;
} store_txn_t;

/* Preconditions, writes and removes in one transaction. */
#define STORE_TXN_ENTRIES_MAX 32

/* A key as read, or the removal of one. */
typedef struct {
	char *key;
	char *value; /* NUL-terminated; NULL in a removal */
	uint64_t size_bytes;
	uint64_t create_revision;
	uint64_t mod_revision; /* in a removal: of the removal */
	uint64_t lease_id;     /* 0: none */
	bool removed;
} store_item_t;

/* One response's items, in the order of the store. */
typedef struct {
	GPtrArray *items;	/* store_item_t */
	bool truncated;		/* the store has more after the last key */
	uint32_t ignored_items; /* that could not be parsed */
	uint64_t store_revision;
} store_page_t;

/*
 * The page, or the error; the other is NULL. A poll fails with GW_ERR_NOT_FOUND
 * when the store no longer has the changes after the revision.
 */
typedef void (*store_page_cb_t)(
    const store_page_t *, const gw_err_t *, void *arg);
/*
 * On success revision is that of the change. Errors:
 * GW_ERR_LIMIT: the store refuses the change as it is, for instance since a
 * value is too large; nothing was changed;
 * GW_ERR_CONFLICT: a precondition failed, nothing was changed, and current
 * has the current state of the preconditions' keys;
 * GW_ERR_NOT_FOUND: the lease of a write has expired;
 * GW_ERR_UNAVAILABLE: nothing was changed;
 * GW_ERR_UNKNOWN, GW_ERR_TIMEOUT: the change may have taken effect, or may yet.
 */
typedef void (*store_txn_cb_t)(uint64_t revision, const store_page_t *current,
    const gw_err_t *, void *arg);
typedef void (*store_lease_ms_cb_t)(
    uint64_t lease_id, uint32_t ttl_ms, const gw_err_t *, void *arg);

void store_set_protocol(store_t *, const store_protocol_t *);
uint64_t store_revision_age_us(const store_t *, uint64_t revision);
void store_range(store_t *, const char *prefix, const char *after_key,
    store_page_cb_t, void *arg);
void store_txn(store_t *, const store_txn_t *, store_txn_cb_t, void *arg);
void store_poll(store_t *, const char *prefix, uint64_t after_revision,
    uint32_t wait_ms, store_page_cb_t, void *arg);
void store_lease_open(
    store_t *, uint32_t ttl_ms, store_lease_ms_cb_t, void *arg);
void store_lease_keepalive(
    store_t *, uint64_t lease_id, store_lease_ms_cb_t, void *arg);
void store_lease_close(
    store_t *, uint64_t lease_id, store_lease_ms_cb_t, void *arg);

store_t *store_new(gw_rt_t *, const gw_addr_t *, uint64_t timeout_ms);
void store_free(store_t *);
void store_get(store_t *, const char *key, store_get_cb_t, void *arg);
void store_put_if(store_t *, const char *key, uint64_t expected_mod_revision,
    const void *value, uint64_t size_bytes, uint64_t lease_id, store_put_cb_t,
    void *arg);
void store_put(store_t *, const char *key, const void *value,
    uint64_t size_bytes, uint64_t lease_id, store_put_cb_t, void *arg);
void store_lease_grant(store_t *, uint32_t ttl_s, store_lease_cb_t, void *arg);
void store_lease_renew(
    store_t *, uint64_t lease_id, store_lease_cb_t, void *arg);
void store_lease_revoke(
    store_t *, uint64_t lease_id, store_lease_cb_t, void *arg);
store_watch_t *store_watch(store_t *, const char *key, uint64_t from_revision,
    const store_watch_ops_t *, void *arg);
void store_watch_cancel(store_watch_t *);

#endif
