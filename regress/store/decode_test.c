#include <string.h>

#include <glib.h>

#include "store/decode.h"
#include "store/splitter.h"

#define KEY "/a"
#define KEY_64 "L2E="
#define HEADER "\"header\":{\"revision\":\"7\"}"

static gw_errc_t
range_code(const char *json, size_t size_bytes)
{
	store_value_t value;
	gw_err_t err = {0};
	int rc;

	rc = store_decode_range(json, size_bytes, KEY, &value, &err);
	g_free((char *)value.value);
	return rc == 0 ? GW_OK : err.code;
}

/*
 * Guards against a malformed response to a read being decoded as a value or as
 * "key absent": truncated, with duplicate keys, wrong types, invalid UTF-8 or
 * another key.
 */
static void
test_bad_ranges(void)
{
	static const char *const bad[] = {
	    "",
	    "[]",
	    "null",
	    "{" HEADER,
	    "{}",
	    "{\"header\":{}}",
	    "{\"header\":{\"revision\":\"-1\"}}",
	    "{\"header\":{\"revision\":\"18446744073709551616\"}}",
	    "{\"header\":{\"revision\":7.5}}",
	    "{" HEADER "," HEADER "}",
	    "{" HEADER ",\"kvs\":{}}",
	    "{" HEADER ",\"kvs\":[7]}",
	    "{" HEADER ",\"kvs\":[{\"key\":\"L2I=\",\"mod_revision\":\"1\"}]}",
	    "{" HEADER ",\"kvs\":[{\"key\":\"" KEY_64 "\"}]}",
	    "{" HEADER ",\"kvs\":[{\"key\":\"" KEY_64
	    "\",\"mod_revision\":\"1\",\"value\":7}]}",
	    "{" HEADER ",\"kvs\":[{\"key\":\"" KEY_64
	    "\",\"mod_revision\":\"1\",\"value\":\"*\"}]}",
	    "{" HEADER ",\"x\":\"\xff\"}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_cmpint(
		    range_code(bad[i], strlen(bad[i])), ==, GW_ERR_INVALID);
	g_assert_cmpint(
	    range_code("{" HEADER "}", strlen("{" HEADER "}")), ==, GW_OK);
}

/*
 * Guards against a crash on deep nesting, and against accepting a response that
 * is truncated at any byte.
 */
static void
test_depth_and_truncation(void)
{
	static const char good[] = "{" HEADER ",\"kvs\":[{\"key\":\"" KEY_64
				   "\",\"mod_revision\":\"3\"}]}";
	g_autofree char *deep = g_strnfill(200000, '[');

	g_assert_cmpint(range_code(deep, 200000), ==, GW_ERR_INVALID);
	for (size_t len = 0; len < strlen(good); len++)
		g_assert_cmpint(range_code(good, len), ==, GW_ERR_INVALID);
	g_assert_cmpint(range_code(good, strlen(good)), ==, GW_OK);
}

/*
 * Guards against reporting a write as done, or a lease as held, when the
 * response is malformed or says otherwise.
 */
static void
test_writes_and_leases(void)
{
	static const char conflict[] = "{" HEADER "}";
	static const char wrong[] = "{" HEADER ",\"succeeded\":\"true\"}";
	static const char expired[] = "{\"result\":{\"ID\":\"9\"}}";
	uint64_t number;
	uint32_t ttl_s;
	gw_err_t err;

	g_assert_cmpint(
	    store_decode_txn(conflict, strlen(conflict), &number, &err), ==,
	    -1);
	g_assert_cmpint(err.code, ==, GW_ERR_CONFLICT);
	g_assert_cmpint(
	    store_decode_txn(wrong, strlen(wrong), &number, &err), ==, -1);
	g_assert_cmpint(err.code, ==, GW_ERR_INVALID);
	g_assert_cmpint(store_decode_keepalive(
			    expired, strlen(expired), &number, &ttl_s, &err),
	    ==, -1);
	g_assert_cmpint(err.code, ==, GW_ERR_NOT_FOUND);
	g_assert_cmpint(
	    store_decode_lease("{\"ID\":\"0\"}", 10, &number, &ttl_s, &err), ==,
	    -1);
	g_assert_cmpint(err.code, ==, GW_ERR_INVALID);
}

/*
 * Guards against splitting a stream at a brace within a string, and against
 * buffering an endless object without a limit.
 */
static void
test_splitter(void)
{
	static const char stream[] = "{\"a\":\"}\\\"{\"}\n{\"b\":[{}]}{";
	g_autofree char *endless = g_strnfill(5 * 1024 * 1024, '{');
	store_splitter_t splitter;
	size_t size_bytes;
	char *object;

	store_splitter_init(&splitter);
	for (size_t i = 0; i < strlen(stream); i++)
		store_splitter_feed(&splitter, stream + i, 1);
	g_assert_cmpint(
	    store_splitter_next(&splitter, &object, &size_bytes), ==, 1);
	g_assert_cmpstr(object, ==, "{\"a\":\"}\\\"{\"}");
	g_free(object);
	g_assert_cmpint(
	    store_splitter_next(&splitter, &object, &size_bytes), ==, 1);
	g_assert_cmpstr(object, ==, "\n{\"b\":[{}]}");
	g_free(object);
	g_assert_cmpint(
	    store_splitter_next(&splitter, &object, &size_bytes), ==, 0);
	store_splitter_feed(&splitter, endless, 5 * 1024 * 1024);
	g_assert_cmpint(
	    store_splitter_next(&splitter, &object, &size_bytes), ==, -1);
	store_splitter_clear(&splitter);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/decode/ranges", test_bad_ranges);
	g_test_add_func("/decode/depth", test_depth_and_truncation);
	g_test_add_func("/decode/writes", test_writes_and_leases);
	g_test_add_func("/decode/splitter", test_splitter);
	return g_test_run();
}
