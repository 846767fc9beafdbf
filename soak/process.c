#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"

static void
on_process_exit(uv_process_t *handle, int64_t status, int signum)
{
	process_t *process = handle->data;

	(void)status;
	(void)signum;
	process->running = false;
	process->stopped = false;
	uv_close((uv_handle_t *)handle, NULL);
}

/*
 * Starts a program with its output appended to NAME.log. args ends with NULL;
 * settings is the path of an entry process's settings, or NULL. Returns 0 or
 * libuv's error.
 */
int
process_start(soak_t *soak, process_t *process, const char *name,
    const char *const *args, const char *settings)
{
	g_autofree char *log = g_strdup_printf("%s/%s.log", soak->dir, name);
	g_autofree char *program = g_strdup_printf("%s/%s", soak->bin, args[0]);
	g_auto(GStrv) env = g_get_environ();
	uv_stdio_container_t stdio[3] = {{.flags = UV_IGNORE}};
	uv_process_options_t options = {.exit_cb = on_process_exit};
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	int rc;

	for (int i = 1; i < 3; i++) {
		stdio[i].flags = UV_INHERIT_FD;
		stdio[i].data.fd = fd;
	}
	if (settings != NULL)
		env = g_environ_setenv(
		    env, "GODWITLINE_SETTINGS", settings, TRUE);
	options.file = program;
	options.args = (char **)args;
	options.env = env;
	options.stdio = stdio;
	options.stdio_count = 3;
	memset(&process->handle, 0, sizeof(process->handle));
	process->handle.data = process;
	g_strlcpy(process->name, name, sizeof(process->name));
	rc = uv_spawn(gw_rt_loop(soak->rt), &process->handle, &options);
	process->running = rc == 0;
	process->starts++;
	(void)close(fd);
	return rc;
}

/*
 * Sends a signal to a process, if it still runs.
 */
void
process_signal(process_t *process, int signum)
{
	if (process->running)
		(void)uv_process_kill(&process->handle, signum);
	if (signum == SIGSTOP)
		process->stopped = true;
	else if (signum == SIGCONT)
		process->stopped = false;
}

#define THROTTLE_PERIOD_MS 100

static gw_timer_t throttle_timer;
static bool throttled;

static void
on_throttle(gw_timer_t *timer, void *arg)
{
	soak_t *soak = arg;
	uint32_t run_ms = THROTTLE_PERIOD_MS * soak->cpu_percent / 100;

	throttled = !throttled;
	for (uint32_t i = 0; i < soak->entry_count; i++) {
		process_t *process = &soak->entries[i].process;

		if (process->running && !process->stopped)
			(void)uv_process_kill(
			    &process->handle, throttled ? SIGSTOP : SIGCONT);
	}
	gw_timer_start(soak->rt, timer,
	    (throttled ? THROTTLE_PERIOD_MS - run_ms : run_ms) * GW_US_PER_MS,
	    on_throttle, soak);
}

/*
 * Lets the entry processes run for cpu_percent of each 100 ms, as a limit of
 * the processor time does.
 */
void
processes_throttle(soak_t *soak)
{
	if (soak->cpu_percent < 100)
		on_throttle(&throttle_timer, soak);
}

/*
 * Writes the settings of an entry process and starts it.
 */
void
entry_start(soak_t *soak, entry_t *entry)
{
	const char *const args[] = {"gwentryd", NULL};
	uint32_t base = soak->port_base, n = entry->number;
	g_autofree char *path =
	    g_strdup_printf("%s/settings%u", soak->dir, entry->number);
	g_autofree char *cloud = soak->has_machines
	    ? g_strdup_printf("\"cloud\":{\"address\":\"127.0.0.1:%u\"},",
		  base + PORT_CONTROL)
	    : g_strdup("");
	g_autofree char *text = g_strdup_printf(
	    "{\"node\":\"e%u\",\"zone\":\"dc-%c\",\"ip\":\"127.0.0.1\","
	    "\"listen\":{\"front\":\"127.0.0.1:%u\",\"ready\":\"127.0.0.1:%u\"}"
	    ","
	    "\"internal_ports\":[%u,%u],"
	    "%s"
	    "\"platform\":{\"address\":\"127.0.0.1:%u\",\"ttl_min_ms\":1000,"
	    "\"value_bytes\":1048576},"
	    "\"bounds\":{\"grace_s\":4,\"hold_max_ms\":6000,\"status_s\":600,"
	    "\"move_s\":1.5,\"maintenance_s\":1.5},"
	    "\"limits\":{\"cpu_share\":0.5,\"link_mbps\":1000,\"max_fds\":1000}"
	    "}",
	    n, 'a' + (int)((n - 1) % 3), base + PORT_FRONT + n,
	    base + PORT_READY + n, base + PORT_INTERNAL + n,
	    base + PORT_INTERNAL + n, cloud, base + PORT_STORE);
	g_autofree char *name = g_strdup_printf("entry%u", n);
	if (!g_file_set_contents(path, text, -1, NULL) ||
	    process_start(soak, &entry->process, name, args, path) != 0)
		soak_violation(soak, name, "%s does not start", name);
}
