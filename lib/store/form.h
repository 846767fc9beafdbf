#ifndef STORE_FORM_H
#define STORE_FORM_H

#include "http/httpc.h"
#include "store/store.h"

/* A request of a form; path and body are freed with g_free(). */
typedef struct {
	const char *method;
	char *path;
	char *body; /* may be NULL */
} store_request_t;

/*
 * How one published interface of a key-value store writes its requests and
 * reads its answers. Decoders get whatever status came; they return 0, or -1
 * with the error that store.h names for the call.
 */
struct store_form {
	const char *name;
	void (*range)(
	    const char *prefix, const char *after_key, store_request_t *);
	void (*txn)(const store_txn_t *, store_request_t *);
	void (*poll)(const char *prefix, uint64_t after_revision,
	    uint32_t wait_ms, store_request_t *);
	void (*lease_open)(uint32_t ttl_ms, store_request_t *);
	void (*lease_keep)(uint64_t lease_id, store_request_t *);
	void (*lease_end)(uint64_t lease_id, store_request_t *);
	int (*decode_range)(
	    const gw_http_response_t *, store_page_t *, gw_err_t *);
	int (*decode_poll)(
	    const gw_http_response_t *, store_page_t *, gw_err_t *);
	/* On GW_ERR_CONFLICT it fills the page. */
	int (*decode_txn)(const gw_http_response_t *, uint64_t *revision,
	    store_page_t *current, gw_err_t *);
	int (*decode_lease)(const gw_http_response_t *, uint64_t *lease_id,
	    uint32_t *ttl_ms, gw_err_t *);
};

void store_page_init(store_page_t *);
void store_page_clear(store_page_t *);
store_item_t *store_page_add(store_page_t *);

#endif
