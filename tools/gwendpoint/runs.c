#include <jansson.h>

#include "runs.h"

void
runs_init(runs_t *runs)
{
	*runs = (runs_t){0};
	runs->by_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
runs_clear(runs_t *runs)
{
	g_hash_table_destroy(runs->by_id);
	runs->by_id = NULL;
}

/*
 * Counts the start of a run of the request.
 */
void
runs_count_start(runs_t *runs, const char *request_id)
{
	gpointer count;

	count = g_hash_table_lookup(runs->by_id, request_id);
	g_hash_table_insert(runs->by_id, g_strdup(request_id),
	    GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
	runs->started++;
	runs->in_flight++;
	runs->in_flight_max = MAX(runs->in_flight_max, runs->in_flight);
}

/*
 * Counts the end of a run.
 */
void
runs_count_end(runs_t *runs)
{
	runs->finished++;
	runs->in_flight--;
}

/*
 * Returns the counts as JSON; the caller frees the text.
 */
char *
runs_json(const runs_t *runs)
{
	json_t *by_id = json_object(), *root;
	GHashTableIter iter;
	gpointer id, count;
	char *text;

	g_hash_table_iter_init(&iter, runs->by_id);
	while (g_hash_table_iter_next(&iter, &id, &count))
		(void)json_object_set_new(
		    by_id, id, json_integer(GPOINTER_TO_UINT(count)));
	root = json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "started",
	    (json_int_t)runs->started, "finished", (json_int_t)runs->finished,
	    "refused", (json_int_t)runs->refused, "in_flight",
	    (json_int_t)runs->in_flight, "in_flight_max",
	    (json_int_t)runs->in_flight_max, "connections_max",
	    (json_int_t)runs->connections_max, "runs", by_id);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}
