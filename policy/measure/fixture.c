#include <string.h>

#include "fixture.h"

manifest_t *
fixture_manifest(void)
{
	manifest_t *m = g_new0(manifest_t, 1);

	m->teams = g_array_new(FALSE, TRUE, sizeof(manifest_team_t));
	m->pools = g_array_new(FALSE, TRUE, sizeof(manifest_pool_t));
	m->budgets = g_array_new(FALSE, TRUE, sizeof(manifest_budget_t));
	m->lending = g_array_new(FALSE, TRUE, sizeof(manifest_loan_rule_t));
	m->routes = g_array_new(FALSE, TRUE, sizeof(manifest_route_t));
	m->waves = g_array_new(FALSE, TRUE, sizeof(manifest_wave_t));
	return m;
}

void
fixture_manifest_free(manifest_t *m)
{
	for (uint32_t i = 0; i < m->pools->len; i++)
		g_array_free(
		    g_array_index(m->pools, manifest_pool_t, i).sites, TRUE);
	for (uint32_t i = 0; i < m->waves->len; i++)
		g_ptr_array_free(
		    g_array_index(m->waves, manifest_wave_t, i).pools, TRUE);
	g_array_free(m->teams, TRUE);
	g_array_free(m->pools, TRUE);
	g_array_free(m->budgets, TRUE);
	g_array_free(m->lending, TRUE);
	g_array_free(m->routes, TRUE);
	g_array_free(m->waves, TRUE);
	g_free(m);
}

/*
 * Adds a pool without sites. Its team, and its service unless it is a spare
 * pool, have the name of the pool.
 */
void
fixture_pool(manifest_t *m, const char *name, bool spare, uint32_t slots)
{
	manifest_pool_t pool = {.spare = spare, .slots_per_instance = slots};

	g_strlcpy(pool.name, name, sizeof(pool.name));
	g_strlcpy(pool.team, name, sizeof(pool.team));
	if (!spare)
		g_strlcpy(pool.service, name, sizeof(pool.service));
	pool.sites = g_array_new(FALSE, TRUE, sizeof(manifest_site_t));
	g_array_append_val(m->pools, pool);
}

static manifest_pool_t *
find_pool(manifest_t *m, const char *name)
{
	for (uint32_t i = 0; i < m->pools->len; i++) {
		manifest_pool_t *pool =
		    &g_array_index(m->pools, manifest_pool_t, i);
		if (strcmp(pool->name, name) == 0)
			return pool;
	}
	g_assert_not_reached();
}

void
fixture_place(manifest_t *m, const char *pool, const char *data_centre,
    uint32_t instances, uint32_t minimum)
{
	manifest_site_t site = {.instances = instances, .minimum = minimum};

	g_strlcpy(site.data_centre, data_centre, sizeof(site.data_centre));
	g_array_append_val(find_pool(m, pool)->sites, site);
}

void
fixture_budget(manifest_t *m, const char *pool, uint32_t max_unavailable)
{
	manifest_budget_t budget = {.max_unavailable = max_unavailable};

	g_strlcpy(budget.team, pool, sizeof(budget.team));
	g_strlcpy(budget.pool, pool, sizeof(budget.pool));
	g_array_append_val(m->budgets, budget);
}

void
fixture_rule(manifest_t *m, const char *from, const char *to,
    uint32_t max_instances, uint32_t return_after_ms)
{
	manifest_loan_rule_t rule = {
	    .max_instances = max_instances, .return_after_ms = return_after_ms};

	g_strlcpy(rule.from, from, sizeof(rule.from));
	g_strlcpy(rule.to, to, sizeof(rule.to));
	g_array_append_val(m->lending, rule);
}

void
fixture_wave(manifest_t *m, const char *name, const char *const *pools,
    uint32_t concurrency, uint32_t domain_limit)
{
	manifest_wave_t wave = {
	    .concurrency = concurrency, .domain_limit = domain_limit};

	g_strlcpy(wave.name, name, sizeof(wave.name));
	wave.pools = g_ptr_array_new_with_free_func(g_free);
	for (; *pools != NULL; pools++)
		g_ptr_array_add(wave.pools, g_strdup(*pools));
	g_array_append_val(m->waves, wave);
}

member_table_t *
fixture_table(const char *data_centre)
{
	member_table_t *table = g_new0(member_table_t, 1);

	g_strlcpy(table->data_centre, data_centre, sizeof(table->data_centre));
	table->routers = g_ptr_array_new_with_free_func(g_free);
	table->instances = g_ptr_array_new_with_free_func(g_free);
	return table;
}

void
fixture_table_free(member_table_t *table)
{
	g_ptr_array_free(table->routers, TRUE);
	g_ptr_array_free(table->instances, TRUE);
	g_free(table);
}

/*
 * Adds an active instance with 8 slots whose home pool is pool.
 */
member_instance_t *
fixture_instance(member_table_t *table, const char *id,
    const char *failure_domain, const char *pool)
{
	member_instance_t *inst = g_new0(member_instance_t, 1);

	g_strlcpy(inst->id, id, sizeof(inst->id));
	g_strlcpy(
	    inst->failure_domain, failure_domain, sizeof(inst->failure_domain));
	g_strlcpy(inst->pool, pool, sizeof(inst->pool));
	g_strlcpy(inst->home_pool, pool, sizeof(inst->home_pool));
	inst->state = MEMBER_ACTIVE;
	inst->slots = 8;
	g_ptr_array_add(table->instances, inst);
	return inst;
}

plan_wave_t *
fixture_progress(const char *name)
{
	plan_wave_t *progress = g_new0(plan_wave_t, 1);

	g_strlcpy(progress->name, name, sizeof(progress->name));
	progress->started = true;
	progress->done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	progress->failed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return progress;
}

void
fixture_progress_free(plan_wave_t *progress)
{
	g_hash_table_destroy(progress->done);
	g_hash_table_destroy(progress->failed);
	g_free(progress);
}
