#include <string.h>

#include "api.h"
#include "reply.h"
#include "store/base64.h"
#include "store/store.h"

/*
 * Returns one key. With the fault stale_reads it returns the version before the
 * last change, and for a key that exists the store's revision of that time.
 */
json_t *
api_range(server_t *server, const json_t *request, api_error_t *error)
{
	g_autofree char *key = api_get_key(request, error);
	uint64_t revision = server->kv->revision;
	const kv_event_t *event;
	json_t *response;

	if (key == NULL)
		return NULL;
	event = kv_get(server->kv, key);
	if (server->faults.stale_reads > 0) {
		server->faults.stale_reads--;
		server->stats.stale_reads++;
		if (event != NULL)
			revision = event->mod_revision - 1;
		event = kv_get_stale(server->kv, key);
	}
	response = json_pack("{s:o}", "header", api_header(server, revision));
	if (event != NULL) {
		json_object_set_new(
		    response, "kvs", json_pack("[o]", api_kv_json(event)));
		json_object_set_new(response, "count", json_string("1"));
	}
	return response;
}

/*
 * Returns the decoded value, or NULL with the error when it is malformed or too
 * large.
 */
static GBytes *
get_value(const json_t *request, api_error_t *error)
{
	const char *text = json_string_value(json_object_get(request, "value"));
	size_t size_bytes = 0;
	char *data;

	data = store_base64_decode(text == NULL ? "" : text, &size_bytes);
	if (data != NULL && size_bytes <= GW_STORE_VALUE_MAX_BYTES)
		return g_bytes_new_take(data, size_bytes);
	g_free(data);
	(void)api_set_invalid(error,
	    data == NULL ? "the value is not base64"
			 : "etcdserver: request is too large");
	return NULL;
}

/*
 * Writes one key. Returns -1 with the error when it wrote nothing.
 */
static int
put(server_t *server, const json_t *request, api_error_t *error)
{
	g_autofree char *key = api_get_key(request, error);
	uint64_t lease_id;
	GBytes *value;

	if (key == NULL)
		return -1;
	if (api_get_number(request, "lease", &lease_id) != 0) {
		(void)api_set_invalid(error, "the lease is not a number");
		return -1;
	}
	if (lease_id != 0 && !leases_has(&server->leases, lease_id)) {
		*error = (api_error_t){404, GRPC_NOT_FOUND,
		    "etcdserver: requested lease not found"};
		return -1;
	}
	value = get_value(request, error);
	if (value == NULL)
		return -1;
	(void)kv_put(server->kv, key, value, lease_id);
	g_bytes_unref(value);
	return 0;
}

/*
 * Writes one key unconditionally.
 */
json_t *
api_put(server_t *server, const json_t *request, api_error_t *error)
{
	if (put(server, request, error) != 0)
		return NULL;
	return json_pack(
	    "{s:o}", "header", api_header(server, server->kv->revision));
}

/*
 * Compares a key's mod_revision, which is 0 for an absent key, with the
 * expected one. Returns 1 when they are equal, 0 when not, or -1 with the
 * error.
 */
static int
compare(server_t *server, const json_t *comparison, api_error_t *error)
{
	g_autofree char *key = api_get_key(comparison, error);
	const char *target, *result;
	const kv_event_t *event;
	uint64_t expected;

	if (key == NULL)
		return -1;
	target = json_string_value(json_object_get(comparison, "target"));
	result = json_string_value(json_object_get(comparison, "result"));
	if (g_strcmp0(target, "MOD") != 0 || g_strcmp0(result, "EQUAL") != 0 ||
	    api_get_number(comparison, "mod_revision", &expected) != 0) {
		(void)api_set_invalid(
		    error, "only the comparison MOD EQUAL is supported");
		return -1;
	}
	event = kv_get(server->kv, key);
	return (event == NULL ? 0 : event->mod_revision) == expected;
}

/*
 * Executes a transaction of one comparison and one put, which is done when the
 * comparison holds.
 */
json_t *
api_txn(server_t *server, const json_t *request, api_error_t *error)
{
	const json_t *comparisons = json_object_get(request, "compare");
	const json_t *success = json_object_get(request, "success");
	const json_t *request_put;
	int equal;

	request_put =
	    json_object_get(json_array_get(success, 0), "request_put");
	if (json_array_size(comparisons) != 1 ||
	    json_array_size(success) != 1 || request_put == NULL)
		return api_set_invalid(
		    error, "a transaction must have one compare and one put");
	equal = compare(server, json_array_get(comparisons, 0), error);
	if (equal < 0 || (equal && put(server, request_put, error) != 0))
		return NULL;
	if (!equal)
		return json_pack("{s:o}", "header",
		    api_header(server, server->kv->revision));
	return json_pack("{s:o, s:b}", "header",
	    api_header(server, server->kv->revision), "succeeded", 1);
}
