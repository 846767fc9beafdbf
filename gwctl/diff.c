#include <stdio.h>
#include <sysexits.h>

#include "check.h"
#include "command.h"
#include "fetch.h"
#include "flatten.h"
#include "report.h"

/* A comparison of the scalars of two manifests, each sorted by path. */
typedef struct {
	const ctl_t *ctl;
	GTree *other; /* the manifest that is compared against */
	bool reverse; /* report only paths missing in other, as removed */
	json_t *changes;
} diff_t;

static void
add_change(diff_t *diff, const char *path, const char *old, const char *new)
{
	json_t *change = json_pack("{s:s}", "path", path);

	if (old != NULL)
		json_object_set_new(
		    change, "old", json_loads(old, JSON_DECODE_ANY, NULL));
	if (new != NULL)
		json_object_set_new(
		    change, "new", json_loads(new, JSON_DECODE_ANY, NULL));
	json_array_append_new(diff->changes, change);
	if (diff->ctl->json)
		return;
	if (old == NULL)
		(void)printf("+ %s: %s\n", path, new);
	else if (new == NULL)
		(void)printf("- %s: %s\n", path, old);
	else
		(void)printf("~ %s: %s -> %s\n", path, old, new);
}

static gboolean
compare_entry(gpointer path, gpointer value, gpointer data)
{
	diff_t *diff = data;
	const char *other = g_tree_lookup(diff->other, path);

	if (diff->reverse && other == NULL)
		add_change(diff, path, value, NULL);
	if (!diff->reverse && g_strcmp0(other, value) != 0)
		add_change(diff, path, other, value);
	return FALSE;
}

/*
 * Prints what the new manifest adds, changes and removes. Returns EXIT_DIFFERS
 * when the manifests differ, else EX_OK.
 */
static int
print_diff(const ctl_t *ctl, const manifest_t *old, const manifest_t *new)
{
	GTree *old_tree = flatten_manifest(old);
	GTree *new_tree = flatten_manifest(new);
	diff_t diff = {ctl, old_tree, false, json_array()};
	size_t count;

	g_tree_foreach(new_tree, compare_entry, &diff);
	diff.other = new_tree;
	diff.reverse = true;
	g_tree_foreach(old_tree, compare_entry, &diff);
	count = json_array_size(diff.changes);
	if (ctl->json)
		report_json(json_incref(diff.changes));
	json_decref(diff.changes);
	g_tree_destroy(old_tree);
	g_tree_destroy(new_tree);
	return count > 0 ? EXIT_DIFFERS : EX_OK;
}

/*
 * gwctl manifest diff FILE: the changes from the store's manifest to FILE.
 */
int
command_diff(ctl_t *ctl, int argc, char **argv)
{
	manifest_t *new, *old = NULL;
	stored_root_t stored = {0};
	gw_err_t error;
	int status;

	(void)argc;
	new = check_file(argv[0], &status);
	if (new == NULL)
		return status;
	old = fetch_manifest(ctl, &stored, &error);
	status = old == NULL ? report_error(&error) : print_diff(ctl, old, new);
	manifest_root_free(stored.root);
	manifest_free(old);
	manifest_free(new);
	return status;
}
