#include "policy/choice.h"
#include "fixture.h"
#include "speed.h"

#define SEED 3
#define CHOICES 200000
#define ROUNDS 20
#define RACKS 40

double
speed_choice_us(uint32_t count, uint32_t full_percent)
{
	choice_candidate_t *all = g_new0(choice_candidate_t, count);
	GRand *rand = g_rand_new_with_seed(SEED);
	gw_clock_t clock;
	uint64_t start_us;
	int64_t sum = 0;
	double mean_us;

	for (uint32_t i = 0; i < count; i++)
		all[i] = (choice_candidate_t){.granted = 8,
		    .in_flight =
			g_rand_int_range(rand, 0, 100) < (int32_t)full_percent
			? 8
			: (uint32_t)g_rand_int_range(rand, 0, 8),
		    .service_mean_us =
			(uint32_t)g_rand_int_range(rand, 500, 5000),
		    .usable = true};
	gw_clock_init_system(&clock);
	start_us = gw_clock_now_us(&clock);
	for (int i = 0; i < CHOICES; i++)
		sum += choice_power_two.pick(all, count, rand);
	mean_us = (double)(gw_clock_now_us(&clock) - start_us) / CHOICES;
	g_assert(sum != 0);
	g_rand_free(rand);
	g_free(all);
	return mean_us;
}

static void
build(manifest_t *m, member_table_t *table, GPtrArray *demand,
    uint32_t instances, uint32_t pools)
{
	char name[32], id[32], rack[32];
	const char *wave[] = {"p1", "p2", "p3", "p4", NULL};

	g_assert(pools > 0);
	for (uint32_t p = 0; p < pools; p++) {
		plan_demand_t *want = g_new0(plan_demand_t, 1);

		g_snprintf(name, sizeof(name), "p%u", p);
		fixture_pool(m, name, p == 0, 8);
		fixture_place(m, name, "dc0", instances / pools, 1);
		if (p > 0) {
			fixture_budget(m, name, 3);
			fixture_rule(m, "p0", name, 8, 30000);
		}
		g_strlcpy(want->pool, name, sizeof(want->pool));
		g_ptr_array_add(demand, want);
	}
	for (uint32_t i = 0; i < instances; i++) {
		g_snprintf(name, sizeof(name), "p%u", i % pools);
		g_snprintf(id, sizeof(id), "i%u", i);
		g_snprintf(rack, sizeof(rack), "r%u", i / pools % RACKS);
		fixture_instance(table, id, rack, name);
	}
	fixture_wave(m, "w", wave, 10, 4);
}

double
speed_round_ms(uint32_t instances, uint32_t pools)
{
	manifest_t *m = fixture_manifest();
	member_table_t *table = fixture_table("dc0");
	GPtrArray *demand = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *waves = g_ptr_array_new_with_free_func(
	    (GDestroyNotify)fixture_progress_free);
	plan_lending_t *lending = plan_lending_new();
	plan_input_t input = {m, NULL, table, demand, waves, "dc0"};
	GRand *rand = g_rand_new_with_seed(SEED);
	uint64_t spent_us = 0;
	gw_clock_t clock;

	build(m, table, demand, instances, pools);
	g_ptr_array_add(waves, fixture_progress("w"));
	gw_clock_init_system(&clock);
	for (uint32_t round = 1; round <= ROUNDS; round++) {
		GPtrArray *actions = g_ptr_array_new_with_free_func(g_free);
		uint64_t start_us;

		for (uint32_t p = 0; p < demand->len; p++)
			((plan_demand_t *)demand->pdata[p])->slots_wanted =
			    (uint32_t)g_rand_int_range(
				rand, 0, (int32_t)(10 * instances / pools));
		start_us = gw_clock_now_us(&clock);
		plan_lending_adaptive.decide(
		    lending, &input, round * GW_US_PER_S, actions);
		plan_waves(&input, round * GW_US_PER_S, actions);
		spent_us += gw_clock_now_us(&clock) - start_us;
		g_ptr_array_free(actions, TRUE);
	}
	g_rand_free(rand);
	plan_lending_free(lending);
	g_ptr_array_free(waves, TRUE);
	g_ptr_array_free(demand, TRUE);
	fixture_table_free(table);
	fixture_manifest_free(m);
	return (double)spent_us / ROUNDS / 1000;
}
