#include <err.h>
#include <signal.h>
#include <sysexits.h>
#include <unistd.h>

#include "entry.h"
#include "gw/log.h"
#include "gw/setting.h"

/* The program's own options; the platform's settings are in a file. */
typedef struct {
	char *settings_path;
	uint32_t log_priority;
} options_t;

static options_t options;

static int
load_options(int argc, char **argv, gw_err_t *err)
{
	const gw_setting_t table[] = {
	    {"platform-settings", GW_SETTING_TEXT, &options.settings_path, "",
		"file with the platform's settings", 0, 0},
	    {"log-priority", GW_SETTING_U32, &options.log_priority, "6",
		"least urgent priority that is logged, as syslog's numbers", 0,
		7},
	};

	return gw_settings_load(table, G_N_ELEMENTS(table), argc, argv,
	    "Runs an entry instance on the platform: accepts callers' jobs and "
	    "runs them on the pools' instances.",
	    err);
}

/*
 * Returns the path of the platform's settings: from the option, else from the
 * platform's environment variable.
 */
static const char *
settings_path(void)
{
	return options.settings_path[0] == '\0' ? plat_settings_path()
						: options.settings_path;
}

static void
on_stop_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	entry_shutdown(handle->data);
}

static void
on_reload_signal(uv_signal_t *handle, int signum)
{
	plat_settings_t settings;
	gw_err_t err;

	(void)signum;
	if (plat_settings_load(&settings, settings_path(), &err) == 0)
		entry_reload(handle->data, &settings);
	else
		gw_log(GW_EV_RELOAD, "err=%s text=\"%s\" kept=yes",
		    gw_errc_name(err.code), err.text);
}

static void
watch_signal(gw_rt_t *rt, entry_t *entry, uv_signal_t *handle, int signum,
    uv_signal_cb cb)
{
	(void)uv_signal_init(gw_rt_loop(rt), handle);
	handle->data = entry;
	(void)uv_signal_start(handle, cb, signum);
}

int
main(int argc, char **argv)
{
	uv_signal_t term, interrupt, hangup;
	plat_settings_t settings;
	entry_t *entry;
	gw_err_t err;
	gw_rt_t *rt;

	if (load_options(argc, argv, &err) != 0)
		errx(EX_USAGE, "%s", err.text);
	if (plat_settings_load(&settings, settings_path(), &err) != 0)
		errx(EX_CONFIG, "%s", err.text);
	(void)signal(SIGPIPE, SIG_IGN);
	gw_log_init("gwentryd", (int)options.log_priority);
	gw_log_set_fd(STDOUT_FILENO);
	rt = gw_rt_new();
	entry = entry_new(rt, &settings, &err);
	if (entry == NULL)
		errx(EX_OSERR, "listen on %s: %s", err.peer, err.text);
	gw_log(GW_EV_START, "node=%s data_centre=%s", settings.node,
	    settings.data_centre);
	watch_signal(rt, entry, &term, SIGTERM, on_stop_signal);
	watch_signal(rt, entry, &interrupt, SIGINT, on_stop_signal);
	watch_signal(rt, entry, &hangup, SIGHUP, on_reload_signal);
	gw_rt_run(rt);
	gw_log(GW_EV_EXIT, "node=%s", settings.node);
	gw_log_flush();
	return 0;
}
