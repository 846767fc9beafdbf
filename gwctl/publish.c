#include <stdlib.h>
#include <string.h>

#include "fetch.h"
#include "publish.h"
#include "sync.h"

/* Lost answers, stale reads and short outages are overcome by repeating. */
#define ATTEMPTS 6
#define RETRY_DELAY_MS 200

/*
 * Tells whether a write with this outcome may have taken effect.
 */
static bool
may_have_happened(const gw_err_t *err)
{
	return err->code == GW_ERR_UNKNOWN || err->code == GW_ERR_TIMEOUT;
}

static bool
worth_repeating(const gw_err_t *err)
{
	return may_have_happened(err) || err->code == GW_ERR_UNAVAILABLE;
}

/*
 * Checks that the section that is already in the store has the right content.
 */
static int
verify_section(ctl_t *ctl, const char *key, const manifest_section_t *section,
    gw_err_t *err)
{
	g_autofree char *value = NULL;
	uint64_t mod_revision, store_revision;
	size_t size_bytes;

	if (sync_get(ctl, key, &value, &size_bytes, &mod_revision,
		&store_revision, err) != 0)
		return -1;
	if (value == NULL || size_bytes != section->size_bytes ||
	    memcmp(value, section->body, size_bytes) != 0) {
		gw_err_set(err, GW_ERR_INVALID, "write section", "",
		    "the store has other content under %s", key);
		return -1;
	}
	return 0;
}

/*
 * Creates one section, which is the same however often it is written. A section
 * alone changes nothing, so a failure here is never an unknown outcome.
 */
static int
publish_section(ctl_t *ctl, const manifest_section_t *section, gw_err_t *err)
{
	g_autofree char *key = section_key(section->hash);

	for (int attempt = 1;; attempt++) {
		if (sync_put_if(ctl, key, 0, section->body, section->size_bytes,
			err) == 0)
			return 0;
		if (err->code == GW_ERR_CONFLICT)
			return verify_section(ctl, key, section, err);
		if (!worth_repeating(err))
			return -1;
		if (attempt == ATTEMPTS)
			break;
		sync_sleep(ctl, RETRY_DELAY_MS);
	}
	err->code = GW_ERR_UNAVAILABLE;
	return -1;
}

/*
 * Writes the sections that the generation before does not have.
 */
int
publish_sections(ctl_t *ctl, const manifest_root_t *root,
    const manifest_root_t *before, gw_err_t *err)
{
	const manifest_section_t *section, *old;

	for (guint i = 0; i < root->sections->len; i++) {
		section = g_ptr_array_index(root->sections, i);
		old = before == NULL
		    ? NULL
		    : manifest_root_find(before, section->name);
		if (old != NULL && strcmp(old->hash, section->hash) == 0)
			continue;
		if (publish_section(ctl, section, err) != 0)
			return -1;
	}
	return 0;
}

/*
 * Tells whether a root record is ours, or came after ours.
 */
static bool
has_apply_id(const manifest_root_t *root, const char *apply_id)
{
	const manifest_history_entry_t *change;

	if (strcmp(root->apply_id, apply_id) == 0)
		return true;
	for (guint i = 0; i < root->history->len; i++) {
		change =
		    &g_array_index(root->history, manifest_history_entry_t, i);
		if (strcmp(change->apply_id, apply_id) == 0)
			return true;
	}
	return false;
}

/* What a read of the root says about our write. */
typedef enum {
	SEEN_OURS,
	SEEN_OTHER,  /* another apply won */
	SEEN_BEFORE, /* not written, or the read is stale */
	SEEN_NOTHING /* the read failed */
} seen_t;

static seen_t
look(ctl_t *ctl, const manifest_root_t *root, const held_root_t *before,
    gw_err_t *err)
{
	held_root_t now;
	gw_err_t read_err;
	seen_t seen = SEEN_BEFORE;

	if (fetch_root(ctl, &now, &read_err) != 0)
		return SEEN_NOTHING;
	if (now.root != NULL && has_apply_id(now.root, root->apply_id)) {
		seen = SEEN_OURS;
	} else if (now.root != NULL &&
	    now.mod_revision > before->mod_revision) {
		seen = SEEN_OTHER;
		gw_err_set(err, GW_ERR_CONFLICT, "apply", "",
		    "conflict: generation %" PRIu64 " was applied by %s; "
		    "nothing was changed",
		    now.root->generation, now.root->applied_by);
	}
	manifest_root_free(now.root);
	return seen;
}

/*
 * Writes the root record by compare-and-swap. After a lost answer the root is
 * read: our apply id in it means success, a newer root without it a conflict.
 * A root as before may be a stale read, so the compare-and-swap is repeated; it
 * cannot take effect twice. Returns -1 with GW_ERR_UNKNOWN when neither the
 * write nor a read gave an answer.
 */
int
publish_root(ctl_t *ctl, const manifest_root_t *root, const held_root_t *before,
    gw_err_t *err)
{
	g_autofree char *record = manifest_root_encode(root);
	bool uncertain = false;
	seen_t seen;

	for (int attempt = 1; attempt <= ATTEMPTS; attempt++) {
		if (attempt > 1)
			sync_sleep(ctl, RETRY_DELAY_MS);
		if (sync_put_if(ctl, ROOT_KEY, before->mod_revision, record,
			strlen(record), err) == 0)
			return 0;
		uncertain = uncertain || may_have_happened(err);
		if (err->code != GW_ERR_CONFLICT && !worth_repeating(err))
			break;
		seen = look(ctl, root, before, err);
		if (seen == SEEN_OURS)
			return 0;
		if (seen == SEEN_OTHER)
			return -1;
	}
	if (err->code == GW_ERR_CONFLICT && !uncertain) {
		g_strlcpy(err->text,
		    "conflict: another apply was first; nothing was changed",
		    sizeof(err->text));
		return -1;
	}
	if (uncertain)
		gw_err_set(err, GW_ERR_UNKNOWN, "apply", err->peer,
		    "the store does not answer; whether generation %" PRIu64
		    " with apply id %s was applied is unknown: look with "
		    "'gwctl manifest history'",
		    root->generation, root->apply_id);
	return -1;
}
