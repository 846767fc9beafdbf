#include <string.h>

#include "daemon.h"

/* Time-outs of a call to the platform and of an instance's health check. */
#define PLATFORM_TIMEOUT_MS 3000
#define CHECK_TIMEOUT_MS 1000
/* An endpoint that can serve replies to this path with status 200. */
#define CHECK_PATH "/healthz"

/* A pending health check. */
typedef struct {
	daemon_t *daemon;
	char instance_id[GW_NAME_BYTES];
	char incarnation[GW_NAME_BYTES];
} check_t;

static bool
copy_name(const json_t *from, const char *key, char to[GW_NAME_BYTES])
{
	const char *text = json_string_value(json_object_get(from, key));

	return text != NULL &&
	    g_strlcpy(to, text, GW_NAME_BYTES) < GW_NAME_BYTES;
}

static platform_state_t
parse_state(const char *name)
{
	static const char *const names[] = {NULL, "live", "leaving", "ended"};

	for (int i = PLATFORM_LIVE; i <= PLATFORM_ENDED; i++)
		if (g_strcmp0(name, names[i]) == 0)
			return (platform_state_t)i;
	return 0;
}

static uint64_t
parse_capacity(const json_t *from, const char *name)
{
	const json_t *value =
	    json_object_get(json_object_get(from, "capacity"), name);

	return (uint64_t)MAX(json_integer_value(value), 0);
}

/*
 * Parses an entry of the instance list. Returns NULL if a field is missing or
 * invalid.
 */
static platform_instance_t *
parse_instance(const json_t *from)
{
	platform_instance_t *instance = g_new0(platform_instance_t, 1);
	const json_t *port = json_object_get(from, "port");

	instance->state =
	    parse_state(json_string_value(json_object_get(from, "state")));
	instance->entry =
	    g_strcmp0(
		json_string_value(json_object_get(from, "kind")), "entry") == 0;
	instance->port = (uint16_t)json_integer_value(port);
	instance->cpu_millis = parse_capacity(from, "cpu_millis");
	instance->memory_mib = parse_capacity(from, "memory_mib");
	instance->accelerators = parse_capacity(from, "accelerators");
	if (instance->state != 0 && copy_name(from, "id", instance->id) &&
	    copy_name(from, "incarnation", instance->incarnation) &&
	    copy_name(from, "address", instance->address) &&
	    copy_name(from, "data_centre", instance->data_centre) &&
	    copy_name(from, "failure_domain", instance->failure_domain))
		return instance;
	g_free(instance);
	return NULL;
}

static void
deliver_list(daemon_t *daemon, const json_t *root)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(g_free);
	fleet_msg_t msg = {.kind = FLEET_LIST, .list = list};
	platform_instance_t *instance;
	const json_t *from;
	size_t i;

	json_array_foreach(json_object_get(root, "instances"), i, from)
	{
		instance = parse_instance(from);
		if (instance != NULL)
			g_ptr_array_add(list, instance);
	}
	msg.number =
	    (uint64_t)json_integer_value(json_object_get(root, "as_of_ms"));
	fleet_handle(daemon->fleet, &msg);
}

/*
 * Returns whether the body equals that of the previous list. Most do, and
 * parsing a list of 1,800 instances takes milliseconds.
 */
static bool
is_unchanged(daemon_t *daemon, const gw_http_response_t *response)
{
	char hash[GW_ID_TEXT_BYTES];

	gw_id_content(response->body, response->size_bytes, hash);
	if (strcmp(hash, daemon->list_hash) == 0)
		return true;
	g_strlcpy(daemon->list_hash, hash, sizeof(daemon->list_hash));
	return false;
}

static void
on_list(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	daemon_t *daemon = arg;
	fleet_msg_t msg = {.kind = FLEET_LIST, .err = err};
	gw_err_t bad;
	json_t *root = NULL;

	if (response != NULL && response->status == 200 &&
	    is_unchanged(daemon, response)) {
		fleet_handle(daemon->fleet, &msg);
		return;
	}
	if (response != NULL && response->status == 200)
		root =
		    json_loadb(response->body, response->size_bytes, 0, NULL);
	if (json_is_array(json_object_get(root, "instances"))) {
		deliver_list(daemon, root);
	} else {
		if (response != NULL) {
			gw_err_set(&bad, GW_ERR_UNAVAILABLE, "list instances",
			    gw_httpc_peer(daemon->platform),
			    "status %d without a list", response->status);
			msg.err = &bad;
		}
		fleet_handle(daemon->fleet, &msg);
	}
	json_decref(root);
}

/*
 * Requests the instance list from the platform.
 */
void
port_list(void *ctx)
{
	daemon_t *daemon = ctx;

	(void)gw_httpc_call(daemon->platform, "GET", "/v1/instances", NULL,
	    PLATFORM_TIMEOUT_MS, on_list, daemon);
}

static void
on_rebooted(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	daemon_t *daemon = arg;
	fleet_msg_t msg = {.kind = FLEET_REBOOTED, .err = err};

	(void)response;
	fleet_handle(daemon->fleet, &msg);
}

/*
 * Requests a reboot from the platform. The request is repeated until the
 * instance list shows a new incarnation, so the status of the reply is ignored.
 */
void
port_reboot(void *ctx, const char *instance_id, const char *operation)
{
	daemon_t *daemon = ctx;
	g_autofree char *path =
	    g_strdup_printf("/v1/instances/%s/reboot", instance_id);
	json_t *body = json_pack("{s:s}", "operation", operation);
	char *text = json_dumps(body, JSON_COMPACT);

	(void)gw_httpc_call(daemon->platform, "POST", path, text,
	    PLATFORM_TIMEOUT_MS, on_rebooted, daemon);
	free(text);
	json_decref(body);
}

static void
on_checked(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	g_autofree check_t *check = arg;
	fleet_msg_t msg = {.kind = FLEET_CHECKED,
	    .instance_id = check->instance_id,
	    .incarnation = check->incarnation,
	    .err = err};
	gw_err_t bad;

	if (response != NULL && response->status != 200) {
		gw_err_set(&bad, GW_ERR_UNAVAILABLE, "check instance",
		    check->instance_id, "status %d", response->status);
		msg.err = &bad;
	}
	fleet_handle(check->daemon->fleet, &msg);
}

/*
 * Returns the HTTP client for an instance's address, or NULL if the address is
 * invalid. Clients are never freed, since a client cannot be freed from its own
 * callback.
 */
static gw_httpc_t *
check_client(daemon_t *daemon, const member_instance_t *instance)
{
	char text[GW_ADDR_TEXT_BYTES];
	gw_httpc_t *client;
	gw_addr_t addr;
	gw_err_t err;

	if (gw_addr_make(&addr, instance->address, instance->port, &err) != 0)
		return NULL;
	(void)gw_addr_text(&addr, text);
	client = g_hash_table_lookup(daemon->check_clients, text);
	if (client != NULL)
		return client;
	client = gw_httpc_new(daemon->rt, &addr);
	g_hash_table_insert(daemon->check_clients, g_strdup(text), client);
	return client;
}

/*
 * Sends a health check to an instance.
 */
void
port_check(void *ctx, const member_instance_t *instance)
{
	daemon_t *daemon = ctx;
	gw_httpc_t *client = check_client(daemon, instance);
	check_t *check;

	if (client == NULL)
		return;
	check = g_new0(check_t, 1);
	check->daemon = daemon;
	g_strlcpy(check->instance_id, instance->id, GW_NAME_BYTES);
	g_strlcpy(check->incarnation, instance->incarnation, GW_NAME_BYTES);
	(void)gw_httpc_call(client, "GET", CHECK_PATH, NULL, CHECK_TIMEOUT_MS,
	    on_checked, check);
}
