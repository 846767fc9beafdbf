#include <stdio.h>
#include <string.h>

#include "manifest/field.h"
#include "manifest/problem.h"
#include "manifest/read.h"
#include "manifest/schema.h"

/* Limits the time of the checks that compare each item with all others. */
#define LIST_ITEMS_MAX 10000

/* Decodes the members of one object that its schema marks as FIELD_OTHER. */
typedef void (*decode_rest_t)(
    void *item, const json_t *object, const char *path, GArray *problems);

static void
decode_schema(const schema_t *schema, const json_t *object, const char *path,
    void *dest, GArray *problems)
{
	if (json_is_object(object))
		field_decode_all(object, path, schema->fields, schema->count,
		    dest, problems);
	else
		manifest_problem_add(problems, path, "must be an object");
}

static void
decode_quota(
    void *item, const json_t *object, const char *path, GArray *problems)
{
	char member[MANIFEST_PATH_BYTES];
	const json_t *quota = json_object_get(object, "quota");

	if (quota == NULL)
		return;
	field_path(member, path, "quota");
	decode_schema(&manifest_schema_quota, quota, member, item, problems);
}

/*
 * Decodes the name of a data centre, which is a key of the JSON object.
 */
static void
decode_data_centre(
    manifest_site_t *site, const char *name, const char *path, GArray *problems)
{
	static const field_t field = {"name", FIELD_NAME,
	    offsetof(manifest_site_t, data_centre), true, 0, 0, 0, 0};
	json_t *object = json_pack("{s:s}", "name", name);
	GArray *own = g_array_new(FALSE, FALSE, sizeof(manifest_problem_t));

	field_decode_all(object, path, &field, 1, site, own);
	if (own->len > 0)
		manifest_problem_add(problems, path, "the name %s",
		    g_array_index(own, manifest_problem_t, 0).reason);
	g_array_free(own, TRUE);
	json_decref(object);
}

static void
decode_sites(
    void *item, const json_t *object, const char *path, GArray *problems)
{
	char list[MANIFEST_PATH_BYTES], member[MANIFEST_PATH_BYTES];
	json_t *data_centres = json_object_get(object, "data_centres");
	manifest_pool_t *pool = item;
	manifest_site_t site;
	const json_t *value;
	const char *name;

	pool->sites = g_array_new(FALSE, FALSE, sizeof(manifest_site_t));
	field_path(list, path, "data_centres");
	if (data_centres != NULL && !json_is_object(data_centres))
		manifest_problem_add(problems, list, "must be an object");
	json_object_foreach(data_centres, name, value)
	{
		memset(&site, 0, sizeof(site));
		field_path(member, list, name);
		decode_data_centre(&site, name, member, problems);
		decode_schema(
		    &manifest_schema_site, value, member, &site, problems);
		g_array_append_val(pool->sites, site);
	}
}

static void
decode_wave_pools(manifest_wave_t *wave, const json_t *pools, const char *path,
    GArray *problems)
{
	char member[MANIFEST_PATH_BYTES];
	const json_t *value;
	size_t i;

	if (pools != NULL && !json_is_array(pools))
		manifest_problem_add(problems, path, "must be an array");
	json_array_foreach(pools, i, value)
	{
		if (json_is_string(value)) {
			g_ptr_array_add(
			    wave->pools, g_strdup(json_string_value(value)));
			continue;
		}
		(void)snprintf(member, sizeof(member), "%.130s[%zu]", path, i);
		manifest_problem_add(problems, member, "must be a string");
	}
}

static void
decode_wave_rest(
    void *item, const json_t *object, const char *path, GArray *problems)
{
	char member[MANIFEST_PATH_BYTES];
	const json_t *action = json_object_get(object, "action");
	manifest_wave_t *wave = item;

	wave->pools = g_ptr_array_new_with_free_func(g_free);
	field_path(member, path, "pools");
	decode_wave_pools(
	    wave, json_object_get(object, "pools"), member, problems);
	if (action == NULL ||
	    g_strcmp0(json_string_value(action), "reboot") == 0)
		return;
	field_path(member, path, "action");
	manifest_problem_add(problems, member, "must be \"reboot\"");
}

/*
 * Decodes one of the top-level arrays into dest. An item with problems is added
 * as well, so that indices in dest are those of the document.
 */
static void
decode_list(const json_t *document, const char *name, const schema_t *schema,
    GArray *dest, decode_rest_t rest, GArray *problems)
{
	char path[MANIFEST_PATH_BYTES];
	const json_t *list = json_object_get(document, name), *value;
	guint size_bytes = g_array_get_element_size(dest);
	char *item;
	size_t i;

	field_path(path, "$", name);
	if (list != NULL && !json_is_array(list))
		manifest_problem_add(problems, path, "must be an array");
	if (json_array_size(list) > LIST_ITEMS_MAX) {
		manifest_problem_add(
		    problems, path, "has more than %d items", LIST_ITEMS_MAX);
		return;
	}
	item = g_malloc(size_bytes);
	json_array_foreach(list, i, value)
	{
		(void)snprintf(path, sizeof(path), "$.%s[%zu]", name, i);
		memset(item, 0, size_bytes);
		decode_schema(schema, value, path, item, problems);
		if (rest != NULL)
			rest(item, value, path, problems);
		g_array_append_vals(dest, item, 1);
	}
	g_free(item);
}

static void
check_version(const json_t *document, GArray *problems)
{
	const json_t *version = json_object_get(document, "version");

	if (version != NULL &&
	    (!json_is_integer(version) ||
		json_integer_value(version) != MANIFEST_VERSION))
		manifest_problem_add(
		    problems, "$.version", "must be %d", MANIFEST_VERSION);
}

/*
 * Decodes a whole document. Items with problems are incomplete in the manifest,
 * but keep their index in its arrays, so that paths of later problems are
 * right.
 */
void
manifest_decode(manifest_t *manifest, const json_t *document, GArray *problems)
{
	char none;

	decode_schema(&manifest_schema_top, document, "$", &none, problems);
	if (!json_is_object(document))
		return;
	check_version(document, problems);
	decode_list(document, "teams", &manifest_schema_team, manifest->teams,
	    decode_quota, problems);
	decode_list(document, "pools", &manifest_schema_pool, manifest->pools,
	    decode_sites, problems);
	decode_list(document, "budgets", &manifest_schema_budget,
	    manifest->budgets, NULL, problems);
	decode_list(document, "lending", &manifest_schema_loan_rule,
	    manifest->lending, NULL, problems);
	decode_list(document, "routes", &manifest_schema_route,
	    manifest->routes, NULL, problems);
	decode_list(document, "waves", &manifest_schema_wave, manifest->waves,
	    decode_wave_rest, problems);
}
