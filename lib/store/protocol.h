#ifndef STORE_PROTOCOL_H
#define STORE_PROTOCOL_H

#include "http/httpc.h"
#include "store/store.h"

/* An encoded request; path and body are freed with g_free(). */
typedef struct {
	const char *method;
	char *path;
	char *body; /* may be NULL */
} store_request_t;

/*
 * Encoders and decoders of one store's HTTP interface. A decoder is called for
 * a response of any status. It returns 0, or -1 with an error as store.h
 * describes them for the call.
 */
struct store_protocol {
	const char *name;
	void (*encode_range)(
	    const char *prefix, const char *after_key, store_request_t *);
	void (*encode_txn)(const store_txn_t *, store_request_t *);
	void (*encode_poll)(const char *prefix, uint64_t after_revision,
	    uint32_t wait_ms, store_request_t *);
	void (*encode_lease_open)(uint32_t ttl_ms, store_request_t *);
	void (*encode_lease_keepalive)(uint64_t lease_id, store_request_t *);
	void (*encode_lease_close)(uint64_t lease_id, store_request_t *);
	int (*decode_range)(
	    const gw_http_response_t *, store_page_t *, gw_err_t *);
	int (*decode_poll)(
	    const gw_http_response_t *, store_page_t *, gw_err_t *);
	/* On GW_ERR_CONFLICT fills current with the preconditions' keys. */
	int (*decode_txn)(const gw_http_response_t *, uint64_t *revision,
	    store_page_t *current, gw_err_t *);
	int (*decode_lease)(const gw_http_response_t *, uint64_t *lease_id,
	    uint32_t *ttl_ms, gw_err_t *);
};

void store_page_init(store_page_t *);
void store_page_clear(store_page_t *);
store_item_t *store_page_append(store_page_t *);

#endif
