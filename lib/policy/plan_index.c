#include <string.h>

#include "policy/budget.h"
#include "policy/plan_index.h"

static void
pool_free(gpointer data)
{
	plan_pool_t *pool = data;

	g_array_free(pool->domains, TRUE);
	g_ptr_array_free(pool->active, TRUE);
	g_free(pool);
}

static plan_pool_t *
pool_get_or_add(plan_index_t *index, const char *name)
{
	plan_pool_t *pool = g_hash_table_lookup(index->pools, name);

	if (pool != NULL)
		return pool;
	pool = g_new0(plan_pool_t, 1);
	pool->name = name;
	pool->domains = g_array_new(FALSE, TRUE, sizeof(plan_domain_t));
	pool->active = g_ptr_array_new();
	g_hash_table_insert(index->pools, (gpointer)name, pool);
	g_ptr_array_add(index->ordered, pool);
	return pool;
}

static plan_floor_t
compute_floor(const manifest_t *manifest, const manifest_pool_t *pool,
    const char *data_centre)
{
	budget_share_t share = budget_share(manifest, pool, data_centre);
	plan_floor_t result = {.in_manifest = true};

	result.instances = share.instances;
	result.minimum = share.minimum;
	if (share.has_budget) {
		result.floor = share.instances -
		    MIN(share.instances, share.max_unavailable);
		result.reserve_domain = !share.domain_reserved;
	}
	return result;
}

static void
add_manifest(plan_index_t *index, const manifest_t *manifest, bool in_force)
{
	const char *data_centre = index->input->data_centre;

	for (uint32_t i = 0; manifest != NULL && i < manifest->pools->len;
	     i++) {
		const manifest_pool_t *source =
		    &g_array_index(manifest->pools, manifest_pool_t, i);
		plan_pool_t *pool = pool_get_or_add(index, source->name);

		if (in_force) {
			pool->pool = source;
			pool->current =
			    compute_floor(manifest, source, data_centre);
		} else {
			pool->previous =
			    compute_floor(manifest, source, data_centre);
		}
	}
}

static plan_domain_t *
domain_get_or_add(plan_pool_t *pool, const char *name)
{
	plan_domain_t fresh = {.name = name};

	for (uint32_t i = 0; i < pool->domains->len; i++) {
		plan_domain_t *domain =
		    &g_array_index(pool->domains, plan_domain_t, i);
		if (strcmp(domain->name, name) == 0)
			return domain;
	}
	g_array_append_val(pool->domains, fresh);
	return &g_array_index(
	    pool->domains, plan_domain_t, pool->domains->len - 1);
}

/*
 * Returns true while the instance is out of service for maintenance, from the
 * start of its drain until it passed the check after the reboot.
 */
bool
plan_in_maintenance(const member_instance_t *inst)
{
	switch (inst->state) {
	case MEMBER_REBOOTING:
	case MEMBER_CHECKING:
		return true;
	case MEMBER_LEAVING:
	case MEMBER_DRAINED:
		return inst->purpose == MEMBER_FOR_REBOOT;
	default:
		return false;
	}
}

static void
add_instance(plan_index_t *index, member_instance_t *inst)
{
	plan_pool_t *pool = pool_get_or_add(index, inst->pool);

	if (inst->state == MEMBER_ACTIVE) {
		pool->available++;
		domain_get_or_add(pool, inst->failure_domain)->available++;
		g_ptr_array_add(pool->active, inst);
	} else if (plan_in_maintenance(inst)) {
		pool->in_maintenance++;
	} else if (inst->state == MEMBER_JOINING) {
		pool->inbound++;
	} else if (inst->state != MEMBER_ENDED &&
	    inst->target_pool[0] != '\0') {
		pool_get_or_add(index, inst->target_pool)->inbound++;
	}
}

/*
 * Indexes the input for one round. Instances with an action in actions are
 * treated as taken out of their pools, so that several policies can append to
 * one list.
 */
plan_index_t *
plan_index_new(const plan_input_t *input, const GPtrArray *actions)
{
	plan_index_t *index = g_new0(plan_index_t, 1);

	index->input = input;
	index->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	index->ordered = g_ptr_array_new();
	index->with_action = g_hash_table_new(g_str_hash, g_str_equal);
	add_manifest(index, input->manifest, true);
	add_manifest(index, input->previous, false);
	for (uint32_t i = 0; actions != NULL && i < actions->len; i++) {
		const plan_action_t *action = actions->pdata[i];

		if (action->kind == PLAN_BIND_TIME)
			continue;
		g_hash_table_add(
		    index->with_action, (gpointer)action->instance_id);
		if (action->kind == PLAN_MOVE)
			pool_get_or_add(index, action->target_pool)->inbound++;
	}
	for (uint32_t i = 0; i < input->table->instances->len; i++) {
		member_instance_t *inst = input->table->instances->pdata[i];

		if (!plan_index_has_action(index, inst))
			add_instance(index, inst);
	}
	return index;
}

void
plan_index_free(plan_index_t *index)
{
	g_hash_table_destroy(index->pools);
	g_hash_table_destroy(index->with_action);
	g_ptr_array_free(index->ordered, TRUE);
	g_free(index);
}

plan_pool_t *
plan_index_pool(const plan_index_t *index, const char *name)
{
	return g_hash_table_lookup(index->pools, name);
}

bool
plan_index_has_action(const plan_index_t *index, const member_instance_t *inst)
{
	return g_hash_table_size(index->with_action) > 0 &&
	    g_hash_table_contains(index->with_action, inst->id);
}

void
plan_index_remove_instance(plan_index_t *index, const member_instance_t *inst)
{
	plan_pool_t *pool = plan_index_pool(index, inst->pool);

	if (!g_hash_table_add(index->with_action, (gpointer)inst->id) ||
	    inst->state != MEMBER_ACTIVE)
		return;
	pool->available--;
	domain_get_or_add(pool, inst->failure_domain)->available--;
	g_ptr_array_remove(pool->active, (gpointer)inst);
}

uint32_t
plan_pool_largest_domain(const plan_pool_t *pool)
{
	uint32_t largest = 0;

	for (uint32_t i = 0; i < pool->domains->len; i++)
		largest = MAX(largest,
		    g_array_index(pool->domains, plan_domain_t, i).available);
	return largest;
}

static uint32_t
removable_under(const plan_pool_t *pool, const plan_floor_t *floor)
{
	uint32_t keep = floor->floor;

	if (!floor->in_manifest)
		return pool->available;
	if (floor->reserve_domain)
		keep += plan_pool_largest_domain(pool);
	keep = MAX(keep, floor->minimum);
	return pool->available - MIN(pool->available, keep);
}

/*
 * Returns how many more instances may be taken out of the pool: the smaller of
 * the numbers by the two manifests while both are in use.
 */
uint32_t
plan_pool_removable_count(const plan_pool_t *pool)
{
	uint32_t left = removable_under(pool, &pool->current);

	return MIN(left, removable_under(pool, &pool->previous));
}

static uint32_t
largest_domain_without(const plan_pool_t *pool, const char *domain)
{
	uint32_t largest = 0;

	for (uint32_t i = 0; i < pool->domains->len; i++) {
		const plan_domain_t *d =
		    &g_array_index(pool->domains, plan_domain_t, i);
		uint32_t less = strcmp(d->name, domain) == 0;

		largest = MAX(largest, d->available - MIN(d->available, less));
	}
	return largest;
}

static bool
floor_allows(const plan_floor_t *floor, uint32_t available, uint32_t largest)
{
	uint32_t keep = floor->floor + (floor->reserve_domain ? largest : 0);

	return !floor->in_manifest || available >= MAX(keep, floor->minimum);
}

/*
 * Returns true when the instance may be taken out of the pool. This is exact,
 * while plan_pool_removable_count() gives a lower bound: an instance of the
 * largest failure domain makes that domain smaller when it leaves.
 */
bool
plan_pool_may_remove(const plan_pool_t *pool, const member_instance_t *inst)
{
	uint32_t largest;

	if (pool->available == 0)
		return false;
	largest = largest_domain_without(pool, inst->failure_domain);
	return floor_allows(&pool->current, pool->available - 1, largest) &&
	    floor_allows(&pool->previous, pool->available - 1, largest);
}

plan_action_t *
plan_action_add(GPtrArray *actions, plan_action_kind_t kind,
    const char *instance_id, const char *target_pool)
{
	plan_action_t *action = g_new0(plan_action_t, 1);

	action->kind = kind;
	g_strlcpy(
	    action->instance_id, instance_id, sizeof(action->instance_id));
	if (target_pool != NULL)
		g_strlcpy(action->target_pool, target_pool,
		    sizeof(action->target_pool));
	g_ptr_array_add(actions, action);
	return action;
}

/*
 * Returns how many more instances of the pool may be taken out of service in
 * this data centre. The pool's minimum then still holds, and the data centre's
 * share of the budget does even if the largest failure domain is lost next.
 */
uint32_t
plan_budget_left(const plan_input_t *input, const char *pool)
{
	plan_index_t *index = plan_index_new(input, NULL);
	const plan_pool_t *found = plan_index_pool(index, pool);
	uint32_t left = found != NULL ? plan_pool_removable_count(found) : 0;

	plan_index_free(index);
	return left;
}
