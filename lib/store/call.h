#ifndef STORE_CALL_H
#define STORE_CALL_H

#include <stdbool.h>

#include <glib.h>

#include "gw/runtime.h"
#include "http/httpc.h"
#include "store/store.h"

/* A revision, and when it was first known that the store had reached it. */
typedef struct {
	uint64_t revision;
	uint64_t seen_us;
} store_sample_t;

#define STORE_SAMPLES_MAX 64

struct store {
	gw_rt_t *rt;
	gw_httpc_t *http;
	const store_protocol_t *protocol; /* NULL: only the etcd gateway */
	uint64_t timeout_ms;
	GQueue calls;	/* store_call_t without a response */
	GQueue watches; /* store_watch_t that have not ended */
	/* In ascending order of both. */
	store_sample_t samples[STORE_SAMPLES_MAX];
	uint32_t sample_count;
};

/* One request and the caller's callback. */
typedef struct store_call store_call_t;

/*
 * Decodes the response and runs the caller's callback. Without a response it
 * gets the error instead.
 */
typedef void (*store_call_complete_t)(
    store_call_t *, const gw_http_response_t *, const gw_err_t *);

struct store_call {
	store_t *store;
	gw_httpc_call_t *http; /* NULL when not sent, and after the response */
	gw_timer_t fail_timer; /* fails a call that is not sent */
	gw_err_t err;	       /* for fail_timer */
	bool is_write;
	bool any_status; /* complete also handles statuses other than 200 */
	store_call_complete_t complete;
	char *key; /* NULL for leases */
	GList link;
	union {
		store_get_cb_t get;
		store_put_cb_t put;
		store_lease_cb_t lease;
		store_page_cb_t page;
		store_txn_cb_t txn;
		store_lease_ms_cb_t lease_ms;
	} cb;
	void *arg;
};

store_call_t *store_call_new(store_t *, const char *key, bool is_write,
    store_call_complete_t, void *arg);
void store_call_send(store_call_t *, const char *path, char *body);
void store_call_send_to(store_call_t *, const char *method, const char *path,
    const char *body, uint64_t timeout_ms);
void store_call_fail_async(store_call_t *, gw_errc_t, const char *reason);
void store_call_free(store_call_t *);
void store_call_decode_failed(const store_call_t *, gw_err_t *);
void store_watch_free(store_watch_t *);
/* revision.c */
void store_note_revision(store_t *, uint64_t revision);

#endif
