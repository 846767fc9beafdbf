#include "store/call.h"
#include "store/decode.h"
#include "store/request.h"

static void
end_get(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	store_value_t value = {0};
	gw_err_t bad;

	if (response == NULL) {
		call->cb.get(NULL, err, call->arg);
		return;
	}
	if (store_decode_range(response->body, response->size_bytes, call->key,
		&value, &bad) == 0) {
		call->cb.get(&value, NULL, call->arg);
	} else {
		store_call_bad_answer(call, &bad);
		call->cb.get(NULL, &bad, call->arg);
	}
	g_free((char *)value.value);
}

/*
 * Reads one key. The value lives until the callback returns.
 */
void
store_get(store_t *store, const char *key, store_get_cb_t cb, void *arg)
{
	store_call_t *call;

	call = store_call_new(store, key, false, end_get, arg);
	call->cb.get = cb;
	store_call_send(call, "/v3/kv/range", store_request_range(key));
}

/*
 * Reports a write with the decoder that fits the endpoint.
 */
static void
end_write(store_call_t *call, const gw_http_response_t *response,
    const gw_err_t *err,
    int (*decode)(const char *, size_t, uint64_t *, gw_err_t *))
{
	uint64_t mod_revision = 0;
	gw_err_t bad;

	if (response != NULL &&
	    decode(response->body, response->size_bytes, &mod_revision, &bad) !=
		0) {
		store_call_bad_answer(call, &bad);
		err = &bad;
	}
	call->cb.put(err == NULL ? mod_revision : 0, err, call->arg);
}

static void
end_put(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	end_write(call, response, err, store_decode_put);
}

static void
end_put_if(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	end_write(call, response, err, store_decode_txn);
}

static store_call_t *
write_new(store_t *store, const char *key, uint64_t size_bytes,
    store_call_end_t end, store_put_cb_t cb, void *arg)
{
	store_call_t *call;

	call = store_call_new(store, key, true, end, arg);
	call->cb.put = cb;
	if (size_bytes > GW_STORE_VALUE_MAX_BYTES)
		store_call_refuse(
		    call, GW_ERR_LIMIT, "the value exceeds the store's limit");
	return call;
}

/*
 * Writes when the key's mod_revision is the expected one (0: absent). After
 * GW_ERR_UNKNOWN or GW_ERR_TIMEOUT the caller reads the key.
 */
void
store_put_if(store_t *store, const char *key, uint64_t expected_mod_revision,
    const void *value, uint64_t size_bytes, uint64_t lease_id,
    store_put_cb_t cb, void *arg)
{
	store_call_t *call;

	call = write_new(store, key, size_bytes, end_put_if, cb, arg);
	if (size_bytes <= GW_STORE_VALUE_MAX_BYTES)
		store_call_send(call, "/v3/kv/txn",
		    store_request_put_if(key, expected_mod_revision, value,
			size_bytes, lease_id));
}

/*
 * Writes whatever the key holds.
 */
void
store_put(store_t *store, const char *key, const void *value,
    uint64_t size_bytes, uint64_t lease_id, store_put_cb_t cb, void *arg)
{
	store_call_t *call;

	call = write_new(store, key, size_bytes, end_put, cb, arg);
	if (size_bytes <= GW_STORE_VALUE_MAX_BYTES)
		store_call_send(call, "/v3/kv/put",
		    store_request_put(key, value, size_bytes, lease_id));
}
