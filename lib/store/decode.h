#ifndef STORE_DECODE_H
#define STORE_DECODE_H

#include <stdbool.h>
#include <stddef.h>
#include <inttypes.h>

#include <glib.h>

#include "gw/err.h"
#include "store/store.h"

/*
 * Decoders of the etcd JSON gateway's responses. They return 0, or -1 with err
 * set. All input is untrusted: whatever differs from the gateway's published
 * format is GW_ERR_INVALID.
 */

/* A message of a watch's stream: changes, or the end of the watch. */
typedef struct {
	GArray *values; /* store_value_t; owns the value of each */
	bool ended;
	gw_err_t end; /* why, when ended */
} store_watch_response_t;

int store_decode_range(const char *json, size_t size_bytes, const char *key,
    store_value_t *, gw_err_t *);
int store_decode_put(
    const char *json, size_t size_bytes, uint64_t *mod_revision, gw_err_t *);
int store_decode_txn(
    const char *json, size_t size_bytes, uint64_t *mod_revision, gw_err_t *);
int store_decode_lease(const char *json, size_t size_bytes, uint64_t *lease_id,
    uint32_t *ttl_s, gw_err_t *);
int store_decode_keepalive(const char *json, size_t size_bytes,
    uint64_t *lease_id, uint32_t *ttl_s, gw_err_t *);
int store_decode_watch(const char *json, size_t size_bytes, const char *key,
    store_watch_response_t *, gw_err_t *);
void store_watch_response_clear(store_watch_response_t *);
void store_decode_error(
    int status, const char *json, size_t size_bytes, bool is_write, gw_err_t *);

#endif
