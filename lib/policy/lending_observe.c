#include <string.h>

#include "policy/lending_impl.h"

/* Time that a move takes, until moves were observed. */
#define INITIAL_LEAD_US (2 * GW_US_PER_S)
/* A newly observed lead time has a weight of 1/4 in the mean. */
#define SAMPLE_WEIGHT_DIVISOR 4
/* Part of the slots that demand may fill before a pool needs more. */
#define TARGET_BUSY_PERCENT 100
/* An older report does not show the present demand. */
#define REPORT_MAX_AGE_MS 2000
/* How long the highest need of a pool is kept after it was reached. */
#define PEAK_RETENTION_US GW_US_PER_S

static void
pool_free(gpointer data)
{
	lending_pool_t *pool = data;

	g_free(pool->name);
	g_free(pool);
}

plan_lending_t *
plan_lending_new(void)
{
	plan_lending_t *lending = g_new0(plan_lending_t, 1);

	lending->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	lending->moves =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lending->lead_us = INITIAL_LEAD_US;
	return lending;
}

void
plan_lending_free(plan_lending_t *lending)
{
	if (lending == NULL)
		return;
	g_hash_table_destroy(lending->pools);
	g_hash_table_destroy(lending->moves);
	g_free(lending);
}

uint32_t
plan_lending_buffer(const plan_lending_t *lending)
{
	return lending->buffer_instances;
}

uint32_t
plan_lending_reserve(const plan_lending_t *lending, const char *pool)
{
	const lending_pool_t *found = g_hash_table_lookup(lending->pools, pool);

	return found != NULL ? found->reserve : UINT32_MAX;
}

uint64_t
lending_settle_us(const plan_lending_t *lending)
{
	return 2 * lending->lead_us;
}

static lending_pool_t *
pool_get_or_add(plan_lending_t *lending, const char *name)
{
	lending_pool_t *pool = g_hash_table_lookup(lending->pools, name);

	if (pool == NULL) {
		pool = g_new0(lending_pool_t, 1);
		pool->name = g_strdup(name);
		g_hash_table_insert(lending->pools, pool->name, pool);
	}
	return pool;
}

static uint32_t
divide_round_up(uint32_t a, uint32_t b)
{
	return (a + b - 1) / b;
}

static uint32_t
wanted_slots(const plan_demand_t *demand)
{
	return MAX(demand->slots_wanted, demand->in_flight);
}

static void
observe_pool(
    lending_round_t *round, lending_pool_t *pool, const plan_demand_t *demand)
{
	uint32_t slots = wanted_slots(demand);

	surge_observe(&pool->surge, slots, round->now_us);
	pool->need =
	    divide_round_up(slots * 100, pool->slots * TARGET_BUSY_PERCENT);
	if (pool->need >= pool->peak ||
	    round->now_us > pool->peak_us + PEAK_RETENTION_US) {
		pool->peak = pool->need;
		pool->peak_us = round->now_us;
	}
	pool->elsewhere_instances = demand->slots_elsewhere / pool->slots;
	pool->stale = demand->age_ms > REPORT_MAX_AGE_MS;
}

/*
 * Resets the per-round values of each pool in the manifest.
 */
static void
prepare_pools(lending_round_t *round)
{
	GPtrArray *all = round->index->ordered;

	for (uint32_t i = 0; i < all->len; i++) {
		plan_pool_t *indexed = all->pdata[i];
		lending_pool_t *pool;

		if (indexed->pool == NULL)
			continue;
		pool = pool_get_or_add(round->state, indexed->name);
		pool->pool = indexed;
		pool->slots = MAX(indexed->pool->slots_per_instance, 1);
		pool->need = 0;
		pool->elsewhere_instances = 0;
		/* Spare pools have no reports; the others are read next. */
		pool->stale = !indexed->pool->spare;
		pool->wave_pending = 0;
		pool->have = indexed->available + indexed->inbound;
		pool->seen_us = round->now_us;
		g_ptr_array_add(round->pools, pool);
	}
}

static gboolean
is_stale(gpointer key, gpointer value, gpointer now_us)
{
	(void)key;
	return ((lending_pool_t *)value)->seen_us != *(uint64_t *)now_us;
}

/*
 * Updates the mean lead time from the moves that arrived. Drops the records of
 * instances that ended, and of those back home once they have settled.
 */
static void
observe_moves(lending_round_t *round)
{
	GHashTable *kept =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GPtrArray *all = round->input->table->instances;
	plan_lending_t *state = round->state;

	for (uint32_t i = 0; i < all->len; i++) {
		const member_instance_t *inst = all->pdata[i];
		lending_move_t *move =
		    g_hash_table_lookup(state->moves, inst->id);

		if (move == NULL || inst->state == MEMBER_ENDED)
			continue;
		if (!move->arrived && inst->state == MEMBER_ACTIVE &&
		    inst->target_pool[0] == '\0') {
			move->arrived = true;
			state->lead_us += (int64_t)(round->now_us -
					      move->moved_us - state->lead_us) /
			    SAMPLE_WEIGHT_DIVISOR;
		}
		if (!move->arrived ||
		    strcmp(inst->pool, inst->home_pool) != 0 ||
		    round->now_us < move->moved_us + lending_settle_us(state))
			g_hash_table_insert(kept, g_strdup(inst->id),
			    g_memdup2(move, sizeof(*move)));
	}
	g_hash_table_destroy(state->moves);
	state->moves = kept;
}

/*
 * Sets need, have and state of the round's pools from the input, and computes
 * the number of instances to keep idle.
 */
void
lending_observe(lending_round_t *round)
{
	uint32_t total = 0, missing = 0, in_maintenance = 0, slots = 1;
	plan_lending_t *state = round->state;

	observe_moves(round);
	prepare_pools(round);
	g_hash_table_foreach_remove(state->pools, is_stale, &round->now_us);
	for (uint32_t i = 0; i < round->input->demand->len; i++) {
		const plan_demand_t *demand = round->input->demand->pdata[i];
		lending_pool_t *pool =
		    g_hash_table_lookup(state->pools, demand->pool);

		total += wanted_slots(demand);
		if (pool != NULL)
			observe_pool(round, pool, demand);
	}
	for (uint32_t i = 0; i < round->pools->len; i++) {
		const lending_pool_t *pool = round->pools->pdata[i];

		slots = MAX(slots, pool->slots);
		in_maintenance += pool->pool->in_maintenance;
		missing += pool->pool->current.instances;
	}
	for (uint32_t i = 0; i < round->input->table->instances->len; i++) {
		const member_instance_t *inst =
		    round->input->table->instances->pdata[i];
		if (inst->state != MEMBER_ENDED && missing > 0)
			missing--;
	}
	buffer_observe(
	    &state->buffer, total, missing, state->lead_us, round->now_us);
	state->buffer_instances =
	    buffer_instances(&state->buffer, slots, in_maintenance);
}

static gint
next_surge_order(gconstpointer a, gconstpointer b)
{
	const lending_pool_t *x = *(const lending_pool_t *const *)a;
	const lending_pool_t *y = *(const lending_pool_t *const *)b;
	uint64_t next_x = surge_next_us(&x->surge, x->surge.seen_us);
	uint64_t next_y = surge_next_us(&y->surge, y->surge.seen_us);

	if (next_x != next_y)
		return next_x < next_y ? -1 : 1;
	return strcmp(x->name, y->name);
}

/*
 * Sets how many instances each pool reserves for requests: its recent peak or
 * its minimum, plus a part of the buffer from its idle instances. The buffer is
 * given out in the order in which the next surges are expected. A pool with a
 * late report reserves all its instances.
 */
void
lending_set_reserves(lending_round_t *round)
{
	uint32_t rest = round->state->buffer_instances;

	g_ptr_array_sort(round->pools, next_surge_order);
	for (uint32_t i = 0; i < round->pools->len; i++) {
		lending_pool_t *pool = round->pools->pdata[i];
		uint32_t base = MAX(pool->peak, pool->pool->current.minimum);
		uint32_t idle = pool->have - MIN(pool->have, base);
		uint32_t part = pool->surge.surging ? 0 : MIN(rest, idle);

		pool->reserve = base + part;
		rest -= part;
		if (pool->stale)
			pool->reserve = MAX(pool->reserve, pool->have);
	}
}
