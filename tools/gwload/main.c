#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include "gw/log.h"
#include "gw/setting.h"
#include "idle.h"
#include "load.h"

static load_plan_t plan;
static GArray *targets;
static char *routes_text, *headers_text, *each_path;
static bool json_output;
static uint32_t idle_count;
static const gw_setting_t settings[] = {
    {"target", GW_SETTING_ADDRS, &targets, NULL,
	"servers, used in turn; IP:PORT,...", 0, 0},
    {"routes", GW_SETTING_TEXT, &routes_text, "localhost",
	"values of Host, comma-separated", 0, 0},
    {"method", GW_SETTING_TEXT, &plan.method, "POST", "method", 0, 0},
    {"path", GW_SETTING_TEXT, &plan.path, "/", "path", 0, 0},
    {"headers", GW_SETTING_TEXT, &headers_text, "",
	"further headers, 'name: value;name: value'", 0, 0},
    {"id-prefix", GW_SETTING_TEXT, &plan.id_prefix, "load",
	"prefix of each Godwit-Request-Id", 0, 0},
    {"seed", GW_SETTING_U32, &plan.seed, "1", "seed of the arrivals", 0,
	1000000},
    {"rate", GW_SETTING_U32, &plan.mean_per_s, "0",
	"mean requests per second and route; 0: closed loop", 0, 1000000},
    {"concurrency", GW_SETTING_U32, &plan.concurrency, "8",
	"requests in flight in a closed loop", 1, 10000},
    {"surge-ms", GW_SETTING_U32, &plan.surge_ms, "0",
	"length of each route's surge; 0: steady rate", 0, 600000},
    {"duration-ms", GW_SETTING_U32, &plan.duration_ms, "1000",
	"time for which requests are sent", 1, 600000},
    {"requests", GW_SETTING_U32, &plan.requests_max, "1000000",
	"maximum number of requests to send", 1, 10000000},
    {"in-flight", GW_SETTING_U32, &plan.in_flight_max, "10000",
	"maximum number of requests in flight", 1, 100000},
    {"body-bytes", GW_SETTING_U32, &plan.body_bytes, "64", "size of the body",
	16, 1048576},
    {"timeout-ms", GW_SETTING_U32, &plan.timeout_ms, "10000",
	"time after which a request counts as broken", 1, 600000},
    {"spin", GW_SETTING_FLAG, &plan.spin, "false",
	"busy-poll, for exact sending times", 0, 0},
    {"idle", GW_SETTING_U32, &idle_count, "0",
	"number of idle connections to hold instead of sending load", 0, 20000},
    {"each", GW_SETTING_TEXT, &each_path, "",
	"file that gets a line per request: id, route, outcome, own or "
	"other body, status",
	0, 0},
    {"json", GW_SETTING_FLAG, &json_output, "false", "print JSON", 0, 0},
};

/*
 * Returns 'a: b;c: d' as header lines, each with CRLF.
 */
static char *
format_headers(const char *text)
{
	GString *lines = g_string_new(NULL);
	char **parts;

	parts = g_strsplit(text, ";", -1);
	for (char **part = parts; *part != NULL; part++)
		if (**part != '\0')
			g_string_append_printf(lines, "%s\r\n", *part);
	g_strfreev(parts);
	return g_string_free(lines, FALSE);
}

static void
print_json(load_t *load, stats_t *all)
{
	json_t *rows = json_array(), *root;
	double elapsed_s = load_elapsed_s(load);

	for (uint32_t i = 0; plan.routes[i] != NULL; i++)
		(void)json_array_append_new(rows,
		    stats_json(load_stats(load, i), plan.routes[i], elapsed_s));
	root = stats_json(all, "all", elapsed_s);
	(void)json_object_set_new(root, "routes", rows);
	(void)json_object_set_new(root, "elapsed_s", json_real(elapsed_s));
	(void)json_dumpf(root, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(root);
}

static void
print_table(load_t *load, stats_t *all)
{
	double elapsed_s = load_elapsed_s(load);

	stats_print_header();
	for (uint32_t i = 0; plan.routes[i] != NULL; i++)
		stats_print(load_stats(load, i), plan.routes[i], elapsed_s);
	stats_print(all, "all", elapsed_s);
	if (all->mismatched > 0 || all->unsent > 0)
		printf("mismatched bodies: %" PRIu64 ", unsent: %" PRIu64 "\n",
		    all->mismatched, all->unsent);
}

int
main(int argc, char **argv)
{
	load_t *load;
	stats_t all;
	gw_err_t error;
	gw_rt_t *rt;
	int rc;

	if (gw_settings_load(settings, G_N_ELEMENTS(settings), argc, argv,
		"Sends load to routers or endpoints and measures latencies.",
		&error) != 0)
		errx(EX_USAGE, "%s", error.text);
	gw_log_init("gwload", LOG_WARNING);
	plan.targets = (gw_addr_t *)(void *)targets->data;
	plan.target_count = targets->len;
	plan.routes = g_strsplit(routes_text, ",", -1);
	plan.headers = format_headers(headers_text);
	rt = gw_rt_new();
	if (idle_count > 0) {
		printf("%" PRIu32 "\n",
		    idle_hold_connections(
			rt, &plan.targets[0], idle_count, plan.duration_ms));
		return 0;
	}
	if (each_path[0] != '\0') {
		plan.each_file = fopen(each_path, "w");
		if (plan.each_file == NULL)
			err(EX_CANTCREAT, "%s", each_path);
	}
	load = load_new(rt, &plan);
	load_run(load);
	stats_init(&all);
	for (uint32_t i = 0; plan.routes[i] != NULL; i++)
		stats_merge(&all, load_stats(load, i));
	if (json_output)
		print_json(load, &all);
	else
		print_table(load, &all);
	rc = all.mismatched > 0 ? EX_SOFTWARE : 0;
	stats_clear(&all);
	load_free(load);
	if (plan.each_file != NULL && fclose(plan.each_file) != 0)
		err(EX_IOERR, "%s", each_path);
	gw_rt_free(rt);
	return rc;
}
