#include <stdio.h>
#include <string.h>

#include "fleet.h"

int
main(void)
{
	static const variant_t variants[] = {
	    {"successor", &fairq_fair, &plan_lending_adaptive, SIZE_HOME, true},
	    {"static-peak", &fairq_fair, &plan_lending_static, SIZE_PEAK,
		false},
	    {"static-mean", &fairq_fair, &plan_lending_static, SIZE_MEAN,
		false},
	    {"static-home", &fairq_fair, &plan_lending_static, SIZE_HOME,
		false},
	    {"one-fifo", &fairq_fifo, &plan_lending_adaptive, SIZE_HOME, true},
	};
	static const scenario_t sc[] = {{.name = "surges"},
	    {.name = "wave", .waves = 1},
	    {.name = "rack loss in a wave", .waves = 1, .rack_loss = true}};
	result_t *r = g_new0(result_t, 1);

	for (size_t s = 0; s < G_N_ELEMENTS(sc); s++)
		for (size_t u = 0; u < USER_COUNT; u++)
			for (size_t v = 0; v < G_N_ELEMENTS(variants); v++) {
				fleet_run(&users[u], &variants[v], &sc[s], 1,
				    NULL, r);
				printf("%-10s %-12s %-8s idle %6.0f wave %4.0f "
				       "(%3.0f) moves %3lu req %lu ref %lu err "
				       "%lu unk %lu quick %lu %lu settle %lu "
				       "%lu arch %lu %lu share %.3f viol %lu "
				       "(%lu) dbl %lu loss %lu\n",
				    users[u].name, variants[v].name, sc[s].name,
				    r->idle_s, r->wave_s, r->wave_bound_s,
				    r->moves, r->requests, r->refused,
				    r->errors, r->unknown,
				    histogram_ms(&r->waits[0], .5),
				    histogram_ms(&r->waits[0], .99),
				    histogram_ms(&r->waits[1], .5),
				    histogram_ms(&r->waits[1], .99),
				    histogram_ms(&r->waits[2], .5),
				    histogram_ms(&r->waits[2], .99),
				    r->min_share, r->violations, r->excused,
				    r->double_runs, r->losses);
			}
	g_free(r);
	return 0;
}
