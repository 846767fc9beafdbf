#include <string.h>

#include <glib.h>

#include "dispatch.h"
#include "entry.h"
#include "former.h"
#include "front.h"
#include "gw/log.h"
#include "layout.h"
#include "planner.h"
#include "platform/kv.h"
#include "probe.h"
#include "roles.h"
#include "sched/parts.h"
#include "service.h"
#include "stats.h"
#include "view.h"

/* An answer of the store takes some ms, at times hundreds. */
#define STORE_TIMEOUT_MS 800
/* The balancer asks once a second and needs two misses. */
#define DRAIN_LISTEN_MS 2500
/* Roles are handed over by then, also while something waits for the store. */
#define DRAIN_RELEASE_MS 1250
/* Before the platform kills: the last part of its grace period. */
#define DRAIN_MARGIN_MS 600
#define DRAIN_CHECK_MS 20
/* Open requests are answered so long before the end, for the answers to leave.
 */
#define DRAIN_FINISH_MS 250
/* Between the end of the last request and the exit. */
#define DRAIN_LINGER_MS 300
#define MS_PER_S 1000
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
	stats_t *stats;
	gw_timer_t drain;
	uint64_t drain_release_us;
	uint64_t drain_end_us;
	uint64_t drain_listen_us;
	bool draining;
	bool released;
	bool closed;
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
	former_ask(entry->rt, entry->dispatch, entry->service, role, address);
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

static probe_state_t
read_state(void *arg)
{
	const entry_t *entry = arg;
	const sched_config_t *config = view_config(entry->view);

	return (probe_state_t){.draining = entry->draining,
	    .lease_valid = roles_lease_valid(entry->roles),
	    .has_config = config != NULL,
	    .config_version = config == NULL ? 0 : config->version,
	    .pools = service_pools(entry->service),
	    .connections = front_connections(entry->front)};
}

/* Start. */

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
	store_set_protocol(entry->store, &plat_kv_protocol);
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
	if (entry->front == NULL)
		goto fail;
	entry->view = view_new(rt, entry->store, &view_ops, entry);
	entry->layout = layout_new(rt, entry->store, &layout_ops, entry);
	if (probe_new(rt, settings, entry->stats, read_state, entry, err) ==
	    NULL)
		goto fail;
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
	    now_us >= entry->drain_release_us)
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
	entry->drain_release_us = now_us + DRAIN_RELEASE_MS * GW_US_PER_MS;
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
