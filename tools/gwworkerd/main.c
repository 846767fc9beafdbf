#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "gw/log.h"
#include "gw/setting.h"
#include "platform/kv.h"
#include "registration.h"
#include "worker.h"

#define STORE_TIMEOUT_MS 1000
#define CONTROL_BODY_MAX_BYTES 4096
#define CONTROL_IDLE_TIMEOUT_MS 10000
#define CONTROL_CONNECTIONS_MAX 16

static gw_addr_t listen_addr, store_addr, control_addr;
static uint32_t worker_count, work_ms;
static char *pool_name, *id_prefix;
static worker_t **workers;
static worker_stats_t stats;

static const gw_setting_t settings[] = {
    {"listen", GW_SETTING_ADDR, &listen_addr, "127.0.0.1:28600",
	"address of the first worker; the others take the next ports", 0, 0},
    {"control", GW_SETTING_ADDR, &control_addr, "127.0.0.1:28599",
	"address of /control, /stats and /machines", 0, 0},
    {"store", GW_SETTING_ADDR, &store_addr, "127.0.0.1:28501",
	"address of the store, which speaks the platform's protocol", 0, 0},
    {"workers", GW_SETTING_U32, &worker_count, "4", "number of workers", 1,
	500},
    {"work-ms", GW_SETTING_U32, &work_ms, "200", "duration of a run", 1,
	600000},
    {"pool", GW_SETTING_TEXT, &pool_name, "p1", "pool of the workers", 0, 0},
    {"id-prefix", GW_SETTING_TEXT, &id_prefix, "w",
	"the workers' ids are this and a number", 0, 0},
};

/*
 * Sets the faults of one worker: {"worker":0,"muted":true,"lose_starts":1,
 * "late_starts":1,"late_ms":1500,"crash":true}. Without "muted" or "late_ms"
 * these stay as they are; a missing count is set to 0. Returns 0, or -1 when
 * there is no such worker.
 */
static int
set_faults(const json_t *request)
{
	json_int_t index =
	    json_integer_value(json_object_get(request, "worker"));
	const json_t *muted = json_object_get(request, "muted");
	const json_t *late_ms = json_object_get(request, "late_ms");
	worker_t *worker;

	if (index < 0 || index >= worker_count)
		return -1;
	worker = workers[index];
	if (muted != NULL)
		worker->muted = json_is_true(muted);
	if (late_ms != NULL)
		worker->late_ms = (uint32_t)json_integer_value(late_ms);
	worker->lose_starts = (uint32_t)json_integer_value(
	    json_object_get(request, "lose_starts"));
	worker->late_starts = (uint32_t)json_integer_value(
	    json_object_get(request, "late_starts"));
	if (json_is_true(json_object_get(request, "crash")) && !worker->crashed)
		worker_crash(worker);
	return 0;
}

static json_t *
stats_json(void)
{
	return json_pack("{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i}", "starts",
	    (int)stats.starts, "ends", (int)stats.ends, "lapses",
	    (int)stats.lapses, "doubles", (int)stats.doubles, "fenced",
	    (int)stats.fenced, "upkeeps", (int)stats.upkeeps, "crashes",
	    (int)stats.crashes, "running",
	    (int)g_hash_table_size(stats.running));
}

/*
 * Returns the list of machines: each worker runs on its own machine.
 */
static json_t *
machines_json(void)
{
	json_t *rows = json_array();

	for (uint32_t i = 0; i < worker_count; i++)
		json_array_append_new(rows,
		    json_pack("{s:s, s:s, s:s, s:s, s:s}", "machine",
			workers[i]->id, "pool", pool_name, "state", "up",
			"zone", "dc-a", "id", workers[i]->id));
	return json_pack("{s:o}", "machines", rows);
}

static void
reply_json(h2o_req_t *req, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	gw_http_reply(req, 200, "application/json", text, strlen(text));
	free(text);
}

/*
 * Handles /control, the platform's calls about machines, and for any other path
 * /stats. An order to maintain a machine is only counted.
 */
static int
on_control(h2o_req_t *req, void *arg)
{
	json_t *body;

	(void)arg;
	if (worker_path_is(req, "/control")) {
		body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
		gw_http_reply(req, set_faults(body) == 0 ? 200 : 400,
		    "application/json", "{}", 2);
		json_decref(body);
	} else if (worker_path_is(req, "/machines")) {
		reply_json(req, machines_json());
	} else if (worker_path_is(req, "/machine-upkeep")) {
		stats.upkeeps++;
		reply_json(req, json_object());
	} else {
		reply_json(req, stats_json());
	}
	return 0;
}

static void
start_workers(gw_rt_t *rt, store_t *store)
{
	gw_err_t error;

	workers = g_new0(worker_t *, worker_count);
	for (uint32_t i = 0; i < worker_count; i++) {
		gw_addr_t addr = listen_addr;
		char id[32];

		(void)snprintf(id, sizeof(id), "%.20s-%u", id_prefix, i);
		gw_addr_set_port(
		    &addr, (uint16_t)(gw_addr_port(&listen_addr) + i));
		workers[i] = worker_new(rt, &stats, id, &addr, work_ms, &error);
		if (workers[i] == NULL)
			errx(EX_OSERR, "%s: %s", error.peer, error.text);
		(void)registration_new(
		    rt, store, workers[i], pool_name, "dc-a");
	}
}

static void
on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	gw_rt_stop(handle->data);
}

/*
 * Stand-in for instances that run tasks. POST /control sets faults, GET
 * /machines lists the workers' machines, and GET /stats reports counts of runs,
 * including starts of a task that was already running or done.
 */
int
main(int argc, char **argv)
{
	const gw_httpd_limits_t limits = {CONTROL_BODY_MAX_BYTES,
	    CONTROL_IDLE_TIMEOUT_MS, CONTROL_CONNECTIONS_MAX};
	uv_signal_t sigterm;
	gw_httpd_t *control;
	store_t *store;
	gw_err_t error;
	gw_rt_t *rt;

	gw_log_init("gwworkerd", LOG_INFO);
	if (gw_settings_load(settings, G_N_ELEMENTS(settings), argc, argv,
		"Stand-in for instances that run tasks", &error) != 0)
		errx(EX_USAGE, "%s", error.text);
	rt = gw_rt_new();
	stats.running =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	stats.done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store = store_new(rt, &store_addr, STORE_TIMEOUT_MS);
	store_set_protocol(store, &plat_kv_protocol);
	start_workers(rt, store);
	control = gw_httpd_new(rt, &limits, on_control, NULL);
	if (gw_httpd_listen(control, &control_addr, NULL, &error) != 0)
		errx(EX_OSERR, "%s: %s", error.peer, error.text);
	(void)uv_signal_init(gw_rt_loop(rt), &sigterm);
	sigterm.data = rt;
	(void)uv_signal_start(&sigterm, on_signal, SIGTERM);
	gw_log(GW_EV_START, "program=gwworkerd workers=%u", worker_count);
	gw_rt_run(rt);
	gw_log(GW_EV_EXIT, "starts=%u doubles=%u", stats.starts, stats.doubles);
	gw_log_flush();
	return 0;
}
