#include "pool.h"

/*
 * Outlier detection ejects at most a third of the instances at a time.
 */
#define EJECTED_MAX_PERCENT 33
/*
 * Number of picks that may return an instance that is no longer usable before
 * all candidates are refreshed.
 */
#define PICK_TRIES_MAX 3

/*
 * Returns a pool without instances.
 */
pool_t *
pool_new(gw_rt_t *rt, const settings_t *settings, const char *name,
    const pool_ops_t *ops, const member_router_contact_t *contact, GRand *rand)
{
	pool_t *pool;

	pool = g_new0(pool_t, 1);
	g_strlcpy(pool->name, name, sizeof(pool->name));
	pool->rt = rt;
	pool->ops = ops;
	pool->contact = contact;
	pool->choice = settings->choice;
	pool->rand = rand;
	pool->queue =
	    fairq_new(settings->queue, gw_rt_clock(rt), settings->queue_max);
	pool->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pool->instances = g_ptr_array_new();
	pool->candidates = g_array_new(FALSE, TRUE, sizeof(choice_candidate_t));
	pool->outlier = outlier_new(gw_rt_clock(rt), EJECTED_MAX_PERCENT);
	retry_budget_init(&pool->retries);
	return pool;
}

/*
 * Frees the pool. All of its requests must have ended.
 */
void
pool_free(pool_t *pool)
{
	fairq_free(pool->queue);
	g_hash_table_destroy(pool->teams);
	g_ptr_array_unref(pool->instances);
	g_array_unref(pool->candidates);
	outlier_free(pool->outlier);
	g_free(pool);
}

/*
 * Sets the weights of the teams from the manifest and removes those of teams
 * that the manifest no longer has.
 */
void
pool_set_teams(pool_t *pool, const manifest_t *manifest)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (manifest_find_team(manifest, name) != NULL)
			continue;
		fairq_set_team(pool->queue, name, 0);
		g_hash_table_iter_remove(&iter);
	}
	for (guint i = 0; i < manifest->teams->len; i++) {
		const manifest_team_t *team =
		    &g_array_index(manifest->teams, manifest_team_t, i);

		fairq_set_team(pool->queue, team->name, team->weight);
		g_hash_table_add(pool->teams, g_strdup(team->name));
	}
}

static choice_candidate_t *
candidate_at(pool_t *pool, uint32_t index)
{
	return &g_array_index(pool->candidates, choice_candidate_t, index);
}

/*
 * Returns whether a request may be sent to the instance now. This is checked
 * again right before each request, because contact with the planner expires
 * without any event.
 */
static bool
may_send(const pool_t *pool, const instance_t *instance)
{
	uint64_t now_us = gw_rt_now_us(pool->rt);

	return instance->backoff_until_us <= now_us &&
	    member_may_send(
		pool->contact, instance->state, instance->time_bound, now_us);
}

static void
refresh_candidate(pool_t *pool, instance_t *instance)
{
	choice_candidate_t *candidate = candidate_at(pool, instance->index);
	outlier_state_t state = outlier_state(pool->outlier, instance->id);

	candidate->owner = instance;
	candidate->in_flight = instance->in_flight;
	candidate->service_mean_us = instance->service_mean_us;
	candidate->granted = instance->granted;
	if (state == OUTLIER_PROBATION)
		candidate->granted = MIN(candidate->granted, 1);
	candidate->usable =
	    state != OUTLIER_EJECTED && may_send(pool, instance);
}

/*
 * Returns whether only its backoff keeps the instance from being picked. The
 * time at which a backoff ends is known.
 */
static bool
is_only_backing_off(pool_t *pool, const instance_t *instance)
{
	return instance->backoff_until_us > gw_rt_now_us(pool->rt) &&
	    outlier_state(pool->outlier, instance->id) != OUTLIER_EJECTED &&
	    member_may_send(pool->contact, instance->state,
		instance->time_bound, gw_rt_now_us(pool->rt));
}

/*
 * Updates the candidates from grants, contact, backoff and ejections. Passes to
 * the queue the number of slots now and the number after the backoffs.
 */
void
pool_refresh(pool_t *pool)
{
	uint32_t slots = 0, upcoming = 0;
	uint64_t until_us = 0;

	for (guint i = 0; i < pool->instances->len; i++) {
		instance_t *instance = pool->instances->pdata[i];

		refresh_candidate(pool, instance);
		if (candidate_at(pool, i)->usable)
			slots += candidate_at(pool, i)->granted;
		else if (is_only_backing_off(pool, instance)) {
			upcoming += candidate_at(pool, i)->granted;
			until_us = MAX(until_us, instance->backoff_until_us);
		}
	}
	pool->slots = slots;
	fairq_set_slots(pool->queue, slots);
	fairq_set_upcoming_slots(
	    pool->queue, upcoming > 0 ? slots + upcoming : 0, until_us);
}

/*
 * Adds an instance to the pool.
 */
void
pool_add_instance(pool_t *pool, instance_t *instance)
{
	choice_candidate_t candidate = {0};

	instance->pool = pool;
	instance->index = pool->instances->len;
	g_ptr_array_add(pool->instances, instance);
	g_array_append_val(pool->candidates, candidate);
	outlier_add(pool->outlier, instance->id);
	refresh_candidate(pool, instance);
}

/*
 * Removes an instance from the pool; requests in flight on it continue.
 */
void
pool_remove_instance(pool_t *pool, instance_t *instance)
{
	instance_t *last;

	g_ptr_array_remove_index_fast(pool->instances, instance->index);
	g_array_remove_index_fast(pool->candidates, instance->index);
	if (instance->index < pool->instances->len) {
		last = pool->instances->pdata[instance->index];
		last->index = instance->index;
	}
	outlier_remove(pool->outlier, instance->id);
	instance->pool = NULL;
}

/*
 * Returns an instance with a free granted slot, or NULL.
 */
static instance_t *
pick(pool_t *pool)
{
	const choice_candidate_t *all =
	    (const choice_candidate_t *)(void *)pool->candidates->data;
	const choice_ops_t *choice = pool->choice;
	instance_t *instance;
	int32_t index;

	/*
	 * The power-of-two choice would prefer an instance that fails fast, and
	 * the others would get no requests to compare it with.
	 */
	if (outlier_needs_peers(pool->outlier))
		choice = &choice_random;
	for (int tries = 0; tries < PICK_TRIES_MAX; tries++) {
		index = choice->pick(all, pool->candidates->len, pool->rand);
		if (index < 0)
			return NULL;
		instance = pool->instances->pdata[index];
		if (may_send(pool, instance))
			return instance;
		candidate_at(pool, (uint32_t)index)->usable = false;
	}
	pool_refresh(pool);
	index = choice->pick(all, pool->candidates->len, pool->rand);
	return index < 0 ? NULL : pool->instances->pdata[index];
}

/*
 * Returns whether a new request could start at once: the queue is empty and an
 * instance has a free slot.
 */
bool
pool_has_free_slot(pool_t *pool)
{
	return fairq_length(pool->queue) == 0 && pick(pool) != NULL;
}

/*
 * Starts queued requests while an instance has a free slot. A nested call from
 * within ops->start() returns at once, since the outer call goes on.
 */
void
pool_dispatch(pool_t *pool)
{
	instance_t *instance;
	fairq_item_t *item;

	if (pool->dispatching)
		return;
	pool->dispatching = true;
	while (
	    fairq_length(pool->queue) > 0 && (instance = pick(pool)) != NULL) {
		item = fairq_pop(pool->queue, pool->ops->expired, NULL);
		if (item == NULL)
			break;
		pool->ops->start(item, instance);
	}
	pool->dispatching = false;
}

static void
update_in_flight(pool_t *pool, instance_t *instance)
{
	if (instance->pool == pool)
		candidate_at(pool, instance->index)->in_flight =
		    instance->in_flight;
}

/*
 * Counts an attempt as in flight on the instance and in the pool.
 */
void
pool_attempt_started(pool_t *pool, instance_t *instance, bool was_time_bound)
{
	instance_attempt_started(instance, was_time_bound);
	update_in_flight(pool, instance);
	pool->in_flight++;
	pool->in_flight_peak = MAX(pool->in_flight_peak, pool->in_flight);
}

/*
 * Counts an attempt as ended on the instance and in the pool.
 */
void
pool_attempt_ended(pool_t *pool, instance_t *instance, bool was_time_bound)
{
	instance_attempt_ended(instance, was_time_bound);
	update_in_flight(pool, instance);
	if (instance->pool == pool)
		candidate_at(pool, instance->index)->service_mean_us =
		    instance->service_mean_us;
	pool->in_flight--;
}

/*
 * Passes the result of an attempt to outlier detection. The candidates are
 * refreshed only after a failure or while an instance is ejected; no other
 * result can change them.
 */
void
pool_record_result(pool_t *pool, instance_t *instance, outlier_result_t result)
{
	if (instance->pool != pool)
		return;
	outlier_report(pool->outlier, instance->id, result);
	if (result == OUTLIER_FAILURE ||
	    outlier_ejected_count(pool->outlier) > 0)
		pool_refresh(pool);
}

/*
 * Returns the number of slots that the demand of the last period could use, and
 * starts a new period.
 */
static uint32_t
slots_wanted(pool_t *pool)
{
	uint32_t wanted =
	    MAX(pool->in_flight_peak, fairq_slots_wanted(pool->queue));

	pool->in_flight_peak = pool->in_flight;
	/*
	 * When the only instance with requests fails, either it or the whole
	 * service may be at fault. Requests to another instance show which, so
	 * one more slot is wanted.
	 */
	if (outlier_needs_peers(pool->outlier))
		wanted = MAX(wanted, pool->slots + 1);
	return wanted;
}

/*
 * Returns the demand of the period since the last call, and starts a new
 * period.
 */
pool_demand_t
pool_take_demand(pool_t *pool)
{
	pool_demand_t demand = {.queued = fairq_length(pool->queue),
	    .in_flight = pool->in_flight,
	    .slots_wanted = slots_wanted(pool),
	    .refused = pool->refused};

	return demand;
}
