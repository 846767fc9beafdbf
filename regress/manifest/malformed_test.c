#include <stdlib.h>
#include <string.h>

#include "example.h"
#include "manifest/manifest.h"

static guint
count_problems(const char *json, size_t size_bytes)
{
	g_autoptr(GArray) problems =
	    g_array_new(FALSE, FALSE, sizeof(manifest_problem_t));
	manifest_t *manifest;

	manifest = manifest_parse(json, size_bytes, problems);
	g_assert_true((manifest == NULL) == (problems->len > 0));
	manifest_free(manifest);
	return problems->len;
}

/*
 * Guards against a truncated, deeply nested, oversized or wrongly encoded
 * document that is accepted or crashes the parser.
 */
static void
test_documents(void)
{
	size_t large_bytes = 17 * 1024 * 1024;
	g_autofree char *deep = g_strnfill(100000, '[');
	g_autofree char *large = g_strnfill(large_bytes, ' ');

	for (size_t len = 0; len < strlen(EXAMPLE); len++)
		g_assert_cmpuint(count_problems(EXAMPLE, len), ==, 1);
	g_assert_cmpuint(count_problems(EXAMPLE, strlen(EXAMPLE)), ==, 0);
	g_assert_cmpuint(count_problems(deep, 100000), ==, 1);
	g_assert_cmpuint(count_problems(large, large_bytes), ==, 1);
	g_assert_cmpuint(count_problems("{\"version\": \"\xff\"}", 16), ==, 1);
	g_assert_cmpuint(count_problems("[]", 2), ==, 1);
	g_assert_cmpuint(count_problems("{\"a\":1,\"a\":1}", 13), ==, 1);
}

/*
 * Guards against a list of problems that grows without limit when a document
 * has thousands of malformed items.
 */
static void
test_many_problems(void)
{
	GString *json =
	    g_string_new("{\"version\":1,\"pools\":[],\"teams\":[0");

	for (int i = 0; i < 5000; i++)
		g_string_append(json, ",0");
	g_string_append(json, "]}");
	g_assert_cmpuint(count_problems(json->str, json->len), ==, 1000);
	g_string_free(json, TRUE);
}

/*
 * Guards against a malformed root record that is accepted as a generation, such
 * as one with a path in place of a content hash.
 */
static void
test_roots(void)
{
	static const char *const bad[] = {
	    "",
	    "[]",
	    "{}",
	    "{\"generation\":0,\"apply_id\":\"\",\"applied_by\":\"\","
	    "\"applied_at\":0,\"changed\":0,\"sections\":[]}",
	    "{\"generation\":\"1\",\"apply_id\":\"\",\"applied_by\":\"\","
	    "\"applied_at\":0,\"changed\":0,\"sections\":[]}",
	    "{\"generation\":1,\"apply_id\":\"\",\"applied_by\":\"\","
	    "\"applied_at\":0,\"changed\":0,\"sections\":{}}",
	    "{\"generation\":1,\"apply_id\":\"\",\"applied_by\":\"\","
	    "\"applied_at\":0,\"changed\":0,"
	    "\"sections\":[[\"teams\",\"../../dc/a/table\",1]]}",
	    "{\"generation\":1,\"generation\":2,\"apply_id\":\"\","
	    "\"applied_by\":\"\",\"applied_at\":0,\"changed\":0,"
	    "\"sections\":[]}",
	};
	gw_err_t err;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_assert_null(
		    manifest_root_decode(bad[i], strlen(bad[i]), &err));
		g_assert_cmpint(err.code, ==, GW_ERR_INVALID);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/malformed/documents", test_documents);
	g_test_add_func("/malformed/many-problems", test_many_problems);
	g_test_add_func("/malformed/roots", test_roots);
	return g_test_run();
}
