#include <string.h>

#include <glib.h>

#include "gw/clock.h"
#include "manifest/manifest.h"

#include "bench.h"
#include "fit.h"

#define DATA_CENTRES 11
#define INSTANCES_PER_POOL 77
#define TEAMS_MAX 100

/*
 * Returns the JSON text of a manifest with size pools, each with instances in
 * all data centres.
 */
static GString *
manifest_text(uint32_t size)
{
	GString *text = g_string_new("{\"version\":1,\"teams\":[");
	uint32_t teams = MIN(size, TEAMS_MAX);

	for (uint32_t i = 0; i < teams; i++)
		g_string_append_printf(text,
		    "%s{\"name\":\"team-%u\",\"weight\":%u,\"quota\":{"
		    "\"cpu_millis\":100000,\"memory_mib\":400000,"
		    "\"accelerators\":0}}",
		    i == 0 ? "" : ",", i, 1 + i % 10);
	g_string_append(text, "],\"pools\":[");
	for (uint32_t i = 0; i < size; i++) {
		g_string_append_printf(text,
		    "%s{\"name\":\"pool-%u\",\"team\":\"team-%u\","
		    "\"service\":\"service-%u\",\"spare\":false,"
		    "\"slots_per_instance\":8,\"data_centres\":{",
		    i == 0 ? "" : ",", i, i % teams, i);
		for (uint32_t d = 0; d < DATA_CENTRES; d++)
			g_string_append_printf(text,
			    "%s\"dc-%u\":{\"instances\":%u,\"minimum\":4}",
			    d == 0 ? "" : ",", d,
			    INSTANCES_PER_POOL / DATA_CENTRES);
		g_string_append(text, "}}");
	}
	g_string_append(text, "],\"budgets\":[");
	for (uint32_t i = 0; i < size; i++)
		g_string_append_printf(text,
		    "%s{\"team\":\"team-%u\",\"pool\":\"pool-%u\","
		    "\"max_unavailable\":11}",
		    i == 0 ? "" : ",", i % teams, i);
	g_string_append(text, "],\"lending\":[],\"routes\":[");
	for (uint32_t i = 0; i < size; i++)
		g_string_append_printf(text,
		    "%s{\"host\":\"service-%u.example\",\"pool\":\"pool-%u\","
		    "\"class\":\"quick\",\"deadline_ms\":5000}",
		    i == 0 ? "" : ",", i, i);
	g_string_append(text, "],\"waves\":[]}");
	return text;
}

static manifest_t *
parse(const GString *text)
{
	GArray *problems =
	    g_array_new(FALSE, FALSE, sizeof(manifest_problem_t));
	manifest_t *manifest;

	manifest = manifest_parse(text->str, text->len, problems);
	if (manifest == NULL)
		g_error("%s: %s",
		    g_array_index(problems, manifest_problem_t, 0).path,
		    g_array_index(problems, manifest_problem_t, 0).reason);
	g_array_free(problems, TRUE);
	return manifest;
}

static double
measure_parse_us(uint32_t size, void *arg)
{
	GString *text = manifest_text(size);
	gw_clock_t clock;
	uint64_t start_us;
	double value;

	(void)arg;
	gw_clock_init_system(&clock);
	start_us = gw_clock_now_us(&clock);
	manifest_free(parse(text));
	value = (double)(gw_clock_now_us(&clock) - start_us);
	g_string_free(text, TRUE);
	return value;
}

/* What measure_change() returns. */
typedef enum {
	CHANGE_ROOT_BYTES,
	CHANGE_SECTION_BYTES,
	CHANGE_JOIN_US
} change_metric_t;

/*
 * Returns one metric of a change to one pool: the size of the root record or of
 * the pool's section, which the change sends, or the time of joining the
 * sections.
 */
static double
measure_change(uint32_t size, void *arg)
{
	const change_metric_t *metric = arg;
	GString *text = manifest_text(size);
	manifest_t *manifest = parse(text);
	manifest_root_t *root = manifest_split(manifest);
	manifest_section_t *section = manifest_root_find(root, "pool/pool-1");
	char *encoded = manifest_root_encode(root);
	gw_clock_t clock;
	uint64_t start_us;
	double value = 0;

	gw_clock_init_system(&clock);
	start_us = gw_clock_now_us(&clock);
	if (*metric == CHANGE_ROOT_BYTES)
		value = (double)strlen(encoded);
	else if (*metric == CHANGE_SECTION_BYTES)
		value = section->size_bytes;
	else {
		manifest_free(manifest_join(root, NULL));
		value = (double)(gw_clock_now_us(&clock) - start_us);
	}
	g_free(encoded);
	manifest_root_free(root);
	manifest_free(manifest);
	g_string_free(text, TRUE);
	return value;
}

/*
 * Measures the manifest against the number of pools: parsing it, the bytes that
 * a change to one pool sends, and the time that each node needs to apply it.
 */
void
bench_manifest(void)
{
	static const uint32_t pools[] = {16, 64, 128, 253};
	change_metric_t metrics[] = {
	    CHANGE_ROOT_BYTES, CHANGE_SECTION_BYTES, CHANGE_JOIN_US};
	fit_t parse_fit = {.name = "manifest, parse and check",
	    .y_unit = "us",
	    .x_unit = "pool"};
	fit_t change_fits[] = {
	    {.name = "manifest root", .y_unit = "bytes", .x_unit = "pool"},
	    {.name = "one pool's section", .y_unit = "bytes", .x_unit = "pool"},
	    {.name = "manifest, join sections",
		.y_unit = "us",
		.x_unit = "pool"},
	};

	fit_run(&parse_fit, pools, G_N_ELEMENTS(pools), measure_parse_us, NULL);
	fit_print(&parse_fit);
	for (uint32_t i = 0; i < G_N_ELEMENTS(change_fits); i++) {
		fit_run(&change_fits[i], pools, G_N_ELEMENTS(pools),
		    measure_change, &metrics[i]);
		fit_print(&change_fits[i]);
	}
}
