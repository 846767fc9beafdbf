#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/addr.h"
#include "gw/err.h"
#include "gw/runtime.h"

/* Largest value that the store takes. */
#define GW_STORE_VALUE_MAX_BYTES (1024 * 1024)

/*
 * A client of the platform's key-value service: the etcd v3 JSON gateway, with
 * single-key compare-and-swap, leases, reads and watches only.
 */
typedef struct store store_t;

/* One key as read. An absent key has mod_revision 0 and no value. */
typedef struct {
	const char *value; /* NUL-terminated; NULL when absent */
	uint64_t size_bytes;
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t lease_id;
	uint64_t store_revision; /* of the store when it answered */
} store_value_t;

/* Exactly one of the two is NULL. */
typedef void (*store_get_cb_t)(
    const store_value_t *, const gw_err_t *, void *arg);
/*
 * On success mod_revision is the written key's. Errors: GW_ERR_CONFLICT when
 * the comparison failed, GW_ERR_UNAVAILABLE when it was surely not sent,
 * GW_ERR_UNKNOWN or GW_ERR_TIMEOUT when it may have taken effect.
 */
typedef void (*store_put_cb_t)(
    uint64_t mod_revision, const gw_err_t *, void *arg);
typedef void (*store_lease_cb_t)(
    uint64_t lease_id, uint32_t ttl_s, const gw_err_t *, void *arg);

/* A watch: one value per change of the key, in order of revision. */
typedef struct store_watch store_watch_t;
typedef struct {
	void (*on_value)(const store_value_t *, void *arg);
	/* The watch ended: compacted, cancelled or broken. Read, then watch. */
	void (*on_end)(const gw_err_t *, void *arg);
} store_watch_ops_t;

/*
 * The part below speaks a published form that is given as a table (form.h):
 * several keys at a time, prefixes, leases in milliseconds.
 */
typedef struct store_form store_form_t;

/* A condition: the key's mod_revision; 0 means that it is absent. */
typedef struct {
	const char *key;
	uint64_t revision;
} store_guard_t;

typedef struct {
	const char *key;
	const void *value;
	uint64_t size_bytes;
	uint64_t lease_id; /* 0: none */
} store_write_t;

/* One atomic change. The arrays belong to the caller. */
typedef struct {
	const store_guard_t *guards;
	uint32_t guard_count;
	const store_write_t *writes;
	uint32_t write_count;
	const char *const *removes;
	uint32_t remove_count;
} store_txn_t;

/* Entries that one transaction may hold, guards included. */
#define STORE_TXN_ENTRIES_MAX 32

/* A key as read, or its removal. */
typedef struct {
	char *key;
	char *value; /* NUL-terminated */
	uint64_t size_bytes;
	uint64_t create_revision;
	uint64_t mod_revision; /* of a removal: when it happened */
	uint64_t lease_id;
	bool removed;
} store_item_t;

/* Items in the order of the store. */
typedef struct {
	GPtrArray *items; /* store_item_t */
	bool truncated;	  /* more follow after the last key */
	uint64_t store_revision;
} store_page_t;

/* One of page and err is NULL. GW_ERR_NOT_FOUND: the history is gone. */
typedef void (*store_page_cb_t)(
    const store_page_t *, const gw_err_t *, void *arg);
/*
 * On success the revision of the change. On GW_ERR_CONFLICT nothing was done
 * and current has the guarded keys; GW_ERR_NOT_FOUND: the lease has ended;
 * GW_ERR_UNAVAILABLE: nothing was done; GW_ERR_UNKNOWN and GW_ERR_TIMEOUT: it
 * may have taken effect, or may yet.
 */
typedef void (*store_txn_cb_t)(uint64_t revision, const store_page_t *current,
    const gw_err_t *, void *arg);
typedef void (*store_ttl_cb_t)(
    uint64_t lease_id, uint32_t ttl_ms, const gw_err_t *, void *arg);

void store_set_form(store_t *, const store_form_t *);
void store_range(store_t *, const char *prefix, const char *after_key,
    store_page_cb_t, void *arg);
void store_txn(store_t *, const store_txn_t *, store_txn_cb_t, void *arg);
void store_poll(store_t *, const char *prefix, uint64_t after_revision,
    uint32_t wait_ms, store_page_cb_t, void *arg);
void store_lease_open(store_t *, uint32_t ttl_ms, store_ttl_cb_t, void *arg);
void store_lease_keep(store_t *, uint64_t lease_id, store_ttl_cb_t, void *arg);
void store_lease_end(store_t *, uint64_t lease_id, store_ttl_cb_t, void *arg);

store_t *store_new(gw_rt_t *, const gw_addr_t *, uint64_t timeout_ms);
void store_free(store_t *);
void store_get(store_t *, const char *key, store_get_cb_t, void *arg);
/* Writes when the key's mod_revision is the expected one (0: absent). */
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
