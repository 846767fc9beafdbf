#include <string.h>

#include <glib.h>

#include "dispatch.h"
#include "entry.h"
#include "front.h"
#include "gw/log.h"
#include "http/httpd.h"
#include "layout.h"
#include "planner.h"
#include "platform/kv.h"
#include "roles.h"
#include "sched/parts.h"
#include "service.h"
#include "stats.h"
#include "view.h"

/* An answer of the store takes some ms, at times hundreds. */
#define STORE_TIMEOUT_MS 800
#define READY_BODY_MAX_BYTES 1024
#define READY_IDLE_MS 30000
#define READY_CONNECTIONS_MAX 64
/* The balancer asks once a second and needs two misses. */
#define DRAIN_LISTEN_MS 2500
/* Before the platform kills: the last part of its grace period. */
#define DRAIN_MARGIN_MS 600
#define DRAIN_CHECK_MS 20
/* Open requests are answered so long before the end, for the answers to leave.
 */
#define DRAIN_FINISH_MS 250
/* Between the end of the last request and the exit. */
#define DRAIN_LINGER_MS 300
#define MS_PER_S 1000
/* A former owner is asked while its answer could still shorten the wait. */
#define FORMER_TIMEOUT_MS 400
#define FORMER_RETRY_MS 200
#define FORMER_TRIES_MAX 8

struct entry {
	gw_rt_t *rt;
	plat_settings_t settings;
	char peer_address[GW_ADDR_TEXT_BYTES];
	store_t *store;
	roles_t *roles;
	view_t *view;
	service_t *service;
	planner_t *planner; /* NULL unless this process plans */
	dispatch_t *dispatch;
	front_t *front;
	layout_t *layout;
	gw_httpd_t *ready;
	gw_httpd_t *metrics; /* NULL without a port of its own */
	stats_t *stats;
	gw_timer_t drain;
	uint64_t drain_end_us;
	uint64_t drain_listen_us;
	bool draining;
	bool released;
	bool closed;
	bool was_ready;
};

/* From the roles. */

static void
replay_instance(const sched_info_t *info, void *arg)
{
	service_set_instance(arg, info);
}

static void on_deposed(const char *, const char *, void *);

static const planner_ops_t planner_ops = {.on_deposed = on_deposed};

static void
plan_instance(const sched_info_t *info, void *arg)
{
	planner_instance_up(arg, info);
}

static void
plan_wave(const plat_wave_t *wave, void *arg)
{
	planner_set_wave(arg, wave);
}

static void
start_planner(entry_t *entry, uint64_t fence)
{
	entry->planner = planner_new(entry->rt, entry->store, entry->dispatch,
	    &entry->settings, fence, layout_parts(entry->layout), &planner_ops,
	    entry);
	if (view_config(entry->view) != NULL)
		planner_set_config(entry->planner, view_config(entry->view));
	view_replay(entry->view, plan_instance, entry->planner);
	view_replay_waves(entry->view, plan_wave, entry->planner);
}

/* A question to the former owner of a pool. */
typedef struct {
	entry_t *entry;
	char pool[SCHED_NAME_BYTES];
	char address[SCHED_NAME_BYTES];
	uint32_t tries;
	gw_timer_t timer;
} former_t;

static void ask_former(former_t *);

static void
on_ask_former(gw_timer_t *timer, void *arg)
{
	(void)timer;
	ask_former(arg);
}

/*
 * A process that says that it does not own the pool has given it up, or has
 * been started again; one that does not answer is asked again.
 */
static void
on_former(const Gw__Reply *reply, void *arg)
{
	former_t *former = arg;
	owner_t *owner = service_owner(former->entry->service, former->pool);

	if (owner != NULL && reply->outcome == GW__CALL_OUTCOME__CALL_ABSENT)
		sched_pool_former_gone(
		    owner_pool(owner), reply->leases, reply->n_leases);
	if (owner == NULL || reply->outcome == GW__CALL_OUTCOME__CALL_ABSENT ||
	    ++former->tries >= FORMER_TRIES_MAX) {
		g_free(former);
		return;
	}
	gw_timer_start(former->entry->rt, &former->timer,
	    FORMER_RETRY_MS * GW_US_PER_MS, on_ask_former, former);
}

static void
ask_former(former_t *former)
{
	dispatch_ask_former(former->entry->dispatch, former->address,
	    former->pool, FORMER_TIMEOUT_MS, on_former, former);
}

static void
stop_planner(entry_t *entry)
{
	planner_free(entry->planner);
	entry->planner = NULL;
}

static void
on_gain(const char *role, uint64_t fence, const char *address, void *arg)
{
	entry_t *entry = arg;
	former_t *former;

	view_want_instances(entry->view);
	if (strcmp(role, PLANNER_ROLE) == 0) {
		start_planner(entry, fence);
		return;
	}
	service_add(entry->service, role, fence);
	view_replay(entry->view, replay_instance, entry->service);
	if (address == NULL)
		return;
	if (strcmp(address, entry->peer_address) == 0) {
		/* It was an earlier life of this process. */
		sched_pool_former_gone(
		    owner_pool(service_owner(entry->service, role)), NULL, 0);
		return;
	}
	former = g_new0(former_t, 1);
	former->entry = entry;
	g_strlcpy(former->pool, role, sizeof(former->pool));
	g_strlcpy(former->address, address, sizeof(former->address));
	ask_former(former);
}

static void
on_lose(const char *role, const char *reason, void *arg)
{
	entry_t *entry = arg;

	(void)reason;
	if (strcmp(role, PLANNER_ROLE) == 0)
		stop_planner(entry);
	else
		service_remove(entry->service, role);
}

static const roles_ops_t roles_ops = {.on_gain = on_gain, .on_lose = on_lose};

static void
on_deposed(const char *pool, const char *reason, void *arg)
{
	entry_t *entry = arg;

	roles_give_up(entry->roles, pool, reason);
}

static uint64_t
lease_until_us(void *arg)
{
	entry_t *entry = arg;

	return roles_lease_until_us(entry->roles);
}

static const owner_ops_t owner_ops = {
    .on_deposed = on_deposed, .lease_until_us = lease_until_us};

/* From the view. */

/*
 * Lets this process claim the parts of all pools, and the planner's role.
 */
static void
want_roles(entry_t *entry)
{
	const sched_config_t *config = view_config(entry->view);
	uint32_t parts = layout_parts(entry->layout);
	char name[SCHED_NAME_BYTES];

	if (config == NULL || parts == 0)
		return;
	if (entry->settings.has_machines)
		roles_want(entry->roles, PLANNER_ROLE);
	for (guint i = 0; i < config->pools->len; i++) {
		const sched_pool_config_t *pool =
		    &g_array_index(config->pools, sched_pool_config_t, i);

		for (uint32_t part = 0; part < parts; part++) {
			parts_name(pool->name, part, parts, name);
			roles_want(entry->roles, name);
		}
	}
}

static uint32_t
largest_pool(void *arg)
{
	entry_t *entry = arg;

	view_want_instances(entry->view);
	return view_largest_pool(entry->view);
}

static void
on_layout(uint32_t parts, void *arg)
{
	entry_t *entry = arg;

	service_set_parts(entry->service, parts);
	front_set_parts(entry->front, parts);
	want_roles(entry);
}

static const layout_ops_t layout_ops = {
    .largest_pool = largest_pool, .on_known = on_layout};

static void
on_config(const sched_config_t *config, void *arg)
{
	entry_t *entry = arg;

	front_set_config(entry->front, config);
	if (entry->planner != NULL)
		planner_set_config(entry->planner, config);
	want_roles(entry);
}

static void
on_instance(const sched_info_t *info, void *arg)
{
	entry_t *entry = arg;

	service_set_instance(entry->service, info);
	if (entry->planner != NULL)
		planner_instance_up(entry->planner, info);
}

static void
on_instance_gone(const char *id, void *arg)
{
	entry_t *entry = arg;

	service_remove_instance(entry->service, id);
	if (entry->planner != NULL)
		planner_instance_gone(entry->planner, id);
}

static void
on_wave(const plat_wave_t *wave, void *arg)
{
	entry_t *entry = arg;

	if (entry->planner != NULL)
		planner_set_wave(entry->planner, wave);
}

static const view_ops_t view_ops = {.on_config = on_config,
    .on_instance = on_instance,
    .on_instance_gone = on_instance_gone,
    .on_wave = on_wave};

/* From callers and other processes. */

static void
on_call(const Gw__Call *call, dispatch_reply_t cb, void *reply_arg, void *arg)
{
	entry_t *entry = arg;

	service_call(entry->service, call, roles_lease_valid(entry->roles), cb,
	    reply_arg);
}

/*
 * Tells whether the balancer should send callers here: the process knows the
 * queues and reaches the store.
 */
static bool
is_ready(const entry_t *entry)
{
	return !entry->draining && view_config(entry->view) != NULL &&
	    roles_lease_valid(entry->roles);
}

static void
reply_metrics(entry_t *entry, h2o_req_t *req)
{
	const sched_config_t *config = view_config(entry->view);
	GString *text;

	stats_gauges(entry->stats, service_pools(entry->service),
	    front_connections(entry->front),
	    config == NULL ? 0 : config->version,
	    roles_lease_valid(entry->roles));
	text = stats_text(entry->stats);
	gw_http_reply(
	    req, 200, "text/plain; version=0.0.4", text->str, text->len);
	g_string_free(text, TRUE);
}

static int
on_ready_request(h2o_req_t *req, void *arg)
{
	entry_t *entry = arg;
	bool ready = is_ready(entry);

	if (h2o_memis(req->path_normalized.base, req->path_normalized.len,
		H2O_STRLIT("/metrics"))) {
		reply_metrics(entry, req);
		return 0;
	}
	if (ready != entry->was_ready)
		gw_log(GW_EV_READY, "ready=%d draining=%d config=%d lease=%d",
		    ready, entry->draining, view_config(entry->view) != NULL,
		    roles_lease_valid(entry->roles));
	entry->was_ready = ready;
	gw_http_reply(req, ready ? 200 : 503, "text/plain",
	    ready ? "ready\n" : "not ready\n", ready ? 6 : 10);
	return 0;
}

/* Start. */

static int
listen_ready(entry_t *entry, gw_err_t *err)
{
	const gw_httpd_limits_t limits = {
	    READY_BODY_MAX_BYTES, READY_IDLE_MS, READY_CONNECTIONS_MAX};

	entry->ready =
	    gw_httpd_new(entry->rt, &limits, on_ready_request, entry);
	return gw_httpd_listen(entry->ready, &entry->settings.ready, NULL, err);
}

/*
 * Serves the metrics at the last of the system's own ports too, which the
 * deploy file names.
 */
static int
listen_metrics(entry_t *entry, gw_err_t *err)
{
	const plat_settings_t *settings = &entry->settings;
	const gw_httpd_limits_t limits = {
	    READY_BODY_MAX_BYTES, READY_IDLE_MS, READY_CONNECTIONS_MAX};
	gw_addr_t addr;

	if (settings->port_last == settings->port_first)
		return 0;
	if (gw_addr_make(&addr, settings->ip, settings->port_last, err) != 0)
		return -1;
	entry->metrics =
	    gw_httpd_new(entry->rt, &limits, on_ready_request, entry);
	return gw_httpd_listen(entry->metrics, &addr, NULL, err);
}

/*
 * Starts the tasks. Returns NULL with the error when a socket cannot be had.
 */
entry_t *
entry_new(gw_rt_t *rt, const plat_settings_t *settings, gw_err_t *err)
{
	entry_t *entry = g_new0(entry_t, 1);
	gw_addr_t peer;

	entry->rt = rt;
	entry->settings = *settings;
	if (gw_addr_make(&peer, settings->ip, settings->port_first, err) != 0)
		goto fail;
	entry->stats = stats_new();
	entry->store = store_new(rt, &settings->store, STORE_TIMEOUT_MS);
	store_set_form(entry->store, &plat_kv_form);
	entry->service = service_new(rt, entry->store, settings->data_centre,
	    &settings->bounds, &owner_ops, entry);
	entry->roles = roles_new(rt, entry->store, settings->node,
	    gw_addr_text(&peer, entry->peer_address), settings->cpu_permille,
	    &roles_ops, entry);
	entry->dispatch =
	    dispatch_new(rt, entry->roles, &peer, on_call, entry, err);
	if (entry->dispatch == NULL)
		goto fail;
	entry->front = front_new(
	    rt, entry->dispatch, entry->stats, &settings->callers, err);
	if (entry->front == NULL || listen_ready(entry, err) != 0 ||
	    listen_metrics(entry, err) != 0)
		goto fail;
	entry->view = view_new(rt, entry->store, &view_ops, entry);
	entry->layout = layout_new(rt, entry->store, &layout_ops, entry);
	return entry;
fail:
	/* The process ends with the error; its sockets go with it. */
	g_free(entry);
	return NULL;
}

/* Shutdown. */

static void
release(entry_t *entry)
{
	if (entry->released)
		return;
	entry->released = true;
	roles_release(entry->roles);
}

static void
on_drain(gw_timer_t *timer, void *arg)
{
	entry_t *entry = arg;
	uint64_t now_us = gw_rt_now_us(entry->rt);

	if (service_is_quiet(entry->service) ||
	    now_us + DRAIN_LISTEN_MS * GW_US_PER_MS / 2 >
		entry->drain_listen_us)
		release(entry);
	if (now_us >= entry->drain_listen_us && !entry->closed) {
		entry->closed = true;
		front_shutdown(entry->front);
	}
	if (now_us + DRAIN_FINISH_MS * GW_US_PER_MS >= entry->drain_end_us)
		front_finish(entry->front);
	if (now_us >= entry->drain_end_us ||
	    (entry->closed && front_requests(entry->front) == 0 &&
		now_us >=
		    entry->drain_listen_us + DRAIN_LINGER_MS * GW_US_PER_MS)) {
		release(entry);
		gw_rt_stop(entry->rt);
		return;
	}
	gw_timer_start(
	    entry->rt, timer, DRAIN_CHECK_MS * GW_US_PER_MS, on_drain, entry);
}

/*
 * Begins the graceful shutdown: the balancer is told, the roles are handed over
 * once nothing waits for the store, and callers on open connections are served
 * until the last part of the platform's grace period.
 */
void
entry_shutdown(entry_t *entry)
{
	uint64_t now_us = gw_rt_now_us(entry->rt);

	if (entry->draining)
		return;
	entry->draining = true;
	gw_log(GW_EV_SHUTDOWN, "requests=%u pools=%u",
	    front_requests(entry->front), service_pools(entry->service));
	service_close(entry->service);
	entry->drain_listen_us = now_us + DRAIN_LISTEN_MS * GW_US_PER_MS;
	entry->drain_end_us = now_us +
	    (entry->settings.stop_grace_s * MS_PER_S - DRAIN_MARGIN_MS) *
		GW_US_PER_MS;
	on_drain(&entry->drain, entry);
}

/*
 * Takes settings that were read again. Addresses hold until the next start.
 */
void
entry_reload(entry_t *entry, const plat_settings_t *settings)
{
	gw_log(GW_EV_RELOAD, "node=%s stop_grace_s=%u", settings->node,
	    settings->stop_grace_s);
	entry->settings.stop_grace_s = settings->stop_grace_s;
	entry->settings.bounds = settings->bounds;
}
