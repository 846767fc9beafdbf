#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "platform_kv.h"
#include "reply.h"
#include "store/base64.h"

#define PAGE_ITEMS 500
#define WAIT_MAX_MS 30000

/* A long poll without a response yet; allocated from the request's pool. */
typedef struct {
	server_t *server;
	h2o_req_t *req;
	char *prefix;
	uint64_t after; /* changes above this revision are reported */
	gw_timer_t timer;
	GList link; /* in server->polls; data is NULL when not in it */
} poll_t;

static json_t *
item_json(const kv_event_t *event)
{
	gsize size_bytes;
	gconstpointer data;
	g_autofree char *text = NULL;

	if (event->value == NULL)
		return json_pack("{s:s, s:I, s:b}", "key", event->key,
		    "revision", (json_int_t)event->mod_revision, "removed", 1);
	data = g_bytes_get_data(event->value, &size_bytes);
	text = g_base64_encode(data, size_bytes);
	return json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", event->key,
	    "value", text, "revision", (json_int_t)event->mod_revision,
	    "created", (json_int_t)event->create_revision, "lease",
	    (json_int_t)event->lease_id);
}

/*
 * Sends body, and frees it, without the faults that reply_json() injects.
 */
static void
reply_now(server_t *server, h2o_req_t *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	(void)server;
	json_decref(body);
	gw_http_reply(req, status, "application/json", text, strlen(text));
	free(text);
}

/*
 * Returns a query parameter, which is freed with g_free(), or NULL.
 */
static char *
query_value(const h2o_req_t *req, const char *name)
{
	g_autofree char *path = g_strndup(req->path.base, req->path.len);
	const char *mark = strchr(path, '?');
	g_auto(GStrv) parts = g_strsplit(mark == NULL ? "" : mark + 1, "&", -1);

	for (char **part = parts; *part != NULL; part++)
		if (g_str_has_prefix(*part, name) &&
		    (*part)[strlen(name)] == '=')
			return g_uri_unescape_string(
			    *part + strlen(name) + 1, NULL);
	return NULL;
}

static void
get_key(server_t *server, h2o_req_t *req)
{
	g_autofree char *key = query_value(req, "key");
	const kv_event_t *event = key == NULL ? NULL : kv_get(server->kv, key);
	json_t *body;

	if (event == NULL) {
		reply_now(server, req, 404, json_object());
		return;
	}
	body = item_json(event);
	json_object_set_new(body, "store_revision",
	    json_integer((json_int_t)server->kv->revision));
	reply_now(server, req, 200, body);
}

static void
get_range(server_t *server, h2o_req_t *req)
{
	g_autofree char *prefix = query_value(req, "prefix");
	g_autofree char *after = query_value(req, "after");
	GList *keys = g_hash_table_get_keys(server->kv->keys);
	json_t *items = json_array();
	int truncated = 0;

	keys = g_list_sort(keys, (GCompareFunc)strcmp);
	for (GList *link = keys; link != NULL; link = link->next) {
		const char *key = link->data;

		if ((prefix != NULL && !g_str_has_prefix(key, prefix)) ||
		    (after != NULL && strcmp(key, after) <= 0))
			continue;
		truncated = json_array_size(items) >= PAGE_ITEMS;
		if (truncated)
			break;
		json_array_append_new(
		    items, item_json(kv_get(server->kv, key)));
	}
	g_list_free(keys);
	reply_now(server, req, 200,
	    json_pack("{s:o, s:b, s:I}", "items", items, "truncated", truncated,
		"store_revision", (json_int_t)server->kv->revision));
}

static json_t *
changes_since(const server_t *server, const char *prefix, uint64_t after)
{
	json_t *events = json_array();

	for (guint i = 0; i < server->kv->history->len; i++) {
		const kv_event_t *event = server->kv->history->pdata[i];

		if (event->mod_revision > after &&
		    g_str_has_prefix(event->key, prefix))
			json_array_append_new(events, item_json(event));
	}
	return events;
}

/*
 * Replies to the poll with the changes since its revision, or with 410 when the
 * history no longer has them. Without changes it replies only if allow_empty.
 * Tells whether it replied.
 */
static bool
poll_reply(poll_t *poll, bool allow_empty)
{
	server_t *server = poll->server;
	json_t *events;

	if (poll->after < server->kv->compacted_revision) {
		gw_timer_stop(&poll->timer);
		g_queue_unlink(&server->polls, &poll->link);
		poll->link.data = NULL;
		reply_now(server, poll->req, 410, json_object());
		return true;
	}
	events = changes_since(server, poll->prefix, poll->after);
	if (!allow_empty && json_array_size(events) == 0) {
		json_decref(events);
		return false;
	}
	gw_timer_stop(&poll->timer);
	g_queue_unlink(&server->polls, &poll->link);
	poll->link.data = NULL;
	reply_now(server, poll->req, 200,
	    json_pack("{s:o, s:I}", "events", events, "store_revision",
		(json_int_t)server->kv->revision));
	return true;
}

static void
on_poll_timeout(gw_timer_t *timer, void *arg)
{
	(void)timer;
	(void)poll_reply(arg, true);
}

static void
on_poll_disposed(void *arg)
{
	poll_t *poll = arg;

	gw_timer_stop(&poll->timer);
	if (poll->link.data != NULL)
		g_queue_unlink(&poll->server->polls, &poll->link);
	g_free(poll->prefix);
}

static void
get_watch(server_t *server, h2o_req_t *req)
{
	g_autofree char *after = query_value(req, "after");
	g_autofree char *wait = query_value(req, "wait_ms");
	poll_t *poll =
	    h2o_mem_alloc_shared(&req->pool, sizeof(*poll), on_poll_disposed);
	uint64_t wait_ms = wait == NULL ? 0 : g_ascii_strtoull(wait, NULL, 10);

	memset(poll, 0, sizeof(*poll));
	poll->server = server;
	poll->req = req;
	poll->prefix = query_value(req, "prefix");
	if (poll->prefix == NULL)
		poll->prefix = g_strdup("");
	poll->after = after == NULL ? 0 : g_ascii_strtoull(after, NULL, 10);
	poll->link.data = poll;
	g_queue_push_tail_link(&server->polls, &poll->link);
	if (!poll_reply(poll, wait_ms == 0))
		gw_timer_start(server->rt, &poll->timer,
		    MIN(wait_ms, WAIT_MAX_MS) * GW_US_PER_MS, on_poll_timeout,
		    poll);
}

/*
 * Returns NULL when all preconditions hold, else the current state of their
 * keys.
 */
static json_t *
check_preconditions(const server_t *server, const json_t *rows)
{
	json_t *items = json_array();
	const json_t *row;
	bool failed = false;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		const char *key =
		    json_string_value(json_object_get(row, "key"));
		uint64_t revision = (uint64_t)json_integer_value(
		    json_object_get(row, "revision"));
		const kv_event_t *event =
		    key == NULL ? NULL : kv_get(server->kv, key);

		failed |= revision != (event == NULL ? 0 : event->mod_revision);
		json_array_append_new(items,
		    event != NULL ? item_json(event)
				  : json_pack("{s:s, s:i}", "key",
					key == NULL ? "" : key, "revision", 0));
	}
	if (failed)
		return items;
	json_decref(items);
	return NULL;
}

static void
apply_writes(server_t *server, const json_t *rows)
{
	const json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		const char *key =
		    json_string_value(json_object_get(row, "key"));
		const char *text =
		    json_string_value(json_object_get(row, "value"));
		gsize size_bytes = 0;
		guchar *data =
		    g_base64_decode(text == NULL ? "" : text, &size_bytes);
		g_autoptr(GBytes) value = g_bytes_new_take(data, size_bytes);

		kv_put(server->kv, key, value,
		    (uint64_t)json_integer_value(
			json_object_get(row, "lease")));
	}
}

static void
apply_removes(server_t *server, const json_t *rows)
{
	const json_t *row;
	size_t i;

	json_array_foreach(rows, i,
	    row) if (kv_get(server->kv, json_string_value(row)) != NULL)
	    kv_delete(server->kv, json_string_value(row));
}

/*
 * Tells whether the fault refuse_writes applies to these writes, and counts it
 * down when it does.
 */
static bool
take_refused_write(faults_t *faults, const json_t *writes)
{
	const json_t *row;
	size_t i;

	if (faults->refuse_writes == 0 || faults->refuse_prefix == NULL)
		return false;
	json_array_foreach(writes, i, row)
	{
		const char *key =
		    json_string_value(json_object_get(row, "key"));

		if (key == NULL ||
		    !g_str_has_prefix(key, faults->refuse_prefix))
			continue;
		faults->refuse_writes--;
		return true;
	}
	return false;
}

static bool
has_large_value(const faults_t *faults, const json_t *writes)
{
	const json_t *row;
	size_t i;

	if (faults->value_max_bytes == 0)
		return false;
	json_array_foreach(writes, i, row)
	{
		const char *text =
		    json_string_value(json_object_get(row, "value"));
		gsize size_bytes = 0;

		g_free(g_base64_decode(text == NULL ? "" : text, &size_bytes));
		if (size_bytes > faults->value_max_bytes)
			return true;
	}
	return false;
}

static void
post_txn(server_t *server, h2o_req_t *req, const json_t *request)
{
	json_t *current = check_preconditions(
	    server, json_object_get(request, "precondition"));
	const json_t *writes = json_object_get(request, "writes"), *row;
	size_t i;

	if (take_refused_write(&server->faults, writes)) {
		json_decref(current);
		reply_now(server, req, 503, json_object());
		return;
	}
	if (has_large_value(&server->faults, writes)) {
		json_decref(current);
		reply_now(server, req, 400, json_object());
		return;
	}
	if (current != NULL) {
		reply_now(
		    server, req, 412, json_pack("{s:o}", "items", current));
		return;
	}
	json_array_foreach(writes, i, row)
	{
		uint64_t lease_id =
		    (uint64_t)json_integer_value(json_object_get(row, "lease"));

		if (lease_id != 0 && !leases_has(&server->leases, lease_id)) {
			reply_now(server, req, 404, json_object());
			return;
		}
	}
	kv_set_in_txn(server->kv, true);
	apply_writes(server, writes);
	apply_removes(server, json_object_get(request, "remove"));
	kv_set_in_txn(server->kv, false);
	platform_kv_notify(server);
	if (server->faults.lose_answers > 0) {
		server->faults.lose_answers--;
		server->stats.answers_lost++;
		reply_withhold(server, req, strdup("{}"));
		return;
	}
	reply_now(server, req, 200,
	    json_pack("{s:I}", "revision", (json_int_t)server->kv->revision));
}

static void
post_lease(server_t *server, h2o_req_t *req, const json_t *request)
{
	json_int_t ttl_ms =
	    json_integer_value(json_object_get(request, "ttl_ms"));

	reply_now(server, req, 200,
	    json_pack("{s:I, s:I}", "lease",
		(json_int_t)leases_grant(&server->leases, (uint32_t)ttl_ms),
		"ttl_ms", ttl_ms));
}

/*
 * Returns the lease id after prefix in the path, or 0 without that prefix.
 */
static uint64_t
path_lease_id(const h2o_req_t *req, const char *prefix)
{
	g_autofree char *path = g_strndup(req->path.base, req->path.len);

	return g_str_has_prefix(path, prefix)
	    ? g_ascii_strtoull(path + strlen(prefix), NULL, 10)
	    : 0;
}

static void
post_keepalive(server_t *server, h2o_req_t *req, uint64_t lease_id)
{
	uint32_t ttl_ms = leases_renew(&server->leases, lease_id);

	if (ttl_ms == 0)
		reply_now(server, req, 404, json_object());
	else
		reply_now(server, req, 200,
		    json_pack("{s:I}", "ttl_ms", (json_int_t)ttl_ms));
}

static bool
path_is(const h2o_req_t *req, const char *path)
{
	return h2o_memis(req->path_normalized.base, req->path_normalized.len,
	    path, strlen(path));
}

static int
handle_json_request(server_t *server, h2o_req_t *req)
{
	json_t *request =
	    json_loadb(req->entity.base, req->entity.len, 0, NULL);

	if (!json_is_object(request))
		reply_now(server, req, 400, json_object());
	else if (path_is(req, "/kv-txn"))
		post_txn(server, req, request);
	else
		post_lease(server, req, request);
	json_decref(request);
	return 0;
}

int
platform_kv_handle(server_t *server, h2o_req_t *req)
{
	uint64_t lease_id;

	if (path_is(req, "/kv-key"))
		get_key(server, req);
	else if (path_is(req, "/kv-range"))
		get_range(server, req);
	else if (path_is(req, "/kv-watch"))
		get_watch(server, req);
	else if (path_is(req, "/kv-txn") || path_is(req, "/kv-lease"))
		return handle_json_request(server, req);
	else if ((lease_id = path_lease_id(req, "/kv-keep/")) != 0)
		post_keepalive(server, req, lease_id);
	else if ((lease_id = path_lease_id(req, "/kv-lease-end/")) != 0) {
		(void)leases_revoke(&server->leases, lease_id);
		reply_now(server, req, 200, json_object());
	} else
		return -1;
	return 0;
}

/*
 * Replies to the polls that have changes to report.
 */
void
platform_kv_notify(server_t *server)
{
	GList *next;

	if (server->kv->in_txn)
		return; /* called again at the end of the transaction */
	for (GList *link = server->polls.head; link != NULL; link = next) {
		next = link->next;
		(void)poll_reply(link->data, false);
	}
}

/*
 * Replies to all polls, for the shutdown of the server.
 */
void
platform_kv_flush(server_t *server)
{
	while (server->polls.head != NULL)
		(void)poll_reply(server->polls.head->data, true);
}
