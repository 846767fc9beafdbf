#include <string.h>

#include "manifest/manifest.h"

/*
 * Looks up an item by the name at an offset in its struct; NULL when there is
 * none.
 */
static const void *
find(const GArray *list, size_t offset, const char *name)
{
	guint size_bytes = g_array_get_element_size((GArray *)list);
	const char *item = list->data;

	for (guint i = 0; i < list->len; i++, item += size_bytes)
		if (strcmp(item + offset, name) == 0)
			return item;
	return NULL;
}

/*
 * Looks up a team by name; NULL when there is none.
 */
const manifest_team_t *
manifest_find_team(const manifest_t *manifest, const char *name)
{
	return find(manifest->teams, offsetof(manifest_team_t, name), name);
}

/*
 * Looks up a pool by name; NULL when there is none.
 */
const manifest_pool_t *
manifest_find_pool(const manifest_t *manifest, const char *name)
{
	return find(manifest->pools, offsetof(manifest_pool_t, name), name);
}

/*
 * Looks up what a pool has in a data centre; NULL when it is not there.
 */
const manifest_site_t *
manifest_find_site(const manifest_pool_t *pool, const char *data_centre)
{
	return find(
	    pool->sites, offsetof(manifest_site_t, data_centre), data_centre);
}

/*
 * Looks up the budget of a pool; NULL when it has none.
 */
const manifest_budget_t *
manifest_find_budget(const manifest_t *manifest, const char *pool)
{
	return find(manifest->budgets, offsetof(manifest_budget_t, pool), pool);
}

static const char *const class_names[CLASS_COUNT] = {
    "quick", "settlement", "archive"};

/*
 * Returns the name of a request class as in the manifest.
 */
const char *
request_class_name(request_class_t request_class)
{
	return (size_t)request_class < CLASS_COUNT ? class_names[request_class]
						   : "?";
}

/*
 * Parses the name of a request class. Returns false when it is unknown.
 */
bool
request_class_parse(const char *name, request_class_t *request_class)
{
	for (size_t i = 0; i < CLASS_COUNT; i++) {
		if (strcmp(name, class_names[i]) != 0)
			continue;
		*request_class = (request_class_t)i;
		return true;
	}
	return false;
}
