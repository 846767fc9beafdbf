#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "gw/log.h"
#include "gw/setting.h"
#include "machine.h"
#include "platform/kv.h"
#include "registration.h"
#include "worker.h"

#define STORE_TIMEOUT_MS 1000
#define CONTROL_BODY_MAX_BYTES 4096
#define CONTROL_IDLE_TIMEOUT_MS 10000
#define CONTROL_CONNECTIONS_MAX 64

static gw_addr_t listen_addr, store_addr, control_addr;
static uint32_t start_count, work_ms, stop_ms, cpu_millis, machine_ms;
static char *pool_name, *id_prefix, *standby_pool;
static gw_rt_t *rt;
static store_t *store;
static GPtrArray *workers;	 /* worker_t, also those that have left */
static GPtrArray *registrations; /* of the workers, in the same order */
static worker_stats_t stats;
static machines_t *machines;

static const gw_setting_t settings[] = {
    {"listen", GW_SETTING_ADDR, &listen_addr, "127.0.0.1:28600",
	"address of the first worker; the others take the next ports", 0, 0},
    {"control", GW_SETTING_ADDR, &control_addr, "127.0.0.1:28599",
	"address of /control, /stats and /machines", 0, 0},
    {"store", GW_SETTING_ADDR, &store_addr, "127.0.0.1:28501",
	"address of the store, which speaks the platform's protocol", 0, 0},
    {"workers", GW_SETTING_U32, &start_count, "4", "number of workers", 0, 500},
    {"work-ms", GW_SETTING_U32, &work_ms, "200", "duration of a run", 1,
	600000},
    {"stop-ms", GW_SETTING_U32, &stop_ms, "0",
	"time from the order to stop a run to its end", 0, 60000},
    {"cpu-millis", GW_SETTING_U32, &cpu_millis, "4000",
	"capacity of each worker, in thousandths of a core", 1, 1000000},
    {"pool", GW_SETTING_TEXT, &pool_name, "p1", "pool of the workers", 0, 0},
    {"id-prefix", GW_SETTING_TEXT, &id_prefix, "w",
	"the workers' ids are this and a number", 0, 0},
    {"machine-ms", GW_SETTING_U32, &machine_ms, "0",
	"time that a move or the upkeep of a machine takes; 0: orders are only "
	"counted",
	0, 600000},
    {"standby-pool", GW_SETTING_TEXT, &standby_pool, "",
	"pool whose machines have no workers", 0, 0},
};

/*
 * Starts a worker on the next port; machine is NULL for a machine of its own.
 * Returns NULL with the error.
 */
static worker_t *
start_worker(const char *pool, const char *data_centre, const char *machine,
    gw_err_t *err)
{
	gw_addr_t addr = listen_addr;
	worker_t *worker;
	char id[32];

	(void)snprintf(id, sizeof(id), "%.20s-%u", id_prefix, workers->len);
	gw_addr_set_port(
	    &addr, (uint16_t)(gw_addr_port(&listen_addr) + workers->len));
	worker = worker_new(rt, &stats, id, &addr, work_ms, err);
	if (worker == NULL)
		return NULL;
	g_strlcpy(worker->machine, machine == NULL ? id : machine,
	    sizeof(worker->machine));
	worker->stop_ms = stop_ms;
	worker->cpu_millis = cpu_millis;
	g_strlcpy(worker->pool, pool, sizeof(worker->pool));
	g_strlcpy(
	    worker->data_centre, data_centre, sizeof(worker->data_centre));
	g_ptr_array_add(workers, worker);
	g_ptr_array_add(registrations, registration_new(rt, store, worker));
	return worker;
}

/*
 * Starts the next worker of a machine that was moved or maintained.
 */
static worker_t *
start_next_worker(
    const char *pool, const char *data_centre, const char *machine)
{
	gw_err_t error;
	worker_t *worker = start_worker(pool, data_centre, machine, &error);

	if (worker == NULL)
		warnx("%s: %s", error.peer, error.text);
	return worker;
}

static const machines_ops_t machines_ops = {.start_worker = start_next_worker};

/*
 * Adds a machine in the pool and the data centre, with a worker unless the pool
 * is the standby pool. Returns 0, or -1 with the error.
 */
static int
add_machine(const char *pool, const char *data_centre, gw_err_t *err)
{
	static uint32_t standby_count;
	worker_t *worker = NULL;
	char name[32];

	if (strcmp(pool, standby_pool) != 0) {
		worker = start_worker(pool, data_centre, NULL, err);
		if (worker == NULL)
			return -1;
		g_strlcpy(name, worker->machine, sizeof(name));
	} else {
		(void)snprintf(
		    name, sizeof(name), "standby-%u", standby_count++);
	}
	machines_add(machines, name, pool, data_centre, worker);
	return 0;
}

/*
 * Adds a machine in the pool and the data centre that the request names.
 */
static int
handle_add(const json_t *request)
{
	const char *pool, *data_centre;
	gw_err_t error;

	if (json_unpack((json_t *)request, "{s:s, s:s}", "add", &pool, "zone",
		&data_centre) != 0)
		return -1;
	return add_machine(pool, data_centre, &error);
}

/*
 * Carries out an order to a machine. Returns the status of the response.
 */
static int
handle_order(const h2o_req_t *req, bool is_move)
{
	json_t *body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
	const machine_order_t order = {
	    .machine = json_string_value(json_object_get(body, "machine")),
	    .pool = is_move ? json_string_value(json_object_get(body, "pool"))
			    : NULL};
	int status;

	if (is_move)
		stats.moves++;
	else
		stats.upkeeps++;
	status = machines_order(machines, &order);
	json_decref(body);
	return status;
}

/*
 * Sets the faults of one worker: {"worker":0,"muted":true,"cut":true,
 * "failing":true,"lose_starts":1,"late_starts":1,"late_ms":1500,"crash":true,
 * "leave_ms":2300}. Without "muted", "cut", "failing" or "late_ms" these stay
 * as they are; a missing count is set to 0. Returns 0, or -1 when there is no
 * such worker.
 */
static int
set_faults(const json_t *request)
{
	json_int_t index =
	    json_integer_value(json_object_get(request, "worker"));
	const json_t *muted = json_object_get(request, "muted");
	const json_t *is_cut = json_object_get(request, "cut");
	const json_t *failing = json_object_get(request, "failing");
	const json_t *late_ms = json_object_get(request, "late_ms");
	const json_t *leave_ms = json_object_get(request, "leave_ms");
	worker_t *worker;

	if (index < 0 || index >= workers->len)
		return -1;
	worker = workers->pdata[index];
	if (worker->left)
		return -1;
	if (muted != NULL)
		worker->muted = json_is_true(muted);
	if (is_cut != NULL)
		worker->cut = json_is_true(is_cut);
	if (failing != NULL)
		worker->failing = json_is_true(failing);
	if (late_ms != NULL)
		worker->late_ms = (uint32_t)json_integer_value(late_ms);
	worker->lose_starts = (uint32_t)json_integer_value(
	    json_object_get(request, "lose_starts"));
	worker->late_starts = (uint32_t)json_integer_value(
	    json_object_get(request, "late_starts"));
	if (json_is_true(json_object_get(request, "crash")) && !worker->crashed)
		worker_crash(worker);
	if (leave_ms != NULL && !worker->leaving) {
		worker->leave_ms = (uint32_t)json_integer_value(leave_ms);
		registration_leave(registrations->pdata[index]);
	}
	return 0;
}

static json_t *
stats_json(void)
{
	return json_pack("{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i}",
	    "over", (int)stats.over, "starts", (int)stats.starts, "ends",
	    (int)stats.ends, "lapses", (int)stats.lapses, "doubles",
	    (int)stats.doubles, "fenced", (int)stats.fenced, "upkeeps",
	    (int)stats.upkeeps, "moves", (int)stats.moves, "crashes",
	    (int)stats.crashes, "running",
	    (int)g_hash_table_size(stats.running));
}

/*
 * Returns what the workers saw of the tasks that last: whether each runs, and
 * when its last run started and ended, in ms since 1970 (0: has not).
 */
static json_t *
lasting_json(void)
{
	json_t *rows = json_array();
	GHashTableIter iter;
	gpointer task, value;

	g_hash_table_iter_init(&iter, stats.lasting);
	while (g_hash_table_iter_next(&iter, &task, &value)) {
		const lasting_t *lasting = value;

		json_array_append_new(rows,
		    json_pack("{s:s, s:s, s:i, s:i, s:I, s:I, s:s}", "task",
			(const char *)task, "worker", lasting->worker->id,
			"running", (int)lasting->running, "starts",
			(int)lasting->starts, "started_ms",
			(json_int_t)lasting->started_ms, "ended_ms",
			(json_int_t)lasting->ended_ms, "how", lasting->how));
	}
	return json_pack("{s:I, s:o}", "now_ms",
	    (json_int_t)(g_get_real_time() / 1000), "tasks", rows);
}

/*
 * Returns the workers, with the CPU of their runs and how many runs are being
 * stopped.
 */
static json_t *
workers_json(void)
{
	json_t *rows = json_array();

	for (guint i = 0; i < workers->len; i++) {
		const worker_t *worker = workers->pdata[i];
		int cpu = 0, stopping = 0;
		GHashTableIter iter;
		gpointer run;

		g_hash_table_iter_init(&iter, worker->runs);
		while (g_hash_table_iter_next(&iter, NULL, &run)) {
			cpu += (int)((run_t *)run)->spec.cpu_millis;
			stopping += ((run_t *)run)->stopping;
		}
		json_array_append_new(rows,
		    json_pack("{s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:i}", "id",
			worker->id, "machine", worker->machine, "pool",
			worker->pool, "left", worker->left, "leaving",
			worker->leaving, "runs",
			(int)g_hash_table_size(worker->runs), "stopping",
			stopping, "cpu", cpu));
	}
	return json_pack("{s:o}", "workers", rows);
}

/*
 * Returns the names of all tasks of which a run ended as done.
 */
static json_t *
done_json(void)
{
	json_t *rows = json_array();
	GHashTableIter iter;
	gpointer task;

	g_hash_table_iter_init(&iter, stats.ever_done);
	while (g_hash_table_iter_next(&iter, &task, NULL))
		json_array_append_new(rows, json_string(task));
	return json_pack("{s:o}", "done", rows);
}

/*
 * Returns how many runs of each task have ended as failed, and which tasks are
 * done.
 */
static json_t *
ends_json(void)
{
	json_t *rows = json_object(), *root = done_json();
	GHashTableIter iter;
	gpointer task, count;

	g_hash_table_iter_init(&iter, stats.failed);
	while (g_hash_table_iter_next(&iter, &task, &count))
		json_object_set_new(
		    rows, task, json_integer(GPOINTER_TO_UINT(count)));
	json_object_set_new(root, "failed", rows);
	return root;
}

/*
 * Returns the names of the tasks that run.
 */
static json_t *
running_json(void)
{
	json_t *rows = json_array();
	GHashTableIter iter;
	gpointer task;

	g_hash_table_iter_init(&iter, stats.running);
	while (g_hash_table_iter_next(&iter, &task, NULL))
		json_array_append_new(rows, json_string(task));
	return json_pack("{s:o}", "running", rows);
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
 * /stats.
 */
static int
on_control(h2o_req_t *req, void *arg)
{
	json_t *body;
	int rc;

	(void)arg;
	if (worker_path_is(req, "/control")) {
		body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
		rc = json_object_get(body, "add") != NULL ? handle_add(body)
							  : set_faults(body);
		gw_http_reply(
		    req, rc == 0 ? 200 : 400, "application/json", "{}", 2);
		json_decref(body);
	} else if (worker_path_is(req, "/lasting")) {
		reply_json(req, lasting_json());
	} else if (worker_path_is(req, "/workers")) {
		reply_json(req, workers_json());
	} else if (worker_path_is(req, "/done")) {
		reply_json(req, done_json());
	} else if (worker_path_is(req, "/ends")) {
		reply_json(req, ends_json());
	} else if (worker_path_is(req, "/running")) {
		reply_json(req, running_json());
	} else if (worker_path_is(req, "/machines")) {
		reply_json(req, machines_json(machines));
	} else if (worker_path_is(req, "/machine-upkeep") ||
	    worker_path_is(req, "/machine-move")) {
		rc = handle_order(req, worker_path_is(req, "/machine-move"));
		gw_http_reply(req, rc, "application/json",
		    rc == 409 ? "{\"reason\":\"busy\"}" : "{}",
		    rc == 409 ? 17 : 2);
	} else {
		reply_json(req, stats_json());
	}
	return 0;
}

static void
start_workers(void)
{
	gw_err_t error;

	workers = g_ptr_array_new();
	registrations = g_ptr_array_new();
	for (uint32_t i = 0; i < start_count; i++)
		if (add_machine(pool_name, "dc-a", &error) != 0)
			errx(EX_OSERR, "%s: %s", error.peer, error.text);
}

static void
on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	gw_rt_stop(handle->data);
}

/*
 * Stand-in for instances that run tasks. POST /control sets faults, GET
 * /machines lists the workers' machines, GET /lasting the tasks that last, and
 * GET /stats reports counts of runs, including starts of a task that was
 * already running or done.
 */
int
main(int argc, char **argv)
{
	const gw_httpd_limits_t limits = {CONTROL_BODY_MAX_BYTES,
	    CONTROL_IDLE_TIMEOUT_MS, CONTROL_CONNECTIONS_MAX};
	uv_signal_t sigterm;
	gw_httpd_t *control;
	gw_err_t error;

	/* Responses are also written to connections that are broken. */
	(void)signal(SIGPIPE, SIG_IGN);
	gw_log_init("gwworkerd", LOG_INFO);
	if (gw_settings_load(settings, G_N_ELEMENTS(settings), argc, argv,
		"Stand-in for instances that run tasks", &error) != 0)
		errx(EX_USAGE, "%s", error.text);
	rt = gw_rt_new();
	stats.running =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	stats.done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	stats.ever_done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	stats.lasting =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store = store_new(rt, &store_addr, STORE_TIMEOUT_MS);
	store_set_protocol(store, &plat_kv_protocol);
	stats.failed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	machines = machines_new(rt, machine_ms, standby_pool, &machines_ops);
	start_workers();
	control = gw_httpd_new(rt, &limits, on_control, NULL);
	if (gw_httpd_listen(control, &control_addr, NULL, &error) != 0)
		errx(EX_OSERR, "%s: %s", error.peer, error.text);
	(void)uv_signal_init(gw_rt_loop(rt), &sigterm);
	sigterm.data = rt;
	(void)uv_signal_start(&sigterm, on_signal, SIGTERM);
	gw_log(GW_EV_START, "program=gwworkerd workers=%u", start_count);
	gw_rt_run(rt);
	gw_log(GW_EV_EXIT, "starts=%u doubles=%u", stats.starts, stats.doubles);
	gw_log_flush();
	return 0;
}
