#include <stdio.h>
#include <string.h>

#include "manifest/field.h"
#include "manifest/problem.h"
#include "manifest/read.h"
#include "manifest/schema.h"

/* Bounds the time of the checks that compare each item with all others. */
#define LIST_MAX 10000

/* Reads the members of one object that its table does not cover. */
typedef void (*read_rest_t)(
    void *item, const json_t *object, const char *path, GArray *problems);

static void
read_schema(const schema_t *schema, const json_t *object, const char *path,
    void *dest, GArray *problems)
{
	if (json_is_object(object))
		field_read_all(object, path, schema->fields, schema->count,
		    dest, problems);
	else
		manifest_problem_add(problems, path, "must be an object");
}

static void
read_quota(void *item, const json_t *object, const char *path, GArray *problems)
{
	char member[MANIFEST_PATH_BYTES];
	const json_t *quota = json_object_get(object, "quota");

	if (quota == NULL)
		return;
	field_path(member, path, "quota");
	read_schema(&manifest_schema_quota, quota, member, item, problems);
}

/*
 * Takes the name of a data centre, which is a member's name.
 */
static void
read_data_centre(manifest_place_t *place, const char *name, const char *path,
    GArray *problems)
{
	static const field_t field = {"name", FIELD_NAME,
	    offsetof(manifest_place_t, data_centre), true, 0, 0, 0, 0};
	json_t *object = json_pack("{s:s}", "name", name);
	GArray *own = g_array_new(FALSE, FALSE, sizeof(manifest_problem_t));

	field_read_all(object, path, &field, 1, place, own);
	if (own->len > 0)
		manifest_problem_add(problems, path, "the name %s",
		    g_array_index(own, manifest_problem_t, 0).reason);
	g_array_free(own, TRUE);
	json_decref(object);
}

static void
read_places(
    void *item, const json_t *object, const char *path, GArray *problems)
{
	char list[MANIFEST_PATH_BYTES], member[MANIFEST_PATH_BYTES];
	json_t *places = json_object_get(object, "data_centres");
	manifest_pool_t *pool = item;
	manifest_place_t place;
	const json_t *value;
	const char *name;

	pool->places = g_array_new(FALSE, FALSE, sizeof(manifest_place_t));
	field_path(list, path, "data_centres");
	if (places != NULL && !json_is_object(places))
		manifest_problem_add(problems, list, "must be an object");
	json_object_foreach(places, name, value)
	{
		memset(&place, 0, sizeof(place));
		field_path(member, list, name);
		read_data_centre(&place, name, member, problems);
		read_schema(
		    &manifest_schema_place, value, member, &place, problems);
		g_array_append_val(pool->places, place);
	}
}

static void
read_wave_pools(manifest_wave_t *wave, const json_t *pools, const char *path,
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
read_wave_rest(
    void *item, const json_t *object, const char *path, GArray *problems)
{
	char member[MANIFEST_PATH_BYTES];
	const json_t *action = json_object_get(object, "action");
	manifest_wave_t *wave = item;

	wave->pools = g_ptr_array_new_with_free_func(g_free);
	field_path(member, path, "pools");
	read_wave_pools(
	    wave, json_object_get(object, "pools"), member, problems);
	if (action == NULL ||
	    g_strcmp0(json_string_value(action), "reboot") == 0)
		return;
	field_path(member, path, "action");
	manifest_problem_add(problems, member, "must be \"reboot\"");
}

/*
 * Reads one of the top-level arrays into dest, whose items have item_bytes.
 */
static void
read_list(const json_t *document, const char *name, const schema_t *schema,
    GArray *dest, read_rest_t rest, GArray *problems)
{
	char path[MANIFEST_PATH_BYTES];
	const json_t *list = json_object_get(document, name), *value;
	guint size_bytes = g_array_get_element_size(dest);
	char *item;
	size_t i;

	field_path(path, "$", name);
	if (list != NULL && !json_is_array(list))
		manifest_problem_add(problems, path, "must be an array");
	if (json_array_size(list) > LIST_MAX) {
		manifest_problem_add(
		    problems, path, "has more than %d items", LIST_MAX);
		return;
	}
	item = g_malloc(size_bytes);
	json_array_foreach(list, i, value)
	{
		(void)snprintf(path, sizeof(path), "$.%s[%zu]", name, i);
		memset(item, 0, size_bytes);
		read_schema(schema, value, path, item, problems);
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
 * Reads a whole document. The manifest is complete only without problems; its
 * arrays have the document's indices in any case.
 */
void
manifest_read(manifest_t *manifest, const json_t *document, GArray *problems)
{
	char none;

	read_schema(&manifest_schema_top, document, "$", &none, problems);
	if (!json_is_object(document))
		return;
	check_version(document, problems);
	read_list(document, "teams", &manifest_schema_team, manifest->teams,
	    read_quota, problems);
	read_list(document, "pools", &manifest_schema_pool, manifest->pools,
	    read_places, problems);
	read_list(document, "budgets", &manifest_schema_budget,
	    manifest->budgets, NULL, problems);
	read_list(document, "lending", &manifest_schema_loan_rule,
	    manifest->lending, NULL, problems);
	read_list(document, "routes", &manifest_schema_route, manifest->routes,
	    NULL, problems);
	read_list(document, "waves", &manifest_schema_wave, manifest->waves,
	    read_wave_rest, problems);
}
