#include <stdlib.h>
#include <string.h>

#include "watcher.h"

/* watch_reorder sends a held event after this time without another event. */
#define REORDER_HOLD_MS 1000

/* A watch of one key and its response; allocated from the request's pool. */
typedef struct {
	h2o_generator_t super;
	h2o_req_t *req;
	server_t *server;
	char *key;
	GString *unsent;    /* messages not yet passed to libh2o */
	GString *in_flight; /* messages passed to libh2o */
	bool sending;	    /* libh2o has not called on_proceed() yet */
	bool ended;	    /* the response ends after the messages */
	json_t *held;	    /* by watch_reorder: sent after the next event */
	gw_timer_t release_timer;
	GList link;
} watcher_t;

static void
on_watcher_disposed(void *data)
{
	watcher_t *watcher = data;

	gw_timer_stop(&watcher->release_timer);
	g_queue_unlink(&watcher->server->watchers, &watcher->link);
	json_decref(watcher->held);
	g_string_free(watcher->unsent, TRUE);
	g_string_free(watcher->in_flight, TRUE);
	g_free(watcher->key);
}

/*
 * Passes the unsent messages to libh2o, unless it is still sending.
 */
static void
send_unsent(watcher_t *watcher)
{
	h2o_iovec_t buf;
	GString *sent;

	if (watcher->sending || (watcher->unsent->len == 0 && !watcher->ended))
		return;
	sent = watcher->in_flight;
	watcher->in_flight = watcher->unsent;
	watcher->unsent = g_string_truncate(sent, 0);
	watcher->sending = true;
	buf = h2o_iovec_init(watcher->in_flight->str, watcher->in_flight->len);
	h2o_send(watcher->req, &buf, buf.len > 0 ? 1 : 0,
	    watcher->ended ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	watcher_t *watcher = (watcher_t *)generator;

	(void)req;
	watcher->sending = false;
	send_unsent(watcher);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	(void)generator;
	(void)req;
}

/*
 * Sends one message of the stream. Takes ownership of result.
 */
static void
send_result(watcher_t *watcher, json_t *result)
{
	json_t *message;
	char *text;

	json_object_set_new(result, "header",
	    api_header(watcher->server, watcher->server->kv->revision));
	message = json_pack("{s:o}", "result", result);
	text = json_dumps(message, JSON_COMPACT);
	g_string_append(watcher->unsent, text);
	g_string_append_c(watcher->unsent, '\n');
	free(text);
	json_decref(message);
	send_unsent(watcher);
}

static void
send_event(watcher_t *watcher, json_t *event)
{
	watcher->server->stats.events_sent++;
	send_result(watcher, json_pack("{s:[O]}", "events", event));
	if (watcher->server->faults.watch_double)
		send_result(watcher, json_pack("{s:[O]}", "events", event));
	json_decref(event);
}

static void
on_release(gw_timer_t *timer, void *arg)
{
	watcher_t *watcher = arg;
	json_t *held = watcher->held;

	(void)timer;
	watcher->held = NULL;
	send_event(watcher, held);
}

/*
 * Sends a change of the watch's key. The fault watch_reorder holds it back
 * until the next change has been sent.
 */
static void
watcher_notify(watcher_t *watcher, const kv_event_t *change)
{
	json_t *event, *held = watcher->held;

	if (watcher->ended || strcmp(watcher->key, change->key) != 0)
		return;
	event = json_pack("{s:o}", "kv", api_kv_json(change));
	if (change->value == NULL)
		json_object_set_new(event, "type", json_string("DELETE"));
	if (held == NULL && watcher->server->faults.watch_reorder) {
		watcher->held = event;
		gw_timer_start(watcher->server->rt, &watcher->release_timer,
		    REORDER_HOLD_MS * GW_US_PER_MS, on_release, watcher);
		return;
	}
	watcher->held = NULL;
	gw_timer_stop(&watcher->release_timer);
	send_event(watcher, event);
	if (held != NULL)
		send_event(watcher, held);
}

/*
 * Sends a change to the watches of its key.
 */
void
watchers_notify(server_t *server, const kv_event_t *event)
{
	for (GList *item = server->watchers.head; item != NULL;
	     item = item->next)
		watcher_notify(item->data, event);
}

/*
 * Ends the watch with the message that the history has been compacted.
 */
static void
cancel_compacted(watcher_t *watcher)
{
	watcher->ended = true;
	send_result(watcher,
	    json_pack("{s:b, s:o}", "canceled", 1, "compact_revision",
		api_number_json(watcher->server->kv->compacted_revision)));
}

/*
 * Ends all watches: with the message of a compaction, or without a message.
 */
void
watchers_end(server_t *server, bool compacted)
{
	GList *item, *next;
	watcher_t *watcher;

	for (item = server->watchers.head; item != NULL; item = next) {
		next = item->next;
		watcher = item->data;
		if (watcher->ended)
			continue;
		if (compacted) {
			cancel_compacted(watcher);
			continue;
		}
		watcher->ended = true;
		send_unsent(watcher);
	}
}

static watcher_t *
watcher_new(server_t *server, h2o_req_t *req, char *key)
{
	watcher_t *watcher;

	watcher = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*watcher), on_watcher_disposed);
	memset(watcher, 0, sizeof(*watcher));
	watcher->super = (h2o_generator_t){on_proceed, on_stop};
	watcher->req = req;
	watcher->server = server;
	watcher->key = key;
	watcher->unsent = g_string_new(NULL);
	watcher->in_flight = g_string_new(NULL);
	watcher->link.data = watcher;
	g_queue_push_tail_link(&server->watchers, &watcher->link);
	return watcher;
}

/*
 * Sends the changes from start_revision on.
 */
static void
send_history(watcher_t *watcher, uint64_t start_revision)
{
	const kv_t *kv = watcher->server->kv;
	const kv_event_t *event;

	for (guint i = 0; i < kv->history->len; i++) {
		event = g_ptr_array_index(kv->history, i);
		if (event->mod_revision >= start_revision)
			watcher_notify(watcher, event);
	}
}

/*
 * Starts a watch and its response, a stream of messages. Returns -1 with the
 * error when the request is malformed.
 */
int
watcher_start(
    server_t *server, h2o_req_t *req, const json_t *request, api_error_t *error)
{
	const json_t *create = json_object_get(request, "create_request");
	uint64_t start_revision;
	watcher_t *watcher;
	char *key;

	key = api_get_key(create, error);
	if (key == NULL)
		return -1;
	if (api_get_number(create, "start_revision", &start_revision) != 0) {
		g_free(key);
		(void)api_set_invalid(error, "start_revision is not a number");
		return -1;
	}
	watcher = watcher_new(server, req, key);
	req->res.status = 200;
	req->res.reason = "OK";
	h2o_start_response(req, &watcher->super);
	send_result(watcher, json_pack("{s:b}", "created", 1));
	if (start_revision == 0)
		return 0;
	if (start_revision <= server->kv->compacted_revision)
		cancel_compacted(watcher);
	else
		send_history(watcher, start_revision);
	return 0;
}
