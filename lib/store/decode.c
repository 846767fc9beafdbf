#include <string.h>

#include <jansson.h>

#include "store/base64.h"
#include "store/decode.h"

/* gRPC status codes in the gateway's error objects. */
#define GRPC_NOT_FOUND 5

static int
invalid(gw_err_t *err, const char *what)
{
	gw_err_set(
	    err, GW_ERR_INVALID, "decode store response", "", "%s", what);
	return -1;
}

/*
 * Parses one JSON object. Refuses duplicate keys, invalid UTF-8 and nesting
 * beyond jansson's limit.
 */
static json_t *
load_object(const char *json, size_t size_bytes, gw_err_t *err)
{
	json_error_t error;
	json_t *object;

	object = json_loadb(json, size_bytes, JSON_REJECT_DUPLICATES, &error);
	if (object == NULL) {
		gw_err_set(err, GW_ERR_INVALID, "decode store response", "",
		    "%.150s at byte %d", error.text, error.position);
		return NULL;
	}
	if (json_is_object(object))
		return object;
	json_decref(object);
	invalid(err, "the response is not an object");
	return NULL;
}

/*
 * Gets a 64-bit number, which the gateway writes as a string. A missing number
 * is 0, as proto3 omits default values.
 */
static int
get_number(const json_t *object, const char *key, uint64_t *number)
{
	const json_t *member = json_object_get(object, key);
	guint64 value = 0;

	*number = 0;
	if (member == NULL)
		return 0;
	if (json_is_integer(member) && json_integer_value(member) >= 0)
		value = (guint64)json_integer_value(member);
	else if (!json_is_string(member) ||
	    !g_ascii_string_to_unsigned(
		json_string_value(member), 10, 0, INT64_MAX, &value, NULL))
		return -1;
	*number = value;
	return 0;
}

static int
get_header_revision(const json_t *object, uint64_t *revision, gw_err_t *err)
{
	const json_t *header = json_object_get(object, "header");

	if (!json_is_object(header) ||
	    get_number(header, "revision", revision) != 0 || *revision == 0)
		return invalid(err, "header.revision is missing");
	return 0;
}

static bool
key_matches(const json_t *kv, const char *key)
{
	g_autofree char *encoded =
	    g_base64_encode((const guchar *)key, strlen(key));
	const char *text = json_string_value(json_object_get(kv, "key"));

	return text != NULL && strcmp(text, encoded) == 0;
}

/*
 * Decodes the revisions, the lease and the value of one key. out owns the
 * value.
 */
static int
get_kv(const json_t *kv, const char *key, store_value_t *out, gw_err_t *err)
{
	const json_t *value = json_object_get(kv, "value");
	size_t size_bytes = 0;

	if (!json_is_object(kv) || !key_matches(kv, key))
		return invalid(err, "the response has another key");
	if (get_number(kv, "create_revision", &out->create_revision) != 0 ||
	    get_number(kv, "mod_revision", &out->mod_revision) != 0 ||
	    get_number(kv, "lease", &out->lease_id) != 0)
		return invalid(err, "a revision is not a number");
	if (out->mod_revision == 0)
		return invalid(err, "mod_revision is missing");
	if (value != NULL && !json_is_string(value))
		return invalid(err, "the value is not a string");
	out->value = store_base64_decode(
	    value == NULL ? "" : json_string_value(value), &size_bytes);
	if (out->value == NULL)
		return invalid(err, "the value is not base64");
	out->size_bytes = size_bytes;
	return 0;
}

/*
 * Decodes the response to a read of one key. The caller frees the value.
 */
int
store_decode_range(const char *json, size_t size_bytes, const char *key,
    store_value_t *out, gw_err_t *err)
{
	json_t *object, *kvs;
	int rc = -1;

	memset(out, 0, sizeof(*out));
	object = load_object(json, size_bytes, err);
	if (object == NULL)
		return -1;
	if (get_header_revision(object, &out->store_revision, err) != 0)
		goto out;
	kvs = json_object_get(object, "kvs");
	if (kvs != NULL && !json_is_array(kvs))
		invalid(err, "kvs is not an array");
	else if (json_array_size(kvs) > 1)
		invalid(err, "more than one key in the response");
	else if (json_array_size(kvs) == 0)
		rc = 0;
	else
		rc = get_kv(json_array_get(kvs, 0), key, out, err);
out:
	json_decref(object);
	return rc;
}

/*
 * Decodes the response to an unconditional write. The store's revision after a
 * write is the mod_revision of the key that was written.
 */
int
store_decode_put(
    const char *json, size_t size_bytes, uint64_t *mod_revision, gw_err_t *err)
{
	json_t *object;
	int rc;

	object = load_object(json, size_bytes, err);
	if (object == NULL)
		return -1;
	rc = get_header_revision(object, mod_revision, err);
	json_decref(object);
	return rc;
}

/*
 * Decodes the response to a conditional write. Fails with GW_ERR_CONFLICT when
 * the comparison failed.
 */
int
store_decode_txn(
    const char *json, size_t size_bytes, uint64_t *mod_revision, gw_err_t *err)
{
	json_t *object, *succeeded;
	int rc;

	object = load_object(json, size_bytes, err);
	if (object == NULL)
		return -1;
	succeeded = json_object_get(object, "succeeded");
	rc = get_header_revision(object, mod_revision, err);
	if (rc == 0 && succeeded != NULL && !json_is_boolean(succeeded))
		rc = invalid(err, "succeeded is not a boolean");
	if (rc == 0 && !json_is_true(succeeded)) {
		gw_err_set(err, GW_ERR_CONFLICT, "compare", "",
		    "not written: the key does not have the expected revision");
		rc = -1;
	}
	json_decref(object);
	return rc;
}

static int
get_lease(
    const json_t *object, uint64_t *lease_id, uint32_t *ttl_s, gw_err_t *err)
{
	uint64_t ttl;

	if (get_number(object, "ID", lease_id) != 0 || *lease_id == 0)
		return invalid(err, "ID is missing");
	if (get_number(object, "TTL", &ttl) != 0 || ttl > UINT32_MAX)
		return invalid(err, "TTL is not a number");
	if (ttl == 0) {
		gw_err_set(err, GW_ERR_NOT_FOUND, "renew lease", "",
		    "the lease has expired");
		return -1;
	}
	*ttl_s = (uint32_t)ttl;
	return 0;
}

/*
 * Decodes the response to the grant of a lease.
 */
int
store_decode_lease(const char *json, size_t size_bytes, uint64_t *lease_id,
    uint32_t *ttl_s, gw_err_t *err)
{
	json_t *object;
	int rc;

	object = load_object(json, size_bytes, err);
	if (object == NULL)
		return -1;
	rc = get_lease(object, lease_id, ttl_s, err);
	json_decref(object);
	return rc;
}

/*
 * Decodes the response to a renewal, which the gateway wraps as the message of
 * a stream. TTL 0 means that the lease has expired: GW_ERR_NOT_FOUND.
 */
int
store_decode_keepalive(const char *json, size_t size_bytes, uint64_t *lease_id,
    uint32_t *ttl_s, gw_err_t *err)
{
	json_t *object, *result;
	int rc;

	object = load_object(json, size_bytes, err);
	if (object == NULL)
		return -1;
	result = json_object_get(object, "result");
	rc = json_is_object(result) ? get_lease(result, lease_id, ttl_s, err)
				    : invalid(err, "result is missing");
	json_decref(object);
	return rc;
}

/*
 * Decodes one event. A deletion gives an absent key.
 */
static int
get_event(
    const json_t *event, const char *key, store_value_t *out, gw_err_t *err)
{
	const char *type = json_string_value(json_object_get(event, "type"));

	memset(out, 0, sizeof(*out));
	if (get_kv(json_object_get(event, "kv"), key, out, err) != 0)
		return -1;
	out->store_revision = out->mod_revision;
	if (type == NULL || strcmp(type, "DELETE") != 0)
		return 0;
	g_free((char *)out->value);
	out->value = NULL;
	out->size_bytes = 0;
	out->mod_revision = out->create_revision = out->lease_id = 0;
	return 0;
}

/*
 * Decodes the cancellation of a watch by the store: GW_ERR_NOT_FOUND when the
 * history was compacted, else GW_ERR_UNAVAILABLE with the store's reason.
 */
static void
get_cancellation(const json_t *result, store_watch_response_t *out)
{
	const char *reason;
	uint64_t compact_revision;

	reason = json_string_value(json_object_get(result, "cancel_reason"));
	out->ended = true;
	if (get_number(result, "compact_revision", &compact_revision) == 0 &&
	    compact_revision != 0)
		gw_err_set(&out->end, GW_ERR_NOT_FOUND, "watch", "",
		    "history before revision %" PRIu64 " was compacted",
		    compact_revision);
	else
		gw_err_set(&out->end, GW_ERR_UNAVAILABLE, "watch", "",
		    "cancelled by the store: %.100s",
		    reason == NULL ? "no reason given" : reason);
}

static int
get_events(const json_t *events, const char *key, store_watch_response_t *out,
    gw_err_t *err)
{
	store_value_t value;
	const json_t *event;
	size_t i;

	json_array_foreach(events, i, event)
	{
		if (get_event(event, key, &value, err) != 0) {
			g_free((char *)value.value);
			return -1;
		}
		g_array_append_val(out->values, value);
	}
	return 0;
}

/*
 * Decodes the error of a stream: a string, or an object with a message.
 */
static void
get_stream_error(const json_t *error, store_watch_response_t *out)
{
	const char *text = json_string_value(error);

	if (text == NULL)
		text = json_string_value(json_object_get(error, "message"));
	out->ended = true;
	gw_err_set(&out->end, GW_ERR_UNAVAILABLE, "watch", "",
	    "refused by the store: %.150s", text == NULL ? "no reason" : text);
}

/*
 * Decodes one message of a watch's stream. The caller clears out whatever the
 * result.
 */
int
store_decode_watch(const char *json, size_t size_bytes, const char *key,
    store_watch_response_t *out, gw_err_t *err)
{
	json_t *object, *result, *events, *error;
	int rc = -1;

	memset(out, 0, sizeof(*out));
	out->values = g_array_new(FALSE, FALSE, sizeof(store_value_t));
	object = load_object(json, size_bytes, err);
	if (object == NULL)
		return -1;
	result = json_object_get(object, "result");
	events = json_object_get(result, "events");
	error = json_object_get(object, "error");
	if (error != NULL) {
		get_stream_error(error, out);
		rc = 0;
	} else if (!json_is_object(result))
		invalid(err, "result is missing");
	else if (events != NULL && !json_is_array(events))
		invalid(err, "events is not an array");
	else
		rc = get_events(events, key, out, err);
	if (rc == 0 && json_is_true(json_object_get(result, "canceled")))
		get_cancellation(result, out);
	json_decref(object);
	return rc;
}

/*
 * Frees the values of a decoded watch message.
 */
void
store_watch_response_clear(store_watch_response_t *response)
{
	for (guint i = 0; i < response->values->len; i++)
		g_free((char *)g_array_index(response->values, store_value_t, i)
			   .value);
	g_array_free(response->values, TRUE);
	response->values = NULL;
}

/*
 * Sets the error for a status other than 200. The store responds with 5xx also
 * when it stopped waiting for a write that may still take effect, so that a
 * write with 5xx is GW_ERR_UNKNOWN; a read with 5xx is GW_ERR_UNAVAILABLE.
 */
void
store_decode_error(int status, const char *json, size_t size_bytes,
    bool is_write, gw_err_t *err)
{
	json_t *object = json_loadb(json, size_bytes, 0, NULL);
	const char *text = json_string_value(json_object_get(object, "error"));
	const json_t *grpc = json_object_get(object, "code");
	gw_errc_t code = GW_ERR_INVALID;

	if (json_integer_value(grpc) == GRPC_NOT_FOUND || status == 404)
		code = GW_ERR_NOT_FOUND;
	else if (status >= 500 || status < 400)
		code = is_write ? GW_ERR_UNKNOWN : GW_ERR_UNAVAILABLE;
	gw_err_set(err, code, "store response", "", "status %d: %.150s", status,
	    text == NULL ? "no error object" : text);
	json_decref(object);
}
