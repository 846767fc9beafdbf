#include <string.h>

#include "store/call.h"
#include "store/form.h"

/* How much longer than asked for an answer to a poll may take. */
#define POLL_SLACK_MS 700

static void
item_free(gpointer data)
{
	store_item_t *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

/*
 * Makes an empty page.
 */
void
store_page_init(store_page_t *page)
{
	memset(page, 0, sizeof(*page));
	page->items = g_ptr_array_new_with_free_func(item_free);
}

/*
 * Frees a page's items.
 */
void
store_page_clear(store_page_t *page)
{
	g_ptr_array_free(page->items, TRUE);
	page->items = NULL;
}

/*
 * Adds an empty item; the page owns it.
 */
store_item_t *
store_page_add(store_page_t *page)
{
	store_item_t *item = g_new0(store_item_t, 1);

	g_ptr_array_add(page->items, item);
	return item;
}

/*
 * Sets the form that the functions of this file speak.
 */
void
store_set_form(store_t *store, const store_form_t *form)
{
	store->form = form;
}

static store_call_t *
form_call(store_t *store, bool is_write, store_call_end_t end, void *arg)
{
	store_call_t *call = store_call_new(store, NULL, is_write, end, arg);

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

static void
end_page(store_call_t *call, const gw_http_response_t *response,
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
	if (decode(response, &page, &bad) == 0)
		call->cb.page(&page, NULL, call->arg);
	else
		call->cb.page(NULL, &bad, call->arg);
	store_page_clear(&page);
}

static void
end_range(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	end_page(call, response, err, call->store->form->decode_range);
}

static void
end_poll(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	end_page(call, response, err, call->store->form->decode_poll);
}

static void
end_txn(
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
	if (call->store->form->decode_txn(
		response, &revision, &current, &bad) == 0) {
		call->cb.txn(revision, NULL, NULL, call->arg);
	} else {
		store_call_bad_answer(call, &bad);
		call->cb.txn(0, &current, &bad, call->arg);
	}
	store_page_clear(&current);
}

static void
end_ttl(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	uint64_t lease_id = 0;
	uint32_t ttl_ms = 0;
	gw_err_t bad;

	if (response != NULL &&
	    call->store->form->decode_lease(
		response, &lease_id, &ttl_ms, &bad) != 0) {
		store_call_bad_answer(call, &bad);
		err = &bad;
	}
	call->cb.ttl(lease_id, ttl_ms, err, call->arg);
}

/*
 * Reads the keys that begin with prefix, from behind after_key (NULL: from the
 * first). A long answer is truncated; pages are not a snapshot.
 */
void
store_range(store_t *store, const char *prefix, const char *after_key,
    store_page_cb_t cb, void *arg)
{
	store_call_t *call = form_call(store, false, end_range, arg);
	store_request_t request = {0};

	call->cb.page = cb;
	store->form->range(prefix, after_key, &request);
	send_request(call, &request, store->timeout_ms);
}

/*
 * Makes one atomic change.
 */
void
store_txn(store_t *store, const store_txn_t *txn, store_txn_cb_t cb, void *arg)
{
	store_call_t *call = form_call(store, true, end_txn, arg);
	store_request_t request = {0};

	call->cb.txn = cb;
	store->form->txn(txn, &request);
	send_request(call, &request, store->timeout_ms);
}

/*
 * Waits up to wait_ms for changes behind a revision of keys that begin with
 * prefix. The answer's store_revision is where the next poll goes on.
 */
void
store_poll(store_t *store, const char *prefix, uint64_t after_revision,
    uint32_t wait_ms, store_page_cb_t cb, void *arg)
{
	store_call_t *call = form_call(store, false, end_poll, arg);
	store_request_t request = {0};

	call->cb.page = cb;
	store->form->poll(prefix, after_revision, wait_ms, &request);
	send_request(call, &request, wait_ms + POLL_SLACK_MS);
}

/*
 * Asks for a lease of ttl_ms, which runs from the arrival of the call.
 */
void
store_lease_open(store_t *store, uint32_t ttl_ms, store_ttl_cb_t cb, void *arg)
{
	store_call_t *call = form_call(store, true, end_ttl, arg);
	store_request_t request = {0};

	call->cb.ttl = cb;
	store->form->lease_open(ttl_ms, &request);
	send_request(call, &request, store->timeout_ms);
}

/*
 * Renews a lease; GW_ERR_NOT_FOUND when it has ended.
 */
void
store_lease_keep(
    store_t *store, uint64_t lease_id, store_ttl_cb_t cb, void *arg)
{
	store_call_t *call = form_call(store, true, end_ttl, arg);
	store_request_t request = {0};

	call->cb.ttl = cb;
	store->form->lease_keep(lease_id, &request);
	send_request(call, &request, store->timeout_ms);
}

/*
 * Ends a lease and removes its keys.
 */
void
store_lease_end(store_t *store, uint64_t lease_id, store_ttl_cb_t cb, void *arg)
{
	store_call_t *call = form_call(store, true, end_ttl, arg);
	store_request_t request = {0};

	call->cb.ttl = cb;
	store->form->lease_end(lease_id, &request);
	send_request(call, &request, store->timeout_ms);
}
