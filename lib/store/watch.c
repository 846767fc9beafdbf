#include <stdlib.h>

#include "store/call.h"
#include "store/decode.h"
#include "store/request.h"
#include "store/splitter.h"

struct store_watch {
	store_t *store;
	gw_httpc_call_t *http;
	char *key;
	store_watch_ops_t ops;
	void *arg;
	store_splitter_t splitter;
	uint64_t last_revision; /* of the last change that was reported */
	bool in_chunk;		/* within on_chunk(): must not be freed now */
	bool cancelled;		/* by store_watch_cancel(): no more callbacks */
	gw_err_t end_err;	/* set when this side ends the stream */
	GList link;
};

/*
 * Frees a watch. One that is still open is cancelled without a callback.
 */
void
store_watch_free(store_watch_t *watch)
{
	if (watch->http != NULL)
		gw_httpc_cancel(watch->http);
	g_queue_unlink(&watch->store->watches, &watch->link);
	store_splitter_clear(&watch->splitter);
	g_free(watch->key);
	g_free(watch);
}

/*
 * Reports the changes of one message. A change whose revision is not above that
 * of the last one reported is a duplicate or arrived out of order. It is left
 * out, so that the reported value never returns to an older one.
 */
static void
report_values(store_watch_t *watch, const GArray *values)
{
	const store_value_t *value;

	for (guint i = 0; i < values->len && !watch->cancelled; i++) {
		value = &g_array_index(values, store_value_t, i);
		if (value->store_revision <= watch->last_revision)
			continue;
		watch->last_revision = value->store_revision;
		watch->ops.on_value(value, watch->arg);
	}
}

/*
 * Handles one message of the stream. Returns non-zero to end the watch.
 */
static int
handle_message(store_watch_t *watch, const char *json, size_t size_bytes)
{
	store_watch_response_t response;
	int rc;

	rc = store_decode_watch(
	    json, size_bytes, watch->key, &response, &watch->end_err);
	if (rc == 0) {
		report_values(watch, response.values);
		if (response.ended)
			watch->end_err = response.end;
		rc = response.ended || watch->cancelled;
	}
	store_watch_response_clear(&response);
	return rc;
}

static int
on_chunk(const char *data, size_t size_bytes, void *arg)
{
	store_watch_t *watch = arg;
	size_t object_bytes;
	char *object;
	int rc = 0, more = 0;

	watch->in_chunk = true;
	store_splitter_feed(&watch->splitter, data, size_bytes);
	while (rc == 0 &&
	    (more = store_splitter_next(
		 &watch->splitter, &object, &object_bytes)) == 1) {
		rc = handle_message(watch, object, object_bytes);
		g_free(object);
	}
	if (rc == 0 && more < 0) {
		gw_err_set(&watch->end_err, GW_ERR_LIMIT, "watch", "",
		    "the store sent an object of more than 4 MiB");
		rc = -1;
	}
	watch->in_chunk = false;
	return rc;
}

static void
on_response(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	store_watch_t *watch = arg;
	gw_err_t end;

	watch->http = NULL;
	if (watch->end_err.code != GW_OK)
		end = watch->end_err;
	else if (response != NULL && response->status != 200)
		store_decode_error(response->status, response->body,
		    response->size_bytes, false, &end);
	else if (response != NULL)
		gw_err_set(&end, GW_ERR_UNAVAILABLE, "watch", "",
		    "the store ended the stream");
	else
		end = *err;
	g_strlcpy(
	    end.peer, gw_httpc_peer(watch->store->http), sizeof(end.peer));
	if (!watch->cancelled)
		watch->ops.on_end(&end, watch->arg);
	store_watch_free(watch);
}

/*
 * Watches one key from a revision on (0: from the next change). Each change is
 * reported at most once, in order of revision; a change may be left out when a
 * later one is reported. A deletion has value NULL and mod_revision 0. A watch
 * may not notice that its connection is dead: a caller that must not miss a
 * change reads the key periodically as well.
 */
store_watch_t *
store_watch(store_t *store, const char *key, uint64_t from_revision,
    const store_watch_ops_t *ops, void *arg)
{
	store_watch_t *watch;
	char *body;

	watch = g_new0(store_watch_t, 1);
	watch->store = store;
	watch->key = g_strdup(key);
	watch->ops = *ops;
	watch->arg = arg;
	watch->last_revision = from_revision == 0 ? 0 : from_revision - 1;
	watch->link.data = watch;
	store_splitter_init(&watch->splitter);
	g_queue_push_tail_link(&store->watches, &watch->link);
	body = store_encode_watch(key, from_revision);
	watch->http = gw_httpc_stream(store->http, "POST", "/v3/watch", body,
	    on_chunk, on_response, watch);
	free(body);
	return watch;
}

/*
 * Ends a watch without a callback. May be called from on_value(), but not from
 * or after on_end(), as the watch is then freed.
 */
void
store_watch_cancel(store_watch_t *watch)
{
	watch->cancelled = true;
	if (!watch->in_chunk)
		store_watch_free(watch);
}
