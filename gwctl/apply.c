#include <err.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "check.h"
#include "command.h"
#include "fetch.h"
#include "gw/id.h"
#include "publish.h"
#include "report.h"
#include "sync.h"
#include "wait.h"

/* An unchanged root is read again this often. */
#define ATTEMPTS 4
#define RETRY_DELAY_MS 200

/*
 * Tells whether two roots name the same content in the same order.
 */
static bool
same_content(const manifest_root_t *a, const manifest_root_t *b)
{
	const manifest_section_t *x, *y;

	if (a->sections->len != b->sections->len)
		return false;
	for (guint i = 0; i < a->sections->len; i++) {
		x = g_ptr_array_index(a->sections, i);
		y = g_ptr_array_index(b->sections, i);
		if (strcmp(x->name, y->name) != 0 ||
		    strcmp(x->hash, y->hash) != 0)
			return false;
	}
	return true;
}

/*
 * Compares the generation in the store with the one that was asked for.
 */
static int
check_expected(const ctl_t *ctl, const held_root_t *before, gw_err_t *err)
{
	uint64_t now = before->root == NULL ? 0 : before->root->generation;

	if (!ctl->expect_set || ctl->expect_generation == now)
		return 0;
	gw_err_set(err, GW_ERR_CONFLICT, "apply", "",
	    "conflict: the store has generation %" PRIu64 ", not %" PRIu64
	    "; nothing was changed",
	    now, ctl->expect_generation);
	return -1;
}

/*
 * Confirms an unchanged manifest by writing the same root once more on
 * condition, as the read before could have been stale. Returns 1 when the root
 * must be read again.
 */
static int
confirm_unchanged(ctl_t *ctl, const held_root_t *before, gw_err_t *err)
{
	g_autofree char *record = manifest_root_encode(before->root);

	if (sync_put_if(ctl, ROOT_KEY, before->mod_revision, record,
		strlen(record), err) == 0)
		return 0;
	if (err->code == GW_ERR_INVALID || err->code == GW_ERR_LIMIT)
		return -1;
	if (err->code != GW_ERR_CONFLICT)
		err->code = GW_ERR_UNAVAILABLE;
	sync_sleep(ctl, RETRY_DELAY_MS);
	return 1;
}

/*
 * Writes the manifest as the generation after before's.
 */
static int
publish_next(
    ctl_t *ctl, manifest_root_t *root, const held_root_t *before, gw_err_t *err)
{
	manifest_root_set_previous(root, before->root);
	gw_id_random(root->apply_id);
	g_strlcpy(root->applied_by, ctl->applied_by, sizeof(root->applied_by));
	root->applied_at_s = gw_clock_wall_s();
	if (publish_sections(ctl, root, before->root, err) != 0)
		return -1;
	return publish_root(ctl, root, before, err);
}

/*
 * Brings the manifest into the store. before is the root that was found last.
 */
static int
publish(ctl_t *ctl, manifest_root_t *root, held_root_t *before, bool *unchanged,
    gw_err_t *err)
{
	int rc = 1;

	for (int attempt = 0; rc > 0 && attempt < ATTEMPTS; attempt++) {
		manifest_root_free(before->root);
		if (fetch_root(ctl, before, err) != 0 ||
		    check_expected(ctl, before, err) != 0)
			return -1;
		*unchanged =
		    before->root != NULL && same_content(root, before->root);
		if (!*unchanged)
			return publish_next(ctl, root, before, err);
		rc = confirm_unchanged(ctl, before, err);
	}
	return rc == 0 ? 0 : -1;
}

static void
print_result(const ctl_t *ctl, const manifest_root_t *root, bool unchanged)
{
	if (ctl->json)
		report_json(json_pack("{s:I, s:s, s:b, s:I}", "generation",
		    (json_int_t)root->generation, "apply_id", root->apply_id,
		    "unchanged", unchanged, "sections_changed",
		    (json_int_t)(unchanged ? 0 : root->sections_changed)));
	else if (unchanged)
		(void)printf(
		    "generation %" PRIu64 " unchanged\n", root->generation);
	else
		(void)printf("generation %" PRIu64
			     " applied, %u section%s changed\n",
		    root->generation, root->sections_changed,
		    root->sections_changed == 1 ? "" : "s");
	(void)fflush(stdout);
}

/*
 * Applies a checked manifest as the next generation.
 */
static int
apply_manifest(ctl_t *ctl, const manifest_t *manifest)
{
	held_root_t before = {0};
	manifest_root_t *root, *result;
	bool unchanged = false;
	gw_err_t error;
	int status = EX_OK;

	root = manifest_split(manifest);
	if (publish(ctl, root, &before, &unchanged, &error) != 0) {
		status = report_error(&error);
		goto out;
	}
	result = unchanged ? before.root : root;
	print_result(ctl, result, unchanged);
	if (ctl->wait)
		status = wait_everywhere(ctl, manifest, result->generation);
out:
	manifest_root_free(before.root);
	manifest_root_free(root);
	return status;
}

/*
 * gwctl manifest apply FILE
 */
int
command_apply(ctl_t *ctl, int argc, char **argv)
{
	manifest_t *manifest;
	int status;

	(void)argc;
	manifest = check_file(argv[0], &status);
	if (manifest == NULL)
		return status;
	status = apply_manifest(ctl, manifest);
	manifest_free(manifest);
	return status;
}
