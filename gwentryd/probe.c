#include <glib.h>

#include "gw/log.h"
#include "http/httpd.h"
#include "probe.h"

/* Only the load balancer and a few scrapers connect; requests have no body. */
#define BODY_MAX_BYTES 1024
#define HEADER_MAX_BYTES 8192
#define HEADER_TIMEOUT_MS 5000
#define IDLE_TIMEOUT_MS 30000
#define CONNECTIONS_MAX 64
/* Fewer where descriptors are few. */
#define CONNECTIONS_MIN 16
#define DESCRIPTORS_DIVISOR 32
/* For all connections; more than the answers to a few scrapers. */
#define HELD_MAX_BYTES (1024 * 1024)

struct probe {
	gw_httpd_t *ready;
	gw_httpd_t *metrics; /* NULL: no port of its own, served at ready */
	stats_t *stats;
	const inspect_t *inspect;
	probe_read_t read_state;
	void *arg;
	bool last_ready;
};

static void
reply_metrics(probe_t *probe, h2o_req_t *req)
{
	probe_state_t state = probe->read_state(probe->arg);
	GString *text;

	stats_set_gauges(probe->stats,
	    &(stats_gauges_t){.shards_owned = state.shards_owned,
		.waits = state.waits,
		.connections = state.connections,
		.callers = state.callers,
		.config_version = state.config_version,
		.config_age_ms = state.config_age_ms,
		.lease_valid = state.lease_valid});
	text = stats_text(probe->stats);
	inspect_append_metrics(probe->inspect, text);
	gw_http_reply(
	    req, 200, "text/plain; version=0.0.4", text->str, text->len);
	g_string_free(text, TRUE);
}

/*
 * Replies to the load balancer's check: 200 while the process has a
 * configuration and a valid lease at the store and is not shutting down, else
 * 503.
 */
static void
reply_ready(probe_t *probe, h2o_req_t *req)
{
	probe_state_t state = probe->read_state(probe->arg);
	bool ready = !state.draining && state.has_config && state.lease_valid;

	if (ready != probe->last_ready)
		gw_log(GW_EV_READY, "ready=%d draining=%d config=%d lease=%d",
		    ready, state.draining, state.has_config, state.lease_valid);
	probe->last_ready = ready;
	gw_http_reply(req, ready ? 200 : 503, "text/plain",
	    ready ? "ready\n" : "not ready\n", ready ? 6 : 10);
}

static int
on_ready_request(h2o_req_t *req, void *arg)
{
	if (h2o_memis(req->path_normalized.base, req->path_normalized.len,
		H2O_STRLIT("/metrics")))
		reply_metrics(arg, req);
	else
		reply_ready(arg, req);
	return 0;
}

/*
 * Handles a request at the address of the metrics, which callers do not reach.
 */
static int
on_metrics_request(h2o_req_t *req, void *arg)
{
	const probe_t *probe = arg;

	return inspect_reply(probe->inspect, req) ? 0
						  : on_ready_request(req, arg);
}

static gw_httpd_t *
listen_on(probe_t *probe, gw_rt_t *rt, const gw_addr_t *addr,
    gw_http_handler_t on_request, uint32_t descriptors, gw_err_t *err)
{
	const gw_httpd_limits_t limits = {
	    BODY_MAX_BYTES, IDLE_TIMEOUT_MS, CONNECTIONS_MAX};
	const gw_httpd_guard_t guard = {.body_max_bytes = BODY_MAX_BYTES,
	    .header_max_bytes = HEADER_MAX_BYTES,
	    .budget = {.held_max_bytes = HELD_MAX_BYTES,
		.connections_max = CLAMP(descriptors / DESCRIPTORS_DIVISOR,
		    CONNECTIONS_MIN, CONNECTIONS_MAX),
		.header_timeout_ms = HEADER_TIMEOUT_MS,
		.idle_timeout_ms = IDLE_TIMEOUT_MS}};
	gw_httpd_t *httpd = gw_httpd_new(rt, &limits, on_request, probe);

	gw_httpd_guard(httpd, &guard);
	if (gw_httpd_listen(httpd, addr, NULL, err) == 0)
		return httpd;
	gw_httpd_free(httpd);
	return NULL;
}

static bool
has_metrics_port(const plat_settings_t *settings)
{
	return settings->port_last != settings->port_first;
}

/*
 * The metrics are served at the last internal port, where the deploy file
 * expects them; if there is only one, at the address of the readiness check.
 */
int
probe_metrics_addr(
    const plat_settings_t *settings, gw_addr_t *addr, gw_err_t *err)
{
	if (has_metrics_port(settings))
		return gw_addr_make(
		    addr, settings->ip, settings->port_last, err);
	*addr = settings->ready;
	return 0;
}

/*
 * Listens at the address of the readiness check and at that of the metrics.
 */
probe_t *
probe_new(gw_rt_t *rt, const plat_settings_t *settings, stats_t *stats,
    const inspect_t *inspect, probe_read_t read_state, void *arg, gw_err_t *err)
{
	bool has_port = has_metrics_port(settings);
	probe_t *probe = g_new0(probe_t, 1);
	gw_addr_t addr;

	probe->stats = stats;
	probe->inspect = inspect;
	probe->read_state = read_state;
	probe->arg = arg;
	probe->ready = listen_on(probe, rt, &settings->ready,
	    has_port ? on_ready_request : on_metrics_request,
	    settings->descriptors_max, err);
	if (probe->ready != NULL && has_port &&
	    probe_metrics_addr(settings, &addr, err) == 0)
		probe->metrics = listen_on(probe, rt, &addr, on_metrics_request,
		    settings->descriptors_max, err);
	if (probe->ready != NULL && (!has_port || probe->metrics != NULL))
		return probe;
	/* main() exits, which closes the sockets opened so far. */
	g_free(probe);
	return NULL;
}
