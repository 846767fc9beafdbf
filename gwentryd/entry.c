#include <string.h>

#include <glib.h>

#include "dispatch.h"
#include "entry.h"
#include "front.h"
#include "gw/log.h"
#include "homes.h"
#include "http/drain.h"
#include "inspect.h"
#include "layout.h"
#include "owners.h"
#include "part.h"
#include "planner.h"
#include "platform/kv.h"
#include "previous_owner.h"
#include "probe.h"
#include "roles.h"
#include "sched/shard.h"
#include "stats.h"
#include "transfer.h"
#include "view.h"

/* The store usually responds within a few ms, but at times after hundreds. */
#define STORE_TIMEOUT_MS 800
/*
 * New connections are accepted for this long after a shutdown begins, since the
 * load balancer polls /ready once a second and stops sending after two
 * failures.
 */
#define DRAIN_LISTEN_MS 2500
/* Roles are released after this time even if writes are pending. */
#define DRAIN_RELEASE_MS 1250
/* The process exits this long before the platform's grace period ends. */
#define DRAIN_MARGIN_MS 600
#define DRAIN_CHECK_MS 20
/*
 * Open requests are replied to this long before the exit, so that the responses
 * reach the callers.
 */
#define DRAIN_REPLY_ALL_MS 250
#define MS_PER_S 1000
/* The owner that asks repeats the call after this time. */
#define YIELD_TIMEOUT_MS 200

struct entry {
	gw_rt_t *rt;
	plat_settings_t settings;
	char peer_address[GW_ADDR_TEXT_BYTES]; /* for other entry processes */
	store_t *store;
	roles_t *roles;
	view_t *view;
	owners_t *owners;
	planner_t *planner; /* NULL unless this process has the planner role */
	dispatch_t *dispatch;
	front_t *front;
	homes_t *homes;
	layout_t *layout;
	transfer_t transfer;
	inspect_t inspect;
	stats_t *stats;
	gw_timer_t drain_timer;
	gw_drain_plan_t drain_plan;
	uint64_t drain_begun_us;
	bool draining;
	bool roles_released;
	bool listener_closed;
};

/* Callbacks of roles, owners and the planner. */

static void
replay_instance(const sched_instance_info_t *info, void *arg)
{
	owners_set_instance(arg, info);
}

static void on_ownership_lost(const char *, const char *, void *);

static const planner_ops_t planner_ops = {
    .on_ownership_lost = on_ownership_lost};

static void
replay_planner_instance(const sched_instance_info_t *info, void *arg)
{
	planner_instance_up(arg, info);
}

static void
replay_planner_wave(const plat_wave_t *wave, void *arg)
{
	planner_add_wave(arg, wave);
}

static void
start_planner(entry_t *entry, uint64_t fence)
{
	entry->planner = planner_new(entry->rt, entry->store, entry->dispatch,
	    &entry->settings, fence, layout_shard_count(entry->layout),
	    &planner_ops, entry);
	if (view_config(entry->view) != NULL)
		planner_set_config(entry->planner, view_config(entry->view));
	view_replay_instances(
	    entry->view, replay_planner_instance, entry->planner);
	view_replay_waves(entry->view, replay_planner_wave, entry->planner);
}

static void
stop_planner(entry_t *entry)
{
	planner_free(entry->planner);
	entry->planner = NULL;
}

/*
 * Asks the earlier owners of a shard what they know of its runs.
 */
static void
query_previous_owners(entry_t *entry, const roles_gain_t *gain)
{
	sched_pool_t *pool = owner_pool(owners_find(entry->owners, gain->role));

	for (guint i = 0; i < gain->previous_owners->len; i++) {
		const char *address = gain->previous_owners->pdata[i];

		if (strcmp(address, entry->peer_address) != 0)
			previous_owner_query(entry->rt, entry->dispatch,
			    entry->owners, gain->role, address, i == 0);
		else if (i == 0)
			/* An earlier process here, which has ended. */
			sched_pool_previous_owner_gone(pool, NULL, 0);
	}
}

static void
on_gain(const roles_gain_t *gain, void *arg)
{
	entry_t *entry = arg;

	view_follow_instances(entry->view);
	if (strcmp(gain->role, PLANNER_ROLE) == 0) {
		start_planner(entry, gain->fence);
		return;
	}
	owners_add(entry->owners, gain->role, gain->fence, &gain->vacancy);
	view_replay_instances(entry->view, replay_instance, entry->owners);
	query_previous_owners(entry, gain);
}

static void
on_lose(const char *role, const char *reason, void *arg)
{
	entry_t *entry = arg;

	(void)reason;
	if (strcmp(role, PLANNER_ROLE) == 0)
		stop_planner(entry);
	else
		owners_remove(entry->owners, role);
}

static const roles_ops_t roles_ops = {.on_gain = on_gain, .on_lose = on_lose};

static void
on_ownership_lost(const char *role, const char *reason, void *arg)
{
	entry_t *entry = arg;

	roles_mark_lost(entry->roles, role, reason);
}

static uint64_t
lease_until_us(void *arg)
{
	entry_t *entry = arg;

	return roles_lease_valid_until_us(entry->roles);
}

static uint64_t
lapsing_seen_us(const char *key, uint64_t revision, void *arg)
{
	entry_t *entry = arg;

	return roles_lapsing_seen_us(entry->roles, key, revision);
}

static uint64_t
config_revision(void *arg)
{
	return view_config_revision(((entry_t *)arg)->view);
}

static void
on_config_item(const store_item_t *item, void *arg)
{
	view_take_config(((entry_t *)arg)->view, item);
}

static const char *
get_refusal(const char *shard, const sched_submitter_t *submitter, void *arg)
{
	return owners_refusal(((entry_t *)arg)->owners, shard, submitter);
}

static bool
on_find_shard(const char *shard, const sched_seeker_t *misfit,
    char to[SCHED_NAME_BYTES], void *arg)
{
	return transfer_find_shard(
	    &((entry_t *)arg)->transfer, shard, misfit, to);
}

static void
on_ask_room(
    const char *shard, const sched_seeker_t *job, const char *to, void *arg)
{
	transfer_ask_room(&((entry_t *)arg)->transfer, shard, job, to);
}

static void
on_tell_adopt(const char *shard, const char *to, const char *id, void *arg)
{
	transfer_tell_adopt(&((entry_t *)arg)->transfer, shard, to, id);
}

static void
on_find_records(const char *shard, const char *id, void *arg)
{
	transfer_find_records(&((entry_t *)arg)->transfer, shard, id);
}

static void
on_tell_part(const char *shard, const sched_part_call_t *call, void *arg)
{
	part_tell(&((entry_t *)arg)->transfer, shard, call);
}

static void
on_yielded(const Gw__Reply *response, void *arg)
{
	(void)response;
	(void)arg;
}

/*
 * Asks the owner of a shard to give back a team's quota. A lost call needs no
 * repeat: the owner that lacks quota asks again.
 */
static void
ask_to_yield(const char *shard, const char *team, void *arg)
{
	entry_t *entry = arg;
	Gw__Call call = GW__CALL__INIT;

	call.kind = GW__CALL_KIND__CALL_YIELD_QUOTA;
	call.pool = (char *)shard;
	call.team = (char *)team;
	dispatch_call(
	    entry->dispatch, &call, YIELD_TIMEOUT_MS, on_yielded, NULL);
}

static const owner_ops_t owner_ops = {.on_ownership_lost = on_ownership_lost,
    .lease_until_us = lease_until_us,
    .lapsing_seen_us = lapsing_seen_us,
    .config_revision = config_revision,
    .on_config_item = on_config_item,
    .get_refusal = get_refusal,
    .find_shard = on_find_shard,
    .ask_room = on_ask_room,
    .tell_adopt = on_tell_adopt,
    .find_records = on_find_records,
    .tell_part = on_tell_part,
    .ask_to_yield = ask_to_yield};

/* Callbacks of the view and the layout. */

/*
 * Lets this process claim the role of every shard of every pool and, if the
 * platform can move machines, the planner's role.
 */
static void
enable_claims(entry_t *entry)
{
	const sched_config_t *config = view_config(entry->view);
	uint32_t shard_count = layout_shard_count(entry->layout);
	char name[SCHED_NAME_BYTES];

	if (config == NULL || shard_count == 0)
		return;
	if (entry->settings.has_machines)
		roles_enable_claim(entry->roles, PLANNER_ROLE);
	for (guint i = 0; i < config->pools->len; i++) {
		const sched_pool_config_t *pool =
		    &g_array_index(config->pools, sched_pool_config_t, i);

		for (uint32_t shard = 0; shard < shard_count; shard++) {
			shard_format_name(pool->name, shard, shard_count, name);
			roles_enable_claim(entry->roles, name);
		}
	}
}

static uint32_t
largest_pool_instances(void *arg)
{
	entry_t *entry = arg;

	view_follow_instances(entry->view);
	return view_largest_pool_instances(entry->view);
}

static void
on_layout(uint32_t shard_count, void *arg)
{
	entry_t *entry = arg;

	entry->transfer.shard_count = shard_count;
	owners_set_shard_count(entry->owners, shard_count);
	front_set_shard_count(entry->front, shard_count);
	enable_claims(entry);
}

static const layout_ops_t layout_ops = {
    .largest_pool_instances = largest_pool_instances,
    .on_shards_known = on_layout};

static void
on_config(const sched_config_t *config, bool is_next, void *arg)
{
	entry_t *entry = arg;

	homes_set_config(entry->homes, config, is_next);
	front_set_config(entry->front, config);
	owners_set_config(entry->owners, config);
	if (entry->planner != NULL)
		planner_set_config(entry->planner, config);
	enable_claims(entry);
}

static void
on_config_current(uint64_t at_us, void *arg)
{
	front_set_config_current(((entry_t *)arg)->front, at_us);
}

static void
on_instance(const sched_instance_info_t *info, void *arg)
{
	entry_t *entry = arg;

	owners_set_instance(entry->owners, info);
	front_set_instance_count(
	    entry->front, view_instance_count(entry->view));
	if (entry->planner != NULL)
		planner_instance_up(entry->planner, info);
}

static void
on_instance_removed(const char *id, void *arg)
{
	entry_t *entry = arg;

	owners_remove_instance(entry->owners, id);
	front_set_instance_count(
	    entry->front, view_instance_count(entry->view));
	if (entry->planner != NULL)
		planner_instance_removed(entry->planner, id);
}

static void
on_wave(const plat_wave_t *wave, void *arg)
{
	entry_t *entry = arg;

	if (entry->planner != NULL)
		planner_add_wave(entry->planner, wave);
}

static const view_ops_t view_ops = {.on_config = on_config,
    .on_config_current = on_config_current,
    .on_instance = on_instance,
    .on_instance_removed = on_instance_removed,
    .on_wave = on_wave};

/* Callbacks of the homes. */

static void
on_homes_read(void *arg)
{
	front_homes_read(((entry_t *)arg)->front);
}

/*
 * Lets this process claim a shard that has jobs, although no configuration in
 * force has the pool.
 */
static void
on_shard_with_jobs(const char *shard, void *arg)
{
	roles_enable_claim(((entry_t *)arg)->roles, shard);
}

static const homes_ops_t homes_ops = {
    .on_read = on_homes_read, .on_shard = on_shard_with_jobs};

/* Callbacks of dispatch and the probe. */

static void
on_call(const Gw__Call *call, dispatch_response_cb_t cb, void *response_arg,
    void *arg)
{
	entry_t *entry = arg;

	if (call->kind == GW__CALL_KIND__CALL_ADOPT)
		transfer_handle_adopt(&entry->transfer, call, cb, response_arg);
	else if (call->kind == GW__CALL_KIND__CALL_ROOM)
		transfer_handle_room(&entry->transfer, call, cb, response_arg);
	else if (call->kind == GW__CALL_KIND__CALL_PART)
		part_handle_call(&entry->transfer, call, cb, response_arg);
	else
		owners_handle_call(entry->owners, call,
		    roles_lease_valid(entry->roles), cb, response_arg);
}

static probe_state_t
read_probe_state(void *arg)
{
	const entry_t *entry = arg;
	const sched_config_t *config = view_config(entry->view);

	return (probe_state_t){.draining = entry->draining,
	    .lease_valid = roles_lease_valid(entry->roles),
	    .has_config = config != NULL,
	    .config_version = config == NULL ? 0 : config->version,
	    .config_age_ms = gw_elapsed_us(gw_rt_now_us(entry->rt),
				 view_config_current_us(entry->view)) /
		GW_US_PER_MS,
	    .shards_owned = owners_count(entry->owners),
	    .waits = owners_waits(entry->owners),
	    .connections = front_connection_count(entry->front),
	    .callers = front_budget(entry->front)};
}

/* Start. */

/*
 * Starts all modules. Returns NULL and sets err when a socket cannot be opened.
 */
entry_t *
entry_new(gw_rt_t *rt, const plat_settings_t *settings, gw_err_t *err)
{
	const sched_process_t process = {.cpu_permille = settings->cpu_permille,
	    .link_kbps = settings->link_kbps};
	entry_t *entry = g_new0(entry_t, 1);
	gw_addr_t peer;

	entry->rt = rt;
	entry->settings = *settings;
	if (gw_addr_make(&peer, settings->ip, settings->port_first, err) != 0)
		goto fail;
	entry->stats = stats_new();
	entry->store = store_new(rt, &settings->store, STORE_TIMEOUT_MS);
	store_set_protocol(entry->store, &plat_kv_protocol);
	entry->owners = owners_new(rt, entry->store, settings->data_centre,
	    &settings->bounds, &owner_ops, entry);
	entry->roles = roles_new(rt, entry->store, settings->node,
	    settings->data_centre, gw_addr_text(&peer, entry->peer_address),
	    &process, &roles_ops, entry);
	entry->dispatch =
	    dispatch_new(rt, entry->roles, &peer, on_call, entry, err);
	if (entry->dispatch == NULL)
		goto fail;
	dispatch_set_descriptors(entry->dispatch, settings->descriptors_max);
	entry->homes = homes_new(
	    rt, entry->store, settings->config_apply_ms, &homes_ops, entry);
	entry->front = front_new(
	    rt, entry->dispatch, entry->homes, entry->stats, settings, err);
	if (entry->front == NULL)
		goto fail;
	entry->view = view_new(rt, entry->store, &view_ops, entry);
	entry->transfer = (transfer_t){.rt = rt,
	    .store = entry->store,
	    .dispatch = entry->dispatch,
	    .owners = entry->owners,
	    .view = entry->view};
	entry->layout = layout_new(rt, entry->store, &layout_ops, entry);
	entry->inspect = (inspect_t){.owners = entry->owners,
	    .roles = entry->roles,
	    .layout = entry->layout,
	    .view = entry->view,
	    .stats = entry->stats,
	    .peer = peer};
	if (probe_metrics_addr(settings, &entry->inspect.own, err) != 0 ||
	    probe_new(rt, settings, entry->stats, &entry->inspect,
		read_probe_state, entry, err) == NULL)
		goto fail;
	return entry;
fail:
	/* main() exits, which closes the sockets opened so far. */
	g_free(entry);
	return NULL;
}

/* Shutdown. */

static void
release_roles(entry_t *entry)
{
	if (entry->roles_released)
		return;
	entry->roles_released = true;
	roles_release_all(entry->roles);
}

static void
on_drain_tick(gw_timer_t *timer, void *arg)
{
	entry_t *entry = arg;
	uint64_t elapsed_us =
	    gw_elapsed_us(gw_rt_now_us(entry->rt), entry->drain_begun_us);
	gw_drain_step_t step = gw_drain_step(&entry->drain_plan, elapsed_us,
	    front_request_count(entry->front),
	    front_connection_count(entry->front));

	if (owners_are_flushed(entry->owners) ||
	    elapsed_us >= DRAIN_RELEASE_MS * GW_US_PER_MS)
		release_roles(entry);
	if (step.close_listener && !entry->listener_closed) {
		entry->listener_closed = true;
		front_close_listener(entry->front);
	}
	if (step.reply_all)
		front_reply_all(entry->front);
	if (step.end) {
		release_roles(entry);
		gw_log(GW_EV_DRAINED, "requests=%u connections=%u",
		    front_request_count(entry->front),
		    front_connection_count(entry->front));
		gw_rt_stop(entry->rt);
		return;
	}
	gw_timer_start(entry->rt, timer, DRAIN_CHECK_MS * GW_US_PER_MS,
	    on_drain_tick, entry);
}

/*
 * Starts the graceful shutdown. From now on /ready fails, and each response
 * ends its connection and says so; the roles are released once all writes to
 * the store are done; callers on open connections are served until shortly
 * before the end of the platform's grace period.
 */
void
entry_shutdown(entry_t *entry)
{
	uint32_t grace_ms = entry->settings.stop_grace_s * MS_PER_S;
	uint64_t end_ms = grace_ms - MIN(DRAIN_MARGIN_MS, grace_ms);

	if (entry->draining)
		return;
	entry->draining = true;
	gw_log(GW_EV_SHUTDOWN, "requests=%u pools=%u",
	    front_request_count(entry->front), owners_count(entry->owners));
	owners_refuse_changes(entry->owners);
	front_announce_close(entry->front);
	entry->drain_begun_us = gw_rt_now_us(entry->rt);
	entry->drain_plan =
	    (gw_drain_plan_t){.listen_us = DRAIN_LISTEN_MS * GW_US_PER_MS,
		.linger_us = end_ms * GW_US_PER_MS,
		.end_us = end_ms * GW_US_PER_MS,
		.reply_all_us = DRAIN_REPLY_ALL_MS * GW_US_PER_MS};
	on_drain_tick(&entry->drain_timer, entry);
}

/*
 * Applies settings that were read again: the grace period at once, the bounds
 * to a planner that starts later. Addresses and the other settings take effect
 * at the next start only.
 */
void
entry_reload(entry_t *entry, const plat_settings_t *settings)
{
	gw_log(GW_EV_RELOAD, "node=%s stop_grace_s=%u", settings->node,
	    settings->stop_grace_s);
	entry->settings.stop_grace_s = settings->stop_grace_s;
	entry->settings.bounds = settings->bounds;
}
