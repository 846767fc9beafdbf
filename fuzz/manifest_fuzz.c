#include <stdlib.h>
#include <string.h>

#include "manifest/manifest.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

/*
 * Checks that a valid manifest is the same after it has been split into
 * sections and joined again.
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
 * Checks that a valid root record is the same after it has been encoded,
 * decoded and encoded a second time.
 */
static void
check_root(const manifest_root_t *root)
{
	char *encoded = manifest_root_encode(root), *encoded_again;
	manifest_root_t *decoded;
	gw_err_t err;

	g_assert_nonnull(encoded);
	decoded = manifest_root_decode(encoded, strlen(encoded), &err);
	g_assert_nonnull(decoded);
	encoded_again = manifest_root_encode(decoded);
	g_assert_cmpstr(encoded, ==, encoded_again);
	free(encoded);
	free(encoded_again);
	manifest_root_free(decoded);
}

/*
 * Parses the data as a manifest and as a root record.
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
