#include <string.h>

#include "config.h"
#include "member/member.h"

/*
 * Returns a copy of the body of the section with the hash, or NULL. A message
 * contains only sections that the router lacks; the others are in the
 * generation in force.
 */
static char *
find_body(const config_t *config, const Gw__Sections *from, const char *hash)
{
	for (size_t i = 0; i < from->n_sections; i++)
		if (strcmp(from->sections[i]->hash, hash) == 0)
			return g_strndup(
			    (const char *)from->sections[i]->body.data,
			    from->sections[i]->body.len);
	for (guint i = 0;
	     config->root != NULL && i < config->root->sections->len; i++) {
		const manifest_section_t *held =
		    config->root->sections->pdata[i];

		if (strcmp(held->hash, hash) == 0)
			return g_strdup(held->body);
	}
	return NULL;
}

static int
fill_bodies(const config_t *config, manifest_root_t *root,
    const Gw__Sections *from, gw_err_t *err)
{
	for (guint i = 0; i < root->sections->len; i++) {
		manifest_section_t *section = root->sections->pdata[i];

		section->body = find_body(config, from, section->hash);
		if (section->body == NULL) {
			gw_err_set(err, GW_ERR_NOT_FOUND, "adopt manifest", "",
			    "section %s is missing", section->name);
			return -1;
		}
		section->size_bytes = (uint32_t)strlen(section->body);
	}
	return 0;
}

/*
 * Adopts a generation if it is higher than the one in force, and ignores it
 * otherwise. Returns -1 when it is malformed or a section is missing.
 */
int
config_apply(
    config_t *config, const Gw__Sections *from, bool *adopted, gw_err_t *err)
{
	manifest_root_t *root;
	manifest_t *manifest = NULL;

	*adopted = false;
	if (!member_adopt_generation(config->generation, from->generation))
		return 0;
	root = manifest_root_decode(
	    (const char *)from->root.data, from->root.len, err);
	if (root == NULL)
		return -1;
	if (fill_bodies(config, root, from, err) == 0)
		manifest = manifest_join(root, err);
	if (manifest == NULL) {
		manifest_root_free(root);
		return -1;
	}
	config_clear(config);
	config->generation = from->generation;
	config->root = root;
	config->manifest = manifest;
	*adopted = true;
	return 0;
}

/*
 * Frees the generation in force.
 */
void
config_clear(config_t *config)
{
	if (config->root != NULL)
		manifest_root_free(config->root);
	manifest_free(config->manifest);
	*config = (config_t){0};
}
