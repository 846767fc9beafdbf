#include "admin.h"

#include "gw/log.h"
#include "http/httpd.h"
#include "router.h"

#define BODY_MAX_BYTES 1024
#define IDLE_TIMEOUT_MS 10000
#define CONNECTIONS_MAX 64

struct admin {
	router_t *router;
	gw_httpd_t *httpd;
};

static void
reply_metrics(router_t *router, h2o_req_t *req)
{
	metrics_t *m = &router->metrics;
	GString *text;

	m->requests_in_progress->value = router->requests.length;
	m->connections->value = gw_httpd_connections(router->caller_httpd);
	m->generation->value = router->config.generation;
	m->epoch->value = router->view.epoch;
	m->version->value = router->view.version;
	m->contact->value =
	    member_contact_fresh(&router->contact, gw_rt_now_us(router->rt));
	m->log_dropped->value = gw_log_dropped();
	text = gw_metrics_text(m->set);
	gw_http_reply(
	    req, 200, "text/plain; version=0.0.4", text->str, text->len);
	g_string_free(text, TRUE);
}

static bool
path_is(const h2o_req_t *req, const char *path)
{
	return h2o_memis(req->path_normalized.base, req->path_normalized.len,
	    path, strlen(path));
}

static int
handle(h2o_req_t *req, void *arg)
{
	admin_t *admin = arg;

	if (path_is(req, "/healthz"))
		gw_http_reply(req, 200, "text/plain", "ok\n", 3);
	else if (path_is(req, "/readyz") && router_is_ready(admin->router))
		gw_http_reply(req, 200, "text/plain", "ready\n", 6);
	else if (path_is(req, "/readyz"))
		gw_http_reply(req, 503, "text/plain", "not ready\n", 10);
	else if (path_is(req, "/metrics"))
		reply_metrics(admin->router, req);
	else
		return -1;
	return 0;
}

/*
 * Starts the server. Returns NULL with GW_ERR_SYSTEM when it cannot listen.
 */
admin_t *
admin_new(router_t *router, gw_err_t *err)
{
	gw_httpd_limits_t limits = {
	    BODY_MAX_BYTES, IDLE_TIMEOUT_MS, CONNECTIONS_MAX};
	admin_t *admin;

	admin = g_new0(admin_t, 1);
	admin->router = router;
	admin->httpd = gw_httpd_new(router->rt, &limits, handle, admin);
	if (gw_httpd_listen(
		admin->httpd, &router->settings->admin, NULL, err) == 0)
		return admin;
	g_free(admin);
	return NULL;
}

/*
 * Stops accepting connections and closes each open one after its current
 * request.
 */
void
admin_shutdown(admin_t *admin)
{
	gw_httpd_shutdown(admin->httpd);
}

/*
 * Frees the server after admin_shutdown().
 */
void
admin_free(admin_t *admin)
{
	if (admin == NULL)
		return;
	gw_httpd_free(admin->httpd);
	g_free(admin);
}
