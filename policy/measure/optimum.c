#include <string.h>

#include "fixture.h"
#include "optimum.h"

/* Two services with one instance each, and two spare instances. */
#define SERVICES 2
#define SPARES 2
#define PHASES 8
#define ROUNDS 24 /* of half a second in a phase */
/* More moves than any allocation needs: no allocation was found. */
#define NONE 1000

static const char *const names[SERVICES + 1] = {"a", "b", "spare"};

/* Demand in instances of each service in each phase. */
typedef struct {
	uint32_t of[PHASES][SERVICES];
} demand_t;

/*
 * Returns the fewest moves from the phase on when a and b spare instances are
 * lent to the two services. Tries every allocation in every phase.
 */
static uint32_t
least_moves(const demand_t *demand, int phase, int a, int b)
{
	uint32_t best = NONE;

	if (phase == PHASES)
		return 0;
	for (int x = 0; x <= SPARES; x++)
		for (int y = 0; x + y <= SPARES; y++) {
			int gain_a = MAX(x - a, 0), gain_b = MAX(y - b, 0);
			int loss = MAX(a - x, 0) + MAX(b - y, 0);
			uint32_t moves = MAX(gain_a + gain_b, loss);

			if (x + 1 < (int)demand->of[phase][0] ||
			    y + 1 < (int)demand->of[phase][1])
				continue;
			moves += least_moves(demand, phase + 1, x, y);
			best = MIN(best, moves);
		}
	return best;
}

static void
draw(demand_t *demand, GRand *rand)
{
	for (int p = 0; p < PHASES; p++) {
		int high = g_rand_int_range(rand, 0, SERVICES + 1);

		for (int s = 0; s < SERVICES; s++)
			demand->of[p][s] = s == high
			    ? (uint32_t)g_rand_int_range(rand, 2, SPARES + 2)
			    : 1;
	}
}

static uint32_t
apply(member_table_t *table, const GPtrArray *actions)
{
	for (uint32_t i = 0; i < actions->len; i++) {
		const plan_action_t *action = actions->pdata[i];

		for (uint32_t j = 0; j < table->instances->len; j++) {
			member_instance_t *inst = table->instances->pdata[j];
			if (strcmp(inst->id, action->instance_id) == 0)
				g_strlcpy(inst->pool, action->target_pool,
				    sizeof(inst->pool));
		}
	}
	return actions->len;
}

static uint32_t
in_pool(const member_table_t *table, const char *pool)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < table->instances->len; i++)
		count +=
		    strcmp(
			((member_instance_t *)table->instances->pdata[i])->pool,
			pool) == 0;
	return count;
}

/*
 * Returns the moves that lending makes when it does not know later phases, and
 * counts the demands that are not met at the end of a phase.
 */
static uint32_t
lend(const demand_t *demand, optimum_t *result)
{
	manifest_t *m = fixture_manifest();
	member_table_t *table = fixture_table("dc0");
	plan_lending_t *lending = plan_lending_new();
	plan_demand_t wants[SERVICES] = {0};
	GPtrArray *list = g_ptr_array_new();
	plan_input_t input = {m, NULL, table, list, NULL, "dc0"};
	GPtrArray *actions = g_ptr_array_new_with_free_func(g_free);
	uint64_t now_us = GW_US_PER_S;
	uint32_t moves = 0;
	char id[8];

	for (int s = 0; s <= SERVICES; s++) {
		fixture_pool(m, names[s], s == SERVICES, 8);
		fixture_place(m, names[s], "dc0", s == SERVICES ? SPARES : 1,
		    s == SERVICES ? 0 : 1);
		if (s == SERVICES)
			continue;
		fixture_rule(m, "spare", names[s], SPARES, 120000);
		fixture_instance(table, names[s], names[s], names[s]);
		g_strlcpy(wants[s].pool, names[s], sizeof(wants[s].pool));
		g_ptr_array_add(list, &wants[s]);
	}
	for (int i = 0; i < SPARES; i++) {
		g_snprintf(id, sizeof(id), "s%d", i);
		fixture_instance(table, id, id, "spare");
	}
	for (int p = 0; p < PHASES; p++) {
		for (int r = 0; r < ROUNDS; r++) {
			for (int s = 0; s < SERVICES; s++)
				wants[s].slots_wanted =
				    demand->of[p][s] * 8 - 2;
			now_us += GW_US_PER_S / 2;
			g_ptr_array_set_size(actions, 0);
			plan_lending_adaptive.decide(
			    lending, &input, now_us, actions);
			moves += apply(table, actions);
		}
		for (int s = 0; s < SERVICES; s++)
			result->unmet +=
			    in_pool(table, names[s]) < demand->of[p][s];
	}
	g_ptr_array_free(actions, TRUE);
	g_ptr_array_free(list, TRUE);
	plan_lending_free(lending);
	fixture_table_free(table);
	fixture_manifest_free(m);
	return moves;
}

void
optimum_run(uint32_t cases, uint32_t seed, optimum_t *result)
{
	GRand *rand = g_rand_new_with_seed(seed);
	demand_t demand;

	memset(result, 0, sizeof(*result));
	result->cases = cases;
	for (uint32_t i = 0; i < cases; i++) {
		uint32_t least, moves;

		draw(&demand, rand);
		least = least_moves(&demand, 0, 0, 0);
		moves = lend(&demand, result);
		result->least += least;
		result->moves += moves;
		if (least > 0)
			result->worst =
			    MAX(result->worst, (double)moves / least);
	}
	g_rand_free(rand);
}
