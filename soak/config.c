#include <string.h>

#include "soak.h"

#define CALL_TIMEOUT_MS 1000

static void
append_routes(const soak_t *soak, GString *text)
{
	for (uint32_t i = 0; i < soak->pool_count; i++)
		g_string_append_printf(text,
		    "%s{\"name\":\"q%u\",\"host\":\"" HOST
		    "\",\"prefix\":\"/q%u/\",\"service\":\"p%u\","
		    "\"max_attempts\":3,\"target_latency_ms\":600,"
		    "\"stretch\":1.6,\"timeout_ms\":%u}",
		    i > 0 ? "," : "", i + 1, i + 1, i + 1,
		    3000 + soak->config_version % 3 * 100);
	/* A route that comes and goes. */
	if (soak->config_version % 2 == 0)
		g_string_append_printf(text,
		    ",{\"name\":\"x%u\",\"host\":\"" HOST
		    "\",\"prefix\":\"/x%u/\",\"service\":\"p1\","
		    "\"max_attempts\":3}",
		    soak->config_version, soak->config_version);
}

static void
append_services(const soak_t *soak, GString *text)
{
	for (uint32_t i = 0; i < soak->pool_count; i++)
		g_string_append_printf(text,
		    "%s{\"name\":\"p%u\",\"enforces_capacity\":false}",
		    i > 0 ? "," : "", i + 1);
	if (soak->has_machines)
		g_string_append(
		    text, ",{\"name\":\"" STANDBY_POOL "\",\"standby\":true}");
}

/*
 * Sets the number of shards of each pool, before the entry processes start.
 */
void
config_put_layout(soak_t *soak)
{
	g_autofree char *text = g_strdup_printf("%u", soak->shard_count);
	g_autofree char *value =
	    g_base64_encode((const guchar *)text, strlen(text));
	g_autofree char *body = g_strdup_printf(
	    "{\"precondition\":[],\"writes\":[{\"key\":\"gw/layout\","
	    "\"value\":\"%s\"}],\"remove\":[]}",
	    value);

	(void)gw_httpc_call(soak->store_api, "POST", "/kv-txn", body,
	    CALL_TIMEOUT_MS, soak_on_config, soak);
}

/*
 * Writes the next configuration, which has the queues q1 and up, one for each
 * pool.
 */
void
config_put(soak_t *soak)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_autofree char *value = NULL, *body = NULL;

	soak->config_version++;
	teams_version_begins(soak);
	g_string_append_printf(
	    text, "{\"version\":%u,\"routes\":[", soak->config_version);
	append_routes(soak, text);
	g_string_append(text, "],\"services\":[");
	append_services(soak, text);
	g_string_append(text, "],\"limits\":{}");
	teams_append(soak, text);
	g_string_append(text, "}");
	value = g_base64_encode((const guchar *)text->str, text->len);
	body = g_strdup_printf(
	    "{\"precondition\":[],\"writes\":[{\"key\":\"op/config\","
	    "\"value\":\"%s\"}],\"remove\":[]}",
	    value);
	soak->config_until_ms =
	    soak_now_ms() + CALL_TIMEOUT_MS + CONFIG_APPLY_MS + 1000;
	(void)gw_httpc_call(soak->store_api, "POST", "/kv-txn", body,
	    CALL_TIMEOUT_MS, soak_on_config, soak);
}
