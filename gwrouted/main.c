#include <err.h>
#include <signal.h>
#include <sysexits.h>

#include "drain.h"
#include "gw/log.h"
#include "router.h"
#include "settings.h"

static settings_t settings;
static drain_t drain;

static void
on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	drain_begin(&drain, handle->data);
}

static void
watch_signal(router_t *router, uv_signal_t *handle, int signum)
{
	(void)uv_signal_init(gw_rt_loop(router->rt), handle);
	handle->data = router;
	(void)uv_signal_start(handle, on_signal, signum);
}

int
main(int argc, char **argv)
{
	uv_signal_t term, interrupt;
	router_t *router;
	gw_err_t err;
	gw_rt_t *rt;

	if (settings_load(&settings, argc, argv, &err) != 0)
		errx(EX_USAGE, "%s", err.text);
	(void)signal(SIGPIPE, SIG_IGN);
	gw_log_init("gwrouted", LOG_INFO);
	rt = gw_rt_new();
	router = router_new(rt, &settings);
	if (router_listen(router, &err) != 0)
		errx(EX_OSERR, "listen on %s: %s", err.peer, err.text);
	gw_log(GW_EV_START, "node=%s data_centre=%s queue=%s choice=%s",
	    settings.node_id, settings.data_centre, settings.queue_text,
	    settings.choice_text);
	watch_signal(router, &term, SIGTERM);
	watch_signal(router, &interrupt, SIGINT);
	gw_rt_run(rt);
	gw_log(GW_EV_EXIT, "drained=%s",
	    router->requests.length == 0 ? "yes" : "no");
	gw_log_flush();
	return 0;
}
