#include <stdlib.h>
#include <string.h>

#include "example.h"
#include "manifest/manifest.h"

static manifest_t *
parse(const char *json)
{
	g_autoptr(GArray) problems =
	    g_array_new(FALSE, FALSE, sizeof(manifest_problem_t));
	manifest_t *manifest;

	manifest = manifest_parse(json, strlen(json), problems);
	for (guint i = 0; i < problems->len; i++)
		g_test_message("%s: %s",
		    g_array_index(problems, manifest_problem_t, i).path,
		    g_array_index(problems, manifest_problem_t, i).reason);
	g_assert_nonnull(manifest);
	return manifest;
}

/*
 * Guards against content that is lost or reordered by splitting and joining,
 * and against hashes that depend on how the document was formatted.
 */
static void
test_split_and_join(void)
{
	g_autofree char *before = NULL, *after = NULL;
	manifest_t *manifest, *joined, *again;
	manifest_root_t *root, *other;
	gw_err_t err;

	manifest = parse(EXAMPLE);
	manifest->generation = 7;
	before = manifest_to_json(manifest);
	root = manifest_split(manifest);
	joined = manifest_join(root, &err);
	g_assert_nonnull(joined);
	g_assert_cmpuint(joined->generation, ==, 7);
	after = manifest_to_json(joined);
	g_assert_cmpstr(before, ==, after);
	again = parse(before);
	other = manifest_split(again);
	for (guint i = 0; i < root->sections->len; i++)
		g_assert_cmpstr(
		    ((manifest_section_t *)g_ptr_array_index(root->sections, i))
			->hash,
		    ==,
		    ((manifest_section_t *)g_ptr_array_index(
			 other->sections, i))
			->hash);
	manifest_root_free(root);
	manifest_root_free(other);
	manifest_free(manifest);
	manifest_free(joined);
	manifest_free(again);
}

/*
 * Guards against a manifest that is joined from wrong content: a changed body,
 * a section under another name, or a missing body.
 */
static void
test_join_refuses(void)
{
	manifest_t *manifest = parse(EXAMPLE);
	manifest_root_t *root = manifest_split(manifest);
	manifest_section_t *section;
	gw_err_t err;

	section = manifest_root_find(root, "pool/intake");
	g_assert_nonnull(section);
	section->body[10] ^= 1;
	g_assert_null(manifest_join(root, &err));
	g_assert_cmpint(err.code, ==, GW_ERR_INVALID);
	section->body[10] ^= 1;
	g_strlcpy(section->name, "pool/other", sizeof(section->name));
	g_assert_null(manifest_join(root, &err));
	g_assert_cmpint(err.code, ==, GW_ERR_INVALID);
	g_free(section->body);
	section->body = NULL;
	g_assert_null(manifest_join(root, &err));
	g_assert_cmpint(err.code, ==, GW_ERR_NOT_FOUND);
	manifest_root_free(root);
	manifest_free(manifest);
}

/*
 * Guards against a root record that changes when it is encoded and decoded, and
 * against a history that grows without limit.
 */
static void
test_root_and_history(void)
{
	manifest_t *manifest = parse(EXAMPLE);
	manifest_root_t *root, *before = NULL;
	char *text, *again;
	gw_err_t err;

	for (unsigned i = 1; i <= MANIFEST_HISTORY_MAX + 5; i++) {
		root = manifest_split(manifest);
		g_strlcpy(root->applied_by, "ops", sizeof(root->applied_by));
		manifest_root_set_previous(root, before);
		g_assert_cmpuint(root->generation, ==, i);
		g_assert_cmpuint(
		    root->history->len, ==, MIN(i - 1, MANIFEST_HISTORY_MAX));
		g_assert_cmpuint(root->sections_changed, ==, i == 1 ? 6 : 0);
		manifest_root_free(before);
		text = manifest_root_encode(root);
		before = manifest_root_decode(text, strlen(text), &err);
		g_assert_nonnull(before);
		again = manifest_root_encode(before);
		g_assert_cmpstr(text, ==, again);
		free(text);
		free(again);
		manifest_root_free(root);
	}
	manifest_root_free(before);
	manifest_free(manifest);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/section/split-and-join", test_split_and_join);
	g_test_add_func("/section/join-refuses", test_join_refuses);
	g_test_add_func("/section/root-and-history", test_root_and_history);
	return g_test_run();
}
