#include <stdio.h>

#include "manifest/check.h"
#include "manifest/problem.h"

static void
check_route(const manifest_t *manifest, guint index, GArray *problems)
{
	const manifest_route_t *route =
	    &g_array_index(manifest->routes, manifest_route_t, index);
	const manifest_pool_t *pool = manifest_find_pool(manifest, route->pool);
	char path[64];

	(void)snprintf(path, sizeof(path), "$.routes[%u].pool", index);
	if (pool == NULL && *route->pool != '\0')
		manifest_problem_add(
		    problems, path, "pool \"%s\" is not defined", route->pool);
	if (pool != NULL && pool->spare)
		manifest_problem_add(problems, path,
		    "pool \"%s\" is a spare pool, which serves no route",
		    route->pool);
}

/*
 * Reports a route that matches the same requests as an earlier one, or that has
 * neither host nor path_prefix.
 */
static void
check_unique_match(const manifest_route_t *route, guint index, GHashTable *seen,
    GArray *problems)
{
	char path[64], *key;
	gpointer earlier;

	(void)snprintf(path, sizeof(path), "$.routes[%u]", index);
	if (*route->host == '\0' && *route->path_prefix == '\0') {
		if (!manifest_has_problem_at(problems, path, ".host") &&
		    !manifest_has_problem_at(problems, path, ".path_prefix"))
			manifest_problem_add(
			    problems, path, "needs host, path_prefix or both");
		return;
	}
	key = g_strdup_printf("%s %s", route->host, route->path_prefix);
	if (g_hash_table_lookup_extended(seen, key, NULL, &earlier)) {
		manifest_problem_add(problems, path,
		    "matches the same requests as $.routes[%u]",
		    GPOINTER_TO_UINT(earlier));
		g_free(key);
		return;
	}
	g_hash_table_insert(seen, key, GUINT_TO_POINTER(index));
}

/*
 * Checks the routes.
 */
void
manifest_check_routes(const manifest_t *manifest, GArray *problems)
{
	g_autoptr(GHashTable) seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < manifest->routes->len; i++) {
		check_route(manifest, i, problems);
		check_unique_match(
		    &g_array_index(manifest->routes, manifest_route_t, i), i,
		    seen, problems);
	}
}
