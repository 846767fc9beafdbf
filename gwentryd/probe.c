#include <glib.h>

#include "gw/log.h"
#include "http/httpd.h"
#include "probe.h"

/* Requests have no body; a balancer and a few readers of metrics connect. */
#define BODY_MAX_BYTES 1024
#define IDLE_MS 30000
#define CONNECTIONS_MAX 64

struct probe {
	gw_httpd_t *ready;
	gw_httpd_t *metrics; /* NULL without a port of its own */
	stats_t *stats;
	probe_read_t read;
	void *arg;
	bool was_ready;
};

static void
reply_metrics(probe_t *probe, h2o_req_t *req)
{
	probe_state_t state = probe->read(probe->arg);
	GString *text;

	stats_gauges(probe->stats, state.pools, state.connections,
	    state.config_version, state.lease_valid);
	text = stats_text(probe->stats);
	gw_http_reply(
	    req, 200, "text/plain; version=0.0.4", text->str, text->len);
	g_string_free(text, TRUE);
}

/*
 * Tells the balancer whether to send callers here: the process knows the queues
 * and reaches the store.
 */
static void
reply_ready(probe_t *probe, h2o_req_t *req)
{
	probe_state_t state = probe->read(probe->arg);
	bool ready = !state.draining && state.has_config && state.lease_valid;

	if (ready != probe->was_ready)
		gw_log(GW_EV_READY, "ready=%d draining=%d config=%d lease=%d",
		    ready, state.draining, state.has_config, state.lease_valid);
	probe->was_ready = ready;
	gw_http_reply(req, ready ? 200 : 503, "text/plain",
	    ready ? "ready\n" : "not ready\n", ready ? 6 : 10);
}

static int
on_request(h2o_req_t *req, void *arg)
{
	if (h2o_memis(req->path_normalized.base, req->path_normalized.len,
		H2O_STRLIT("/metrics")))
		reply_metrics(arg, req);
	else
		reply_ready(arg, req);
	return 0;
}

static gw_httpd_t *
serve(probe_t *probe, gw_rt_t *rt, const gw_addr_t *addr, gw_err_t *err)
{
	const gw_httpd_limits_t limits = {
	    BODY_MAX_BYTES, IDLE_MS, CONNECTIONS_MAX};
	gw_httpd_t *httpd = gw_httpd_new(rt, &limits, on_request, probe);

	if (gw_httpd_listen(httpd, addr, NULL, err) == 0)
		return httpd;
	gw_httpd_free(httpd);
	return NULL;
}

/*
 * Listens where the balancer asks, and at the last of the system's own ports,
 * which the deploy file names for the metrics.
 */
probe_t *
probe_new(gw_rt_t *rt, const plat_settings_t *settings, stats_t *stats,
    probe_read_t read, void *arg, gw_err_t *err)
{
	bool has_port = settings->port_last != settings->port_first;
	probe_t *probe = g_new0(probe_t, 1);
	gw_addr_t addr;

	probe->stats = stats;
	probe->read = read;
	probe->arg = arg;
	probe->ready = serve(probe, rt, &settings->ready, err);
	if (probe->ready != NULL && has_port &&
	    gw_addr_make(&addr, settings->ip, settings->port_last, err) == 0)
		probe->metrics = serve(probe, rt, &addr, err);
	if (probe->ready != NULL && (!has_port || probe->metrics != NULL))
		return probe;
	/* The process ends with the error. */
	g_free(probe);
	return NULL;
}
