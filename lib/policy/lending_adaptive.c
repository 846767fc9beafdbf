#include <string.h>

#include "policy/lending_impl.h"

/* Rounds in a row that a pool must be short before an instance moves. */
#define SHORT_ROUNDS 2

/*
 * True when the instance may move to the pool: it goes home, or a rule lets
 * its home pool lend one more there.
 */
static bool
allowed(
    const lending_round_t *round, const member_instance_t *inst, const char *to)
{
	const lending_rule_t *rule;

	if (strcmp(inst->home_pool, to) == 0)
		return true;
	rule = lending_rule(round, inst->home_pool, to);
	return rule != NULL && rule->lent < rule->rule->max_instances;
}

static bool
settled(const lending_round_t *round, const member_instance_t *inst)
{
	const lending_move_t *move =
	    g_hash_table_lookup(round->state->moves, inst->id);

	return move == NULL ||
	    (move->arrived &&
		round->now_us >=
		    move->moved_us + lending_settle_us(round->state));
}

/* Instances that the pool can give without coming short itself. */
static uint32_t
spare_of(const lending_pool_t *pool)
{
	uint32_t keep = MAX(pool->peak, pool->pool->now.minimum);

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
 * The instance to move: one of the pool's own before others, then one whose
 * failure domain holds least of the pool. Lent instances that share a domain
 * with the pool's own would raise what must be kept for the loss of it.
 */
static member_instance_t *
movable(const lending_round_t *round, const lending_pool_t *from,
    const lending_pool_t *to)
{
	GPtrArray *active = from->pool->active;
	member_instance_t *best = NULL;
	uint32_t best_count = UINT32_MAX;

	for (uint32_t i = 0; i < active->len; i++) {
		member_instance_t *inst = active->pdata[i];
		bool home = strcmp(inst->home_pool, to->name) == 0;
		uint32_t count;

		if ((!home && !settled(round, inst)) ||
		    !allowed(round, inst, to->name) ||
		    !plan_pool_may_take(from->pool, inst))
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
move(lending_round_t *round, lending_pool_t *from, lending_pool_t *to,
    member_instance_t *inst, const char *why)
{
	plan_action_t *action =
	    plan_action_add(round->actions, PLAN_MOVE, inst->id, to->name);
	lending_move_t *record = g_new0(lending_move_t, 1);
	lending_rule_t *rule;

	g_snprintf(action->reason, sizeof(action->reason),
	    "%s need=%u have=%u spare=%u buffer=%u", why, to->need, to->have,
	    spare_of(from), round->state->buffer_instances);
	plan_index_take(round->index, inst);
	from->have--;
	to->have++;
	if ((rule = lending_rule(round, inst->home_pool, from->name)) != NULL)
		rule->lent--;
	if ((rule = lending_rule(round, inst->home_pool, to->name)) != NULL)
		rule->lent++;
	record->moved_us = round->now_us;
	g_hash_table_replace(round->state->moves, g_strdup(inst->id), record);
}

/*
 * Moves one instance to the pool from where it is missed least: an instance
 * of the pool's own first, then the spare pool, then the pool whose next
 * surge is farthest away.
 */
bool
lending_help(lending_round_t *round, lending_pool_t *to, const char *why)
{
	lending_pool_t *best = NULL;
	member_instance_t *found = NULL;
	uint64_t best_rank = 0;

	for (uint32_t i = 0; i < round->pools->len; i++) {
		lending_pool_t *from = round->pools->pdata[i];
		member_instance_t *inst;
		uint64_t rank;

		if (from == to || spare_of(from) == 0 ||
		    (to->to_maintain > 0 && from->to_maintain > 0))
			continue;
		inst = movable(round, from, to);
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
	move(round, best, to, found, why);
	return true;
}

/* Instances that the pool lacks by demand, less slots that need no move. */
static uint32_t
lacking(const lending_pool_t *pool)
{
	uint32_t have = pool->have + pool->elsewhere;

	return pool->need - MIN(pool->need, have);
}

/* Instances that are missing for the budget to hold. */
static uint32_t
below_budget(const lending_pool_t *pool)
{
	uint32_t floor = pool->pool->now.floor;

	return floor - MIN(floor, pool->have);
}

/*
 * True when the surge will probably be over before help arrives.
 */
static bool
too_late(const lending_round_t *round, const lending_pool_t *pool)
{
	const surge_t *surge = &pool->surge;
	uint64_t end_us = surge->started_us + surge->duration_us;

	return surge->surging && surge->duration_us > 0 &&
	    round->now_us < end_us &&
	    round->now_us + round->state->lead_us >= end_us;
}

/*
 * Repair goes before demand: a pool that failures took below its budget gets
 * instances first.
 */
static void
repair(lending_round_t *round)
{
	for (uint32_t i = 0; i < round->pools->len; i++) {
		lending_pool_t *pool = round->pools->pdata[i];

		while (below_budget(pool) > 0 &&
		    lending_help(round, pool, "repair"))
			;
	}
}

/* The short pool that has the least of what it needs. */
static lending_pool_t *
shortest(const lending_round_t *round, GHashTable *given_up)
{
	lending_pool_t *best = NULL;

	for (uint32_t i = 0; i < round->pools->len; i++) {
		lending_pool_t *pool = round->pools->pdata[i];

		if (lacking(pool) == 0 || pool->stale ||
		    pool->short_rounds < SHORT_ROUNDS ||
		    too_late(round, pool) ||
		    g_hash_table_contains(given_up, pool))
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
	GHashTable *given_up = g_hash_table_new(NULL, NULL);
	lending_pool_t *pool;

	for (uint32_t i = 0; i < round->pools->len; i++) {
		pool = round->pools->pdata[i];
		if (lacking(pool) > 0)
			pool->short_rounds++;
		else
			pool->short_rounds = 0;
	}
	while ((pool = shortest(round, given_up)) != NULL)
		if (!lending_help(round, pool, "demand"))
			g_hash_table_add(given_up, pool);
	g_hash_table_destroy(given_up);
}

/*
 * Returns a lent instance that its borrower has not needed for the rule's
 * time. An owner's need is served earlier, by lending_help().
 */
static void
return_idle(lending_round_t *round, lending_pool_t *at)
{
	for (uint32_t i = 0; i < at->pool->active->len; i++) {
		member_instance_t *inst = at->pool->active->pdata[i];
		lending_move_t *record =
		    g_hash_table_lookup(round->state->moves, inst->id);
		lending_pool_t *home =
		    g_hash_table_lookup(round->state->pools, inst->home_pool);
		const lending_rule_t *rule;

		if (record == NULL || !record->arrived || home == NULL ||
		    home == at || !plan_pool_may_take(at->pool, inst))
			continue;
		rule = lending_rule(round, inst->home_pool, at->name);
		if (spare_of(at) == 0)
			record->idle_us = 0;
		else if (record->idle_us == 0)
			record->idle_us = round->now_us;
		if (record->idle_us == 0 ||
		    (rule != NULL &&
			round->now_us < record->idle_us +
				rule->rule->return_after_ms * GW_US_PER_MS))
			continue;
		move(round, at, home, inst, "return");
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
	lending_rules_open(&round);
	lending_observe(&round);
	repair(&round);
	serve_demand(&round);
	lending_cover(&round);
	for (uint32_t i = 0; i < round.pools->len; i++)
		return_idle(&round, round.pools->pdata[i]);
	lending_hold(&round);
	g_hash_table_destroy(round.rules);
	g_ptr_array_free(round.pools, TRUE);
	plan_index_free(round.index);
}

const plan_lending_ops_t plan_lending_adaptive = {"adaptive", adaptive_decide};
