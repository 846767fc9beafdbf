#include <err.h>
#include <signal.h>
#include <sysexits.h>

#include "gw/log.h"
#include "gw/setting.h"
#include "http/httpd.h"
#include "relay.h"

static gw_addr_t listen_addr, target_addr, control_addr;
static const gw_setting_t settings[] = {
    {"listen", GW_SETTING_ADDR, &listen_addr, NULL,
	"address to accept connections on", 0, 0},
    {"to", GW_SETTING_ADDR, &target_addr, NULL,
	"address to forward the connections to", 0, 0},
    {"control", GW_SETTING_ADDR, &control_addr, NULL,
	"address of POST /silent, /close and /heal", 0, 0},
};

static int
on_control(h2o_req_t *req, void *arg)
{
	static const char *const paths[] = {
	    [RELAY_FORWARDING] = "/heal",
	    [RELAY_SILENT] = "/silent",
	    [RELAY_CLOSED] = "/close",
	};

	for (int mode = RELAY_FORWARDING; mode <= RELAY_CLOSED; mode++) {
		if (!h2o_memis(req->path.base, req->path.len, paths[mode],
			strlen(paths[mode])))
			continue;
		relay_set_mode(arg, (relay_mode_t)mode);
		gw_http_reply(req, 200, "text/plain", "", 0);
		return 0;
	}
	return -1;
}

static void
on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	gw_rt_stop(handle->data);
}

/*
 * Forwards TCP connections, and interrupts them on request, for tests of
 * network partitions.
 */
int
main(int argc, char **argv)
{
	gw_httpd_limits_t limits = {.body_max_bytes = 1024,
	    .idle_timeout_ms = 10000,
	    .connections_max = 16};
	gw_addr_t bound;
	uv_signal_t term;
	gw_err_t error;
	relay_t *relay;
	gw_rt_t *rt;

	if (gw_settings_load(settings, G_N_ELEMENTS(settings), argc, argv,
		"Forwards TCP connections, and interrupts them on request.",
		&error) != 0)
		errx(EX_USAGE, "%s", error.text);
	gw_log_init("gwrelay", LOG_WARNING);
	rt = gw_rt_new();
	relay = relay_new(rt, &listen_addr, &target_addr, &error);
	if (relay == NULL ||
	    gw_httpd_listen(gw_httpd_new(rt, &limits, on_control, relay),
		&control_addr, &bound, &error) != 0)
		errx(EX_OSERR, "%s: %s", error.step, error.text);
	(void)uv_signal_init(gw_rt_loop(rt), &term);
	term.data = rt;
	(void)uv_signal_start(&term, on_signal, SIGTERM);
	gw_rt_run(rt);
	gw_log_flush();
	return 0;
}
