#include <string.h>

#include "gw/log.h"
#include "store/call.h"
#include "store/protocol.h"

/* Time-out of a poll, beyond the time that the store may hold it open. */
#define POLL_SLACK_MS 700

static void
item_free(gpointer data)
{
	store_item_t *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

void
store_page_init(store_page_t *page)
{
	memset(page, 0, sizeof(*page));
	page->items = g_ptr_array_new_with_free_func(item_free);
}

/*
 * Frees a page's items, but not the page.
 */
void
store_page_clear(store_page_t *page)
{
	g_ptr_array_free(page->items, TRUE);
	page->items = NULL;
}

/*
 * Appends an empty item, which the page owns.
 */
store_item_t *
store_page_append(store_page_t *page)
{
	store_item_t *item = g_new0(store_item_t, 1);

	g_ptr_array_add(page->items, item);
	return item;
}

/*
 * Sets the protocol of the functions in this file.
 */
void
store_set_protocol(store_t *store, const store_protocol_t *protocol)
{
	store->protocol = protocol;
}

static store_call_t *
protocol_call_new(
    store_t *store, bool is_write, store_call_complete_t complete, void *arg)
{
	store_call_t *call =
	    store_call_new(store, NULL, is_write, complete, arg);

	call->any_status = true;
	return call;
}

static void
send_request(store_call_t *call, store_request_t *request, uint64_t timeout_ms)
{
	store_call_send_to(
	    call, request->method, request->path, request->body, timeout_ms);
	g_free(request->path);
	g_free(request->body);
}

static const char *
first_key(const store_page_t *page)
{
	return ((const store_item_t *)page->items->pdata[0])->key;
}

static void
complete_page(store_call_t *call, const gw_http_response_t *response,
    const gw_err_t *err,
    int (*decode)(const gw_http_response_t *, store_page_t *, gw_err_t *))
{
	store_page_t page;
	gw_err_t bad;

	if (response == NULL) {
		call->cb.page(NULL, err, call->arg);
		return;
	}
	store_page_init(&page);
	if (decode(response, &page, &bad) == 0) {
		if (page.ignored_items > 0)
			gw_log(GW_EV_ENTRY_IGNORED,
			    "list=store beside=%s items=%u",
			    page.items->len == 0 ? "none" : first_key(&page),
			    page.ignored_items);
		store_note_revision(call->store, page.store_revision);
		call->cb.page(&page, NULL, call->arg);
	} else {
		call->cb.page(NULL, &bad, call->arg);
	}
	store_page_clear(&page);
}

static void
complete_range(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	complete_page(call, response, err, call->store->protocol->decode_range);
}

static void
complete_poll(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	complete_page(call, response, err, call->store->protocol->decode_poll);
}

static void
complete_txn(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	store_page_t current;
	uint64_t revision = 0;
	gw_err_t bad;

	if (response == NULL) {
		call->cb.txn(0, NULL, err, call->arg);
		return;
	}
	store_page_init(&current);
	if (call->store->protocol->decode_txn(
		response, &revision, &current, &bad) == 0) {
		call->cb.txn(revision, NULL, NULL, call->arg);
	} else {
		store_call_decode_failed(call, &bad);
		call->cb.txn(0, &current, &bad, call->arg);
	}
	store_page_clear(&current);
}

static void
complete_lease_ms(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	uint64_t lease_id = 0;
	uint32_t ttl_ms = 0;
	gw_err_t bad;

	if (response != NULL &&
	    call->store->protocol->decode_lease(
		response, &lease_id, &ttl_ms, &bad) != 0) {
		store_call_decode_failed(call, &bad);
		err = &bad;
	}
	call->cb.lease_ms(lease_id, ttl_ms, err, call->arg);
}

/*
 * Reads a page of the keys that begin with prefix, starting after after_key
 * (NULL: with the first). Each page is read at another revision, so that
 * together they are not a snapshot.
 */
void
store_range(store_t *store, const char *prefix, const char *after_key,
    store_page_cb_t cb, void *arg)
{
	store_call_t *call =
	    protocol_call_new(store, false, complete_range, arg);
	store_request_t request = {0};

	call->cb.page = cb;
	store->protocol->encode_range(prefix, after_key, &request);
	send_request(call, &request, store->timeout_ms);
}

/*
 * Commits one atomic change.
 */
void
store_txn(store_t *store, const store_txn_t *txn, store_txn_cb_t cb, void *arg)
{
	store_call_t *call = protocol_call_new(store, true, complete_txn, arg);
	store_request_t request = {0};

	call->cb.txn = cb;
	store->protocol->encode_txn(txn, &request);
	send_request(call, &request, store->timeout_ms);
}

/*
 * Reads the changes after a revision to keys that begin with prefix. When there
 * are none, the store waits for one up to wait_ms. The next poll continues
 * after the page's store_revision.
 */
void
store_poll(store_t *store, const char *prefix, uint64_t after_revision,
    uint32_t wait_ms, store_page_cb_t cb, void *arg)
{
	store_call_t *call =
	    protocol_call_new(store, false, complete_poll, arg);
	store_request_t request = {0};

	call->cb.page = cb;
	store->protocol->encode_poll(prefix, after_revision, wait_ms, &request);
	send_request(call, &request, wait_ms + POLL_SLACK_MS);
}

/*
 * Opens a lease of ttl_ms, which runs from when the store gets the request.
 */
void
store_lease_open(
    store_t *store, uint32_t ttl_ms, store_lease_ms_cb_t cb, void *arg)
{
	store_call_t *call =
	    protocol_call_new(store, true, complete_lease_ms, arg);
	store_request_t request = {0};

	call->cb.lease_ms = cb;
	store->protocol->encode_lease_open(ttl_ms, &request);
	send_request(call, &request, store->timeout_ms);
}

/*
 * Renews a lease. Fails with GW_ERR_NOT_FOUND when it has expired.
 */
void
store_lease_keepalive(
    store_t *store, uint64_t lease_id, store_lease_ms_cb_t cb, void *arg)
{
	store_call_t *call =
	    protocol_call_new(store, true, complete_lease_ms, arg);
	store_request_t request = {0};

	call->cb.lease_ms = cb;
	store->protocol->encode_lease_keepalive(lease_id, &request);
	send_request(call, &request, store->timeout_ms);
}

/*
 * Ends a lease. The store removes the keys that are attached to it.
 */
void
store_lease_close(
    store_t *store, uint64_t lease_id, store_lease_ms_cb_t cb, void *arg)
{
	store_call_t *call =
	    protocol_call_new(store, true, complete_lease_ms, arg);
	store_request_t request = {0};

	call->cb.lease_ms = cb;
	store->protocol->encode_lease_close(lease_id, &request);
	send_request(call, &request, store->timeout_ms);
}
