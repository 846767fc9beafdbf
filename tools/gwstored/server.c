#include <stdio.h>
#include <string.h>

#include "api.h"
#include "platform_kv.h"
#include "reply.h"
#include "server.h"
#include "watcher.h"

/* Enough for a value of 1 MB in base64 and the rest of the request. */
#define BODY_MAX_BYTES (2 * 1024 * 1024)
#define IDLE_TIMEOUT_MS 30000
#define CONNECTIONS_MAX 1000

static void
on_event(const kv_event_t *event, void *arg)
{
	watchers_notify(arg, event);
	platform_kv_notify(arg);
}

/*
 * Sets the faults that the JSON object of a /control request names. Those that
 * end watches or drop the history do so at once. Returns -1 with the error when
 * a fault is unknown or its value invalid.
 */
int
server_control(
    server_t *server, const char *json, size_t size_bytes, gw_err_t *err)
{
	if (faults_update(&server->faults, json, size_bytes, err) != 0)
		return -1;
	if (server->faults.compact) {
		kv_compact(server->kv);
		watchers_end(server, true);
		platform_kv_notify(server);
	}
	if (server->faults.cut_watches || server->faults.down != DOWN_NO)
		watchers_end(server, false);
	server->faults.compact = server->faults.cut_watches = false;
	return 0;
}

static int
handle_control(server_t *server, h2o_req_t *req)
{
	gw_err_t err;

	if (server_control(server, req->entity.base, req->entity.len, &err) !=
	    0)
		gw_http_reply_error(req, 400, "invalid control", err.text);
	else
		gw_http_reply(req, 200, "application/json", "{}", 2);
	return 0;
}

static int
handle_stats(server_t *server, h2o_req_t *req)
{
	json_t *stats;
	char *text;

	stats = json_pack("{s:o, s:I, s:I, s:I, s:I, s:I, s:I}", "calls",
	    api_call_counts(server), "refused",
	    (json_int_t)server->stats.refused, "answers_lost",
	    (json_int_t)server->stats.answers_lost, "stale_reads",
	    (json_int_t)server->stats.stale_reads, "events_sent",
	    (json_int_t)server->stats.events_sent, "watches",
	    (json_int_t)server->watchers.length, "revision",
	    (json_int_t)server->kv->revision);
	text = json_dumps(stats, JSON_COMPACT);
	json_decref(stats);
	gw_http_reply(req, 200, "application/json", text, strlen(text));
	free(text);
	return 0;
}

static int
on_request(h2o_req_t *req, void *arg)
{
	server_t *server = arg;

	if (h2o_memis(req->path.base, req->path.len, H2O_STRLIT("/control")))
		return handle_control(server, req);
	if (h2o_memis(req->path.base, req->path.len, H2O_STRLIT("/stats")))
		return handle_stats(server, req);
	if (server->faults.down == DOWN_HANG) {
		reply_withhold(server, req, strdup("{}"));
		return 0;
	}
	if (server->faults.down == DOWN_REFUSE) {
		server->stats.refused++;
		reply_error(server, req, 503, GRPC_UNAVAILABLE,
		    "etcdserver: no leader");
		return 0;
	}
	if (platform_kv_handle(server, req) == 0)
		return 0;
	return api_handle(server, req);
}

/*
 * Returns a server that listens at addr, or NULL with the error. bound, unless
 * NULL, receives the actual address.
 */
server_t *
server_new(gw_rt_t *rt, const gw_addr_t *addr, gw_addr_t *bound, gw_err_t *err)
{
	gw_httpd_limits_t limits = {
	    BODY_MAX_BYTES, IDLE_TIMEOUT_MS, CONNECTIONS_MAX};
	server_t *server;

	server = g_new0(server_t, 1);
	server->rt = rt;
	server->kv = kv_new(on_event, server);
	leases_init(&server->leases, rt, server->kv);
	g_queue_init(&server->watchers);
	g_queue_init(&server->pending);
	g_queue_init(&server->polls);
	server->httpd = gw_httpd_new(rt, &limits, on_request, server);
	if (gw_httpd_listen(server->httpd, addr, bound, err) == 0)
		return server;
	server_shutdown(server);
	server_free(server);
	return NULL;
}

/*
 * Ends the watches, sends the delayed and withheld responses and stops
 * listening. The responses come first, as libh2o does not close a connection
 * with an open request.
 */
void
server_shutdown(server_t *server)
{
	watchers_end(server, false);
	platform_kv_flush(server);
	reply_flush(server);
	gw_httpd_shutdown(server->httpd);
}

/*
 * Frees the server after server_shutdown().
 */
void
server_free(server_t *server)
{
	gw_httpd_free(server->httpd);
	leases_clear(&server->leases);
	kv_free(server->kv);
	g_free(server->faults.raw_answer);
	g_free(server->faults.refuse_prefix);
	g_free(server);
}
