#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "jobs.h"

/* A request that waits for the state machine, and the pool's hold on it. */
typedef struct {
	h2o_req_t *req; /* NULL: the caller is gone */
	struct wait_hold *hold;
} wait_t;

typedef struct wait_hold {
	wait_t *wait; /* NULL: answered */
} wait_hold_t;

static void
on_request_gone(void *ptr)
{
	wait_hold_t *hold = ptr;

	if (hold->wait != NULL)
		hold->wait->req = NULL;
}

/*
 * Keeps a request until it is answered; the caller may go away before.
 */
void *
port_wait(h2o_req_t *req)
{
	wait_t *wait = g_new0(wait_t, 1);

	wait->req = req;
	wait->hold = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*wait->hold), on_request_gone);
	wait->hold->wait = wait;
	return wait;
}

static const char *
explain_status(int status)
{
	switch (status) {
	case 404:
		return "the manifest has no such wave";
	case 409:
		return "this gwfleetd is not the planner; /v1/status names it";
	default:
		return "try again";
	}
}

/*
 * Answers a request that waited.
 */
void
port_reply(void *ctx, void *request, int status, const char *text)
{
	g_autofree wait_t *wait = request;

	(void)ctx;
	if (wait->req == NULL)
		return;
	wait->hold->wait = NULL;
	if (status == 200)
		gw_http_reply(
		    wait->req, status, "application/json", text, strlen(text));
	else
		gw_http_reply_error(
		    wait->req, status, "refused", explain_status(status));
}

/*
 * Answers a request that waited with JSON, or with a problem's title and text.
 */
void
port_reply_problem(
    void *request, int status, const char *title, const char *text)
{
	g_autofree wait_t *wait = request;

	if (wait->req == NULL)
		return;
	wait->hold->wait = NULL;
	if (status == 200)
		gw_http_reply(
		    wait->req, status, "application/json", text, strlen(text));
	else
		gw_http_reply_error(wait->req, status, title, text);
}

static void
reply_json(h2o_req_t *req, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	gw_http_reply(req, 200, "application/json", text, strlen(text));
	free(text);
	json_decref(value);
}

static void
reply_health(h2o_req_t *req, bool good)
{
	const char *text = good ? "ok\n" : "not ready\n";

	gw_http_reply(req, good ? 200 : 503, "text/plain", text, strlen(text));
}

static void
reply_metrics(daemon_t *daemon, h2o_req_t *req)
{
	GString *text = gw_metrics_text(daemon->metrics);

	gw_http_reply(
	    req, 200, "text/plain; version=0.0.4", text->str, text->len);
	g_string_free(text, TRUE);
}

/*
 * Returns the value of a query parameter, or NULL. Names of instances and
 * pools need no escapes.
 */
static char *
query_value(const h2o_req_t *req, const char *name)
{
	g_autofree char *query = NULL;
	g_auto(GStrv) pairs = NULL;
	size_t name_len = strlen(name);

	if (req->query_at >= req->path.len)
		return NULL;
	query = g_strndup(req->path.base + req->query_at + 1,
	    req->path.len - req->query_at - 1);
	pairs = g_strsplit(query, "&", 8);
	for (char **pair = pairs; *pair != NULL; pair++)
		if (strncmp(*pair, name, name_len) == 0 &&
		    (*pair)[name_len] == '=')
			return g_strdup(*pair + name_len + 1);
	return NULL;
}

static void
explain(daemon_t *daemon, h2o_req_t *req)
{
	g_autofree char *instance = query_value(req, "instance");
	g_autofree char *pool = query_value(req, "pool");
	g_autofree char *job = query_value(req, "job");

	if (job != NULL)
		reply_json(req, jobs_explain_json(daemon->fleet, job));
	else
		reply_json(
		    req, fleet_explain_json(daemon->fleet, instance, pool));
}

/*
 * Answers the paths that are only read. Returns false for any other.
 */
static bool
answer_get(daemon_t *daemon, h2o_req_t *req, const char *path)
{
	if (strcmp(path, "/healthz") == 0)
		reply_health(req, true);
	else if (strcmp(path, "/readyz") == 0)
		reply_health(req, fleet_ready(daemon->fleet));
	else if (strcmp(path, "/metrics") == 0)
		reply_metrics(daemon, req);
	else if (strcmp(path, "/v1/status") == 0)
		reply_json(req, fleet_status_json(daemon->fleet));
	else if (strcmp(path, "/v1/pools") == 0)
		reply_json(req, fleet_pools_json(daemon->fleet));
	else if (strcmp(path, "/v1/instances") == 0)
		reply_json(req, fleet_instances_json(daemon->fleet));
	else if (strcmp(path, "/v1/waves") == 0)
		reply_json(req, fleet_waves_json(daemon->fleet));
	else if (strcmp(path, "/v1/jobs") == 0)
		reply_json(req, fleet_jobs_json(daemon->fleet));
	else if (strcmp(path, "/v1/explain") == 0)
		explain(daemon, req);
	else
		return false;
	return true;
}

/*
 * Hands POST /v1/waves/<name>/start|halt to the planner. Returns false for any
 * other path.
 */
static bool
answer_wave(daemon_t *daemon, h2o_req_t *req, const char *path)
{
	g_auto(GStrv) parts = g_strsplit(path, "/", 6);
	fleet_msg_t msg = {.kind = FLEET_WAVE};

	if (g_strv_length(parts) != 5 || strcmp(parts[2], "waves") != 0 ||
	    (strcmp(parts[4], "start") != 0 && strcmp(parts[4], "halt") != 0))
		return false;
	msg.wave = parts[3];
	msg.start = strcmp(parts[4], "start") == 0;
	msg.request = port_wait(req);
	fleet_handle(daemon->fleet, &msg);
	return true;
}

/*
 * Answers one request of the admin port.
 */
int
admin_on_request(h2o_req_t *req, void *arg)
{
	daemon_t *daemon = arg;
	g_autofree char *path =
	    g_strndup(req->path.base, MIN(req->query_at, req->path.len));

	if (h2o_memis(req->method.base, req->method.len, H2O_STRLIT("GET")))
		return answer_get(daemon, req, path) ? 0 : -1;
	if (!h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST")))
		return -1;
	if (g_str_has_prefix(path, "/v1/jobs"))
		return port_job_post(daemon, req, path);
	return answer_wave(daemon, req, path) ? 0 : -1;
}
