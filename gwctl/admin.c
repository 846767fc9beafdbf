#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "admin.h"
#include "command.h"
#include "http/httpc.h"
#include "report.h"
#include "table.h"

#define COLUMNS_MAX 32

/* One request to a gwfleetd's admin port, and the response. */
typedef struct {
	gw_rt_t *rt;
	bool done;
	int status;   /* 0 without a response */
	json_t *body; /* NULL when it is not JSON */
	gw_err_t err; /* GW_OK with a response */
} admin_call_t;

static void
on_done(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	admin_call_t *call = arg;

	if (err != NULL)
		call->err = *err;
	if (response != NULL) {
		call->status = response->status;
		call->body = json_loadb(response->body, response->size_bytes,
		    JSON_REJECT_DUPLICATES, NULL);
	}
	call->done = true;
	gw_rt_stop(call->rt);
}

static void
send_request(ctl_t *ctl, admin_call_t *call, const char *method,
    const char *path, const char *body)
{
	gw_httpc_t *client = gw_httpc_new(ctl->rt, &ctl->admin_addr);

	memset(call, 0, sizeof(*call));
	call->rt = ctl->rt;
	(void)gw_httpc_call(
	    client, method, path, body, ctl->timeout_ms, on_done, call);
	while (!call->done)
		gw_rt_run(ctl->rt);
	gw_httpc_free(client);
}

/*
 * Prints gwfleetd's reason for refusing a request. Returns the exit status.
 */
static int
report_refusal(const admin_call_t *call)
{
	const char *detail =
	    json_string_value(json_object_get(call->body, "detail"));

	warnx("gwfleetd answered %d: %s", call->status,
	    detail == NULL ? "no reason given" : detail);
	if (call->status == 404)
		return EX_NOINPUT;
	if (call->status == 409)
		return EXIT_CONFLICT;
	return call->status >= 500 ? EX_UNAVAILABLE : EX_DATAERR;
}

/*
 * Returns a value as text: a string without quotes, anything else as JSON. The
 * caller frees it with free().
 */
static char *
format_value(const json_t *value)
{
	if (value == NULL || json_is_null(value))
		return strdup("");
	if (json_is_string(value))
		return strdup(json_string_value(value));
	return json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
}

static void
print_rows(const json_t *rows)
{
	const char *heading[COLUMNS_MAX], *name;
	const json_t *row, *value;
	guint columns = 0;
	table_t *table;
	size_t i;

	json_object_foreach(json_array_get(rows, 0), name, value)
	{
		if (columns < COLUMNS_MAX)
			heading[columns++] = name;
	}
	if (columns == 0)
		return;
	table = table_new(heading, columns);
	json_array_foreach(rows, i, row)
	{
		for (guint j = 0; j < columns; j++) {
			char *text =
			    format_value(json_object_get(row, heading[j]));

			table_add(table, "%s", text);
			free(text);
		}
	}
	table_print_and_free(table);
}

/*
 * Adds an object's members to a table. Members of a nested object are named
 * OUTER.INNER; arrays of objects are left out.
 */
static void
add_members(table_t *table, const json_t *object, const char *prefix)
{
	const json_t *value;
	const char *name;

	json_object_foreach((json_t *)object, name, value)
	{
		g_autofree char *path = g_strconcat(prefix, name, NULL);
		char *text;

		if (json_is_object(json_array_get(value, 0)))
			continue;
		if (json_is_object(value)) {
			g_autofree char *inner = g_strconcat(path, ".", NULL);

			add_members(table, value, inner);
			continue;
		}
		text = format_value(value);
		table_add(table, "%s", path);
		table_add(table, "%s", text);
		free(text);
	}
}

/*
 * Prints a response. An array of objects is one table. Of an object, the
 * scalars are printed one a line and each array of objects is a table with a
 * title. An empty object acknowledges a request that changes something.
 */
void
print_response(const json_t *response)
{
	static const char *const heading[] = {"NAME", "VALUE"};
	table_t *table;
	const json_t *value;
	const char *name;

	if (json_is_array(response)) {
		print_rows(response);
		return;
	}
	if (json_object_size(response) == 0) {
		(void)puts("done");
		return;
	}
	table = table_new(heading, G_N_ELEMENTS(heading));
	add_members(table, response, "");
	table_print_and_free(table);
	json_object_foreach((json_t *)response, name, value)
	{
		if (!json_is_object(json_array_get(value, 0)))
			continue;
		(void)printf("\n%s\n", name);
		print_rows(value);
	}
}

/*
 * Adjusts the error of a request without a response. A read (changes is false)
 * has no effect, so its outcome is never unknown; a request that changes
 * something and timed out may have taken effect.
 */
static void
adjust_code(gw_err_t *error, bool changes)
{
	if (error->code == GW_ERR_UNKNOWN && !changes)
		error->code = GW_ERR_UNAVAILABLE;
	if (error->code == GW_ERR_TIMEOUT && changes)
		error->code = GW_ERR_UNKNOWN;
}

/*
 * Sends one request and prints the response. Returns the exit status.
 */
static int
admin_request(
    ctl_t *ctl, const char *method, const char *path, const char *body)
{
	admin_call_t call;
	int status = EX_OK;

	send_request(ctl, &call, method, path, body);
	if (call.err.code != GW_OK) {
		adjust_code(&call.err, body != NULL);
		status = report_error(&call.err);
	} else if (call.status < 200 || call.status > 299) {
		status = report_refusal(&call);
	} else if (call.body == NULL) {
		warnx("gwfleetd's response is not JSON");
		status = EX_PROTOCOL;
	} else if (ctl->json) {
		report_json(json_incref(call.body));
	} else {
		print_response(call.body);
	}
	json_decref(call.body);
	return status;
}

#define GET_COMMAND(name, path)                               \
	int command_##name(ctl_t *ctl, int argc, char **argv) \
	{                                                     \
		(void)argc;                                   \
		(void)argv;                                   \
		return admin_request(ctl, "GET", path, NULL); \
	}

GET_COMMAND(status, "/v1/status")
GET_COMMAND(pools, "/v1/pools")
GET_COMMAND(instances, "/v1/instances")
GET_COMMAND(waves, "/v1/waves")
GET_COMMAND(jobs, "/v1/jobs")

static int
wave_action(ctl_t *ctl, const char *name, const char *action)
{
	g_autofree char *escaped = g_uri_escape_string(name, NULL, FALSE);
	g_autofree char *path =
	    g_strdup_printf("/v1/waves/%s/%s", escaped, action);

	return admin_request(ctl, "POST", path, "{}");
}

/*
 * gwctl waves start NAME
 */
int
command_waves_start(ctl_t *ctl, int argc, char **argv)
{
	(void)argc;
	return wave_action(ctl, argv[0], "start");
}

/*
 * gwctl waves halt NAME
 */
int
command_waves_halt(ctl_t *ctl, int argc, char **argv)
{
	(void)argc;
	return wave_action(ctl, argv[0], "halt");
}

/*
 * gwctl jobs submit FILE
 */
int
command_jobs_submit(ctl_t *ctl, int argc, char **argv)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	json_error_t where;
	json_t *job;
	gsize size_bytes;

	(void)argc;
	if (!g_file_get_contents(argv[0], &text, &size_bytes, &error))
		errx(EX_NOINPUT, "%s", error->message);
	job = json_loadb(text, size_bytes, JSON_REJECT_DUPLICATES, &where);
	if (job == NULL)
		errx(EX_DATAERR, "%s: line %d: %s", argv[0], where.line,
		    where.text);
	json_decref(job);
	return admin_request(ctl, "POST", "/v1/jobs", text);
}

/*
 * gwctl jobs cancel ID
 */
int
command_jobs_cancel(ctl_t *ctl, int argc, char **argv)
{
	g_autofree char *escaped = g_uri_escape_string(argv[0], NULL, FALSE);
	g_autofree char *path = g_strdup_printf("/v1/jobs/%s/cancel", escaped);

	(void)argc;
	return admin_request(ctl, "POST", path, "{}");
}

/*
 * gwctl explain instance=ID|pool=NAME|job=ID
 */
int
command_explain(ctl_t *ctl, int argc, char **argv)
{
	static const char *const kinds[] = {"instance", "pool", "job"};
	g_auto(GStrv) parts = g_strsplit(argv[0], "=", 2);
	g_autofree char *escaped = NULL, *path = NULL;

	(void)argc;
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (parts[1] == NULL || *parts[1] == '\0' ||
		    strcmp(parts[0], kinds[i]) != 0)
			continue;
		escaped = g_uri_escape_string(parts[1], NULL, FALSE);
		path = g_strdup_printf("/v1/explain?%s=%s", kinds[i], escaped);
		return admin_request(ctl, "GET", path, NULL);
	}
	errx(EX_USAGE, "explain: '%s' is not instance=ID, pool=NAME or job=ID",
	    argv[0]);
}
