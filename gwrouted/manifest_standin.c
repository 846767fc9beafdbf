/*
 * Stands in for lib/manifest until that arrives: teams, pools and routes in one
 * section.
 */
#include <string.h>

#include <jansson.h>

#include "gw/id.h"
#include "manifest/manifest.h"

static char *last_json;

static void
copy(char *to, size_t size_bytes, json_t *from, const char *key)
{
	const char *text = json_string_value(json_object_get(from, key));

	g_strlcpy(to, text == NULL ? "" : text, size_bytes);
}

manifest_t *
manifest_parse(const char *json, uint64_t size_bytes, GArray *problems)
{
	json_t *root = json_loadb(json, size_bytes, 0, NULL), *value, *flag;
	manifest_t *m;
	size_t i;

	(void)problems;
	if (root == NULL)
		return NULL;
	g_free(last_json);
	last_json = g_strndup(json, size_bytes);
	m = g_new0(manifest_t, 1);
	m->teams = g_array_new(FALSE, TRUE, sizeof(manifest_team_t));
	m->pools = g_array_new(FALSE, TRUE, sizeof(manifest_pool_t));
	m->routes = g_array_new(FALSE, TRUE, sizeof(manifest_route_t));
	json_array_foreach(json_object_get(root, "teams"), i, value)
	{
		manifest_team_t team = {0};

		copy(team.name, sizeof(team.name), value, "name");
		team.weight = (uint32_t)json_integer_value(
		    json_object_get(value, "weight"));
		g_array_append_val(m->teams, team);
	}
	json_array_foreach(json_object_get(root, "pools"), i, value)
	{
		manifest_pool_t pool = {0};

		copy(pool.name, sizeof(pool.name), value, "name");
		copy(pool.team, sizeof(pool.team), value, "team");
		g_array_append_val(m->pools, pool);
	}
	json_array_foreach(json_object_get(root, "routes"), i, value)
	{
		manifest_route_t route = {0};
		char text[32];

		copy(route.host, sizeof(route.host), value, "host");
		copy(route.path_prefix, sizeof(route.path_prefix), value,
		    "path_prefix");
		copy(route.pool, sizeof(route.pool), value, "pool");
		copy(text, sizeof(text), value, "class");
		(void)request_class_parse(text, &route.request_class);
		route.deadline_ms = (uint32_t)json_integer_value(
		    json_object_get(value, "deadline_ms"));
		flag = json_object_get(value, "idempotent");
		route.idempotent_set = flag != NULL;
		route.idempotent = json_is_true(flag);
		g_array_append_val(m->routes, route);
	}
	json_decref(root);
	return m;
}

void
manifest_free(manifest_t *m)
{
	if (m == NULL)
		return;
	g_array_unref(m->teams);
	g_array_unref(m->pools);
	g_array_unref(m->routes);
	g_free(m);
}

static manifest_root_t *
root_of(const char *json, size_t size_bytes)
{
	manifest_root_t *root = g_new0(manifest_root_t, 1);
	manifest_section_t *section = g_new0(manifest_section_t, 1);

	root->sections = g_ptr_array_new();
	g_strlcpy(section->name, "teams", sizeof(section->name));
	gw_id_content(json, size_bytes, section->hash);
	section->body = g_strndup(json, size_bytes);
	section->size_bytes = (uint32_t)size_bytes;
	g_ptr_array_add(root->sections, section);
	return root;
}

manifest_root_t *
manifest_split(const manifest_t *m)
{
	(void)m;
	return root_of(last_json, strlen(last_json));
}

char *
manifest_root_encode(const manifest_root_t *root)
{
	manifest_section_t *section = root->sections->pdata[0];

	return g_strdup(section->body);
}

manifest_root_t *
manifest_root_decode(const char *json, uint64_t size_bytes, gw_err_t *err)
{
	(void)err;
	return root_of(json, size_bytes);
}

manifest_t *
manifest_join(const manifest_root_t *root, gw_err_t *err)
{
	manifest_section_t *section = root->sections->pdata[0];
	manifest_t *m =
	    manifest_parse(section->body, strlen(section->body), NULL);

	if (m == NULL)
		gw_err_set(err, GW_ERR_INVALID, "parse manifest", "", "bad");
	return m;
}

void
manifest_root_free(manifest_root_t *root)
{
	manifest_section_t *section = root->sections->pdata[0];

	g_free(section->body);
	g_free(section);
	g_ptr_array_unref(root->sections);
	g_free(root);
}

const manifest_team_t *
manifest_team(const manifest_t *m, const char *name)
{
	for (guint i = 0; i < m->teams->len; i++)
		if (strcmp(g_array_index(m->teams, manifest_team_t, i).name,
			name) == 0)
			return &g_array_index(m->teams, manifest_team_t, i);
	return NULL;
}

const manifest_pool_t *
manifest_pool(const manifest_t *m, const char *name)
{
	for (guint i = 0; i < m->pools->len; i++)
		if (strcmp(g_array_index(m->pools, manifest_pool_t, i).name,
			name) == 0)
			return &g_array_index(m->pools, manifest_pool_t, i);
	return NULL;
}

const manifest_route_t *
manifest_match(const manifest_t *m, const char *host, const char *path)
{
	for (guint i = 0; i < m->routes->len; i++) {
		const manifest_route_t *r =
		    &g_array_index(m->routes, manifest_route_t, i);

		if ((r->host[0] == '\0' || strcmp(r->host, host) == 0) &&
		    g_str_has_prefix(path, r->path_prefix))
			return r;
	}
	return NULL;
}

const char *
request_class_name(request_class_t c)
{
	static const char *const names[] = {"quick", "settlement", "archive"};

	return names[c];
}

bool
request_class_parse(const char *text, request_class_t *c)
{
	for (int i = 0; i < CLASS_COUNT; i++)
		if (strcmp(text, request_class_name((request_class_t)i)) == 0) {
			*c = (request_class_t)i;
			return true;
		}
	return false;
}
