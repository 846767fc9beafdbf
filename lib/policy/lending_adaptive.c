#include <string.h>

#include "policy/lending_impl.h"

/* Rounds in a row that a pool must be short before an instance moves. */
#define SHORT_ROUNDS 2

/*
 * Returns true when the instance may move to the pool: it is its home pool, or
 * a lending rule lets the home pool lend one more instance to it.
 */
static bool
may_move_to(
    const lending_round_t *round, const member_instance_t *inst, const char *to)
{
	const lending_rule_t *rule;

	if (strcmp(inst->home_pool, to) == 0)
		return true;
	rule = lending_rule_lookup(round, inst->home_pool, to);
	return rule != NULL && rule->lent < rule->rule->max_instances;
}

static bool
is_settled(const lending_round_t *round, const member_instance_t *inst)
{
	const lending_move_t *move =
	    g_hash_table_lookup(round->state->moves, inst->id);

	return move == NULL ||
	    (move->arrived &&
		round->now_us >=
		    move->moved_us + lending_settle_us(round->state));
}

/* Instances that the pool has beyond its recent peak and its minimum. */
static uint32_t
surplus(const lending_pool_t *pool)
{
	uint32_t keep = MAX(pool->peak, pool->pool->current.minimum);

	return pool->have - MIN(pool->have, keep);
}

static uint32_t
domain_count(const lending_pool_t *pool, const char *domain)
{
	const GArray *domains = pool->pool->domains;

	for (uint32_t i = 0; i < domains->len; i++) {
		const plan_domain_t *d =
		    &g_array_index(domains, plan_domain_t, i);
		if (strcmp(d->name, domain) == 0)
			return d->available;
	}
	return 0;
}

/*
 * Returns the instance to move between the pools, or NULL: an instance whose
 * home is the receiving pool, else one of the failure domain with the fewest
 * instances of that pool. A lent instance in the pool's largest failure domain
 * would raise the number to set aside for the loss of the domain.
 */
static member_instance_t *
select_movable(const lending_round_t *round, const lending_pool_t *from,
    const lending_pool_t *to)
{
	GPtrArray *active = from->pool->active;
	member_instance_t *best = NULL;
	uint32_t best_count = UINT32_MAX;

	for (uint32_t i = 0; i < active->len; i++) {
		member_instance_t *inst = active->pdata[i];
		bool home = strcmp(inst->home_pool, to->name) == 0;
		uint32_t count;

		if ((!home && !is_settled(round, inst)) ||
		    !may_move_to(round, inst, to->name) ||
		    !plan_pool_may_remove(from->pool, inst))
			continue;
		if (home)
			return inst;
		count = domain_count(to, inst->failure_domain);
		if (count < best_count) {
			best = inst;
			best_count = count;
		}
	}
	return best;
}

static void
add_move(lending_round_t *round, lending_pool_t *from, lending_pool_t *to,
    member_instance_t *inst, const char *why)
{
	plan_action_t *action =
	    plan_action_add(round->actions, PLAN_MOVE, inst->id, to->name);
	lending_move_t *record = g_new0(lending_move_t, 1);
	lending_rule_t *rule;

	g_snprintf(action->reason, sizeof(action->reason),
	    "%s need=%u have=%u spare=%u buffer=%u", why, to->need, to->have,
	    surplus(from), round->state->buffer_instances);
	plan_index_remove_instance(round->index, inst);
	from->have--;
	to->have++;
	if ((rule = lending_rule_lookup(round, inst->home_pool, from->name)) !=
	    NULL)
		rule->lent--;
	if ((rule = lending_rule_lookup(round, inst->home_pool, to->name)) !=
	    NULL)
		rule->lent++;
	record->moved_us = round->now_us;
	g_hash_table_replace(round->state->moves, g_strdup(inst->id), record);
}

/*
 * Moves one instance to the pool. Prefers an instance whose home is the pool,
 * then one from a spare pool, then one from the pool whose next surge is
 * expected last.
 */
bool
lending_move_one(lending_round_t *round, lending_pool_t *to, const char *why)
{
	lending_pool_t *best = NULL;
	member_instance_t *found = NULL;
	uint64_t best_rank = 0;

	for (uint32_t i = 0; i < round->pools->len; i++) {
		lending_pool_t *from = round->pools->pdata[i];
		member_instance_t *inst;
		uint64_t rank;

		if (from == to || surplus(from) == 0 ||
		    (to->wave_pending > 0 && from->wave_pending > 0))
			continue;
		inst = select_movable(round, from, to);
		if (inst == NULL)
			continue;
		rank = surge_next_us(&from->surge, round->now_us) / 2;
		if (from->pool->pool->spare)
			rank = UINT64_MAX - 1;
		if (strcmp(inst->home_pool, to->name) == 0)
			rank = UINT64_MAX;
		if (found == NULL || rank > best_rank) {
			best = from;
			found = inst;
			best_rank = rank;
		}
	}
	if (found == NULL)
		return false;
	add_move(round, best, to, found, why);
	return true;
}

/* Instances that the pool lacks beyond the idle slots elsewhere. */
static uint32_t
shortfall(const lending_pool_t *pool)
{
	uint32_t have = pool->have + pool->elsewhere_instances;

	return pool->need - MIN(pool->need, have);
}

/* Instances that the pool lacks to hold its availability budget. */
static uint32_t
budget_shortfall(const lending_pool_t *pool)
{
	uint32_t floor = pool->pool->current.floor;

	return floor - MIN(floor, pool->have);
}

/*
 * Returns true when the surge is expected to end before a move would arrive.
 */
static bool
surge_ends_before_arrival(
    const lending_round_t *round, const lending_pool_t *pool)
{
	const surge_t *surge = &pool->surge;
	uint64_t end_us = surge->started_us + surge->duration_us;

	return surge->surging && surge->duration_us > 0 &&
	    round->now_us < end_us &&
	    round->now_us + round->state->lead_us >= end_us;
}

/*
 * Moves instances to the pools that failures took below their budget. This
 * runs before moves for demand.
 */
static void
repair_budgets(lending_round_t *round)
{
	for (uint32_t i = 0; i < round->pools->len; i++) {
		lending_pool_t *pool = round->pools->pdata[i];

		while (budget_shortfall(pool) > 0 &&
		    lending_move_one(round, pool, "repair"))
			;
	}
}

/*
 * Returns the pool to help next, or NULL: of those that are short for
 * SHORT_ROUNDS, have a recent report and can be helped in time, the one with
 * the lowest ratio of have to need.
 */
static lending_pool_t *
most_short_pool(const lending_round_t *round, GHashTable *skipped)
{
	lending_pool_t *best = NULL;

	for (uint32_t i = 0; i < round->pools->len; i++) {
		lending_pool_t *pool = round->pools->pdata[i];

		if (shortfall(pool) == 0 || pool->stale ||
		    pool->short_rounds < SHORT_ROUNDS ||
		    surge_ends_before_arrival(round, pool) ||
		    g_hash_table_contains(skipped, pool))
			continue;
		if (best == NULL ||
		    (uint64_t)pool->have * best->need <
			(uint64_t)best->have * pool->need)
			best = pool;
	}
	return best;
}

static void
serve_demand(lending_round_t *round)
{
	GHashTable *skipped = g_hash_table_new(NULL, NULL);
	lending_pool_t *pool;

	for (uint32_t i = 0; i < round->pools->len; i++) {
		pool = round->pools->pdata[i];
		if (shortfall(pool) > 0)
			pool->short_rounds++;
		else
			pool->short_rounds = 0;
	}
	while ((pool = most_short_pool(round, skipped)) != NULL)
		if (!lending_move_one(round, pool, "demand"))
			g_hash_table_add(skipped, pool);
	g_hash_table_destroy(skipped);
}

/*
 * Moves home one lent instance that its borrower has not needed for the time
 * that the lending rule sets. When the home pool needs the instance earlier,
 * lending_move_one() moves it.
 */
static void
return_idle_loan(lending_round_t *round, lending_pool_t *at)
{
	for (uint32_t i = 0; i < at->pool->active->len; i++) {
		member_instance_t *inst = at->pool->active->pdata[i];
		lending_move_t *record =
		    g_hash_table_lookup(round->state->moves, inst->id);
		lending_pool_t *home =
		    g_hash_table_lookup(round->state->pools, inst->home_pool);
		const lending_rule_t *rule;

		if (record == NULL || !record->arrived || home == NULL ||
		    home == at || !plan_pool_may_remove(at->pool, inst))
			continue;
		rule = lending_rule_lookup(round, inst->home_pool, at->name);
		if (surplus(at) == 0)
			record->idle_us = 0;
		else if (record->idle_us == 0)
			record->idle_us = round->now_us;
		if (record->idle_us == 0 ||
		    (rule != NULL &&
			round->now_us < record->idle_us +
				rule->rule->return_after_ms * GW_US_PER_MS))
			continue;
		add_move(round, at, home, inst, "return");
		return;
	}
}

static void
adaptive_decide(plan_lending_t *lending, const plan_input_t *input,
    uint64_t now_us, GPtrArray *actions)
{
	lending_round_t round = {.state = lending,
	    .input = input,
	    .actions = actions,
	    .now_us = now_us};

	round.index = plan_index_new(input, actions);
	round.pools = g_ptr_array_new();
	lending_rules_index(&round);
	lending_observe(&round);
	repair_budgets(&round);
	serve_demand(&round);
	lending_cover_waves(&round);
	for (uint32_t i = 0; i < round.pools->len; i++)
		return_idle_loan(&round, round.pools->pdata[i]);
	lending_set_reserves(&round);
	g_hash_table_destroy(round.rules);
	g_ptr_array_free(round.pools, TRUE);
	plan_index_free(round.index);
}

const plan_lending_ops_t plan_lending_adaptive = {"adaptive", adaptive_decide};
