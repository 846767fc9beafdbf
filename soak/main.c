#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>
#include <unistd.h>

#include "gw/log.h"
#include "gw/setting.h"
#include "events.h"

#define CALL_TIMEOUT_MS 1000
#define SETUP_STEP_MS 300
#define SETUP_MAX_STEPS 100
#define WORKERS_A_POOL 8
#define STANDBY_MACHINES 3
/* Time for the last checks, after FINISH_MS without traffic. */
#define LAST_CHECKS_MS 6000
#define TERM_MS 5000
#define FAILED 1

static soak_t soak;
static uint32_t seed, seconds, port_base;
static char *bin;
static bool keep;
static gw_timer_t phase_timer, deadline_timer;
static uint32_t setup_steps;

static const gw_setting_t settings[] = {
    {"seed", GW_SETTING_U32, &seed, "1", "of the events", 0, UINT32_MAX},
    {"seconds", GW_SETTING_U32, &seconds, "60", "duration of the events", 1,
	86400},
    {"port-base", GW_SETTING_U32, &port_base, "29000",
	"the ports from this one on are used", 1024, 65000},
    {"bin", GW_SETTING_TEXT, &bin, "build/release/bin",
	"directory of the programs", 0, 0},
    {"keep", GW_SETTING_FLAG, &keep, "false", "keep the logs", 0, 0},
};

uint64_t
soak_now_ms(void)
{
	return (uint64_t)g_get_real_time() / 1000;
}

/*
 * Prints a line with its time, and marks it in the logs of the entry processes.
 */
void
soak_print(soak_t *self, const char *fmt, ...)
{
	g_autofree char *line = NULL;
	double at_s;
	va_list args;

	va_start(args, fmt);
	line = g_strdup_vprintf(fmt, args);
	va_end(args);
	at_s =
	    (double)gw_elapsed_us(gw_rt_now_us(self->rt), self->began_us) / 1e6;
	(void)printf("%8.3f %s\n", at_s, line);
	(void)fflush(stdout);
	for (uint32_t i = 1; i <= self->entry_count; i++) {
		g_autofree char *path =
		    g_strdup_printf("%s/entry%u.log", self->dir, i);
		FILE *log = fopen(path, "ae");

		if (log == NULL)
			continue;
		(void)fprintf(log, "--- %8.3f %s\n", at_s, line);
		(void)fclose(log);
	}
}

/*
 * Reports a violation, once for each key.
 */
void
soak_violation(soak_t *self, const char *key, const char *fmt, ...)
{
	g_autofree char *line = NULL;
	va_list args;

	if (!g_hash_table_add(self->reported, g_strdup(key)))
		return;
	va_start(args, fmt);
	line = g_strdup_vprintf(fmt, args);
	va_end(args);
	self->violations++;
	soak_print(self, "VIOLATION %s", line);
}

/*
 * Notes a disruption that is over at once.
 */
void
soak_disrupt(soak_t *self, bool is_planned)
{
	self->calm_from_ms = soak_now_ms();
	if (!is_planned)
		self->unplanned_end_ms = self->calm_from_ms;
}

void
soak_disruption_begin(soak_t *self)
{
	self->disruptions++;
}

void
soak_disruption_end(soak_t *self)
{
	self->disruptions--;
	soak_disrupt(self, false);
}

/*
 * Handles the response of a stand-in. Without its faults the run shows nothing.
 */
void
soak_on_control(
    const gw_http_response_t *response, const gw_err_t *error, void *arg)
{
	if (response == NULL)
		soak_violation(arg, "silent stand-in",
		    "a stand-in does not respond: %s", error->text);
	else if (response->status != 200)
		soak_violation(arg, "setup", "a stand-in refuses a request: %d",
		    response->status);
}

/*
 * Handles the response to an operator's write, which a store that is away does
 * not take.
 */
void
soak_on_config(
    const gw_http_response_t *response, const gw_err_t *error, void *arg)
{
	if (response == NULL || response->status != 200)
		soak_print(arg, "an operator's write failed: %s",
		    response == NULL ? error->text : "refused");
	else
		teams_version_acked(arg);
}

static void
add_workers(void)
{
	for (uint32_t i = 0; i < soak.pool_count; i++) {
		g_autofree char *pool = g_strdup_printf("p%u", i + 1);

		for (uint32_t k = 0; k < WORKERS_A_POOL; k++)
			worker_add(&soak, pool);
	}
	for (uint32_t k = 0; soak.has_machines && k < STANDBY_MACHINES; k++)
		worker_add(&soak, STANDBY_POOL);
}

/*
 * Returns a client of one of the local ports.
 */
gw_httpc_t *
soak_client(soak_t *self, uint32_t port_offset)
{
	g_autofree char *text =
	    g_strdup_printf("127.0.0.1:%u", self->port_base + port_offset);
	gw_addr_t addr = {0};
	gw_err_t error;

	(void)gw_addr_parse(&addr, text, &error);
	return gw_httpc_new(self->rt, &addr);
}

static void
end_process(process_t *process, int signum)
{
	process_signal(process, SIGCONT);
	process_signal(process, signum);
}

static void
on_ended(gw_timer_t *timer, void *arg)
{
	(void)timer;
	(void)arg;
	for (uint32_t i = 0; i < soak.entry_count; i++)
		end_process(&soak.entries[i].process, SIGKILL);
	end_process(&soak.store, SIGKILL);
	end_process(&soak.workers, SIGKILL);
	gw_rt_stop(soak.rt);
}

static void
end_processes(void)
{
	for (uint32_t i = 0; i < soak.entry_count; i++)
		end_process(&soak.entries[i].process, SIGTERM);
	end_process(&soak.store, SIGTERM);
	end_process(&soak.workers, SIGTERM);
	gw_timer_start(
	    soak.rt, &phase_timer, TERM_MS * GW_US_PER_MS, on_ended, NULL);
}

/*
 * Judges what the run has left, and ends it.
 */
static void
on_finished(gw_timer_t *timer, void *arg)
{
	uint32_t open_jobs = 0;

	(void)timer;
	(void)arg;
	for (guint i = 0; i < soak.jobs->len; i++) {
		const job_t *job = soak.jobs->pdata[i];

		if (job->accepted && !job->asked && !job->cancel_sent)
			soak_violation(&soak, job->id,
			    "LOST job=%s has no state", job->id);
		else if (job->accepted && job->kind != JOB_LASTING &&
		    job->kind != JOB_CANCELLED)
			open_jobs += !job->ended;
	}
	soak_print(&soak, "%u jobs have not ended", open_jobs);
	if (check_pending() > 0)
		soak_violation(&soak, "setup",
		    "%u completed jobs are not checked", check_pending());
	end_processes();
}

static void
on_finish_due(gw_timer_t *timer, void *arg)
{
	(void)arg;
	soak_print(&soak, "last checks");
	soak.finishing = true;
	traffic_ask_all(&soak);
	gw_timer_start(
	    soak.rt, timer, LAST_CHECKS_MS * GW_US_PER_MS, on_finished, NULL);
}

static void
on_events_over(gw_timer_t *timer, void *arg)
{
	(void)arg;
	soak_print(&soak, "no more events");
	soak.traffic_over = true;
	gw_timer_start(
	    soak.rt, timer, FINISH_MS * GW_US_PER_MS, on_finish_due, NULL);
}

/*
 * Starts the processes one after the other; then the traffic, and the events
 * once all jobs that last were accepted.
 */
static void
on_setup(gw_timer_t *timer, void *arg)
{
	g_autofree char *control =
	    g_strdup_printf("--control=127.0.0.1:%u", port_base + PORT_CONTROL);
	g_autofree char *store =
	    g_strdup_printf("--store=127.0.0.1:%u", port_base + PORT_STORE);
	g_autofree char *listen =
	    g_strdup_printf("--listen=127.0.0.1:%u", port_base + PORT_WORKERS);
	static const char standby[] = "--standby-pool=" STANDBY_POOL;
	const char *const workers[] = {"gwworkerd", control, store, listen,
	    "--workers=0", "--stop-ms=200",
	    soak.has_machines ? "--machine-ms=1500" : "--machine-ms=0", standby,
	    NULL};

	(void)arg;
	switch (setup_steps++) {
	case 0:
		(void)process_start(
		    &soak, &soak.workers, "workers", workers, NULL);
		break;
	case 1:
		config_put_layout(&soak);
		config_put(&soak);
		add_workers();
		break;
	case 2:
		for (uint32_t i = 0; i < soak.entry_count; i++)
			entry_start(&soak, &soak.entries[i]);
		processes_throttle(&soak);
		clients_start(&soak);
		traffic_start(&soak);
		check_start(&soak);
		break;
	default:
		if (soak.accepted >= soak.lasting_count + 4) {
			soak_print(&soak, "events begin");
			soak_disrupt(&soak, false);
			events_start(&soak);
			gw_timer_start(soak.rt, &phase_timer,
			    seconds * 1000 * GW_US_PER_MS, on_events_over,
			    NULL);
			return;
		}
	}
	if (setup_steps < SETUP_MAX_STEPS) {
		gw_timer_start(soak.rt, timer, SETUP_STEP_MS * GW_US_PER_MS,
		    on_setup, NULL);
		return;
	}
	soak_violation(&soak, "setup", "the system accepts no jobs");
	end_processes();
}

static void
on_signal(uv_signal_t *handle, int signum)
{
	(void)handle;
	soak_violation(&soak, "signal", "ended by signal %d", signum);
	end_processes();
}

/*
 * Draws what runs: entry processes, pools, load, and the kinds of disruption.
 */
static void
draw_system(void)
{
	soak.entry_count = (uint32_t)g_rand_int_range(soak.random, 3, 6);
	if (g_rand_int_range(soak.random, 0, 8) == 0)
		soak.entry_count = ENTRIES_MAX;
	soak.fill_percent = (uint32_t)g_rand_int_range(soak.random, 40, 92);
	soak.pool_count = (uint32_t)g_rand_int_range(soak.random, 1, 3);
	soak.has_machines =
	    soak.pool_count > 1 && g_rand_int_range(soak.random, 0, 3) > 0;
	soak.lasting_count =
	    soak.pool_count * (uint32_t)g_rand_int_range(soak.random, 2, 5);
	soak.planned_only = g_rand_int_range(soak.random, 0, 4) == 0;
	soak.cpu_percent = g_rand_int_range(soak.random, 0, 5) == 0 ? 25 : 100;
	/* Not drawn, so that the events of a seed stay as they were. */
	soak.shard_count = seed % 3 == 1 ? 2 : 1;
	if (soak.shard_count > 1)
		soak.fill_percent = WIDE_FILL_PERCENT;
}

static void
start(void)
{
	g_autofree char *store =
	    g_strdup_printf("--listen=127.0.0.1:%u", port_base + PORT_STORE);
	const char *const args[] = {"gwstored", store, NULL};

	soak.rt = gw_rt_new();
	soak.began_us = gw_rt_now_us(soak.rt);
	soak.random = g_rand_new_with_seed(seed);
	soak.bin = bin;
	soak.port_base = port_base;
	soak.jobs = g_ptr_array_new();
	soak.reported =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	draw_system();
	teams_draw(&soak, seed);
	for (uint32_t i = 0; i < soak.entry_count; i++)
		soak.entries[i].number = i + 1;
	soak.store_api = soak_client(&soak, PORT_STORE);
	soak.control = soak_client(&soak, PORT_CONTROL);
	if (process_start(&soak, &soak.store, "store", args, NULL) != 0)
		errx(EX_UNAVAILABLE, "%s: no programs there", bin);
	gw_timer_start(soak.rt, &deadline_timer, SETUP_STEP_MS * GW_US_PER_MS,
	    on_setup, NULL);
}

static void
remove_logs(void)
{
	GDir *dir = g_dir_open(soak.dir, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *path = g_build_filename(soak.dir, name, NULL);

		if (unlink(path) != 0)
			warn("%s", path);
	}
	if (dir != NULL)
		g_dir_close(dir);
	if (rmdir(soak.dir) != 0)
		warn("%s", soak.dir);
}

/*
 * Runs the system as separate processes and disturbs it as the seed says, while
 * the rules are checked from outside.
 */
int
main(int argc, char **argv)
{
	uv_signal_t sigterm, sigint;
	gw_err_t error;

	(void)signal(SIGPIPE, SIG_IGN);
	gw_log_init("gwsoak", LOG_WARNING);
	if (gw_settings_load(settings, G_N_ELEMENTS(settings), argc, argv,
		"Disturbs the system and checks its rules", &error) != 0)
		errx(EX_USAGE, "%s", error.text);
	soak.dir = g_dir_make_tmp("gwsoak-XXXXXX", NULL);
	if (soak.dir == NULL)
		err(EX_CANTCREAT, "temporary directory");
	start();
	(void)uv_signal_init(gw_rt_loop(soak.rt), &sigterm);
	(void)uv_signal_start(&sigterm, on_signal, SIGTERM);
	(void)uv_signal_init(gw_rt_loop(soak.rt), &sigint);
	(void)uv_signal_start(&sigint, on_signal, SIGINT);
	gw_rt_run(soak.rt);
	(void)printf("requests: %u answered, %u without a connection, %u ended "
		     "unanswered, longest %" PRIu64 " ms, %u timed out\n",
	    soak.answered, soak.not_sent, soak.unanswered,
	    soak.longest_unanswered_ms, soak.timed_out);
	(void)printf("seed %u: %u entries, %u pools of %u shards, %u moves, "
		     "%u upkeeps, "
		     "planned only %d, cpu %u, teams %d, most %u percent\n",
	    seed, soak.entry_count, soak.pool_count, soak.shard_count,
	    soak.moves, soak.upkeeps, soak.planned_only, soak.cpu_percent,
	    soak.has_teams, teams_most_percent());
	(void)printf("seed %u: %u events, %u jobs accepted, %u refused, "
		     "longest stand %" PRIu64 " ms, %u violations\n",
	    seed, soak.events, soak.accepted, soak.refused,
	    soak.longest_stand_ms, soak.violations);
	if (keep)
		(void)printf("logs: %s\n", soak.dir);
	else
		remove_logs();
	return soak.violations == 0 ? EXIT_SUCCESS : FAILED;
}
