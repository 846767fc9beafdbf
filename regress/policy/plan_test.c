#include <string.h>

#include "../../policy/measure/fixture.h"

#define RACKS 3
#define ROUND_US (GW_US_PER_S / 2)

/* One data centre with pools a, b and spare, one instance per rack each. */
typedef struct {
	manifest_t *manifest;
	member_table_t *table;
	GPtrArray *demand, *waves, *actions;
	plan_demand_t wants[2]; /* of pools a and b */
	plan_input_t input;
	plan_lending_t *lending;
	uint64_t now_us;
} site_t;

static void
site_init(site_t *site, uint32_t budget, uint32_t data_centres)
{
	static const char *const names[] = {"a", "b", "spare"};
	static const char *const wave[] = {"a", "b", NULL};
	char id[16], dc[16], rack[16];

	memset(site, 0, sizeof(*site));
	site->manifest = fixture_manifest();
	site->table = fixture_table("dc0");
	for (int p = 0; p < 3; p++) {
		fixture_pool(site->manifest, names[p], p == 2, 8);
		for (uint32_t d = 0; d < data_centres; d++) {
			g_snprintf(dc, sizeof(dc), "dc%u", d);
			fixture_place(site->manifest, names[p], dc, RACKS, 0);
		}
		if (p != 2)
			fixture_budget(site->manifest, names[p], budget);
		for (int r = 0; r < RACKS; r++) {
			g_snprintf(id, sizeof(id), "%s%d", names[p], r);
			g_snprintf(rack, sizeof(rack), "r%d", r);
			fixture_instance(site->table, id, rack, names[p]);
		}
	}
	fixture_rule(site->manifest, "spare", "a", 3, 30000);
	fixture_rule(site->manifest, "spare", "b", 3, 30000);
	fixture_wave(site->manifest, "w", wave, 0, 0);
	site->demand = g_ptr_array_new();
	site->waves = g_ptr_array_new();
	site->actions = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; i < 2; i++) {
		g_strlcpy(site->wants[i].pool, names[i], GW_NAME_BYTES);
		g_ptr_array_add(site->demand, &site->wants[i]);
	}
	site->input = (plan_input_t){.manifest = site->manifest,
	    .table = site->table,
	    .demand = site->demand,
	    .waves = site->waves,
	    .data_centre = "dc0"};
	site->lending = plan_lending_new();
	site->now_us = GW_US_PER_S;
}

static void
site_clear(site_t *site)
{
	fixture_manifest_free(site->manifest);
	fixture_table_free(site->table);
	g_ptr_array_free(site->demand, TRUE);
	g_ptr_array_free(site->waves, TRUE);
	g_ptr_array_free(site->actions, TRUE);
	plan_lending_free(site->lending);
}

static member_instance_t *
instance(site_t *site, const char *id)
{
	for (uint32_t i = 0; i < site->table->instances->len; i++) {
		member_instance_t *inst = site->table->instances->pdata[i];
		if (strcmp(inst->id, id) == 0)
			return inst;
	}
	g_assert_not_reached();
}

static uint32_t
count(const site_t *site, plan_action_kind_t kind)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < site->actions->len; i++)
		n += ((plan_action_t *)site->actions->pdata[i])->kind == kind;
	return n;
}

/*
 * Runs lending rounds with the given demand in slots, applies their moves at
 * once, and returns the number of moves.
 */
static uint32_t
lend(site_t *site, uint32_t rounds, uint32_t want_a, uint32_t want_b)
{
	uint32_t moves = 0;

	site->wants[0].slots_wanted = want_a;
	site->wants[1].slots_wanted = want_b;
	for (uint32_t i = 0; i < rounds; i++) {
		site->now_us += ROUND_US;
		g_ptr_array_set_size(site->actions, 0);
		plan_lending_adaptive.decide(
		    site->lending, &site->input, site->now_us, site->actions);
		for (uint32_t j = 0; j < site->actions->len; j++) {
			plan_action_t *action = site->actions->pdata[j];
			g_strlcpy(instance(site, action->instance_id)->pool,
			    action->target_pool, GW_NAME_BYTES);
			moves++;
		}
	}
	return moves;
}

/*
 * Guards against planned stops that break the budget when a rack is lost right
 * after, and against failed instances that are not counted against the budget.
 */
static void
test_budget_keeps_a_rack(void)
{
	site_t site;

	site_init(&site, 2, 1);
	g_assert_cmpuint(plan_budget_left(&site.input, "a"), ==, 1);
	instance(&site, "a0")->state = MEMBER_ENDED;
	g_assert_cmpuint(plan_budget_left(&site.input, "a"), ==, 0);
	g_assert_cmpuint(plan_budget_left(&site.input, "b"), ==, 1);
	site_clear(&site);
}

/*
 * Guards against data centres whose shares add up to more than the budget. Of
 * a budget of 5 for 9 instances in 3 data centres, 3 are set aside for the loss
 * of a failure domain, so 2 planned stops are left.
 */
static void
test_shares_add_up(void)
{
	site_t site;
	uint32_t left = 0;

	site_init(&site, 5, 3);
	for (int d = 0; d < 3; d++) {
		static const char *const names[] = {"dc0", "dc1", "dc2"};
		site.input.data_centre = names[d];
		left += plan_budget_left(&site.input, "a");
	}
	g_assert_cmpuint(left, ==, 2);
	site_clear(&site);
}

/*
 * Guards against using the larger of two budgets while a manifest generation
 * is not in force everywhere: other data centres may still use the smaller.
 */
static void
test_smaller_of_two_generations(void)
{
	site_t site, old;

	site_init(&site, 3, 1);
	site_init(&old, 2, 1);
	g_assert_cmpuint(plan_budget_left(&site.input, "a"), ==, 2);
	site.input.previous = old.manifest;
	g_assert_cmpuint(plan_budget_left(&site.input, "a"), ==, 1);
	site.input.manifest = old.manifest;
	site.input.previous = site.manifest;
	g_assert_cmpuint(plan_budget_left(&site.input, "a"), ==, 1);
	site_clear(&site);
	site_clear(&old);
}

/*
 * Guards against waves that stop fewer instances than the budgets allow, that
 * ignore the actions already in the list, or that go on after too many
 * failures.
 */
static void
test_waves(void)
{
	plan_wave_t *progress = fixture_progress("w");
	site_t site;

	site_init(&site, 2, 1);
	g_ptr_array_add(site.waves, progress);
	plan_waves(&site.input, site.now_us, site.actions);
	g_assert_cmpuint(count(&site, PLAN_REBOOT), ==, 2);
	plan_waves(&site.input, site.now_us, site.actions);
	g_assert_cmpuint(count(&site, PLAN_REBOOT), ==, 2);
	g_ptr_array_set_size(site.actions, 0);
	g_hash_table_add(progress->failed, g_strdup("a0"));
	plan_waves(&site.input, site.now_us, site.actions);
	g_assert_cmpuint(site.actions->len, ==, 0);
	for (int i = 0; i < 10; i++)
		g_hash_table_add(progress->done, g_strdup_printf("done%d", i));
	plan_waves(&site.input, site.now_us, site.actions);
	g_assert_cmpuint(count(&site, PLAN_REBOOT), ==, 2);
	fixture_progress_free(progress);
	site_clear(&site);
}

/*
 * Guards against lending that starts late, that leaves an instance lent while
 * another pool needs it, or that moves instances back and forth on each surge.
 */
static void
test_lending_follows_demand(void)
{
	site_t site;

	site_init(&site, 2, 1);
	g_assert_cmpuint(lend(&site, 20, 4, 4), ==, 0);
	g_assert_cmpuint(lend(&site, 4, 36, 4), ==, 2);
	g_assert_cmpuint(lend(&site, 20, 4, 4), ==, 0);
	g_assert_cmpuint(lend(&site, 10, 36, 4), ==, 0);
	g_assert_cmpuint(lend(&site, 20, 4, 36), ==, 2);
	g_assert_cmpuint(lend(&site, 200, 4, 4), ==, 3);
	site_clear(&site);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/budget/rack", test_budget_keeps_a_rack);
	g_test_add_func("/budget/shares", test_shares_add_up);
	g_test_add_func("/budget/generations", test_smaller_of_two_generations);
	g_test_add_func("/wave/width", test_waves);
	g_test_add_func("/lending/demand", test_lending_follows_demand);
	return g_test_run();
}
