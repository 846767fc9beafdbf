#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "jobs.h"

/*
 * A request without a reply yet. The link is memory of the request's pool; h2o
 * disposes of it with the request, which clears req.
 */
typedef struct {
	h2o_req_t *req; /* NULL: the client has disconnected */
	struct request_link *link;
} pending_request_t;

typedef struct request_link {
	pending_request_t *pending; /* NULL: replied to */
} request_link_t;

static void
on_request_disposed(void *ptr)
{
	request_link_t *link = ptr;

	if (link->pending != NULL)
		link->pending->req = NULL;
}

/*
 * Keeps a request until the reply. The client may disconnect before.
 */
void *
port_request_new(h2o_req_t *req)
{
	pending_request_t *pending = g_new0(pending_request_t, 1);

	pending->req = req;
	pending->link = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*pending->link), on_request_disposed);
	pending->link->pending = pending;
	return pending;
}

static const char *
status_detail(int status)
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
 * Replies to a pending request.
 */
void
port_reply(void *ctx, void *request, int status, const char *text)
{
	g_autofree pending_request_t *pending = request;

	(void)ctx;
	if (pending->req == NULL)
		return;
	pending->link->pending = NULL;
	if (status == 200)
		gw_http_reply(pending->req, status, "application/json", text,
		    strlen(text));
	else
		gw_http_reply_error(
		    pending->req, status, "refused", status_detail(status));
}

/*
 * Replies to a pending request with JSON, or with a problem's title and detail.
 */
void
port_reply_problem(
    void *request, int status, const char *title, const char *text)
{
	g_autofree pending_request_t *pending = request;

	if (pending->req == NULL)
		return;
	pending->link->pending = NULL;
	if (status == 200)
		gw_http_reply(pending->req, status, "application/json", text,
		    strlen(text));
	else
		gw_http_reply_error(pending->req, status, title, text);
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
 * Returns the value of a query parameter, or NULL. It is not unescaped, as
 * names of instances, pools and jobs need no escapes.
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
reply_explain(daemon_t *daemon, h2o_req_t *req)
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
 * Replies to GET requests. Returns false for an unknown path.
 */
static bool
handle_get(daemon_t *daemon, h2o_req_t *req, const char *path)
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
		reply_explain(daemon, req);
	else
		return false;
	return true;
}

/*
 * Handles POST /v1/waves/<name>/start and halt. Returns false for any other
 * path.
 */
static bool
handle_wave(daemon_t *daemon, h2o_req_t *req, const char *path)
{
	g_auto(GStrv) parts = g_strsplit(path, "/", 6);
	fleet_msg_t msg = {.kind = FLEET_WAVE};

	if (g_strv_length(parts) != 5 || strcmp(parts[2], "waves") != 0 ||
	    (strcmp(parts[4], "start") != 0 && strcmp(parts[4], "halt") != 0))
		return false;
	msg.wave = parts[3];
	msg.start = strcmp(parts[4], "start") == 0;
	msg.request = port_request_new(req);
	fleet_handle(daemon->fleet, &msg);
	return true;
}

/*
 * Handles a request to the admin port. Returns -1 if it is unknown.
 */
int
admin_on_request(h2o_req_t *req, void *arg)
{
	daemon_t *daemon = arg;
	g_autofree char *path =
	    g_strndup(req->path.base, MIN(req->query_at, req->path.len));

	if (h2o_memis(req->method.base, req->method.len, H2O_STRLIT("GET")))
		return handle_get(daemon, req, path) ? 0 : -1;
	if (!h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST")))
		return -1;
	if (g_str_has_prefix(path, "/v1/jobs"))
		return port_job_post(daemon, req, path);
	return handle_wave(daemon, req, path) ? 0 : -1;
}
