#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include <glib.h>

#include "gw/log.h"
#include "gw/setting.h"
#include "service.h"

static service_t service;
static gw_addr_t listen_addr;
static char *fault_text;
static uint32_t connections_max;
static const gw_setting_t settings[] = {
    {"listen", GW_SETTING_ADDR, &listen_addr, "127.0.0.1:0",
	"address for requests", 0, 0},
    {"slots", GW_SETTING_U32, &service.slots, "8",
	"maximum number of requests that run at the same time", 1, 1024},
    {"connections", GW_SETTING_U32, &connections_max, "64",
	"maximum number of connections", 1, 4096},
    {"service-us", GW_SETTING_U32, &service.service_us, "0",
	"service time; the header Godwit-Service-Us overrides it", 0, 60000000},
    {"late-ms", GW_SETTING_U32, &service.late_ms, "1000",
	"delay of the fault 'late'", 0, 600000},
    {"close-after", GW_SETTING_U32, &service.close_after, "0",
	"close the connection of every COUNT-th response; 0: never", 0,
	1000000},
    {"fault", GW_SETTING_TEXT, &fault_text, "none",
	"none, fail, late, twice, reset, reset-before or refuse", 0, 0},
};

static void
on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	gw_rt_stop(handle->data);
}

static void
watch_signal(gw_rt_t *rt, uv_signal_t *handle, int signum)
{
	(void)uv_signal_init(gw_rt_loop(rt), handle);
	handle->data = rt;
	(void)uv_signal_start(handle, on_signal, signum);
}

int
main(int argc, char **argv)
{
	gw_httpd_limits_t limits = {16 * 1024 * 1024, 60000, 64};
	uv_signal_t term, interrupt;
	char text[GW_ADDR_TEXT_BYTES], *counts;
	gw_addr_t bound;
	gw_err_t err;

	if (gw_settings_load(settings, G_N_ELEMENTS(settings), argc, argv,
		"Stand-in for an endpoint instance.", &err) != 0)
		errx(EX_USAGE, "%s", err.text);
	if (!fault_parse(fault_text, &service.fault))
		errx(EX_USAGE, "--fault: unknown fault '%s'", fault_text);
	gw_log_init("gwendpoint", LOG_WARNING);
	service.fault_requests_left = UINT32_MAX;
	service.rt = gw_rt_new();
	runs_init(&service.runs);
	limits.connections_max = connections_max;
	service.httpd =
	    gw_httpd_new(service.rt, &limits, service_handle_request, &service);
	if (gw_httpd_listen(service.httpd, &listen_addr, &bound, &err) != 0)
		errx(EX_OSERR, "listen on %s: %s", err.peer, err.text);
	printf("%s\n", gw_addr_text(&bound, text));
	(void)fflush(stdout);
	watch_signal(service.rt, &term, SIGTERM);
	watch_signal(service.rt, &interrupt, SIGINT);
	gw_rt_run(service.rt);
	counts = runs_json(&service.runs);
	printf("%s\n", counts);
	free(counts);
	gw_log_flush();
	return 0;
}
