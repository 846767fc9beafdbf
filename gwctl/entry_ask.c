#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "entry.h"
#include "http/httpc.h"

typedef struct {
	ctl_t *ctl;
	GPtrArray *processes; /* entry_process_t */
	guint open;	      /* requests without a response */
} round_t;

typedef struct {
	round_t *round;
	entry_process_t *process;
	gw_httpc_t *client;
} request_t;

const char *
entry_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text == NULL ? "" : text;
}

static void
free_process(gpointer data)
{
	entry_process_t *process = data;

	json_decref(process->body);
	g_free(process);
}

/*
 * Adds a process unless its address is there already. Returns -1 if the address
 * is malformed.
 */
static int
add_process(GPtrArray *processes, const char *address, gw_err_t *err)
{
	entry_process_t *process;

	for (guint i = 0; i < processes->len; i++) {
		process = processes->pdata[i];
		if (strcmp(process->address, address) == 0)
			return 0;
	}
	process = g_new0(entry_process_t, 1);
	if (gw_addr_parse(&process->addr, address, err) != 0) {
		g_free(process);
		return -1;
	}
	g_strlcpy(process->address, address, sizeof(process->address));
	g_ptr_array_add(processes, process);
	return 0;
}

static GPtrArray *
parse_addresses(const ctl_t *ctl)
{
	GPtrArray *processes = g_ptr_array_new_with_free_func(free_process);
	g_auto(GStrv) words = g_strsplit(
	    ctl->entry_addresses == NULL ? "" : ctl->entry_addresses, ",", -1);
	gw_err_t error;

	if (words[0] == NULL)
		errx(EXIT_ENTRY_USAGE,
		    "entry: --address IP:PORT[,IP:PORT...] is needed");
	for (guint i = 0; words[i] != NULL; i++)
		if (add_process(processes, words[i], &error) != 0)
			errx(EXIT_ENTRY_USAGE, "--address: %s", error.text);
	return processes;
}

static void
on_done(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	request_t *request = arg;
	entry_process_t *process = request->process;

	if (err != NULL)
		process->err = *err;
	if (response != NULL) {
		process->status = response->status;
		process->body =
		    json_loadb(response->body, response->size_bytes, 0, NULL);
		if (*entry_text(process->body, "process") == '\0')
			gw_err_set(&process->err, GW_ERR_INVALID, "entry",
			    process->address,
			    "%s: status %d, not a response of gwentryd",
			    process->address, response->status);
	}
	process->is_done = true;
	if (--request->round->open == 0)
		gw_rt_stop(request->round->ctl->rt);
}

/*
 * Asks all processes that were not asked yet, and waits for their responses.
 */
static void
ask_round(round_t *round, const char *path)
{
	g_autoptr(GArray) requests =
	    g_array_new(FALSE, TRUE, sizeof(request_t));

	for (guint i = 0; i < round->processes->len; i++) {
		request_t request = {
		    .round = round, .process = round->processes->pdata[i]};

		if (request.process->is_asked)
			continue;
		request.process->is_asked = true;
		request.client =
		    gw_httpc_new(round->ctl->rt, &request.process->addr);
		g_array_append_val(requests, request);
	}
	round->open = requests->len;
	for (guint i = 0; i < requests->len; i++)
		(void)gw_httpc_call(
		    g_array_index(requests, request_t, i).client, "GET", path,
		    NULL, round->ctl->timeout_ms, on_done,
		    &g_array_index(requests, request_t, i));
	while (round->open > 0)
		gw_rt_run(round->ctl->rt);
	for (guint i = 0; i < requests->len; i++)
		gw_httpc_free(g_array_index(requests, request_t, i).client);
}

const entry_process_t *
entry_find(const GPtrArray *processes, const char *owner)
{
	for (guint i = 0; i < processes->len; i++) {
		const entry_process_t *process = processes->pdata[i];

		if (process->err.code == GW_OK && process->is_done &&
		    strcmp(entry_text(process->body, "process"), owner) == 0)
			return process;
	}
	return NULL;
}

/*
 * Adds the owners that the responses name and that have not answered. Returns
 * whether there is a new one.
 */
static bool
add_owners(GPtrArray *processes)
{
	guint count = processes->len;
	gw_err_t unused_err;

	for (guint i = 0; i < count; i++) {
		const entry_process_t *process = processes->pdata[i];
		const json_t *shard;
		size_t k;

		json_array_foreach(
		    json_object_get(process->body, "shards"), k, shard)
		{
			const char *owner = entry_text(shard, "owner");

			if (*owner != '\0' &&
			    entry_find(processes, owner) == NULL)
				(void)add_process(processes,
				    entry_text(shard, "ask"), &unused_err);
		}
	}
	return processes->len > count;
}

GPtrArray *
entry_ask_all(
    ctl_t *ctl, const char *path, bool (*is_enough)(const entry_process_t *))
{
	round_t round = {.ctl = ctl, .processes = parse_addresses(ctl)};
	bool goes_on = true;

	while (goes_on) {
		ask_round(&round, path);
		goes_on = true;
		for (guint i = 0; i < round.processes->len; i++)
			goes_on &= !is_enough(round.processes->pdata[i]);
		goes_on = goes_on && add_owners(round.processes);
	}
	return round.processes;
}

void
entry_free_all(GPtrArray *processes)
{
	g_ptr_array_free(processes, TRUE);
}
