#include <string.h>

#include <glib.h>

#include "gw/clock.h"
#include "policy/fairq.h"

#include "bench.h"
#include "fit.h"

#define ITEMS 2000

/*
 * Returns the microseconds of one push, pop and completion in a queue that
 * holds ITEMS requests of size teams.
 */
static double
queue_cycle_us(uint32_t size, void *state)
{
	fairq_item_t *items = g_new0(fairq_item_t, ITEMS), *next;
	gw_clock_t clock, real;
	uint64_t start_us;
	fairq_t *queue;
	uint32_t done = 0;
	char team[MANIFEST_NAME_BYTES];

	(void)state;
	g_assert(size > 0);
	gw_clock_init_paused(&clock, 1);
	gw_clock_init_system(&real);
	queue = fairq_new(&fairq_fair, &clock, ITEMS * 4);
	for (uint32_t i = 0; i < size; i++) {
		(void)g_snprintf(team, sizeof(team), "team-%u", i);
		fairq_set_team(queue, team, 1 + i % 10);
	}
	fairq_set_slots(queue, 100000);
	start_us = gw_clock_now_us(&real);
	for (uint32_t i = 0; i < ITEMS; i++) {
		(void)g_snprintf(
		    items[i].team, sizeof(items[i].team), "team-%u", i % size);
		items[i].deadline_us = UINT64_C(1) << 60;
		(void)fairq_push(queue, &items[i]);
	}
	while ((next = fairq_pop(queue, NULL, NULL)) != NULL) {
		fairq_complete(queue, next, 1000);
		done++;
	}
	g_assert(done > 0);
	fairq_free(queue);
	g_free(items);
	return (double)(gw_clock_now_us(&real) - start_us) / done;
}

/*
 * Measures the fair queue against the number of teams.
 */
void
bench_queue(void)
{
	static const uint32_t teams[] = {5, 25, 50, 100};
	fit_t fit = {
	    .name = "fair queue, one request", .unit = "us", .size = "team"};

	fit_run(&fit, teams, G_N_ELEMENTS(teams), queue_cycle_us, NULL);
	fit_print(&fit);
}
