#include <string.h>

#include "manifest/manifest.h"

/*
 * Tells whether a request's host, without its port, is the host of a route.
 */
static bool
host_matches(const char *route_host, const char *host, size_t host_len)
{
	return strlen(route_host) == host_len &&
	    g_ascii_strncasecmp(route_host, host, host_len) == 0;
}

/*
 * Tells whether a path begins with a prefix that ends at a segment's end:
 * "/log" matches "/log", "/log/7" and "/log?a=b", not "/logs".
 */
static bool
prefix_matches(const char *prefix, size_t prefix_len, const char *path)
{
	if (strncmp(prefix, path, prefix_len) != 0)
		return false;
	return prefix_len == 0 || prefix[prefix_len - 1] == '/' ||
	    strchr("/?", path[prefix_len]) != NULL;
}

/*
 * Returns the length of the host without its port. Colons inside brackets are
 * part of an IPv6 address.
 */
static size_t
host_length(const char *host)
{
	const char *colon = strrchr(host, ':');

	if (colon == NULL || strchr(colon, ']') != NULL)
		return strlen(host);
	return (size_t)(colon - host);
}

/*
 * Returns the route that matches a request, or NULL. A route with the request's
 * host is preferred to one without a host; among equals the longest prefix
 * wins. host may be the empty string.
 */
const manifest_route_t *
manifest_match_route(
    const manifest_t *manifest, const char *host, const char *path)
{
	const manifest_route_t *route, *best = NULL;
	size_t host_len = host_length(host), prefix_len, score, best_score = 0;

	for (guint i = 0; i < manifest->routes->len; i++) {
		route = &g_array_index(manifest->routes, manifest_route_t, i);
		prefix_len = strlen(route->path_prefix);
		score = 1 + prefix_len +
		    (*route->host == '\0' ? 0 : sizeof(route->path_prefix));
		if (score <= best_score ||
		    !prefix_matches(route->path_prefix, prefix_len, path) ||
		    (*route->host != '\0' &&
			!host_matches(route->host, host, host_len)))
			continue;
		best = route;
		best_score = score;
	}
	return best;
}
