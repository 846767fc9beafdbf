#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "store/request.h"

/*
 * Returns data as a JSON string in base64.
 */
static json_t *
base64_string(const void *data, uint64_t size_bytes)
{
	g_autofree char *text = g_base64_encode(data, size_bytes);

	return json_string(text);
}

static json_t *
key_string(const char *key)
{
	return base64_string(key, strlen(key));
}

/*
 * Returns a 64-bit number as a JSON string, as the gateway writes them.
 */
static json_t *
number_string(uint64_t number)
{
	return json_sprintf("%" PRIu64, number);
}

/*
 * Encodes the body and drops the reference to it.
 */
static char *
encode_and_free(json_t *body)
{
	char *text;

	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (text == NULL)
		g_error("cannot encode a store request");
	return text;
}

/*
 * Encodes a linearizable read of one key.
 */
char *
store_encode_range(const char *key)
{
	return encode_and_free(json_pack("{s:o}", "key", key_string(key)));
}

static json_t *
put_object(
    const char *key, const void *value, uint64_t size_bytes, uint64_t lease_id)
{
	json_t *put;

	put = json_pack("{s:o, s:o}", "key", key_string(key), "value",
	    base64_string(value, size_bytes));
	if (lease_id != 0)
		json_object_set_new(put, "lease", number_string(lease_id));
	return put;
}

/*
 * Encodes an unconditional write. lease_id 0 attaches no lease.
 */
char *
store_encode_put(
    const char *key, const void *value, uint64_t size_bytes, uint64_t lease_id)
{
	return encode_and_free(put_object(key, value, size_bytes, lease_id));
}

/*
 * Encodes a write that is done only when the key's mod_revision is the expected
 * one (0: the key is absent).
 */
char *
store_encode_put_if(const char *key, uint64_t expected_mod_revision,
    const void *value, uint64_t size_bytes, uint64_t lease_id)
{
	json_t *compare;

	compare = json_pack("{s:o, s:s, s:s, s:o}", "key", key_string(key),
	    "target", "MOD", "result", "EQUAL", "mod_revision",
	    number_string(expected_mod_revision));
	return encode_and_free(
	    json_pack("{s:[o], s:[{s:o}]}", "compare", compare, "success",
		"request_put", put_object(key, value, size_bytes, lease_id)));
}

/*
 * Encodes the grant of a lease. The store chooses the id.
 */
char *
store_encode_lease_grant(uint32_t ttl_s)
{
	return encode_and_free(
	    json_pack("{s:o, s:s}", "TTL", number_string(ttl_s), "ID", "0"));
}

/*
 * Encodes the renewal or revocation of a lease.
 */
char *
store_encode_lease_id(uint64_t lease_id)
{
	return encode_and_free(
	    json_pack("{s:o}", "ID", number_string(lease_id)));
}

/*
 * Encodes a watch of one key. from_revision 0 starts with the next change.
 */
char *
store_encode_watch(const char *key, uint64_t from_revision)
{
	return encode_and_free(json_pack("{s:{s:o, s:o}}", "create_request",
	    "key", key_string(key), "start_revision",
	    number_string(from_revision)));
}
