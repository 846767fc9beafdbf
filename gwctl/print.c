#include <stdio.h>

#include "print.h"
#include "table.h"

/*
 * Starts a table with a title.
 */
static table_t *
titled(const char *title, const char *const *heading, guint columns)
{
	(void)printf("\n%s\n", title);
	return table_new(heading, columns);
}

static void
print_teams(const manifest_t *manifest)
{
	static const char *const heading[] = {
	    "TEAM", "WEIGHT", "CPU MILLIS", "MEMORY MIB", "ACCELERATORS"};
	table_t *table = titled("teams", heading, G_N_ELEMENTS(heading));
	const manifest_team_t *team;

	for (guint i = 0; i < manifest->teams->len; i++) {
		team = &g_array_index(manifest->teams, manifest_team_t, i);
		table_add(table, "%s", team->name);
		table_add(table, "%u", team->weight);
		table_add(table, "%" PRIu64, team->quota_cpu_millis);
		table_add(table, "%" PRIu64, team->quota_memory_mib);
		table_add(table, "%" PRIu64, team->quota_accelerators);
	}
	table_print_and_free(table);
}

static void
add_places(table_t *table, const manifest_pool_t *pool)
{
	g_autoptr(GString) text = g_string_new(NULL);
	const manifest_site_t *site;

	for (guint i = 0; i < pool->sites->len; i++) {
		site = &g_array_index(pool->sites, manifest_site_t, i);
		g_string_append_printf(text, "%s%s:%u/%u", i == 0 ? "" : " ",
		    site->data_centre, site->instances, site->minimum);
	}
	table_add(table, "%s", text->str);
}

static void
print_pools(const manifest_t *manifest)
{
	static const char *const heading[] = {"POOL", "TEAM", "SERVICE",
	    "SLOTS", "MAX UNAVAILABLE", "INSTANCES/MINIMUM"};
	table_t *table = titled("pools", heading, G_N_ELEMENTS(heading));
	const manifest_budget_t *budget;
	const manifest_pool_t *pool;

	for (guint i = 0; i < manifest->pools->len; i++) {
		pool = &g_array_index(manifest->pools, manifest_pool_t, i);
		budget = manifest_find_budget(manifest, pool->name);
		table_add(table, "%s", pool->name);
		table_add(table, "%s", pool->team);
		table_add(table, "%s", pool->spare ? "(spare)" : pool->service);
		table_add(table, "%u", pool->slots_per_instance);
		if (budget == NULL)
			table_add(table, "-");
		else
			table_add(table, "%u", budget->max_unavailable);
		add_places(table, pool);
	}
	table_print_and_free(table);
}

static void
print_lending(const manifest_t *manifest)
{
	static const char *const heading[] = {
	    "FROM", "TO", "MAX INSTANCES", "RETURN AFTER MS"};
	table_t *table = titled("lending", heading, G_N_ELEMENTS(heading));
	const manifest_loan_rule_t *rule;

	for (guint i = 0; i < manifest->lending->len; i++) {
		rule =
		    &g_array_index(manifest->lending, manifest_loan_rule_t, i);
		table_add(table, "%s", rule->from);
		table_add(table, "%s", rule->to);
		table_add(table, "%u", rule->max_instances);
		table_add(table, "%u", rule->return_after_ms);
	}
	table_print_and_free(table);
}

static const char *
idempotent_text(const manifest_route_t *route)
{
	if (!route->idempotent_set)
		return "by method";
	return route->idempotent ? "yes" : "no";
}

static void
print_routes(const manifest_t *manifest)
{
	static const char *const heading[] = {"HOST", "PATH PREFIX", "POOL",
	    "CLASS", "DEADLINE MS", "IDEMPOTENT"};
	table_t *table = titled("routes", heading, G_N_ELEMENTS(heading));
	const manifest_route_t *route;

	for (guint i = 0; i < manifest->routes->len; i++) {
		route = &g_array_index(manifest->routes, manifest_route_t, i);
		table_add(table, "%s", route->host);
		table_add(table, "%s", route->path_prefix);
		table_add(table, "%s", route->pool);
		table_add(
		    table, "%s", request_class_name(route->request_class));
		table_add(table, "%u", route->deadline_ms);
		table_add(table, "%s", idempotent_text(route));
	}
	table_print_and_free(table);
}

static void
print_waves(const manifest_t *manifest)
{
	static const char *const heading[] = {
	    "WAVE", "CONCURRENCY", "DOMAIN LIMIT", "POOLS"};
	table_t *table = titled("waves", heading, G_N_ELEMENTS(heading));
	const manifest_wave_t *wave;

	for (guint i = 0; i < manifest->waves->len; i++) {
		g_autoptr(GString) pools = g_string_new(NULL);

		wave = &g_array_index(manifest->waves, manifest_wave_t, i);
		for (guint j = 0; j < wave->pools->len; j++)
			g_string_append_printf(pools, "%s%s", j == 0 ? "" : " ",
			    (const char *)g_ptr_array_index(wave->pools, j));
		table_add(table, "%s", wave->name);
		table_add(table, "%u", wave->concurrency);
		table_add(table, "%u", wave->domain_limit);
		table_add(table, "%s", pools->str);
	}
	table_print_and_free(table);
}

/*
 * Prints a manifest as tables.
 */
void
print_manifest(const manifest_t *manifest)
{
	print_teams(manifest);
	print_pools(manifest);
	if (manifest->lending->len > 0)
		print_lending(manifest);
	if (manifest->routes->len > 0)
		print_routes(manifest);
	if (manifest->waves->len > 0)
		print_waves(manifest);
}
