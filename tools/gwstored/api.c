#include <string.h>

#include "api.h"
#include "reply.h"
#include "store/base64.h"
#include "watcher.h"

typedef struct {
	const char *path;
	bool is_write; /* lose_answers and hang_answers apply */
	api_fn_t fn;   /* NULL for the watch, whose response is a stream */
} endpoint_t;

static const endpoint_t endpoints[] = {
    {"/v3/kv/range", false, api_range},
    {"/v3/kv/put", true, api_put},
    {"/v3/kv/txn", true, api_txn},
    {"/v3/lease/grant", true, api_lease_grant},
    {"/v3/lease/keepalive", true, api_lease_keepalive},
    {"/v3/lease/revoke", true, api_lease_revoke},
    {"/v3/watch", false, NULL},
};

/*
 * Returns the number of requests to each endpoint, by its path.
 */
json_t *
api_call_counts(const server_t *server)
{
	json_t *calls = json_object();

	for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++)
		json_object_set_new(calls, endpoints[i].path,
		    json_integer((json_int_t)server->stats.calls[i]));
	return calls;
}

/*
 * Returns a number as a JSON string, as the gateway encodes 64-bit integers.
 */
json_t *
api_number_json(uint64_t number)
{
	return json_sprintf("%" PRIu64, number);
}

/*
 * Returns the header of a response: of a cluster with one member, at the given
 * revision.
 */
json_t *
api_header(const server_t *server, uint64_t revision)
{
	(void)server;
	return json_pack("{s:s, s:s, s:o, s:s}", "cluster_id", "1", "member_id",
	    "1", "revision", api_number_json(revision), "raft_term", "1");
}

static json_t *
base64_json(const void *data, size_t size_bytes)
{
	g_autofree char *text = g_base64_encode(data, size_bytes);

	return json_string(text);
}

/*
 * Returns a key with its value as JSON. A deletion has only the key and the
 * revision at which it was deleted.
 */
json_t *
api_kv_json(const kv_event_t *event)
{
	json_t *kv;
	gconstpointer data;
	gsize size_bytes;

	kv = json_pack("{s:o, s:o}", "key",
	    base64_json(event->key, strlen(event->key)), "mod_revision",
	    api_number_json(event->mod_revision));
	if (event->value == NULL)
		return kv;
	data = g_bytes_get_data(event->value, &size_bytes);
	json_object_set_new(
	    kv, "create_revision", api_number_json(event->create_revision));
	json_object_set_new(kv, "version", api_number_json(event->version));
	json_object_set_new(kv, "value", base64_json(data, size_bytes));
	if (event->lease_id != 0)
		json_object_set_new(
		    kv, "lease", api_number_json(event->lease_id));
	return kv;
}

/*
 * Reads a number up to INT64_MAX, given as a JSON string or number; 0 when it
 * is absent. Returns -1 when it is malformed.
 */
int
api_get_number(const json_t *object, const char *name, uint64_t *number)
{
	const json_t *member = json_object_get(object, name);
	guint64 value = 0;

	if (json_is_integer(member) && json_integer_value(member) >= 0)
		value = (guint64)json_integer_value(member);
	else if (member != NULL &&
	    (!json_is_string(member) ||
		!g_ascii_string_to_unsigned(
		    json_string_value(member), 10, 0, INT64_MAX, &value, NULL)))
		return -1;
	*number = value;
	return 0;
}

/*
 * Sets the error of a malformed request (status 400). Returns NULL.
 */
json_t *
api_set_invalid(api_error_t *error, const char *text)
{
	*error = (api_error_t){400, GRPC_INVALID_ARGUMENT, text};
	return NULL;
}

/*
 * Returns the decoded key, which the caller frees with g_free(), or NULL with
 * the error when it is absent, empty or malformed.
 */
char *
api_get_key(const json_t *object, api_error_t *error)
{
	const char *text = json_string_value(json_object_get(object, "key"));
	char *key = NULL;
	size_t size_bytes = 0;

	if (text != NULL)
		key = store_base64_decode(text, &size_bytes);
	if (key != NULL && size_bytes > 0 && strlen(key) == size_bytes)
		return key;
	g_free(key);
	(void)api_set_invalid(error, "etcdserver: key is not provided");
	return NULL;
}

/*
 * Executes the request and sends the response. A watch sends its own.
 */
static void
call_endpoint(server_t *server, h2o_req_t *req, const endpoint_t *endpoint,
    const json_t *request)
{
	api_error_t error = {0};
	json_t *response;

	if (endpoint->fn == NULL) {
		if (watcher_start(server, req, request, &error) != 0)
			reply_error(server, req, error.status, error.grpc_code,
			    error.text);
		return;
	}
	response = endpoint->fn(server, request, &error);
	if (response == NULL)
		reply_error(
		    server, req, error.status, error.grpc_code, error.text);
	else
		reply_json(server, req, response, endpoint->is_write);
}

/*
 * Handles a request to the etcd gateway. Returns -1 for an unknown path.
 */
int
api_handle(server_t *server, h2o_req_t *req)
{
	json_t *request;

	for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
		if (!h2o_memis(req->path.base, req->path.len, endpoints[i].path,
			strlen(endpoints[i].path)))
			continue;
		server->stats.calls[i]++;
		request = json_loadb(req->entity.base, req->entity.len,
		    JSON_REJECT_DUPLICATES, NULL);
		if (json_is_object(request))
			call_endpoint(server, req, &endpoints[i], request);
		else
			reply_error(server, req, 400, GRPC_INVALID_ARGUMENT,
			    "the request body is not a JSON object");
		json_decref(request);
		return 0;
	}
	return -1;
}
