#include "store/call.h"
#include "store/decode.h"
#include "store/request.h"

static void
complete_get(
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
		store_call_decode_failed(call, &bad);
		call->cb.get(NULL, &bad, call->arg);
	}
	g_free((char *)value.value);
}

/*
 * Reads one key. The value is valid until the callback returns.
 */
void
store_get(store_t *store, const char *key, store_get_cb_t cb, void *arg)
{
	store_call_t *call;

	call = store_call_new(store, key, false, complete_get, arg);
	call->cb.get = cb;
	store_call_send(call, "/v3/kv/range", store_encode_range(key));
}

/*
 * Completes a write. decode is the decoder of the endpoint's responses.
 */
static void
complete_write(store_call_t *call, const gw_http_response_t *response,
    const gw_err_t *err,
    int (*decode)(const char *, size_t, uint64_t *, gw_err_t *))
{
	uint64_t mod_revision = 0;
	gw_err_t bad;

	if (response != NULL &&
	    decode(response->body, response->size_bytes, &mod_revision, &bad) !=
		0) {
		store_call_decode_failed(call, &bad);
		err = &bad;
	}
	call->cb.put(err == NULL ? mod_revision : 0, err, call->arg);
}

static void
complete_put(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	complete_write(call, response, err, store_decode_put);
}

static void
complete_put_if(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	complete_write(call, response, err, store_decode_txn);
}

static store_call_t *
write_call_new(store_t *store, const char *key, uint64_t size_bytes,
    store_call_complete_t complete, store_put_cb_t cb, void *arg)
{
	store_call_t *call;

	call = store_call_new(store, key, true, complete, arg);
	call->cb.put = cb;
	if (size_bytes > GW_STORE_VALUE_MAX_BYTES)
		store_call_fail_async(
		    call, GW_ERR_LIMIT, "not sent: the value exceeds 1 MiB");
	return call;
}

/*
 * Writes the key only when its mod_revision is the expected one (0: the key is
 * absent). After GW_ERR_UNKNOWN or GW_ERR_TIMEOUT the caller has to read the
 * key to learn the outcome.
 */
void
store_put_if(store_t *store, const char *key, uint64_t expected_mod_revision,
    const void *value, uint64_t size_bytes, uint64_t lease_id,
    store_put_cb_t cb, void *arg)
{
	store_call_t *call;

	call = write_call_new(store, key, size_bytes, complete_put_if, cb, arg);
	if (size_bytes <= GW_STORE_VALUE_MAX_BYTES)
		store_call_send(call, "/v3/kv/txn",
		    store_encode_put_if(key, expected_mod_revision, value,
			size_bytes, lease_id));
}

/*
 * Writes the key unconditionally.
 */
void
store_put(store_t *store, const char *key, const void *value,
    uint64_t size_bytes, uint64_t lease_id, store_put_cb_t cb, void *arg)
{
	store_call_t *call;

	call = write_call_new(store, key, size_bytes, complete_put, cb, arg);
	if (size_bytes <= GW_STORE_VALUE_MAX_BYTES)
		store_call_send(call, "/v3/kv/put",
		    store_encode_put(key, value, size_bytes, lease_id));
}
