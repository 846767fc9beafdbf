#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "report.h"

#define SEEDS 3
#define SHORT_SEEDS 1
#define OPTIMUM_CASES 50

/* Options of the command line. */
typedef struct {
	uint32_t seeds;
	bool brief;
	const char *only; /* scenario */
	const char *trace;
} options_t;

static const struct argp_option option_list[] = {
    {"short", 's', NULL, 0, "one seed, few scenarios", 0},
    {"seeds", 'n', "N", 0, "number of fixed seeds", 0},
    {"only", 'o', "SCENARIO", 0, "measure one scenario", 0},
    {"trace", 't', "FILE", 0, "write the state of one run each 100 ms", 0},
    {0},
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
	options_t *options = state->input;

	switch (key) {
	case 's':
		options->brief = true;
		options->seeds = SHORT_SEEDS;
		return 0;
	case 'n':
		options->seeds = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'o':
		options->only = arg;
		return 0;
	case 't':
		options->trace = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static bool
wanted(const options_t *options, const scenario_t *scenario)
{
	return options->only == NULL ||
	    strcmp(options->only, scenario->name) == 0;
}

static void
add_series(const options_t *options, GPtrArray *all, const user_t *user)
{
	for (uint32_t s = 0; s < series_scenario_count; s++) {
		const scenario_t *scenario = &series_scenarios[s];
		/* Most baselines run only without faults and in one wave. */
		bool plain = s == 0 || strcmp(scenario->name, "wave") == 0;

		if (!wanted(options, scenario) ||
		    (options->brief && !scenario->in_short))
			continue;
		for (uint32_t v = 0; v < series_variant_count; v++)
			if (v <= 1 || plain)
				g_ptr_array_add(all,
				    series_new(user, &series_variants[v],
					scenario, options->seeds));
	}
}

static void
trace(const options_t *options)
{
	result_t *result = g_new0(result_t, 1);
	const char *name = options->only != NULL ? options->only : "surges";

	fleet_run(&users[0], &series_variants[0], series_scenario(name), 1,
	    options->trace, result);
	g_free(result);
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {option_list, parse, NULL,
	    "Measures godwitline's decision modules.", NULL, NULL, NULL};
	options_t options = {.seeds = SEEDS};
	GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
	report_t report = {0};

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	if (options.trace != NULL) {
		trace(&options);
		g_ptr_array_free(all, TRUE);
		return 0;
	}
	for (uint32_t u = 0; u < USER_COUNT; u++)
		add_series(&options, all, &users[u]);
	series_run(all);
	for (uint32_t u = 0; u < USER_COUNT; u++)
		report_table(all, users[u].name);
	if (options.only == NULL) {
		printf("\ntargets\n");
		report_fleet_targets(&report, all);
		report_jobs(&report, options.seeds);
		report_optimum(&report, OPTIMUM_CASES);
		report_speed(&report);
		printf("%u met, %u missed\n", report.met, report.missed);
	}
	g_ptr_array_free(all, TRUE);
	return 0;
}
