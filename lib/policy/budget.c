#include <string.h>

#include "policy/budget.h"

/* A failure domain with instances of the pool has at least one. */
#define MIN_DOMAIN_INSTANCES 1

static const manifest_site_t *
site_at(const manifest_pool_t *pool, uint32_t i)
{
	return &g_array_index(pool->sites, manifest_site_t, i);
}

static uint32_t
total_instances(const manifest_pool_t *pool)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < pool->sites->len; i++)
		sum += site_at(pool, i)->instances;
	return sum;
}

/*
 * Returns true when site a gets a unit left over by rounding before site b:
 * in order of remainder, largest first, then of name, so that all data centres
 * compute the same shares.
 */
static bool
gets_remainder_before(const manifest_site_t *a, const manifest_site_t *b,
    uint64_t budget, uint32_t total)
{
	uint64_t rest_a = budget * a->instances % total;
	uint64_t rest_b = budget * b->instances % total;

	if (rest_a != rest_b)
		return rest_a > rest_b;
	return strcmp(a->data_centre, b->data_centre) < 0;
}

/*
 * Returns the site's part of the budget in proportion to its instances, by
 * the largest remainder method: the parts of all sites add up to the budget.
 */
static uint32_t
apportion(const manifest_pool_t *pool, const manifest_site_t *own,
    uint64_t budget, uint32_t total)
{
	uint64_t given = 0, before = 0, part;

	if (total == 0)
		return 0;
	for (uint32_t i = 0; i < pool->sites->len; i++) {
		const manifest_site_t *site = site_at(pool, i);

		given += budget * site->instances / total;
		if (site != own &&
		    gets_remainder_before(site, own, budget, total))
			before++;
	}
	part = budget * own->instances / total;
	return (uint32_t)(part + (before < budget - given ? 1 : 0));
}

static const manifest_budget_t *
find_budget(const manifest_t *manifest, const char *pool)
{
	for (uint32_t i = 0; i < manifest->budgets->len; i++) {
		const manifest_budget_t *budget =
		    &g_array_index(manifest->budgets, manifest_budget_t, i);
		if (strcmp(budget->pool, pool) == 0)
			return budget;
	}
	return NULL;
}

static const manifest_site_t *
find_site(const manifest_pool_t *pool, const char *data_centre)
{
	for (uint32_t i = 0; i < pool->sites->len; i++)
		if (strcmp(site_at(pool, i)->data_centre, data_centre) == 0)
			return site_at(pool, i);
	return NULL;
}

static uint32_t
largest_place_instances(const manifest_pool_t *pool)
{
	uint32_t largest = 0;

	for (uint32_t i = 0; i < pool->sites->len; i++)
		largest = MAX(largest, site_at(pool, i)->instances);
	return largest;
}

/*
 * Returns how many instances may be stopped at once in the whole fleet when
 * each data centre sets aside one failure domain of the smallest size within
 * its own share.
 */
static uint32_t
usable_when_divided(
    const manifest_pool_t *pool, uint32_t budget, uint32_t total)
{
	uint32_t sum = 0, part;

	for (uint32_t i = 0; i < pool->sites->len; i++) {
		part = apportion(pool, site_at(pool, i), budget, total);
		sum += part - MIN(part, MIN_DOMAIN_INSTANCES);
	}
	return sum;
}

/*
 * Returns the data centre's share of the pool's budget. One failure domain may
 * be lost on top of all planned stops, but the manifest does not tell its size.
 * So either each data centre sets aside its largest failure domain within its
 * share, or the instances of the pool's largest site are set aside once for
 * the fleet. The second is used where it leaves more planned stops, as in
 * pools with few instances per data centre. All data centres decide this from
 * the same manifest and so agree.
 */
budget_share_t
budget_share(const manifest_t *manifest, const manifest_pool_t *pool,
    const char *data_centre)
{
	const manifest_budget_t *budget = find_budget(manifest, pool->name);
	const manifest_site_t *site = find_site(pool, data_centre);
	budget_share_t result = {0};
	uint32_t total = total_instances(pool), reserved, usable;

	if (site == NULL)
		return result;
	result.instances = site->instances;
	result.minimum = site->minimum;
	if (budget == NULL)
		return result;
	result.has_budget = true;
	reserved = largest_place_instances(pool);
	usable =
	    budget->max_unavailable - MIN(budget->max_unavailable, reserved);
	result.domain_reserved =
	    usable > usable_when_divided(pool, budget->max_unavailable, total);
	result.max_unavailable = apportion(pool, site,
	    result.domain_reserved ? usable : budget->max_unavailable, total);
	return result;
}
