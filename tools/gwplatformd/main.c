#include <err.h>
#include <signal.h>
#include <sysexits.h>

#include "gw/log.h"
#include "gw/setting.h"
#include "http/httpd.h"
#include "platform.h"

/* Time for open connections to finish after SIGTERM. */
#define SHUTDOWN_GRACE_MS 200

static platform_t platform;
static gw_addr_t listen_addr;
static char *instances_file;
static const gw_setting_t settings[] = {
    {"listen", GW_SETTING_ADDR, &listen_addr, "127.0.0.1:0",
	"address of the HTTP port", 0, 0},
    {"instances", GW_SETTING_TEXT, &instances_file, "",
	"JSON file with an array of instances", 0, 0},
    {"list-lag-ms", GW_SETTING_U32, &platform.list_lag_ms, "0",
	"age of the reported instance list", 0, 600000},
    {"usage-lag-ms", GW_SETTING_U32, &platform.usage_lag_ms, "0",
	"age of the reported usage", 0, 600000},
    {"reboot-ms", GW_SETTING_U32, &platform.reboot_ms, "1000",
	"duration of a reboot", 0, 600000},
};

static gw_timer_t shutdown_timer;
static gw_httpd_t *httpd;

static void
on_shutdown_grace_end(gw_timer_t *timer, void *arg)
{
	(void)timer;
	gw_rt_stop(arg);
}

static void
on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	gw_httpd_shutdown(httpd);
	gw_timer_start(platform.rt, &shutdown_timer,
	    SHUTDOWN_GRACE_MS * GW_US_PER_MS, on_shutdown_grace_end,
	    handle->data);
	uv_close((uv_handle_t *)handle, NULL);
}

static void
load_instances(const char *path)
{
	json_error_t error;
	json_t *array;
	size_t i;
	json_t *item;

	array = json_load_file(path, 0, &error);
	if (!json_is_array(array))
		errx(EX_DATAERR, "%s: line %d: %s", path, error.line,
		    array == NULL ? error.text : "not an array");
	json_array_foreach(array, i, item)
	{
		if (platform_add(&platform, item) != 0)
			errx(EX_DATAERR,
			    "%s: instance %zu: id missing or already used",
			    path, i);
	}
	json_decref(array);
	platform_take_snapshots(&platform);
}

int
main(int argc, char **argv)
{
	gw_httpd_limits_t limits = {1024 * 1024, 60000, 256};
	uv_signal_t term;
	gw_err_t error;
	gw_rt_t *rt;

	if (gw_settings_load(settings, G_N_ELEMENTS(settings), argc, argv,
		"Stand-in for the platform: instances, usage and tasks.",
		&error) != 0)
		errx(EX_USAGE, "%s", error.text);
	gw_log_init("gwplatformd", LOG_INFO);
	rt = gw_rt_new();
	platform_init(&platform, rt);
	if (instances_file[0] != '\0')
		load_instances(instances_file);
	httpd = gw_httpd_new(rt, &limits, platform_on_request, &platform);
	if (gw_httpd_listen(httpd, &listen_addr, NULL, &error) != 0)
		errx(EX_OSERR, "%s: %s", error.peer, error.text);
	(void)uv_signal_init(gw_rt_loop(rt), &term);
	term.data = rt;
	(void)uv_signal_start(&term, on_signal, SIGTERM);
	gw_log(GW_EV_START, "reboot_ms=%u list_lag_ms=%u", platform.reboot_ms,
	    platform.list_lag_ms);
	gw_rt_run(rt);
	platform_clear(&platform);
	gw_log(GW_EV_EXIT, "status=0");
	gw_log_flush();
	return 0;
}
