#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stdbool.h>
#include <stdint.h>

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
