#include <stdlib.h>
#include <string.h>

#include "framing.h"
#include "gw/id.h"
#include "headers.h"
#include "intake.h"
#include "request.h"
#include "router.h"

#define HOST_BYTES 256
#define PATH_BYTES 2048
#define SHORT_VALUE_BYTES 16
#define DEADLINE_MAX_MS 3600000

/*
 * Returns whether RFC 9110 defines the method as idempotent.
 */
static bool
is_idempotent_method(const h2o_iovec_t *method)
{
	static const char *const names[] = {
	    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (h2o_memis(
			method->base, method->len, names[i], strlen(names[i])))
			return true;
	return false;
}

/*
 * Copies the host in lower case and without the port.
 */
static void
copy_host(const h2o_req_t *req, char host[HOST_BYTES])
{
	size_t len = MIN(req->authority.len, HOST_BYTES - 1);
	char *colon;

	memcpy(host, req->authority.base, len);
	host[len] = '\0';
	colon = strrchr(host, ':');
	if (colon != NULL && strchr(colon, ']') == NULL)
		*colon = '\0';
	for (char *c = host; *c != '\0'; c++)
		*c = g_ascii_tolower(*c);
}

/*
 * Returns the route of a request, or NULL. The normalized path is matched, so
 * that "/a/../b" matches "/b".
 */
static const manifest_route_t *
find_route(const manifest_t *manifest, const h2o_req_t *req)
{
	char host[HOST_BYTES], path[PATH_BYTES];
	size_t len = MIN(req->path_normalized.len, PATH_BYTES - 1);

	copy_host(req, host);
	memcpy(path, req->path_normalized.base, len);
	path[len] = '\0';
	return manifest_match_route(manifest, host, path);
}

static bool
parse_team(request_t *request, const manifest_t *manifest,
    const manifest_route_t *route, const h2o_req_t *req)
{
	const manifest_pool_t *pool;
	char *team = request->item.team;

	if (!headers_copy_value(
		&req->headers, "godwit-team", team, sizeof(request->item.team)))
		return false;
	if (team[0] != '\0')
		return manifest_find_team(manifest, team) != NULL;
	pool = manifest_find_pool(manifest, route->pool);
	if (pool != NULL)
		g_strlcpy(team, pool->team, sizeof(request->item.team));
	return true;
}

static bool
parse_class(
    request_t *request, const manifest_route_t *route, const h2o_req_t *req)
{
	char text[SHORT_VALUE_BYTES];

	request->item.request_class = route->request_class;
	if (!headers_copy_value(
		&req->headers, "godwit-class", text, sizeof(text)))
		return false;
	return text[0] == '\0' ||
	    request_class_parse(text, &request->item.request_class);
}

/*
 * Sets the deadline to the earlier one of the route's and the caller's. Returns
 * false when the caller's header is malformed.
 */
static bool
parse_deadline(
    request_t *request, const manifest_route_t *route, const h2o_req_t *req)
{
	uint64_t limit_ms = route->deadline_ms, caller_ms;
	char text[SHORT_VALUE_BYTES];

	if (limit_ms == 0)
		limit_ms = request->router->settings->deadline_ms;
	if (!headers_copy_value(
		&req->headers, "godwit-deadline-ms", text, sizeof(text)))
		return false;
	if (text[0] != '\0') {
		if (strspn(text, "0123456789") != strlen(text))
			return false;
		caller_ms = strtoull(text, NULL, 10);
		if (caller_ms < 1 || caller_ms > DEADLINE_MAX_MS)
			return false;
		request->deadline_from_caller = caller_ms < limit_ms;
		limit_ms = MIN(limit_ms, caller_ms);
	}
	request->item.deadline_us =
	    request->item.arrived_us + limit_ms * GW_US_PER_MS;
	return true;
}

static void
parse_idempotence(
    request_t *request, const manifest_route_t *route, const h2o_req_t *req)
{
	if (route->idempotent_set)
		request->idempotent = route->idempotent;
	else
		request->idempotent = is_idempotent_method(&req->method) &&
		    headers_get(&req->headers, "idempotency-key").base == NULL;
}

/*
 * Sets the request id to the caller's if that is short and has no blanks or
 * quotes, else to a random one.
 */
static void
parse_id(request_t *request, const h2o_req_t *req)
{
	char random[GW_ID_TEXT_BYTES];

	if (headers_copy_value(&req->headers, "godwit-request-id", request->id,
		sizeof(request->id)) &&
	    request->id[0] != '\0' && strpbrk(request->id, " \t\"") == NULL)
		return;
	gw_id_random(random);
	g_strlcpy(request->id, random, sizeof(request->id));
}

/*
 * Finds the route and sets team, class, deadline and pool of the request.
 * Returns REASON_COUNT on success, else the reason for refusing it.
 */
static reason_t
resolve_route(request_t *request, const h2o_req_t *req)
{
	const manifest_t *manifest = request->router->config.manifest;
	const manifest_route_t *route;

	if (request->router->drained)
		return REASON_SHUTTING_DOWN;
	if (manifest == NULL)
		return REASON_NO_MANIFEST;
	if (!request->router->view.admitted)
		return REASON_NOT_ADMITTED;
	route = find_route(manifest, req);
	if (route == NULL)
		return REASON_NO_ROUTE;
	if (!parse_team(request, manifest, route, req))
		return REASON_UNKNOWN_TEAM;
	if (!parse_class(request, route, req))
		return REASON_BAD_CLASS;
	if (!parse_deadline(request, route, req))
		return REASON_BAD_DEADLINE;
	parse_idempotence(request, route, req);
	request->item.route = (uint32_t)(route -
	    &g_array_index(manifest->routes, manifest_route_t, 0));
	request->pool = router_get_pool(request->router, route->pool);
	return REASON_COUNT;
}

static reason_t
parse_request(request_t *request, h2o_req_t *req)
{
	framing_t framing = framing_check_request(req);

	if (framing == FRAMING_AMBIGUOUS)
		return REASON_AMBIGUOUS_FRAMING;
	if (framing == FRAMING_MALFORMED || !headers_valid(req))
		return REASON_BAD_REQUEST;
	if (h2o_memis(
		req->method.base, req->method.len, H2O_STRLIT("CONNECT")) ||
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("TRACE")))
		return REASON_METHOD;
	parse_id(request, req);
	request->is_head_method =
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("HEAD"));
	request->from_peer =
	    headers_get(&req->headers, "godwit-hops").base != NULL;
	return resolve_route(request, req);
}

/*
 * Handles a request whose body is complete.
 */
int
intake_handle(h2o_req_t *req, void *arg)
{
	router_t *router = arg;
	request_t *request;
	reason_t reason;

	request = request_new(router, req);
	reason = parse_request(request, req);
	if (reason != REASON_COUNT) {
		request_refuse(request, reason);
		return 0;
	}
	request->head = g_string_sized_new(256);
	headers_append_request(request->head, req);
	request_schedule(request);
	return 0;
}
