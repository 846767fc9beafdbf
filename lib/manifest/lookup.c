#include <string.h>

#include "manifest/manifest.h"

/*
 * Returns the item whose name, at the offset, is the given one, or NULL.
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
 * Returns a team, or NULL.
 */
const manifest_team_t *
manifest_team(const manifest_t *manifest, const char *name)
{
	return find(manifest->teams, offsetof(manifest_team_t, name), name);
}

/*
 * Returns a pool, or NULL.
 */
const manifest_pool_t *
manifest_pool(const manifest_t *manifest, const char *name)
{
	return find(manifest->pools, offsetof(manifest_pool_t, name), name);
}

/*
 * Returns a pool's part in a data centre, or NULL when it has none there.
 */
const manifest_place_t *
manifest_place(const manifest_pool_t *pool, const char *data_centre)
{
	return find(
	    pool->places, offsetof(manifest_place_t, data_centre), data_centre);
}

/*
 * Returns the budget of a pool, or NULL when it has none.
 */
const manifest_budget_t *
manifest_budget(const manifest_t *manifest, const char *pool)
{
	return find(manifest->budgets, offsetof(manifest_budget_t, pool), pool);
}

static const char *const class_names[CLASS_COUNT] = {
    "quick", "settlement", "archive"};

/*
 * Returns the name of a class, as in the manifest.
 */
const char *
request_class_name(request_class_t request_class)
{
	return (size_t)request_class < CLASS_COUNT ? class_names[request_class]
						   : "?";
}

/*
 * Finds a class by name. Returns false when there is none.
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
