#include <string.h>

#include "forward.h"
#include "front.h"
#include "gw/log.h"
#include "platform/job.h"
#include "request.h"

/* Limits on callers until a configuration has been read. */
#define BODY_MAX_BYTES (1024 * 1024)
#define HEADER_MAX_BYTES (64 * 1024)
/* A whole request must arrive within this time; longer idle times are cut. */
#define REQUEST_TIMEOUT_MS 60000
/* A body that is forwarded exists decoded, packed and in a frame. */
#define FORWARD_COPIES 3
/*
 * Retry-After where no owner gives one: before the configuration has been read
 * from the store, and during a shutdown.
 */
#define RETRY_AFTER_DEFAULT_MS 1000

struct front {
	dispatch_t *dispatch;
	const homes_t *homes;
	gw_httpd_t *httpd;
	gw_budget_host_t host;
	const sched_config_t *config;
	uint32_t shard_count; /* shards of each pool; 0: not known yet */
	requests_t requests;
	uint32_t config_apply_ms;
	uint32_t value_max_bytes; /* of a record in the store */
	GQueue held;		  /* request_t; see hold_request() */
	bool closing;		  /* every new request is refused */
};

static void
reply_error(request_t *request, int status, const char *reason)
{
	request_reply_error(request, status, reason, RETRY_AFTER_DEFAULT_MS);
}

/*
 * Charges the copies of a body to what is held for callers. Returns false if
 * there is no room for them.
 */
static bool
charge_body(request_t *request)
{
	uint64_t size_bytes = FORWARD_COPIES * request->req->entity.len;

	if (request->charged_bytes > 0)
		return true; /* a request that was held */
	if (!gw_budget_charge_forward(request->requests->budget, size_bytes))
		return false;
	request->charged_bytes = size_bytes;
	return true;
}

/*
 * Forwards a request. A submission whose body is malformed is refused.
 */
static void
forward(request_t *request, const sched_queue_t *queue)
{
	const front_t *front = request->requests->front;
	const h2o_iovec_t *body = &request->req->entity;
	const forward_target_t target = {.dispatch = front->dispatch,
	    .homes = homes_table(front->homes),
	    .queue = queue,
	    .shard_count = front->shard_count,
	    .config_version = front->config->version};
	Gw__JobSpec *spec = NULL;
	gw_err_t err;

	if (request->kind == GW__CALL_KIND__CALL_SUBMIT) {
		if (!charge_body(request)) {
			reply_error(
			    request, STATUS_UNAVAILABLE, "too-many-bodies");
			return;
		}
		spec = plat_job_decode(
		    request->id, queue, body->base, body->len, &err);
		if (spec == NULL) {
			gw_log(GW_EV_ENTRY_IGNORED, "job=%s text=\"%s\"",
			    request->id, err.text);
			reply_error(
			    request, STATUS_BAD_REQUEST, "malformed-job");
			return;
		}
		spec->team = strdup(request->team); /* of a job just decoded */
		if (!sched_spec_fits(spec, front->value_max_bytes)) {
			gw__job_spec__free_unpacked(spec, NULL);
			reply_error(
			    request, STATUS_BAD_REQUEST, "job-too-large");
			return;
		}
	}
	forward_request(request, &target, spec);
}

/*
 * Sets the kind of the request from its method. Returns false for a method that
 * is not supported.
 */
static bool
parse_kind(request_t *request, const h2o_req_t *req, bool has_id)
{
	if (has_id &&
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("POST")))
		request->kind = GW__CALL_KIND__CALL_SUBMIT;
	else if (has_id &&
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("DELETE")))
		request->kind = GW__CALL_KIND__CALL_CANCEL;
	else if (h2o_memis(
		     req->method.base, req->method.len, H2O_STRLIT("GET")))
		request->kind = has_id ? GW__CALL_KIND__CALL_STATE
				       : GW__CALL_KIND__CALL_PENDING;
	else
		return false;
	return true;
}

/*
 * Replies with an error that the configuration is the cause of, or with 503
 * while a newer one, by which there is none, may be in force elsewhere.
 */
static void
reply_by_config(request_t *request, int status, const char *reason)
{
	const front_t *front = request->requests->front;

	if (sched_config_is_current(request->requests->config_current_us,
		gw_rt_now_us(request->requests->rt), front->config_apply_ms))
		reply_error(request, status, reason);
	else
		reply_error(
		    request, STATUS_UNAVAILABLE, "configuration-not-current");
}

/*
 * Finds the caller's team by its key. Replies to the request and returns false
 * if the queue needs a key and the configuration has no such one. A request
 * that was held is checked again, by the configuration that is then in force.
 */
static bool
check_key(request_t *request, const sched_queue_t *queue)
{
	const front_t *front = request->requests->front;
	const sched_team_config_t *team;
	sched_key_verdict_t verdict = sched_config_check_key(front->config,
	    queue, request->has_key ? &request->key : NULL, &team);

	request->team[0] = '\0';
	if (team != NULL)
		g_strlcpy(request->team, team->name, sizeof(request->team));
	if (verdict == SCHED_KEY_MISSING)
		reply_by_config(request, STATUS_UNAUTHORIZED, "no-key");
	else if (verdict == SCHED_KEY_UNKNOWN)
		reply_by_config(request, STATUS_UNAUTHORIZED, "unknown-key");
	else
		return true;
	return false;
}

/*
 * Holds a request whose queue is new or has another pool than before, until the
 * pools that have jobs of it are known.
 */
static void
hold_request(front_t *front, request_t *request)
{
	request_t *oldest = g_queue_peek_head(&front->held);

	while (oldest != NULL && !oldest->is_open) {
		request_unref(g_queue_pop_head(&front->held));
		oldest = g_queue_peek_head(&front->held);
	}
	request_start_deadline(request);
	request->refs++;
	g_queue_push_tail(&front->held, request);
}

/*
 * Finds the request's queue by the configuration in force, and forwards the
 * request or replies to it.
 */
static void
route_request(request_t *request)
{
	front_t *front = request->requests->front;
	const h2o_req_t *req = request->req;
	const char *query = memchr(req->path.base, '?', req->path.len);
	size_t path_bytes =
	    query == NULL ? req->path.len : (size_t)(query - req->path.base);
	const sched_queue_t *queue;
	size_t prefix_bytes;
	bool has_id;

	queue = sched_config_find_queue(front->config, req->authority.base,
	    req->authority.len, req->path.base, path_bytes);
	if (queue == NULL) {
		reply_by_config(request, STATUS_NOT_FOUND, "no-such-queue");
		return;
	}
	g_strlcpy(request->queue, queue->name, sizeof(request->queue));
	if (!check_key(request, queue))
		return;
	prefix_bytes = strlen(queue->path_prefix);
	has_id = plat_job_id_parse(request->id, req->path.base + prefix_bytes,
	    path_bytes - prefix_bytes);
	if (!has_id && path_bytes > prefix_bytes)
		reply_error(request, STATUS_NOT_FOUND, "no-job-id");
	else if (!parse_kind(request, req, has_id))
		reply_error(request, STATUS_BAD_METHOD, "method");
	else if (homes_are_known(front->homes, queue))
		forward(request, queue);
	else
		hold_request(front, request);
}

static int
on_request(h2o_req_t *req, void *arg)
{
	front_t *front = arg;
	request_t *request = request_new(&front->requests, req);

	if (front->closing)
		reply_error(request, STATUS_UNAVAILABLE, "shutting-down");
	else if (front->config == NULL || front->shard_count == 0)
		reply_error(request, STATUS_UNAVAILABLE, "no-configuration");
	else
		route_request(request);
	return 0;
}

/*
 * Routes the requests that were held; some may be held again.
 */
void
front_homes_read(front_t *front)
{
	for (guint count = front->held.length; count > 0; count--) {
		request_t *request = g_queue_pop_head(&front->held);

		if (request->is_open)
			route_request(request);
		request_unref(request);
	}
}

/*
 * Sets the limits on callers from the settings, the registry and the
 * configuration in force.
 */
static void
set_limits(front_t *front)
{
	const sched_config_t *config = front->config;
	gw_httpd_guard_t guard = {.body_max_bytes = BODY_MAX_BYTES,
	    .header_max_bytes = HEADER_MAX_BYTES,
	    .budget = {.header_timeout_ms = REQUEST_TIMEOUT_MS,
		.idle_timeout_ms = REQUEST_TIMEOUT_MS}};

	if (config != NULL) {
		guard.body_max_bytes = config->body_max_bytes;
		guard.header_max_bytes = config->header_max_bytes;
		guard.budget.header_timeout_ms = config->header_timeout_ms;
		guard.budget.idle_timeout_ms = config->idle_timeout_ms;
	}
	front->host.body_max_bytes = (uint32_t)guard.body_max_bytes;
	gw_budget_size(&guard.budget, &front->host);
	gw_httpd_guard(front->httpd, &guard);
}

/*
 * Listens for callers. Returns NULL and sets err on failure.
 */
front_t *
front_new(gw_rt_t *rt, dispatch_t *dispatch, const homes_t *homes,
    stats_t *stats, const plat_settings_t *settings, gw_err_t *err)
{
	const gw_httpd_limits_t limits = {.body_max_bytes = BODY_MAX_BYTES,
	    .idle_timeout_ms = REQUEST_TIMEOUT_MS};
	front_t *front = g_new0(front_t, 1);

	front->dispatch = dispatch;
	front->homes = homes;
	front->config_apply_ms = settings->config_apply_ms;
	front->value_max_bytes = settings->bounds.value_max_bytes;
	requests_init(&front->requests, rt, stats, front);
	front->httpd = gw_httpd_new(rt, &limits, on_request, front);
	front->host = (gw_budget_host_t){.memory_bytes = settings->memory_bytes,
	    .descriptors = settings->descriptors_max};
	set_limits(front);
	front->requests.budget = gw_httpd_budget(front->httpd);
	if (gw_httpd_listen(front->httpd, &settings->callers, NULL, err) == 0)
		return front;
	gw_httpd_free(front->httpd);
	g_free(front);
	return NULL;
}

/*
 * Sets the configuration for requests that arrive from now on.
 */
void
front_set_config(front_t *front, const sched_config_t *config)
{
	front->config = config;
	front->requests.config_version = config->version;
	set_limits(front);
}

void
front_set_instance_count(front_t *front, uint32_t count)
{
	front->host.instances = count;
	set_limits(front);
}

const gw_budget_t *
front_budget(const front_t *front)
{
	return front->requests.budget;
}

void
front_set_config_current(front_t *front, uint64_t at_us)
{
	front->requests.config_current_us = at_us;
}

void
front_set_shard_count(front_t *front, uint32_t shard_count)
{
	front->shard_count = shard_count;
}

void
front_reply_all(front_t *front)
{
	GQueue *open = &front->requests.open;

	front->closing = true;
	while (open->length > 0) {
		request_t *request = g_queue_peek_head(open);

		reply_error(request,
		    request_is_read_only(request) ? STATUS_UNAVAILABLE
						  : STATUS_TIMEOUT,
		    "shutting-down");
	}
}

void
front_announce_close(front_t *front)
{
	gw_httpd_announce_close(front->httpd);
}

void
front_close_listener(front_t *front)
{
	gw_httpd_shutdown(front->httpd);
}

uint32_t
front_request_count(const front_t *front)
{
	return front->requests.in_memory;
}

uint32_t
front_connection_count(const front_t *front)
{
	return gw_httpd_connections(front->httpd);
}
