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
#define NUMBER_BYTES 16
#define DEADLINE_MAX_MS 3600000

/*
 * Tells whether RFC 9110 defines the method as idempotent.
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
 * Copies the host without its port, in lower case.
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
 * Finds the route by the normalized path, so that "/a/../b" is "/b".
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
read_team(request_t *request, const manifest_t *manifest,
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
read_class(
    request_t *request, const manifest_route_t *route, const h2o_req_t *req)
{
	char text[NUMBER_BYTES];

	request->item.request_class = route->request_class;
	if (!headers_copy_value(
		&req->headers, "godwit-class", text, sizeof(text)))
		return false;
	return text[0] == '\0' ||
	    request_class_parse(text, &request->item.request_class);
}

/*
 * The deadline is the route's, or the caller's when that is earlier.
 */
static bool
read_deadline(
    request_t *request, const manifest_route_t *route, const h2o_req_t *req)
{
	uint64_t limit_ms = route->deadline_ms, own_ms;
	char text[NUMBER_BYTES];

	if (limit_ms == 0)
		limit_ms = request->router->settings->deadline_ms;
	if (!headers_copy_value(
		&req->headers, "godwit-deadline-ms", text, sizeof(text)))
		return false;
	if (text[0] != '\0') {
		if (strspn(text, "0123456789") != strlen(text))
			return false;
		own_ms = strtoull(text, NULL, 10);
		if (own_ms < 1 || own_ms > DEADLINE_MAX_MS)
			return false;
		request->own_deadline = own_ms < limit_ms;
		limit_ms = MIN(limit_ms, own_ms);
	}
	request->item.deadline_us =
	    request->item.arrived_us + limit_ms * GW_US_PER_MS;
	return true;
}

static void
read_idempotence(
    request_t *request, const manifest_route_t *route, const h2o_req_t *req)
{
	if (route->idempotent_set)
		request->idempotent = route->idempotent;
	else
		request->idempotent = is_idempotent_method(&req->method) &&
		    headers_get(&req->headers, "idempotency-key").base == NULL;
}

/*
 * Takes the caller's id of the request if it is short and printable, or makes
 * one.
 */
static void
read_id(request_t *request, const h2o_req_t *req)
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
 * Reads what the manifest and the headers say. Returns REASON_COUNT when the
 * request is complete.
 */
static reason_t
read_service(request_t *request, const h2o_req_t *req)
{
	const manifest_t *manifest = request->router->config.manifest;
	const manifest_route_t *route;

	if (manifest == NULL)
		return REASON_NO_MANIFEST;
	if (!request->router->view.admitted)
		return REASON_NOT_ADMITTED;
	route = find_route(manifest, req);
	if (route == NULL)
		return REASON_NO_ROUTE;
	if (!read_team(request, manifest, route, req))
		return REASON_UNKNOWN_TEAM;
	if (!read_class(request, route, req))
		return REASON_BAD_CLASS;
	if (!read_deadline(request, route, req))
		return REASON_BAD_DEADLINE;
	read_idempotence(request, route, req);
	request->item.route = (uint32_t)(route -
	    &g_array_index(manifest->routes, manifest_route_t, 0));
	request->pool = router_pool(request->router, route->pool);
	return REASON_COUNT;
}

static reason_t
read_request(request_t *request, h2o_req_t *req)
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
	read_id(request, req);
	request->is_head_method =
	    h2o_memis(req->method.base, req->method.len, H2O_STRLIT("HEAD"));
	request->is_hop =
	    headers_get(&req->headers, "godwit-hops").base != NULL;
	return read_service(request, req);
}

/*
 * Handles a caller's request whose body has been read.
 */
int
intake_handle(h2o_req_t *req, void *arg)
{
	router_t *router = arg;
	request_t *request;
	reason_t reason;

	request = request_new(router, req);
	reason = read_request(request, req);
	if (reason != REASON_COUNT) {
		request_refuse(request, reason);
		return 0;
	}
	request->head = g_string_sized_new(256);
	headers_write_request(request->head, req);
	request_admit(request);
	return 0;
}
