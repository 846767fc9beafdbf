#include <string.h>

#include "policy/budget.h"

/* A failure domain holds at least one instance of the pool. */
#define SMALLEST_DOMAIN 1

static const manifest_place_t *
place_at(const manifest_pool_t *pool, uint32_t i)
{
	return &g_array_index(pool->places, manifest_place_t, i);
}

static uint32_t
total_instances(const manifest_pool_t *pool)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < pool->places->len; i++)
		sum += place_at(pool, i)->instances;
	return sum;
}

/*
 * True when place a gets one of the units left over by rounding before b:
 * larger remainder first, then by name, so that all data centres agree.
 */
static bool
remainder_before(const manifest_place_t *a, const manifest_place_t *b,
    uint64_t budget, uint32_t total)
{
	uint64_t rest_a = budget * a->instances % total;
	uint64_t rest_b = budget * b->instances % total;

	if (rest_a != rest_b)
		return rest_a > rest_b;
	return strcmp(a->data_centre, b->data_centre) < 0;
}

/*
 * Largest-remainder part of the budget that falls to a place. The parts of
 * all places add up to the budget.
 */
static uint32_t
apportion(const manifest_pool_t *pool, const manifest_place_t *own,
    uint64_t budget, uint32_t total)
{
	uint64_t given = 0, before = 0, part;

	if (total == 0)
		return 0;
	for (uint32_t i = 0; i < pool->places->len; i++) {
		const manifest_place_t *place = place_at(pool, i);

		given += budget * place->instances / total;
		if (place != own && remainder_before(place, own, budget, total))
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

static const manifest_place_t *
find_place(const manifest_pool_t *pool, const char *data_centre)
{
	for (uint32_t i = 0; i < pool->places->len; i++)
		if (strcmp(place_at(pool, i)->data_centre, data_centre) == 0)
			return place_at(pool, i);
	return NULL;
}

static uint32_t
largest_place(const manifest_pool_t *pool)
{
	uint32_t largest = 0;

	for (uint32_t i = 0; i < pool->places->len; i++)
		largest = MAX(largest, place_at(pool, i)->instances);
	return largest;
}

/*
 * Planned stops that the whole fleet may hold at once when each data centre
 * sets aside one failure domain of the smallest size from its own share.
 */
static uint32_t
usable_when_divided(
    const manifest_pool_t *pool, uint32_t budget, uint32_t total)
{
	uint32_t sum = 0, part;

	for (uint32_t i = 0; i < pool->places->len; i++) {
		part = apportion(pool, place_at(pool, i), budget, total);
		sum += part - MIN(part, SMALLEST_DOMAIN);
	}
	return sum;
}

/*
 * The data centre's share of the pool's budget. One failure domain of the
 * fleet may be lost on top of all planned stops. Its size is not in the
 * manifest: either each data centre keeps room for its own largest domain
 * within its share, or, when that leaves more for planned stops (pools with
 * few instances per data centre), the largest place's instances are set aside
 * once. The choice follows from the manifest, so all data centres agree.
 */
budget_share_t
budget_share(const manifest_t *manifest, const manifest_pool_t *pool,
    const char *data_centre)
{
	const manifest_budget_t *budget = find_budget(manifest, pool->name);
	const manifest_place_t *place = find_place(pool, data_centre);
	budget_share_t result = {0};
	uint32_t total = total_instances(pool), reserved, usable;

	if (place == NULL)
		return result;
	result.instances = place->instances;
	result.minimum = place->minimum;
	if (budget == NULL)
		return result;
	result.limited = true;
	reserved = largest_place(pool);
	usable =
	    budget->max_unavailable - MIN(budget->max_unavailable, reserved);
	result.domain_reserved =
	    usable > usable_when_divided(pool, budget->max_unavailable, total);
	result.share = apportion(pool, place,
	    result.domain_reserved ? usable : budget->max_unavailable, total);
	return result;
}
