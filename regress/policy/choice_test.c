#include "policy/choice.h"

#define COUNT 1800
#define SLOTS 8
#define SEED 11

/*
 * Sends 4 * COUNT requests to COUNT instances and returns the most that one of
 * them got.
 */
static uint32_t
max_in_flight(const choice_ops_t *ops)
{
	choice_candidate_t *all = g_new0(choice_candidate_t, COUNT);
	GRand *rand = g_rand_new_with_seed(SEED);
	uint32_t most = 0;

	for (int i = 0; i < COUNT; i++)
		all[i] = (choice_candidate_t){
		    .granted = 64, .service_mean_us = 1000, .usable = true};
	for (int i = 0; i < 4 * COUNT; i++) {
		choice_candidate_t *c = &all[ops->pick(all, COUNT, rand)];

		c->in_flight++;
		most = MAX(most, c->in_flight);
	}
	g_rand_free(rand);
	g_free(all);
	return most;
}

/*
 * Guards against a choice that ignores load: with the better of two random
 * instances the fullest of 1,800 has at most 7 requests, with one random
 * instance more than 9.
 */
static void
test_two_choices_balance(void)
{
	g_assert_cmpuint(max_in_flight(&choice_power_two), <=, 7);
	g_assert_cmpuint(max_in_flight(&choice_random), >, 9);
}

/*
 * Guards against a pick of an instance that is full or not usable, and against
 * -1 while one free slot is left, which random tries alone would miss.
 */
static void
test_full_and_unusable(void)
{
	choice_candidate_t all[COUNT] = {0};
	GRand *rand = g_rand_new_with_seed(SEED);

	g_assert_cmpint(choice_power_two.pick(all, 0, rand), ==, -1);
	for (int i = 0; i < COUNT; i++)
		all[i] = (choice_candidate_t){
		    .granted = SLOTS, .in_flight = SLOTS, .usable = true};
	all[5].in_flight = 0;
	all[5].usable = false;
	g_assert_cmpint(choice_power_two.pick(all, COUNT, rand), ==, -1);
	all[1234].in_flight = SLOTS - 1;
	g_assert_cmpint(choice_power_two.pick(all, COUNT, rand), ==, 1234);
	g_assert_cmpint(choice_random.pick(all, COUNT, rand), ==, 1234);
	g_rand_free(rand);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/choice/balance", test_two_choices_balance);
	g_test_add_func("/choice/full", test_full_and_unusable);
	return g_test_run();
}
