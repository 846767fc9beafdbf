#include <sysexits.h>

#include "command.h"
#include "fetch.h"
#include "report.h"
#include "table.h"

/*
 * Returns the present generation as a change, to list it with the earlier ones.
 */
static manifest_history_entry_t
present_change(const manifest_root_t *root)
{
	manifest_history_entry_t change = {.generation = root->generation,
	    .applied_at_s = root->applied_at_s,
	    .sections_changed = root->sections_changed};

	g_strlcpy(change.apply_id, root->apply_id, sizeof(change.apply_id));
	g_strlcpy(
	    change.applied_by, root->applied_by, sizeof(change.applied_by));
	return change;
}

/*
 * Returns the time in ISO 8601, freed with g_free().
 */
static char *
format_time(uint64_t time_s)
{
	g_autoptr(GDateTime) time =
	    g_date_time_new_from_unix_utc((gint64)time_s);

	return time == NULL ? g_strdup("-") : g_date_time_format_iso8601(time);
}

static void
print_table(const GArray *changes)
{
	static const char *const heading[] = {
	    "GENERATION", "APPLIED AT", "BY", "SECTIONS CHANGED", "APPLY ID"};
	table_t *table = table_new(heading, G_N_ELEMENTS(heading));
	const manifest_history_entry_t *change;

	for (guint i = 0; i < changes->len; i++) {
		g_autofree char *time = NULL;

		change = &g_array_index(changes, manifest_history_entry_t, i);
		time = format_time(change->applied_at_s);
		table_add(table, "%" PRIu64, change->generation);
		table_add(table, "%s", time);
		table_add(table, "%s", change->applied_by);
		table_add(table, "%u", change->sections_changed);
		table_add(table, "%s", change->apply_id);
	}
	table_print_and_free(table);
}

static void
print_json(const GArray *changes)
{
	json_t *list = json_array();
	const manifest_history_entry_t *change;

	for (guint i = 0; i < changes->len; i++) {
		change = &g_array_index(changes, manifest_history_entry_t, i);
		json_array_append_new(list,
		    json_pack("{s:I, s:I, s:s, s:I, s:s}", "generation",
			(json_int_t)change->generation, "applied_at_s",
			(json_int_t)change->applied_at_s, "applied_by",
			change->applied_by, "sections_changed",
			(json_int_t)change->sections_changed, "apply_id",
			change->apply_id));
	}
	report_json(list);
}

/*
 * gwctl manifest history
 */
int
command_history(ctl_t *ctl, int argc, char **argv)
{
	g_autoptr(GArray) changes =
	    g_array_new(FALSE, FALSE, sizeof(manifest_history_entry_t));
	manifest_history_entry_t present;
	held_root_t held;
	gw_err_t error;

	(void)argc;
	(void)argv;
	if (fetch_root(ctl, &held, &error) != 0)
		return report_error(&error);
	if (held.root != NULL) {
		present = present_change(held.root);
		g_array_append_val(changes, present);
		g_array_append_vals(
		    changes, held.root->history->data, held.root->history->len);
	}
	manifest_root_free(held.root);
	if (ctl->json)
		print_json(changes);
	else
		print_table(changes);
	return EX_OK;
}
