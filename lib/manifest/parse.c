#include <string.h>

#include "manifest/check.h"
#include "manifest/problem.h"
#include "manifest/read.h"

/* More than ten times the manifest of the fleet in two years. */
#define DOCUMENT_MAX_BYTES (16 * 1024 * 1024)

static void
pool_clear(gpointer data)
{
	manifest_pool_t *pool = data;

	if (pool->places != NULL)
		g_array_free(pool->places, TRUE);
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
 * Frees a manifest and all that it holds.
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
 * Reads and checks a parsed document. Returns NULL with problems.
 */
manifest_t *
manifest_from_value(const json_t *document, GArray *problems)
{
	guint before = problems->len;
	manifest_t *manifest;

	manifest = manifest_new();
	manifest_read(manifest, document, problems);
	manifest_check(manifest, problems);
	if (problems->len == before)
		return manifest;
	manifest_free(manifest);
	return NULL;
}

/*
 * Parses and checks a document. Returns NULL with at least one problem: one for
 * a document that is not JSON (invalid UTF-8 and repeated keys included),
 * otherwise all that were found.
 */
manifest_t *
manifest_parse(const char *json, uint64_t size_bytes, GArray *problems)
{
	guint before = problems->len;
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
	manifest = manifest_from_value(document, problems);
	json_decref(document);
	if (manifest == NULL)
		return NULL;
	manifest_check_sizes(manifest, problems);
	if (problems->len == before)
		return manifest;
	manifest_free(manifest);
	return NULL;
}
