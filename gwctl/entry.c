#include "entry.h"

#include <err.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "admin.h"
#include "command.h"
#include "report.h"

#define JOB_ID_DIGITS 16

/*
 * Returns whether an earlier process of the list gave the same answer: one
 * process may have two addresses.
 */
static bool
is_repeated(const GPtrArray *processes, guint at)
{
	const entry_process_t *process = processes->pdata[at];

	return entry_find(processes, entry_text(process->body, "process")) !=
	    process;
}

/*
 * Names the processes that did not answer.
 */
static void
warn_unanswered(const GPtrArray *processes)
{
	for (guint i = 0; i < processes->len; i++) {
		const entry_process_t *process = processes->pdata[i];

		if (process->err.code != GW_OK)
			warnx("%s: %s", process->address, process->err.text);
	}
}

/* What the responses say of the shards. */
typedef struct {
	GHashTable *answered; /* names of those whose owner answered for them */
	GHashTable *missing;  /* name -> json_t of the others */
	json_t *teams;	      /* name -> sums */
	json_t *shards;	      /* as the owners describe them */
	json_int_t no_key;    /* requests that were refused for that */
	json_int_t unknown_key;
} summary_t;

/* The members of a team that are summed, as paths and as columns. */
static const struct {
	const char *outer; /* NULL: a member of the team itself */
	const char *inner;
	const char *column;
	bool is_sum; /* else the same in all shards */
} columns[] = {
    {"running", "cpu_millis", "running_cpu", true},
    {"held", "cpu_millis", "held_cpu", true},
    {"quota", "cpu_millis", "quota_cpu", false},
    {"running", "memory_mib", "running_memory", true},
    {"held", "memory_mib", "held_memory", true},
    {"quota", "memory_mib", "quota_memory", false},
    {NULL, "waiting", "waiting", true},
    {NULL, "submitted", "submitted", true},
    {"refused", "share", "refused_share", true},
    {"refused", "overload", "refused_overload", true},
};

static json_int_t
number_of(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static void
add_team(json_t *teams, const json_t *team)
{
	const char *name = entry_text(team, "team");
	json_t *sums = json_object_get(teams, name);

	if (sums == NULL) {
		sums = json_object();
		(void)json_object_set_new(sums, "team", json_string(name));
		(void)json_object_set_new(teams, name, sums);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(columns); i++) {
		const json_t *outer = columns[i].outer == NULL
		    ? team
		    : json_object_get(team, columns[i].outer);
		json_int_t value = number_of(outer, columns[i].inner);
		json_int_t before = number_of(sums, columns[i].column);

		(void)json_object_set_new(sums, columns[i].column,
		    json_integer(columns[i].is_sum ? before + value
						   : MAX(before, value)));
	}
}

/*
 * Adds a shard as one process describes it. The first owner that answers for it
 * counts: after a change of owner the previous one may still answer.
 */
static void
add_shard(summary_t *summary, json_t *shard)
{
	const char *name = entry_text(shard, "shard");
	const json_t *team;
	size_t i;

	if (!json_is_true(json_object_get(shard, "answered"))) {
		if (!g_hash_table_contains(summary->answered, name))
			g_hash_table_insert(
			    summary->missing, (gpointer)name, shard);
		return;
	}
	if (!g_hash_table_add(summary->answered, (gpointer)name))
		return;
	g_hash_table_remove(summary->missing, name);
	(void)json_array_append(summary->shards, shard);
	json_array_foreach(json_object_get(shard, "teams"), i, team)
	    add_team(summary->teams, team);
}

static summary_t
summarize(const GPtrArray *processes)
{
	summary_t summary = {
	    .answered = g_hash_table_new(g_str_hash, g_str_equal),
	    .missing = g_hash_table_new(g_str_hash, g_str_equal),
	    .teams = json_object(),
	    .shards = json_array()};

	for (guint i = 0; i < processes->len; i++) {
		const entry_process_t *process = processes->pdata[i];
		const json_t *keys =
		    json_object_get(process->body, "keys_refused");
		json_t *shard;
		size_t k;

		if (process->err.code != GW_OK || is_repeated(processes, i))
			continue;
		summary.no_key += number_of(keys, "no-key");
		summary.unknown_key += number_of(keys, "unknown-key");
		json_array_foreach(json_object_get(process->body, "shards"), k,
		    shard) add_shard(&summary, shard);
	}
	return summary;
}

static void
summary_clear(summary_t *summary)
{
	g_hash_table_destroy(summary->answered);
	g_hash_table_destroy(summary->missing);
	json_decref(summary->teams);
	json_decref(summary->shards);
}

static gint
compare_text(gconstpointer x, gconstpointer y)
{
	return strcmp(*(const char *const *)x, *(const char *const *)y);
}

/*
 * Names the shards that no owner has answered for. Returns the exit status.
 */
static int
warn_missing(const GPtrArray *processes, GHashTable *missing)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, missing);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(names, name);
	g_ptr_array_sort(names, compare_text);
	for (guint i = 0; i < names->len; i++) {
		const json_t *shard =
		    g_hash_table_lookup(missing, names->pdata[i]);
		const char *owner = entry_text(shard, "owner");

		if (*owner == '\0')
			warnx("shard %s: no owner", entry_text(shard, "shard"));
		else if (entry_find(processes, owner) != NULL)
			warnx("shard %s: its owner %s did not answer for it",
			    entry_text(shard, "shard"), owner);
		else
			warnx("shard %s: its owner %s did not answer",
			    entry_text(shard, "shard"), owner);
	}
	return names->len > 0 ? EXIT_NOT_ANSWERED : EX_OK;
}

/*
 * Returns the teams' sums, by name.
 */
static json_t *
list_teams(const json_t *teams)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();
	json_t *list = json_array(), *sums;
	const char *name;

	json_object_foreach((json_t *)teams, name, sums)
	    g_ptr_array_add(names, (gpointer)name);
	g_ptr_array_sort(names, compare_text);
	for (guint i = 0; i < names->len; i++)
		(void)json_array_append(
		    list, json_object_get(teams, names->pdata[i]));
	return list;
}

static void
print_summary(const ctl_t *ctl, const summary_t *summary)
{
	json_t *teams = list_teams(summary->teams);

	if (ctl->json) {
		report_json(json_pack("{s:o,s:O,s:{s:I,s:I}}", "teams", teams,
		    "shards", summary->shards, "keys_refused", "no-key",
		    summary->no_key, "unknown-key", summary->unknown_key));
		return;
	}
	print_response(teams);
	(void)printf("refused: %lld requests without a key, %lld with an "
		     "unknown one\n",
	    (long long)summary->no_key, (long long)summary->unknown_key);
	json_decref(teams);
}

static bool
is_never_enough(const entry_process_t *process)
{
	(void)process;
	return false;
}

/*
 * gwctl entry teams
 */
int
command_entry_teams(ctl_t *ctl, int argc, char **argv)
{
	GPtrArray *processes = entry_ask_all(ctl, "/teams", is_never_enough);
	summary_t summary = summarize(processes);
	int status;

	(void)argc;
	(void)argv;
	warn_unanswered(processes);
	if (json_array_size(summary.shards) > 0)
		print_summary(ctl, &summary);
	status = warn_missing(processes, summary.missing);
	if (json_array_size(summary.shards) == 0) {
		warnx("no owner of a shard has answered");
		status = EXIT_NOT_ANSWERED;
	}
	summary_clear(&summary);
	entry_free_all(processes);
	return status;
}

static bool
has_job(const entry_process_t *process)
{
	return json_object_get(process->body, "job") != NULL;
}

/*
 * Prints what the job's owner says of it.
 */
static void
print_job(const ctl_t *ctl, const char *id, const entry_process_t *process)
{
	static const char *const lists[] = {"waits", "where", "teams"};
	json_t *job = json_object();

	(void)json_object_set_new(job, "id", json_string(id));
	(void)json_object_set_new(
	    job, "process", json_string(entry_text(process->body, "process")));
	(void)json_object_update(job, json_object_get(process->body, "job"));
	if (json_object_get(process->body, "teams") != NULL)
		(void)json_object_set(
		    job, "teams", json_object_get(process->body, "teams"));
	if (ctl->json) {
		report_json(job);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		if (json_array_size(json_object_get(job, lists[i])) == 0)
			(void)json_object_del(job, lists[i]);
	print_response(job);
	json_decref(job);
}

/*
 * Returns whether the process names the shard to which the job has been
 * transferred; it answers for no other one then.
 */
static bool
knows_new_place(const entry_process_t *process)
{
	return process != NULL &&
	    json_object_get(process->body, "moved_to") != NULL;
}

/*
 * Says that the job was not found. Returns the exit status.
 */
static int
report_absent(const GPtrArray *processes, const char *id)
{
	summary_t summary = summarize(processes);
	GHashTableIter iter;
	json_t *shard;
	bool is_any = false;
	int status;

	g_hash_table_iter_init(&iter, summary.missing);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&shard))
		if (knows_new_place(
			entry_find(processes, entry_text(shard, "owner"))))
			g_hash_table_iter_remove(&iter);
	for (guint i = 0; i < processes->len; i++)
		is_any |=
		    ((const entry_process_t *)processes->pdata[i])->err.code ==
		    GW_OK;
	warn_unanswered(processes);
	status = warn_missing(processes, summary.missing);
	if (status == EX_OK && is_any) {
		warnx("no shard has the job %s", id);
		status = EX_NOINPUT;
	} else {
		warnx("not known where the job %s is", id);
		status = EXIT_NOT_ANSWERED;
	}
	summary_clear(&summary);
	return status;
}

static bool
is_job_id(const char *text)
{
	size_t digits = strspn(text, "0123456789abcdefABCDEF");

	return digits == JOB_ID_DIGITS && text[digits] == '\0';
}

/*
 * gwctl entry job ID
 */
int
command_entry_job(ctl_t *ctl, int argc, char **argv)
{
	g_autofree char *path = g_strconcat("/jobs/", argv[0], NULL);
	const entry_process_t *found = NULL;
	GPtrArray *processes;
	int status = EX_OK;

	(void)argc;
	if (!is_job_id(argv[0]))
		errx(EXIT_ENTRY_USAGE,
		    "entry job: '%s' is not the id of a job: %d hexadecimal "
		    "digits",
		    argv[0], JOB_ID_DIGITS);
	processes = entry_ask_all(ctl, path, has_job);
	for (guint i = 0; i < processes->len && found == NULL; i++)
		if (has_job(processes->pdata[i]))
			found = processes->pdata[i];
	if (found != NULL)
		print_job(ctl, argv[0], found);
	else
		status = report_absent(processes, argv[0]);
	entry_free_all(processes);
	return status;
}
