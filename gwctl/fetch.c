#include <string.h>

#include "fetch.h"
#include "sync.h"

/*
 * Returns the store key of a section. The caller frees it with g_free().
 */
char *
section_key(const char *hash)
{
	return g_strconcat("/gw/manifest/section/", hash, NULL);
}

/*
 * Reads the root record. Returns 0, also when the store has none; the caller
 * frees stored->root.
 */
int
fetch_root(ctl_t *ctl, stored_root_t *stored, gw_err_t *err)
{
	g_autofree char *value = NULL;
	size_t size_bytes;

	stored->root = NULL;
	if (sync_get(ctl, ROOT_KEY, &value, &size_bytes, &stored->mod_revision,
		&stored->store_revision, err) != 0)
		return -1;
	if (value == NULL)
		return 0;
	stored->root = manifest_root_decode(value, size_bytes, err);
	return stored->root == NULL ? -1 : 0;
}

static int
fetch_body(ctl_t *ctl, manifest_section_t *section, gw_err_t *err)
{
	g_autofree char *key = section_key(section->hash);
	uint64_t mod_revision, store_revision;
	size_t size_bytes;

	if (sync_get(ctl, key, &section->body, &size_bytes, &mod_revision,
		&store_revision, err) != 0)
		return -1;
	if (section->body == NULL) {
		gw_err_set(err, GW_ERR_NOT_FOUND, "read section", "",
		    "section %s (%s) is not in the store", section->name,
		    section->hash);
		return -1;
	}
	section->size_bytes = (uint32_t)size_bytes;
	return 0;
}

/*
 * Reads the bodies of all sections of root.
 */
int
fetch_bodies(ctl_t *ctl, manifest_root_t *root, gw_err_t *err)
{
	for (guint i = 0; i < root->sections->len; i++)
		if (fetch_body(
			ctl, g_ptr_array_index(root->sections, i), err) != 0)
			return -1;
	return 0;
}

/*
 * Reads the whole manifest in the store. Returns NULL with an error, which is
 * GW_ERR_NOT_FOUND when none was applied yet. The caller frees stored->root,
 * also after an error.
 */
manifest_t *
fetch_manifest(ctl_t *ctl, stored_root_t *stored, gw_err_t *err)
{
	if (fetch_root(ctl, stored, err) != 0)
		return NULL;
	if (stored->root == NULL) {
		gw_err_set(err, GW_ERR_NOT_FOUND, "read manifest", "",
		    "the store has no manifest");
		return NULL;
	}
	if (fetch_bodies(ctl, stored->root, err) != 0)
		return NULL;
	return manifest_join(stored->root, err);
}
