#include <stdio.h>
#include <string.h>

#include "manifest/check.h"
#include "manifest/problem.h"

/*
 * Returns the number of the pool's instances over all data centres.
 */
uint64_t
manifest_pool_instances(const manifest_pool_t *pool)
{
	uint64_t sum = 0;

	for (guint i = 0; i < pool->sites->len; i++)
		sum += g_array_index(pool->sites, manifest_site_t, i).instances;
	return sum;
}

/*
 * Returns how many instances the pool has above its minimum, over all data
 * centres.
 */
uint64_t
manifest_pool_above_minimum(const manifest_pool_t *pool)
{
	const manifest_site_t *site;
	uint64_t sum = 0;

	for (guint i = 0; i < pool->sites->len; i++) {
		site = &g_array_index(pool->sites, manifest_site_t, i);
		if (site->instances > site->minimum)
			sum += site->instances - site->minimum;
	}
	return sum;
}

/*
 * Reports items of a list that have the name of an earlier one. The name must
 * be the first member of the item's struct.
 */
static void
check_unique(const GArray *list, const char *list_name, GArray *problems)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint size_bytes = g_array_get_element_size((GArray *)list);
	gpointer earlier;
	char path[64];
	char *name;

	for (guint i = 0; i < list->len; i++) {
		name = list->data + (size_t)i * size_bytes;
		if (*name == '\0')
			continue;
		if (g_hash_table_lookup_extended(seen, name, NULL, &earlier)) {
			(void)snprintf(
			    path, sizeof(path), "$.%s[%u].name", list_name, i);
			manifest_problem_add(problems, path,
			    "\"%s\" is already the name of $.%s[%u]", name,
			    list_name, GPOINTER_TO_UINT(earlier));
			continue;
		}
		g_hash_table_insert(seen, name, GUINT_TO_POINTER(i));
	}
}

static void
check_sites(const manifest_pool_t *pool, guint index, GArray *problems)
{
	const manifest_site_t *site;
	char path[160];

	for (guint i = 0; i < pool->sites->len; i++) {
		site = &g_array_index(pool->sites, manifest_site_t, i);
		if (site->minimum <= site->instances)
			continue;
		(void)snprintf(path, sizeof(path),
		    "$.pools[%u].data_centres.%s.minimum", index,
		    site->data_centre);
		manifest_problem_add(problems, path,
		    "%u is more than the %u instances", site->minimum,
		    site->instances);
	}
}

static bool
is_borrower(const manifest_t *manifest, const char *pool)
{
	for (guint i = 0; i < manifest->lending->len; i++)
		if (strcmp(g_array_index(
			       manifest->lending, manifest_loan_rule_t, i)
			       .to,
			pool) == 0)
			return true;
	return false;
}

static void
check_pool(const manifest_t *manifest, guint index, GArray *problems)
{
	const manifest_pool_t *pool =
	    &g_array_index(manifest->pools, manifest_pool_t, index);
	char path[64];

	(void)snprintf(path, sizeof(path), "$.pools[%u].team", index);
	if (*pool->team != '\0' &&
	    manifest_find_team(manifest, pool->team) == NULL)
		manifest_problem_add(
		    problems, path, "team \"%s\" is not defined", pool->team);
	(void)snprintf(path, sizeof(path), "$.pools[%u].service", index);
	if (pool->spare && *pool->service != '\0')
		manifest_problem_add(
		    problems, path, "a spare pool serves no service");
	if (!pool->spare && *pool->service == '\0')
		manifest_problem_add(
		    problems, path, "a pool that is not spare needs a service");
	(void)snprintf(path, sizeof(path), "$.pools[%u].data_centres", index);
	if (manifest_pool_instances(pool) == 0 &&
	    !is_borrower(manifest, pool->name) &&
	    !manifest_has_problem_at(problems, path, ""))
		manifest_problem_add(problems, path,
		    "the pool has no instances and borrows none");
	check_sites(pool, index, problems);
}

static void
check_max_unavailable(const manifest_budget_t *budget,
    const manifest_pool_t *pool, const char *path, GArray *problems)
{
	uint64_t instances = manifest_pool_instances(pool);
	uint64_t limit = manifest_pool_above_minimum(pool);

	if (budget->max_unavailable > limit)
		manifest_problem_add(problems, path,
		    "pool \"%s\" has only %" PRIu64
		    " instances above its minimum that may be "
		    "unavailable",
		    pool->name, limit);
	else if (budget->max_unavailable > 0 &&
	    budget->max_unavailable >= instances)
		manifest_problem_add(problems, path,
		    "all %" PRIu64 " instances of pool \"%s\" could be "
		    "unavailable at once",
		    instances, pool->name);
}

static void
check_budget(const manifest_t *manifest, guint index, GArray *problems)
{
	const manifest_budget_t *budget =
	    &g_array_index(manifest->budgets, manifest_budget_t, index);
	const manifest_pool_t *pool =
	    manifest_find_pool(manifest, budget->pool);
	char path[64];

	(void)snprintf(path, sizeof(path), "$.budgets[%u].team", index);
	if (*budget->team != '\0' &&
	    manifest_find_team(manifest, budget->team) == NULL)
		manifest_problem_add(
		    problems, path, "team \"%s\" is not defined", budget->team);
	else if (pool != NULL && strcmp(pool->team, budget->team) != 0)
		manifest_problem_add(problems, path,
		    "pool \"%s\" belongs to team \"%s\"", pool->name,
		    pool->team);
	(void)snprintf(path, sizeof(path), "$.budgets[%u].pool", index);
	if (pool == NULL && *budget->pool != '\0')
		manifest_problem_add(
		    problems, path, "pool \"%s\" is not defined", budget->pool);
	if (pool == NULL)
		return;
	if (manifest_find_budget(manifest, budget->pool) != budget)
		manifest_problem_add(problems, path,
		    "pool \"%s\" already has a budget", budget->pool);
	(void)snprintf(
	    path, sizeof(path), "$.budgets[%u].max_unavailable", index);
	check_max_unavailable(budget, pool, path, problems);
}

/*
 * Runs all checks except that of the encoded sizes.
 */
void
manifest_check(const manifest_t *manifest, GArray *problems)
{
	check_unique(manifest->teams, "teams", problems);
	check_unique(manifest->pools, "pools", problems);
	check_unique(manifest->waves, "waves", problems);
	for (guint i = 0; i < manifest->pools->len; i++)
		check_pool(manifest, i, problems);
	for (guint i = 0; i < manifest->budgets->len; i++)
		check_budget(manifest, i, problems);
	manifest_check_lending(manifest, problems);
	manifest_check_routes(manifest, problems);
	manifest_check_waves(manifest, problems);
}
