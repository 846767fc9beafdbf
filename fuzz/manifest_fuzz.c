#include <stdlib.h>
#include <string.h>

#include "manifest/manifest.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

/*
 * An accepted manifest must be the same after its way through the sections.
 */
static void
check_sections(const manifest_t *manifest)
{
	manifest_root_t *root = manifest_split(manifest);
	char *before = manifest_to_json(manifest), *after;
	manifest_t *joined;
	gw_err_t err;

	joined = manifest_join(root, &err);
	g_assert_nonnull(joined);
	after = manifest_to_json(joined);
	g_assert_cmpstr(before, ==, after);
	free(before);
	free(after);
	manifest_free(joined);
	manifest_root_free(root);
}

/*
 * An accepted root record must be the same after it is encoded again.
 */
static void
check_root(const manifest_root_t *root)
{
	char *text = manifest_root_encode(root), *again;
	manifest_root_t *other;
	gw_err_t err;

	g_assert_nonnull(text);
	other = manifest_root_decode(text, strlen(text), &err);
	g_assert_nonnull(other);
	again = manifest_root_encode(other);
	g_assert_cmpstr(text, ==, again);
	free(text);
	free(again);
	manifest_root_free(other);
}

/*
 * The parsers of the manifest and of the root record.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	GArray *problems =
	    g_array_new(FALSE, FALSE, sizeof(manifest_problem_t));
	manifest_t *manifest;
	manifest_root_t *root;
	gw_err_t err;

	manifest = manifest_parse((const char *)data, size_bytes, problems);
	g_assert((manifest == NULL) == (problems->len > 0));
	if (manifest != NULL)
		check_sections(manifest);
	root = manifest_root_decode((const char *)data, size_bytes, &err);
	if (root != NULL)
		check_root(root);
	manifest_root_free(root);
	manifest_free(manifest);
	g_array_free(problems, TRUE);
	return 0;
}
