#include <string.h>

#include <glib.h>

#include "gw/clock.h"
#include "policy/fairq.h"

#include "bench.h"
#include "fit.h"

#define REQUESTS 2000

/*
 * Returns the microseconds to push, pop and complete one request, in a queue to
 * which REQUESTS requests of size teams are pushed before the first is popped.
 */
static double
measure_queue_us(uint32_t size, void *arg)
{
	fairq_item_t *requests = g_new0(fairq_item_t, REQUESTS), *next;
	gw_clock_t queue_clock, system_clock;
	uint64_t start_us;
	fairq_t *queue;
	uint32_t completed = 0;
	char team[MANIFEST_NAME_BYTES];

	(void)arg;
	g_assert(size > 0);
	gw_clock_init_paused(&queue_clock, 1);
	gw_clock_init_system(&system_clock);
	queue = fairq_new(&fairq_fair, &queue_clock, REQUESTS * 4);
	for (uint32_t i = 0; i < size; i++) {
		(void)g_snprintf(team, sizeof(team), "team-%u", i);
		fairq_set_team(queue, team, 1 + i % 10);
	}
	fairq_set_slots(queue, 100000);
	start_us = gw_clock_now_us(&system_clock);
	for (uint32_t i = 0; i < REQUESTS; i++) {
		(void)g_snprintf(requests[i].team, sizeof(requests[i].team),
		    "team-%u", i % size);
		requests[i].deadline_us = UINT64_C(1) << 60;
		(void)fairq_push(queue, &requests[i]);
	}
	while ((next = fairq_pop(queue, NULL, NULL)) != NULL) {
		fairq_complete(queue, next, 1000);
		completed++;
	}
	g_assert(completed > 0);
	fairq_free(queue);
	g_free(requests);
	return (double)(gw_clock_now_us(&system_clock) - start_us) / completed;
}

/*
 * Measures the fair queue against the number of teams.
 */
void
bench_queue(void)
{
	static const uint32_t teams[] = {5, 25, 50, 100};
	fit_t fit = {.name = "fair queue, one request",
	    .y_unit = "us",
	    .x_unit = "team"};

	fit_run(&fit, teams, G_N_ELEMENTS(teams), measure_queue_us, NULL);
	fit_print(&fit);
}
