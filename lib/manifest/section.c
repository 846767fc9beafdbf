#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gw/id.h"
#include "manifest/check.h"
#include "manifest/problem.h"
#include "manifest/read.h"
#include "manifest/root.h"

#define POOL_PREFIX "pool/"

/* A section that holds one top-level array. */
typedef struct {
	const char *name;
	json_t *(*write)(const manifest_t *);
} list_section_t;

static const list_section_t list_sections[] = {
    {"teams", manifest_encode_teams},
    {"lending", manifest_encode_lending},
    {"routes", manifest_encode_routes},
    {"waves", manifest_encode_waves},
};

/*
 * Adds a section with the content; takes over the caller's reference to it.
 */
static void
add_section(manifest_root_t *root, const char *name, json_t *content)
{
	manifest_section_t *section;

	section = g_new0(manifest_section_t, 1);
	g_strlcpy(section->name, name, sizeof(section->name));
	section->body = json_dumps(content, JSON_COMPACT);
	section->size_bytes = (uint32_t)strlen(section->body);
	gw_id_content(section->body, section->size_bytes, section->hash);
	g_ptr_array_add(root->sections, section);
	json_decref(content);
}

static void
add_pool(
    manifest_root_t *root, const manifest_t *manifest, const char *pool_name)
{
	const manifest_pool_t *pool = manifest_find_pool(manifest, pool_name);
	char name[MANIFEST_NAME_BYTES + sizeof(POOL_PREFIX)];

	(void)snprintf(name, sizeof(name), POOL_PREFIX "%s", pool_name);
	add_section(root, name,
	    json_pack("{s:o, s:o}", "pool", manifest_encode_pool(pool),
		"budgets", manifest_encode_budgets(manifest, pool_name)));
}

/*
 * Splits a manifest into a root and its sections with bodies. Equal content has
 * equal hashes, even if the documents were formatted differently. The root gets
 * the manifest's generation; the caller sets the apply id.
 */
manifest_root_t *
manifest_split(const manifest_t *manifest)
{
	manifest_root_t *root;

	root = manifest_root_new();
	root->generation = manifest->generation;
	for (size_t i = 0; i < G_N_ELEMENTS(list_sections); i++)
		add_section(root, list_sections[i].name,
		    json_pack("{s:o}", list_sections[i].name,
			list_sections[i].write(manifest)));
	for (guint i = 0; i < manifest->pools->len; i++)
		add_pool(root, manifest,
		    g_array_index(manifest->pools, manifest_pool_t, i).name);
	return root;
}

/*
 * Checks that each section and the root record fit into one value of the store
 * and one frame.
 */
void
manifest_check_sizes(const manifest_t *manifest, GArray *problems)
{
	manifest_root_t *root = manifest_split(manifest);
	const manifest_section_t *section;
	g_autofree char *record = manifest_root_encode(root);
	char path[MANIFEST_NAME_BYTES + 16];

	for (guint i = 0; i < root->sections->len; i++) {
		section = g_ptr_array_index(root->sections, i);
		if (section->size_bytes <= MANIFEST_SECTION_MAX_BYTES)
			continue;
		if (i < G_N_ELEMENTS(list_sections))
			(void)snprintf(
			    path, sizeof(path), "$.%s", list_sections[i].name);
		else
			(void)snprintf(path, sizeof(path), "$.pools[%u]",
			    i - (guint)G_N_ELEMENTS(list_sections));
		manifest_problem_add(problems, path,
		    "takes %u bytes in the store, more than %d",
		    section->size_bytes, MANIFEST_SECTION_MAX_BYTES);
	}
	if (strlen(record) > MANIFEST_SECTION_MAX_BYTES)
		manifest_problem_add(problems, "$.pools",
		    "the root record of %zu bytes exceeds %d", strlen(record),
		    MANIFEST_SECTION_MAX_BYTES);
	manifest_root_free(root);
}

/*
 * Parses the body of a section after checking it against the hash in the root.
 * Returns NULL with an error on failure.
 */
static json_t *
load_section(const manifest_section_t *section, gw_err_t *err)
{
	char hash[GW_ID_TEXT_BYTES];
	json_t *content;

	if (section->body == NULL) {
		gw_err_set(err, GW_ERR_NOT_FOUND, "join sections", "",
		    "section %s is not loaded", section->name);
		return NULL;
	}
	gw_id_content(section->body, section->size_bytes, hash);
	if (strcmp(hash, section->hash) != 0) {
		gw_err_set(err, GW_ERR_INVALID, "join sections", "",
		    "section %s does not have the hash %s", section->name,
		    section->hash);
		return NULL;
	}
	content = json_loadb(
	    section->body, section->size_bytes, JSON_REJECT_DUPLICATES, NULL);
	if (json_is_object(content))
		return content;
	json_decref(content);
	gw_err_set(err, GW_ERR_INVALID, "join sections", "",
	    "section %s is not a JSON object", section->name);
	return NULL;
}

static int
join_pool(json_t *document, const manifest_section_t *section,
    const json_t *content, gw_err_t *err)
{
	json_t *pool = json_object_get(content, "pool");
	const char *name = json_string_value(json_object_get(pool, "name"));
	json_t *budgets = json_object_get(content, "budgets");

	if (name == NULL ||
	    strcmp(name, section->name + strlen(POOL_PREFIX)) != 0 ||
	    !json_is_array(budgets)) {
		gw_err_set(err, GW_ERR_INVALID, "join sections", "",
		    "section %s does not hold the pool of that name "
		    "and an array of budgets",
		    section->name);
		return -1;
	}
	json_array_append(json_object_get(document, "pools"), pool);
	json_array_extend(json_object_get(document, "budgets"), budgets);
	return 0;
}

static int
join_section(json_t *document, const manifest_section_t *section, gw_err_t *err)
{
	json_t *content = load_section(section, err);
	int rc = 0;

	if (content == NULL)
		return -1;
	if (g_str_has_prefix(section->name, POOL_PREFIX))
		rc = join_pool(document, section, content, err);
	else
		json_object_set(document, section->name,
		    json_object_get(content, section->name));
	json_decref(content);
	return rc;
}

/*
 * Joins the sections of a root to a manifest. Returns NULL with
 * GW_ERR_NOT_FOUND when a section has no body, and with GW_ERR_INVALID when a
 * body does not have the hash in the root or the manifest does not pass the
 * checks.
 */
manifest_t *
manifest_join(const manifest_root_t *root, gw_err_t *err)
{
	g_autoptr(GArray) problems =
	    g_array_new(FALSE, FALSE, sizeof(manifest_problem_t));
	const manifest_problem_t *problem;
	manifest_t *manifest = NULL;
	json_t *document;

	document = json_pack("{s:i, s:[], s:[]}", "version", MANIFEST_VERSION,
	    "pools", "budgets");
	for (guint i = 0; i < root->sections->len; i++)
		if (join_section(document, g_ptr_array_index(root->sections, i),
			err) != 0)
			goto out;
	manifest = manifest_decode_checked(document, problems);
	if (manifest != NULL) {
		manifest->generation = root->generation;
		goto out;
	}
	problem = &g_array_index(problems, manifest_problem_t, 0);
	gw_err_set(err, GW_ERR_INVALID, "join sections", "", "%s: %s",
	    problem->path, problem->reason);
out:
	json_decref(document);
	return manifest;
}
