#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "flatten.h"

/*
 * Returns a label that identifies an item of a list, so that a reordered list
 * compares as equal: its name, route, lending pair or pool, else its index. The
 * caller frees it with g_free().
 */
static char *
item_label(const json_t *item, size_t index)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const char *from = json_string_value(json_object_get(item, "from"));
	const char *host = json_string_value(json_object_get(item, "host"));
	const char *prefix =
	    json_string_value(json_object_get(item, "path_prefix"));
	const char *pool = json_string_value(json_object_get(item, "pool"));

	if (name != NULL)
		return g_strdup(name);
	if (from != NULL)
		return g_strdup_printf("%s -> %s", from,
		    json_string_value(json_object_get(item, "to")));
	if (host != NULL || prefix != NULL)
		return g_strconcat(host == NULL ? "" : host,
		    prefix == NULL ? "" : prefix, NULL);
	if (pool != NULL)
		return g_strdup(pool);
	return g_strdup_printf("%zu", index);
}

static void
flatten(GTree *tree, const json_t *value, const char *path)
{
	const json_t *member;
	const char *name;
	char *text;
	size_t i;

	json_object_foreach((json_t *)value, name, member)
	{
		g_autofree char *inner = g_strconcat(path, ".", name, NULL);

		flatten(tree, member, inner);
	}
	json_array_foreach(value, i, member)
	{
		g_autofree char *label = item_label(member, i);
		g_autofree char *inner =
		    g_strconcat(path, "[", label, "]", NULL);

		flatten(tree, member, inner);
	}
	if (json_is_object(value) || json_is_array(value))
		return;
	text = json_dumps(value, JSON_ENCODE_ANY);
	g_tree_insert(tree, g_strdup(path), text);
}

static gint
compare_paths(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

/*
 * Returns the manifest's scalars by path. The caller frees them with
 * g_tree_destroy().
 */
GTree *
flatten_manifest(const manifest_t *manifest)
{
	char *text = manifest_to_json(manifest);
	json_t *document = json_loads(text, 0, NULL);
	GTree *tree;

	tree = g_tree_new_full(compare_paths, NULL, g_free, free);
	flatten(tree, document, "$");
	json_decref(document);
	free(text);
	return tree;
}
