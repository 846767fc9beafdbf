#include <string.h>

#include "example.h"
#include "manifest/manifest.h"

static int
matched_class(const manifest_t *manifest, const char *host, const char *path)
{
	const manifest_route_t *route =
	    manifest_match_route(manifest, host, path);

	return route == NULL ? -1 : (int)route->request_class;
}

/*
 * Guards against a request that is routed to another service's pool: because a
 * prefix matches part of a segment, a shorter prefix wins, or a host with a
 * port or capitals is not recognized.
 */
static void
test_match(void)
{
	g_autoptr(GArray) problems =
	    g_array_new(FALSE, FALSE, sizeof(manifest_problem_t));
	manifest_t *m = manifest_parse(EXAMPLE, strlen(EXAMPLE), problems);

	g_assert_nonnull(m);
	g_assert_cmpint(matched_class(m, "", "/log"), ==, CLASS_QUICK);
	g_assert_cmpint(matched_class(m, "", "/log/7"), ==, CLASS_QUICK);
	g_assert_cmpint(matched_class(m, "", "/log?x=1"), ==, CLASS_QUICK);
	g_assert_cmpint(matched_class(m, "x", "/log/old/7"), ==, CLASS_ARCHIVE);
	g_assert_cmpint(matched_class(m, "x", "/log/older"), ==, CLASS_QUICK);
	g_assert_cmpint(matched_class(m, "x", "/logs"), ==, -1);
	g_assert_cmpint(matched_class(m, "x", "/"), ==, -1);
	g_assert_cmpint(matched_class(m, "LOGS.example:8080", "/log/old"), ==,
	    CLASS_SETTLEMENT);
	g_assert_cmpint(matched_class(m, "logs.example.org", "/"), ==, -1);
	g_assert_cmpint(matched_class(m, "[::1]:80", "/log"), ==, CLASS_QUICK);

	manifest_free(m);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/match/routes", test_match);
	return g_test_run();
}
