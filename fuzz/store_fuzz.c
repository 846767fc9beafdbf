#include <string.h>

#include "store/decode.h"
#include "store/splitter.h"

#define KEY "/a"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

static void
decode_writes(const char *json, size_t size_bytes)
{
	uint64_t number;
	uint32_t ttl_s;
	gw_err_t err;

	(void)store_decode_put(json, size_bytes, &number, &err);
	(void)store_decode_txn(json, size_bytes, &number, &err);
	(void)store_decode_lease(json, size_bytes, &number, &ttl_s, &err);
	(void)store_decode_keepalive(json, size_bytes, &number, &ttl_s, &err);
	store_decode_error(500, json, size_bytes, true, &err);
}

static void
decode_range(const char *json, size_t size_bytes)
{
	store_value_t value;
	gw_err_t err;

	if (store_decode_range(json, size_bytes, KEY, &value, &err) == 0)
		g_assert((value.value == NULL) == (value.mod_revision == 0));
	g_free((char *)value.value);
}

/*
 * Decodes the stream of a watch, which arrives in two parts.
 */
static void
decode_stream(const char *data, size_t size_bytes)
{
	store_watch_response_t response;
	store_splitter_t splitter;
	size_t object_bytes;
	gw_err_t err;
	char *object;

	store_splitter_init(&splitter);
	store_splitter_feed(&splitter, data, size_bytes / 2);
	store_splitter_feed(
	    &splitter, data + size_bytes / 2, size_bytes - size_bytes / 2);
	while (store_splitter_next(&splitter, &object, &object_bytes) == 1) {
		(void)store_decode_watch(
		    object, object_bytes, KEY, &response, &err);
		store_watch_response_clear(&response);
		g_free(object);
	}
	store_splitter_clear(&splitter);
}

/*
 * Decodes the data as each kind of response of the store and as the stream of a
 * watch.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	const char *json = (const char *)data;

	decode_range(json, size_bytes);
	decode_writes(json, size_bytes);
	decode_stream(json, size_bytes);
	return 0;
}
