#include <string.h>

#include <jansson.h>

#include "manifest/root.h"

static void
section_free(gpointer data)
{
	manifest_section_t *section = data;

	g_free(section->body);
	g_free(section);
}

/*
 * Returns a root of generation 0 without sections.
 */
manifest_root_t *
manifest_root_new(void)
{
	manifest_root_t *root;

	root = g_new0(manifest_root_t, 1);
	root->sections = g_ptr_array_new_with_free_func(section_free);
	root->history =
	    g_array_new(FALSE, TRUE, sizeof(manifest_history_entry_t));
	return root;
}

/*
 * Frees a root with its sections and their bodies; NULL is allowed.
 */
void
manifest_root_free(manifest_root_t *root)
{
	if (root == NULL)
		return;
	g_ptr_array_free(root->sections, TRUE);
	g_array_free(root->history, TRUE);
	g_free(root);
}

/*
 * Looks up a section by name; NULL when there is none.
 */
manifest_section_t *
manifest_root_find(const manifest_root_t *root, const char *name)
{
	manifest_section_t *section;

	for (guint i = 0; i < root->sections->len; i++) {
		section = g_ptr_array_index(root->sections, i);
		if (strcmp(section->name, name) == 0)
			return section;
	}
	return NULL;
}

static uint32_t
count_changed(const manifest_root_t *root, const manifest_root_t *previous)
{
	g_autoptr(GHashTable) hashes =
	    g_hash_table_new(g_str_hash, g_str_equal);
	const manifest_section_t *section;
	uint32_t changed = 0;

	for (guint i = 0; previous != NULL && i < previous->sections->len;
	     i++) {
		section = g_ptr_array_index(previous->sections, i);
		g_hash_table_insert(
		    hashes, (gpointer)section->name, (gpointer)section->hash);
	}
	for (guint i = 0; i < root->sections->len; i++) {
		section = g_ptr_array_index(root->sections, i);
		if (g_strcmp0(g_hash_table_lookup(hashes, section->name),
			section->hash) != 0)
			changed++;
		g_hash_table_remove(hashes, section->name);
	}
	return changed + g_hash_table_size(hashes);
}

/*
 * Makes root the generation after previous: sets its number, the count of
 * changed sections and the history. previous is NULL for the first generation.
 */
void
manifest_root_set_previous(
    manifest_root_t *root, const manifest_root_t *previous)
{
	manifest_history_entry_t last = {0};

	root->generation = previous == NULL ? 1 : previous->generation + 1;
	root->sections_changed = count_changed(root, previous);
	g_array_set_size(root->history, 0);
	if (previous == NULL)
		return;
	last.generation = previous->generation;
	last.applied_at_s = previous->applied_at_s;
	last.sections_changed = previous->sections_changed;
	g_strlcpy(last.apply_id, previous->apply_id, sizeof(last.apply_id));
	g_strlcpy(
	    last.applied_by, previous->applied_by, sizeof(last.applied_by));
	g_array_append_val(root->history, last);
	g_array_append_vals(root->history, previous->history->data,
	    MIN(previous->history->len, MANIFEST_HISTORY_MAX - 1));
}

static json_t *
encode_sections(const manifest_root_t *root)
{
	json_t *list = json_array();
	const manifest_section_t *section;

	for (guint i = 0; i < root->sections->len; i++) {
		section = g_ptr_array_index(root->sections, i);
		json_array_append_new(list,
		    json_pack("[s, s, I]", section->name, section->hash,
			(json_int_t)section->size_bytes));
	}
	return list;
}

static json_t *
encode_history(const manifest_root_t *root)
{
	json_t *list = json_array();
	const manifest_history_entry_t *change;

	for (guint i = 0; i < root->history->len; i++) {
		change =
		    &g_array_index(root->history, manifest_history_entry_t, i);
		json_array_append_new(list,
		    json_pack("[I, s, s, I, I]", (json_int_t)change->generation,
			change->apply_id, change->applied_by,
			(json_int_t)change->applied_at_s,
			(json_int_t)change->sections_changed));
	}
	return list;
}

/*
 * Returns the record as compact JSON; the caller frees it with free(). A
 * section is [name, hash, bytes] and a history entry is [generation, apply id,
 * by, at, changed]: arrays keep the record small, as it is sent to every node
 * on every change.
 */
char *
manifest_root_encode(const manifest_root_t *root)
{
	json_t *object;
	char *text;

	object = json_pack("{s:I, s:s, s:s, s:I, s:I, s:o, s:o}", "generation",
	    (json_int_t)root->generation, "apply_id", root->apply_id,
	    "applied_by", root->applied_by, "applied_at",
	    (json_int_t)root->applied_at_s, "changed",
	    (json_int_t)root->sections_changed, "sections",
	    encode_sections(root), "history", encode_history(root));
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

/*
 * Copies a string. Returns -1 when the value is not a string or does not fit.
 */
static int
decode_text(char *dest, size_t dest_bytes, const json_t *value)
{
	const char *text = json_string_value(value);

	if (text == NULL || g_strlcpy(dest, text, dest_bytes) >= dest_bytes)
		return -1;
	return 0;
}

static int
decode_number(uint64_t *dest, uint64_t max, const json_t *value)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < 0 || (uint64_t)number > max)
		return -1;
	*dest = (uint64_t)number;
	return 0;
}

/*
 * Decodes a content hash, which must be 32 hexadecimal digits in lower case: it
 * becomes part of a key in the store.
 */
static int
decode_hash(char dest[33], const json_t *value)
{
	if (decode_text(dest, 33, value) != 0 || strlen(dest) != 32 ||
	    strspn(dest, "0123456789abcdef") != 32)
		return -1;
	return 0;
}

static int
decode_section(manifest_root_t *root, const json_t *value, GHashTable *seen)
{
	manifest_section_t *section;
	uint64_t size_bytes = 0;

	section = g_new0(manifest_section_t, 1);
	g_ptr_array_add(root->sections, section);
	if (json_array_size(value) != 3 ||
	    decode_text(section->name, sizeof(section->name),
		json_array_get(value, 0)) != 0 ||
	    decode_hash(section->hash, json_array_get(value, 1)) != 0 ||
	    decode_number(&size_bytes, UINT32_MAX, json_array_get(value, 2)) !=
		0)
		return -1;
	section->size_bytes = (uint32_t)size_bytes;
	return g_hash_table_add(seen, section->name) ? 0 : -1;
}

static int
decode_sections(manifest_root_t *root, const json_t *list)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	const json_t *value;
	size_t i;

	if (!json_is_array(list))
		return -1;
	json_array_foreach(list, i, value)
	{
		if (decode_section(root, value, seen) != 0)
			return -1;
	}
	return 0;
}

static int
decode_change(const json_t *value, manifest_history_entry_t *change)
{
	uint64_t changed = 0;

	if (json_array_size(value) != 5 ||
	    decode_number(&change->generation, INT64_MAX,
		json_array_get(value, 0)) != 0 ||
	    decode_text(change->apply_id, sizeof(change->apply_id),
		json_array_get(value, 1)) != 0 ||
	    decode_text(change->applied_by, sizeof(change->applied_by),
		json_array_get(value, 2)) != 0 ||
	    decode_number(&change->applied_at_s, INT64_MAX,
		json_array_get(value, 3)) != 0 ||
	    decode_number(&changed, UINT32_MAX, json_array_get(value, 4)) != 0)
		return -1;
	change->sections_changed = (uint32_t)changed;
	return 0;
}

static int
decode_history(manifest_root_t *root, const json_t *list)
{
	manifest_history_entry_t change;
	const json_t *value;
	size_t i;

	if (list != NULL && !json_is_array(list))
		return -1;
	json_array_foreach(list, i, value)
	{
		memset(&change, 0, sizeof(change));
		if (i >= MANIFEST_HISTORY_MAX ||
		    decode_change(value, &change) != 0)
			return -1;
		g_array_append_val(root->history, change);
	}
	return 0;
}

/*
 * Reads the members of a root record. Returns NULL, or the name of the member
 * that is malformed.
 */
static const char *
decode_members(manifest_root_t *root, const json_t *object)
{
	uint64_t changed = 0;

	if (decode_number(&root->generation, INT64_MAX,
		json_object_get(object, "generation")) != 0 ||
	    root->generation == 0)
		return "generation";
	if (decode_text(root->apply_id, sizeof(root->apply_id),
		json_object_get(object, "apply_id")) != 0)
		return "apply_id";
	if (decode_text(root->applied_by, sizeof(root->applied_by),
		json_object_get(object, "applied_by")) != 0)
		return "applied_by";
	if (decode_number(&root->applied_at_s, INT64_MAX,
		json_object_get(object, "applied_at")) != 0)
		return "applied_at";
	if (decode_number(
		&changed, UINT32_MAX, json_object_get(object, "changed")) != 0)
		return "changed";
	root->sections_changed = (uint32_t)changed;
	if (decode_sections(root, json_object_get(object, "sections")) != 0)
		return "sections";
	if (decode_history(root, json_object_get(object, "history")) != 0)
		return "history";
	return NULL;
}

/*
 * Decodes a root record from the store or another process. Returns NULL with
 * GW_ERR_INVALID when it is malformed. The sections have no bodies yet.
 */
manifest_root_t *
manifest_root_decode(const char *json, uint64_t size_bytes, gw_err_t *err)
{
	manifest_root_t *root;
	json_error_t error;
	const char *member;
	json_t *object;

	object = json_loadb(json, size_bytes, JSON_REJECT_DUPLICATES, &error);
	if (object == NULL) {
		gw_err_set(
		    err, GW_ERR_INVALID, "decode root", "", "%s", error.text);
		return NULL;
	}
	root = manifest_root_new();
	member = decode_members(root, object);
	json_decref(object);
	if (member == NULL)
		return root;
	gw_err_set(err, GW_ERR_INVALID, "decode root", "",
	    "$.%s is missing or malformed", member);
	manifest_root_free(root);
	return NULL;
}
