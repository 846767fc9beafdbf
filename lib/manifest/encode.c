#include <stdlib.h>
#include <string.h>

#include "manifest/field.h"
#include "manifest/read.h"
#include "manifest/schema.h"

static json_t *
encode_schema(const schema_t *schema, const void *source)
{
	return field_encode_all(schema->fields, schema->count, source);
}

/*
 * Returns the teams as a JSON array.
 */
json_t *
manifest_encode_teams(const manifest_t *manifest)
{
	json_t *list = json_array(), *team;
	const manifest_team_t *source;

	for (guint i = 0; i < manifest->teams->len; i++) {
		source = &g_array_index(manifest->teams, manifest_team_t, i);
		team = encode_schema(&manifest_schema_team, source);
		json_object_set_new(team, "quota",
		    encode_schema(&manifest_schema_quota, source));
		json_array_append_new(list, team);
	}
	return list;
}

/*
 * Returns one pool as a JSON object.
 */
json_t *
manifest_encode_pool(const manifest_pool_t *pool)
{
	json_t *object = encode_schema(&manifest_schema_pool, pool);
	json_t *data_centres = json_object();
	const manifest_site_t *site;

	for (guint i = 0; i < pool->sites->len; i++) {
		site = &g_array_index(pool->sites, manifest_site_t, i);
		json_object_set_new(data_centres, site->data_centre,
		    encode_schema(&manifest_schema_site, site));
	}
	json_object_set_new(object, "data_centres", data_centres);
	return object;
}

/*
 * Returns the budgets of one pool, or of all when pool is NULL, as a JSON
 * array.
 */
json_t *
manifest_encode_budgets(const manifest_t *manifest, const char *pool)
{
	json_t *list = json_array();
	const manifest_budget_t *budget;

	for (guint i = 0; i < manifest->budgets->len; i++) {
		budget =
		    &g_array_index(manifest->budgets, manifest_budget_t, i);
		if (pool == NULL || strcmp(budget->pool, pool) == 0)
			json_array_append_new(list,
			    encode_schema(&manifest_schema_budget, budget));
	}
	return list;
}

/*
 * Returns the lending rules as a JSON array.
 */
json_t *
manifest_encode_lending(const manifest_t *manifest)
{
	json_t *list = json_array();

	for (guint i = 0; i < manifest->lending->len; i++)
		json_array_append_new(list,
		    encode_schema(&manifest_schema_loan_rule,
			&g_array_index(
			    manifest->lending, manifest_loan_rule_t, i)));
	return list;
}

/*
 * Returns the routes as a JSON array.
 */
json_t *
manifest_encode_routes(const manifest_t *manifest)
{
	json_t *list = json_array();

	for (guint i = 0; i < manifest->routes->len; i++)
		json_array_append_new(list,
		    encode_schema(&manifest_schema_route,
			&g_array_index(manifest->routes, manifest_route_t, i)));
	return list;
}

static json_t *
encode_wave(const manifest_wave_t *wave)
{
	json_t *object = encode_schema(&manifest_schema_wave, wave);
	json_t *pools = json_array();

	for (guint i = 0; i < wave->pools->len; i++)
		json_array_append_new(
		    pools, json_string(g_ptr_array_index(wave->pools, i)));
	json_object_set_new(object, "pools", pools);
	json_object_set_new(object, "action", json_string("reboot"));
	return object;
}

/*
 * Returns the waves as a JSON array.
 */
json_t *
manifest_encode_waves(const manifest_t *manifest)
{
	json_t *list = json_array();

	for (guint i = 0; i < manifest->waves->len; i++)
		json_array_append_new(list,
		    encode_wave(
			&g_array_index(manifest->waves, manifest_wave_t, i)));
	return list;
}

/*
 * Returns the whole manifest as indented JSON; the caller frees it with free().
 */
char *
manifest_to_json(const manifest_t *manifest)
{
	json_t *document, *pools = json_array();
	char *text;

	for (guint i = 0; i < manifest->pools->len; i++)
		json_array_append_new(pools,
		    manifest_encode_pool(
			&g_array_index(manifest->pools, manifest_pool_t, i)));
	document = json_pack("{s:i, s:o, s:o, s:o, s:o, s:o, s:o}", "version",
	    MANIFEST_VERSION, "teams", manifest_encode_teams(manifest), "pools",
	    pools, "budgets", manifest_encode_budgets(manifest, NULL),
	    "lending", manifest_encode_lending(manifest), "routes",
	    manifest_encode_routes(manifest), "waves",
	    manifest_encode_waves(manifest));
	text = json_dumps(document, JSON_INDENT(2));
	json_decref(document);
	return text;
}
