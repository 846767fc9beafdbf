#include "store/call.h"
#include "store/decode.h"
#include "store/request.h"

typedef int (*lease_decode_t)(
    const char *, size_t, uint64_t *, uint32_t *, gw_err_t *);

static void
complete_lease(store_call_t *call, const gw_http_response_t *response,
    const gw_err_t *err, lease_decode_t decode)
{
	uint64_t lease_id = 0;
	uint32_t ttl_s = 0;
	gw_err_t bad;

	if (response != NULL &&
	    decode(response->body, response->size_bytes, &lease_id, &ttl_s,
		&bad) != 0) {
		store_call_decode_failed(call, &bad);
		err = &bad;
	}
	call->cb.lease(err == NULL ? lease_id : 0, err == NULL ? ttl_s : 0, err,
	    call->arg);
}

static void
complete_grant(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	complete_lease(call, response, err, store_decode_lease);
}

static void
complete_renew(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	complete_lease(call, response, err, store_decode_keepalive);
}

static void
complete_revoke(
    store_call_t *call, const gw_http_response_t *response, const gw_err_t *err)
{
	(void)response;
	call->cb.lease(0, 0, err, call->arg);
}

static store_call_t *
lease_call_new(store_t *store, store_call_complete_t complete,
    store_lease_cb_t cb, void *arg)
{
	store_call_t *call;

	call = store_call_new(store, NULL, true, complete, arg);
	call->cb.lease = cb;
	return call;
}

/*
 * Requests a lease. The holder has to count ttl_s from this call rather than
 * from the callback, as the store may have granted it at any time in between.
 */
void
store_lease_grant(
    store_t *store, uint32_t ttl_s, store_lease_cb_t cb, void *arg)
{
	store_call_send(lease_call_new(store, complete_grant, cb, arg),
	    "/v3/lease/grant", store_encode_lease_grant(ttl_s));
}

/*
 * Renews a lease. Fails with GW_ERR_NOT_FOUND when it has expired.
 */
void
store_lease_renew(
    store_t *store, uint64_t lease_id, store_lease_cb_t cb, void *arg)
{
	store_call_send(lease_call_new(store, complete_renew, cb, arg),
	    "/v3/lease/keepalive", store_encode_lease_id(lease_id));
}

/*
 * Revokes a lease. The store deletes the keys that are attached to it. The
 * callback gets lease id 0 and ttl 0.
 */
void
store_lease_revoke(
    store_t *store, uint64_t lease_id, store_lease_cb_t cb, void *arg)
{
	store_call_send(lease_call_new(store, complete_revoke, cb, arg),
	    "/v3/lease/revoke", store_encode_lease_id(lease_id));
}
