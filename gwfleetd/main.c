#include <err.h>
#include <signal.h>
#include <string.h>
#include <sysexits.h>

#include "daemon.h"
#include "gw/id.h"
#include "gw/log.h"
#include "gw/setting.h"

/*
 * Time-out of a store call. Well below the remaining time of the lease after a
 * renewal, so that a renewal without a reply can be repeated.
 */
#define STORE_TIMEOUT_MS 1500
/* Time after SIGTERM to revoke the lease and send pending replies. */
#define SHUTDOWN_GRACE_MS 300
/* Time after SHUTDOWN_GRACE_MS for the connections to close. */
#define CONNECTION_CLOSE_MS 50

static char *node_id, *data_centre;
static gw_addr_t listen_addr, admin_addr, store_addr, platform_addr;
static GArray *peers;
static bool verbose;

static const gw_setting_t settings[] = {
    {"node-id", GW_SETTING_TEXT, &node_id, NULL,
	"the platform's id of this entry instance", 0, 0},
    {"data-centre", GW_SETTING_TEXT, &data_centre, NULL,
	"name of the data centre", 0, 0},
    {"listen", GW_SETTING_ADDR, &listen_addr, "127.0.0.1:7100",
	"address for routers and other gwfleetd", 0, 0},
    {"admin", GW_SETTING_ADDR, &admin_addr, "127.0.0.1:7101",
	"address of the admin port", 0, 0},
    {"store", GW_SETTING_ADDR, &store_addr, "127.0.0.1:2379",
	"address of the store", 0, 0},
    {"platform", GW_SETTING_ADDR, &platform_addr, "127.0.0.1:7000",
	"address of the platform", 0, 0},
    {"peers", GW_SETTING_ADDRS, &peers, "",
	"addresses of the other gwfleetd of the data centre", 0, 0},
    {"verbose", GW_SETTING_FLAG, &verbose, "false", "log debug lines", 0, 0},
};

static const fleet_policy_t policy = {
    .lending = &plan_lending_adaptive,
    .lending_new = plan_lending_new,
    .lending_free = plan_lending_free,
    .waves = plan_waves,
    .budget_left = plan_budget_left,
};

const fleet_ops_t daemon_ops = {
    .get = port_get,
    .put_if = port_put_if,
    .lease_grant = port_lease_grant,
    .lease_renew = port_lease_renew,
    .lease_revoke = port_lease_revoke,
    .watch = port_watch,
    .unwatch = port_unwatch,
    .list = port_list,
    .reboot = port_reboot,
    .check = port_check,
    .send = port_send,
    .close = port_close,
    .reply = port_reply,
};

static void
on_tick(gw_timer_t *timer, void *arg)
{
	daemon_t *daemon = arg;
	fleet_msg_t msg = {.kind = FLEET_TICK};

	fleet_handle(daemon->fleet, &msg);
	gw_timer_start(
	    daemon->rt, timer, FLEET_TICK_MS * GW_US_PER_MS, on_tick, daemon);
}

static void
on_closed(gw_timer_t *timer, void *arg)
{
	(void)timer;
	gw_rt_stop(((daemon_t *)arg)->rt);
}

static void
on_end(gw_timer_t *timer, void *arg)
{
	daemon_t *daemon = arg;

	gw_timer_stop(&daemon->tick);
	links_shutdown(daemon);
	gw_httpd_shutdown(daemon->admin);
	gw_timer_start(daemon->rt, timer, CONNECTION_CLOSE_MS * GW_US_PER_MS,
	    on_closed, daemon);
}

/*
 * Begins the graceful shutdown: reports not ready, revokes the lease, then
 * exits.
 */
static void
on_signal(uv_signal_t *handle, int signum)
{
	daemon_t *daemon = handle->data;
	fleet_msg_t msg = {.kind = FLEET_SHUTDOWN};

	(void)signum;
	if (daemon->stopping)
		return;
	daemon->stopping = true;
	gw_log(GW_EV_SHUTDOWN, "node=%s", node_id);
	fleet_handle(daemon->fleet, &msg);
	gw_timer_start(daemon->rt, &daemon->end,
	    SHUTDOWN_GRACE_MS * GW_US_PER_MS, on_end, daemon);
}

static void
start_fleet(daemon_t *daemon)
{
	fleet_config_t config = {.policy = &policy};

	g_strlcpy(config.node_id, node_id, sizeof(config.node_id));
	g_strlcpy(config.data_centre, data_centre, sizeof(config.data_centre));
	/* 63 bits, because JSON integers are signed. */
	config.boot_id = gw_id_random_u64() >> 1;
	daemon->fleet = fleet_new(&config, &daemon_ops, daemon,
	    gw_rt_clock(daemon->rt), daemon->metrics);
	port_job_attach(daemon);
}

static int
start(daemon_t *daemon, gw_err_t *error)
{
	gw_httpd_limits_t limits = {1024 * 1024, 60000, 256};

	daemon->rt = gw_rt_new();
	daemon->metrics = gw_metrics_new();
	daemon->store = store_new(daemon->rt, &store_addr, STORE_TIMEOUT_MS);
	daemon->platform = gw_httpc_new(daemon->rt, &platform_addr);
	daemon->check_clients =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	daemon->links = g_ptr_array_new_with_free_func(g_free);
	daemon->dialers = g_ptr_array_new_with_free_func(g_free);
	start_fleet(daemon);
	if (links_listen(daemon, &listen_addr, error) != 0)
		return -1;
	daemon->admin =
	    gw_httpd_new(daemon->rt, &limits, admin_on_request, daemon);
	if (gw_httpd_listen(daemon->admin, &admin_addr, NULL, error) != 0)
		return -1;
	for (guint i = 0; i < peers->len; i++)
		links_dial(daemon, &g_array_index(peers, gw_addr_t, i));
	on_tick(&daemon->tick, daemon);
	return 0;
}

int
main(int argc, char **argv)
{
	static daemon_t daemon;
	static uv_signal_t term;
	gw_err_t error;

	if (gw_settings_load(settings, G_N_ELEMENTS(settings), argc, argv,
		"Fleet daemon: the data centre's view and its planner.",
		&error) != 0)
		errx(EX_USAGE, "%s", error.text);
	gw_log_init("gwfleetd", verbose ? LOG_DEBUG : LOG_INFO);
	if (start(&daemon, &error) != 0)
		errx(EX_OSERR, "%s %s: %s", error.step, error.peer, error.text);
	(void)uv_signal_init(gw_rt_loop(daemon.rt), &term);
	term.data = &daemon;
	(void)uv_signal_start(&term, on_signal, SIGTERM);
	gw_log(GW_EV_START, "node=%s data_centre=%s peers=%u", node_id,
	    data_centre, peers->len);
	gw_rt_run(daemon.rt);
	gw_log(GW_EV_EXIT, "status=0");
	gw_log_flush();
	return 0;
}
