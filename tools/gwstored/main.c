#include <err.h>
#include <signal.h>
#include <sysexits.h>

#include "gw/log.h"
#include "gw/setting.h"
#include "server.h"

static gw_addr_t listen_addr;
static const gw_setting_t settings[] = {
    {"listen", GW_SETTING_ADDR, &listen_addr, "127.0.0.1:2379",
	"address of the store, /control and /stats", 0, 0},
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

/*
 * Stand-in for the platform's store, in memory: serves the etcd v3 JSON gateway
 * and the platform's own protocol. POST /control injects faults, GET /stats
 * returns counts of requests and faults.
 */
int
main(int argc, char **argv)
{
	uv_signal_t sigterm, sigint;
	server_t *server;
	gw_err_t error;
	gw_rt_t *rt;

	gw_log_init("gwstored", LOG_INFO);
	if (gw_settings_load(settings, G_N_ELEMENTS(settings), argc, argv,
		"Stand-in for the platform's key-value store", &error) != 0)
		errx(EX_USAGE, "%s", error.text);
	rt = gw_rt_new();
	server = server_new(rt, &listen_addr, NULL, &error);
	if (server == NULL)
		errx(EX_OSERR, "%s %s: %s", error.step, error.peer, error.text);
	watch_signal(rt, &sigterm, SIGTERM);
	watch_signal(rt, &sigint, SIGINT);
	gw_log(GW_EV_START, "program=gwstored");
	gw_rt_run(rt);
	gw_log(GW_EV_EXIT, "revision=%" PRIu64, server->kv->revision);
	server_shutdown(server);
	gw_log_flush();
	return 0;
}
