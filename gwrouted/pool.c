#include "pool.h"

/* At most a third of a pool is out at once because of its own failures. */
#define MAX_OUT_PERCENT 33
/* Picks that may turn out to be unusable before the choice is refreshed. */
#define PICK_TRIES 3

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
	pool->choices = g_array_new(FALSE, TRUE, sizeof(choice_candidate_t));
	pool->outlier = outlier_new(gw_rt_clock(rt), MAX_OUT_PERCENT);
	retry_budget_init(&pool->retries);
	return pool;
}

/*
 * Frees a pool whose requests have ended.
 */
void
pool_free(pool_t *pool)
{
	fairq_free(pool->queue);
	g_hash_table_destroy(pool->teams);
	g_ptr_array_unref(pool->instances);
	g_array_unref(pool->choices);
	outlier_free(pool->outlier);
	g_free(pool);
}

/*
 * Sets the weights of the manifest's teams; teams that are gone lose theirs.
 */
void
pool_set_teams(pool_t *pool, const manifest_t *manifest)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (manifest_team(manifest, name) != NULL)
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
choice_of(pool_t *pool, uint32_t index)
{
	return &g_array_index(pool->choices, choice_candidate_t, index);
}

/*
 * Tells whether an instance may take a request now. Contact is asked again
 * right before each request, because it ends by time alone.
 */
static bool
may_send(const pool_t *pool, const instance_t *instance)
{
	uint64_t now_us = gw_rt_now_us(pool->rt);

	return instance->avoid_until_us <= now_us &&
	    member_may_send(
		pool->contact, instance->state, instance->time_bound, now_us);
}

static void
refresh_one(pool_t *pool, instance_t *instance)
{
	choice_candidate_t *choice = choice_of(pool, instance->index);
	outlier_state_t state = outlier_state(pool->outlier, instance->id);

	choice->owner = instance;
	choice->in_flight = instance->in_flight;
	choice->service_mean_us = instance->service_mean_us;
	choice->granted = instance->granted;
	if (state == OUTLIER_PROBATION)
		choice->granted = MIN(choice->granted, 1);
	choice->usable = state != OUTLIER_EJECTED && may_send(pool, instance);
}

/*
 * Tells whether the instance is out of the choice for a known time alone.
 */
static bool
is_only_avoided(pool_t *pool, const instance_t *instance)
{
	return instance->avoid_until_us > gw_rt_now_us(pool->rt) &&
	    outlier_state(pool->outlier, instance->id) != OUTLIER_EJECTED &&
	    member_may_send(pool->contact, instance->state,
		instance->time_bound, gw_rt_now_us(pool->rt));
}

/*
 * Brings the choice and the queue's numbers of slots, now and soon, up to date
 * with grants, contact, failed connects and ejections.
 */
void
pool_refresh(pool_t *pool)
{
	uint32_t slots = 0, avoided = 0;
	uint64_t until_us = 0;

	for (guint i = 0; i < pool->instances->len; i++) {
		instance_t *instance = pool->instances->pdata[i];

		refresh_one(pool, instance);
		if (choice_of(pool, i)->usable)
			slots += choice_of(pool, i)->granted;
		else if (is_only_avoided(pool, instance)) {
			avoided += choice_of(pool, i)->granted;
			until_us = MAX(until_us, instance->avoid_until_us);
		}
	}
	pool->slots = slots;
	fairq_set_slots(pool->queue, slots);
	fairq_set_upcoming_slots(
	    pool->queue, avoided > 0 ? slots + avoided : 0, until_us);
}

/*
 * Adds an instance of the pool.
 */
void
pool_add(pool_t *pool, instance_t *instance)
{
	choice_candidate_t choice = {0};

	instance->pool = pool;
	instance->index = pool->instances->len;
	g_ptr_array_add(pool->instances, instance);
	g_array_append_val(pool->choices, choice);
	outlier_add(pool->outlier, instance->id);
	refresh_one(pool, instance);
}

/*
 * Takes an instance out of the pool; its requests in flight go on.
 */
void
pool_remove(pool_t *pool, instance_t *instance)
{
	instance_t *last;

	g_ptr_array_remove_index_fast(pool->instances, instance->index);
	g_array_remove_index_fast(pool->choices, instance->index);
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
	    (const choice_candidate_t *)(void *)pool->choices->data;
	const choice_ops_t *choice = pool->choice;
	instance_t *instance;
	int32_t index;

	/* One that fails fast would be preferred, and its peers get nothing. */
	if (outlier_needs_peers(pool->outlier))
		choice = &choice_random;
	for (int tries = 0; tries < PICK_TRIES; tries++) {
		index = choice->pick(all, pool->choices->len, pool->rand);
		if (index < 0)
			return NULL;
		instance = pool->instances->pdata[index];
		if (may_send(pool, instance))
			return instance;
		choice_of(pool, (uint32_t)index)->usable = false;
	}
	pool_refresh(pool);
	index = choice->pick(all, pool->choices->len, pool->rand);
	return index < 0 ? NULL : pool->instances->pdata[index];
}

/*
 * Tells whether a request could start now, ahead of none that waits.
 */
bool
pool_has_room(pool_t *pool)
{
	return fairq_length(pool->queue) == 0 && pick(pool) != NULL;
}

/*
 * Starts queued requests while an instance has a free slot. A call from within
 * a start is left to the running one.
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
		choice_of(pool, instance->index)->in_flight =
		    instance->in_flight;
}

/*
 * Counts the start of an attempt.
 */
void
pool_started(pool_t *pool, instance_t *instance, bool bound)
{
	instance_started(instance, bound);
	update_in_flight(pool, instance);
	pool->in_flight++;
	pool->in_flight_peak = MAX(pool->in_flight_peak, pool->in_flight);
}

/*
 * Counts the end of an attempt.
 */
void
pool_ended(pool_t *pool, instance_t *instance, bool bound)
{
	instance_ended(instance, bound);
	update_in_flight(pool, instance);
	if (instance->pool == pool)
		choice_of(pool, instance->index)->service_mean_us =
		    instance->service_mean_us;
	pool->in_flight--;
}

/*
 * Reports an attempt's result to the detection of bad instances. Only what can
 * change the choice causes a refresh.
 */
void
pool_report(pool_t *pool, instance_t *instance, outlier_result_t result)
{
	if (instance->pool != pool)
		return;
	outlier_report(pool->outlier, instance->id, result);
	if (result == OUTLIER_FAILURE ||
	    outlier_ejected_count(pool->outlier) > 0)
		pool_refresh(pool);
}

/*
 * Returns the slots that the demand of the last period could use, and begins a
 * new period.
 */
static uint32_t
slots_wanted(pool_t *pool)
{
	uint32_t wanted =
	    MAX(pool->in_flight_peak, fairq_slots_wanted(pool->queue));

	pool->in_flight_peak = pool->in_flight;
	/* One that fails alone may be bad: only a peer's requests can tell. */
	if (outlier_needs_peers(pool->outlier))
		wanted = MAX(wanted, pool->slots + 1);
	return wanted;
}

/*
 * Returns the demand of the period since the last call.
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
