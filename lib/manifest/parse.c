#include <string.h>

#include "manifest/check.h"
#include "manifest/problem.h"
#include "manifest/read.h"

/* More than ten times the manifest that the fleet will have in two years. */
#define DOCUMENT_MAX_BYTES (16 * 1024 * 1024)

static void
pool_clear(gpointer data)
{
	manifest_pool_t *pool = data;

	if (pool->sites != NULL)
		g_array_free(pool->sites, TRUE);
}

static void
wave_clear(gpointer data)
{
	manifest_wave_t *wave = data;

	if (wave->pools != NULL)
		g_ptr_array_free(wave->pools, TRUE);
}

/*
 * Returns an empty manifest.
 */
manifest_t *
manifest_new(void)
{
	manifest_t *manifest;

	manifest = g_new0(manifest_t, 1);
	manifest->teams = g_array_new(FALSE, TRUE, sizeof(manifest_team_t));
	manifest->pools = g_array_new(FALSE, TRUE, sizeof(manifest_pool_t));
	manifest->budgets = g_array_new(FALSE, TRUE, sizeof(manifest_budget_t));
	manifest->lending =
	    g_array_new(FALSE, TRUE, sizeof(manifest_loan_rule_t));
	manifest->routes = g_array_new(FALSE, TRUE, sizeof(manifest_route_t));
	manifest->waves = g_array_new(FALSE, TRUE, sizeof(manifest_wave_t));
	g_array_set_clear_func(manifest->pools, pool_clear);
	g_array_set_clear_func(manifest->waves, wave_clear);
	return manifest;
}

/*
 * Frees a manifest and everything it owns; NULL is allowed.
 */
void
manifest_free(manifest_t *manifest)
{
	if (manifest == NULL)
		return;
	g_array_free(manifest->teams, TRUE);
	g_array_free(manifest->pools, TRUE);
	g_array_free(manifest->budgets, TRUE);
	g_array_free(manifest->lending, TRUE);
	g_array_free(manifest->routes, TRUE);
	g_array_free(manifest->waves, TRUE);
	g_free(manifest);
}

/*
 * Decodes and checks a parsed document. Returns NULL when a problem was added.
 */
manifest_t *
manifest_decode_checked(const json_t *document, GArray *problems)
{
	guint problems_before = problems->len;
	manifest_t *manifest;

	manifest = manifest_new();
	manifest_decode(manifest, document, problems);
	manifest_check(manifest, problems);
	if (problems->len == problems_before)
		return manifest;
	manifest_free(manifest);
	return NULL;
}

/*
 * Parses and checks a document. Returns NULL with at least one problem. A
 * document that is too large or not valid JSON (invalid UTF-8 and duplicate
 * keys included) gives one problem, any other all that were found.
 */
manifest_t *
manifest_parse(const char *json, uint64_t size_bytes, GArray *problems)
{
	guint problems_before = problems->len;
	manifest_t *manifest;
	json_error_t error;
	json_t *document;

	if (size_bytes > DOCUMENT_MAX_BYTES) {
		manifest_problem_add(problems, "$",
		    "%" PRIu64 " bytes exceed the limit of %d", size_bytes,
		    DOCUMENT_MAX_BYTES);
		return NULL;
	}
	document = json_loadb(json, size_bytes, JSON_REJECT_DUPLICATES, &error);
	if (document == NULL) {
		manifest_problem_add(problems, "$",
		    "not valid JSON at line %d, column %d: %s", error.line,
		    error.column, error.text);
		return NULL;
	}
	manifest = manifest_decode_checked(document, problems);
	json_decref(document);
	if (manifest == NULL)
		return NULL;
	manifest_check_sizes(manifest, problems);
	if (problems->len == problems_before)
		return manifest;
	manifest_free(manifest);
	return NULL;
}
