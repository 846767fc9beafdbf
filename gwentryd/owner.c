#include <stdio.h>

#include "gw/log.h"
#include "owner_impl.h"

/* Delay after a change, so that one tick handles several changes. */
#define TICK_DELAY_MS 2

/*
 * Schedules a tick after a change.
 */
void
owner_schedule_tick(owner_t *owner)
{
	owner_schedule_tick_in(owner, TICK_DELAY_MS * GW_US_PER_MS);
}

/* Callbacks of the scheduler: requests to instances. */

static void
on_start(const sched_start_t *start, void *arg)
{
	owner_t *owner = arg;

	agents_start(owner->agents, start);
}

static void
on_stop(const char *instance, const char *address, const sched_task_ref_t *ref,
    uint32_t run, uint64_t fence, void *arg)
{
	owner_t *owner = arg;

	agents_stop(owner->agents, instance, address, ref, run, fence);
}

static void
on_renew(const sched_renewal_t *renewal, void *arg)
{
	owner_t *owner = arg;

	agents_renew(owner->agents, renewal);
}

/*
 * Fails every request for advice, since no client of the platform's advice
 * service exists. Steps that need advice are therefore never placed.
 */
static void
on_advise(const sched_task_ref_t *ref, const GPtrArray *instances, void *arg)
{
	owner_t *owner = arg;

	(void)instances;
	sched_pool_advice_failed(owner->pool, ref);
}

static uint64_t
lease_until_us(void *arg)
{
	owner_t *owner = arg;

	return owner->ops->lease_until_us(owner->arg);
}

static uint64_t
written_revision(void *arg)
{
	return ((owner_t *)arg)->written_revision;
}

static void
on_fenced(const char *instance, void *arg)
{
	owner_t *owner = arg;

	gw_log(GW_EV_RUN_REFUSED, "instance=%s pool=%s order=hold answer=fence",
	    instance, owner->shard);
}

static void
on_instance_removed(const char *instance, void *arg)
{
	owner_t *owner = arg;

	agents_disconnect(owner->agents, instance);
}

static bool
on_find_shard(
    const sched_seeker_t *misfit, char to[SCHED_NAME_BYTES], void *arg)
{
	owner_t *owner = arg;

	return owner->ops->find_shard(owner->shard, misfit, to, owner->arg);
}

static void
on_ask_room(const sched_seeker_t *job, const char *to, void *arg)
{
	owner_t *owner = arg;

	owner->ops->ask_room(owner->shard, job, to, owner->arg);
}

static void
on_tell_adopt(const char *to, const char *id, void *arg)
{
	owner_t *owner = arg;

	owner->ops->tell_adopt(owner->shard, to, id, owner->arg);
}

static void
on_find_records(const char *id, void *arg)
{
	owner_t *owner = arg;

	owner->ops->find_records(owner->shard, id, owner->arg);
}

static void
on_tell_part(const sched_part_call_t *call, void *arg)
{
	owner_t *owner = arg;

	owner->ops->tell_part(owner->shard, call, owner->arg);
}

static const sched_ops_t pool_ops = {.start = on_start,
    .stop = on_stop,
    .renew = on_renew,
    .advise = on_advise,
    .lease_until_us = lease_until_us,
    .written_revision = written_revision,
    .fenced = on_fenced,
    .instance_removed = on_instance_removed,
    .find_shard = on_find_shard,
    .ask_room = on_ask_room,
    .tell_adopt = on_tell_adopt,
    .find_records = on_find_records,
    .tell_part = on_tell_part};

/* Callbacks of the agents: results of requests to instances. */

static void
on_started(const char *instance, const sched_task_ref_t *ref, uint32_t run,
    sched_result_t result, uint64_t clock_ms, void *arg)
{
	owner_t *owner = arg;

	sched_pool_apply_start_result(
	    owner->pool, instance, ref, run, result, clock_ms);
	owner_schedule_tick(owner);
}

static void
on_stopped(const char *instance, const sched_task_ref_t *ref, uint32_t run,
    sched_result_t result, void *arg)
{
	owner_t *owner = arg;

	sched_pool_apply_stop_result(owner->pool, instance, ref, run, result);
	owner_schedule_tick(owner);
}

static void
on_report(const char *instance, const sched_report_t *report, uint64_t sent_us,
    void *arg)
{
	owner_t *owner = arg;

	sched_pool_apply_report(owner->pool, instance, report, sent_us);
	owner_schedule_tick(owner);
}

static void
on_renew_failed(const char *instance, sched_result_t result, void *arg)
{
	owner_t *owner = arg;

	sched_pool_renewal_failed(owner->pool, instance, result);
	owner_schedule_tick(owner);
}

static bool
may_start(void *arg)
{
	return owner_lease_is_valid(arg);
}

static const agents_ops_t agent_ops = {.may_start = may_start,
    .on_started = on_started,
    .on_stopped = on_stopped,
    .on_report = on_report,
    .on_renew_failed = on_renew_failed};

/* Callbacks of the quotas. */

static bool
may_write_quota(void *arg)
{
	const owner_t *owner = arg;

	return owner->load_step == LOADED && !owner->closing &&
	    owner_lease_is_valid(owner);
}

static uint64_t
config_revision(void *arg)
{
	owner_t *owner = arg;

	return owner->ops->config_revision(owner->arg);
}

static void
on_config_item(const store_item_t *item, void *arg)
{
	owner_t *owner = arg;

	owner->ops->on_config_item(item, owner->arg);
}

static void
on_role_changed(void *arg)
{
	owner_report_lost(arg, "role-key-changed");
}

static void
ask_to_yield(const char *shard, const char *team, void *arg)
{
	owner_t *owner = arg;

	owner->ops->ask_to_yield(shard, team, owner->arg);
}

static void
on_quota_changed(void *arg)
{
	owner_schedule_tick(arg);
}

static const quota_ops_t quota_ops = {.may_write = may_write_quota,
    .config_revision = config_revision,
    .on_config_item = on_config_item,
    .on_role_changed = on_role_changed,
    .ask_to_yield = ask_to_yield,
    .on_changed = on_quota_changed};

static void
on_tick(gw_timer_t *timer, void *arg)
{
	owner_t *owner = arg;
	uint64_t delay_us;

	(void)timer;
	delay_us = sched_pool_tick(owner->pool, gw_clock_wall_ms());
	quota_update(owner->quota);
	owner_schedule_commit(owner);
	owner_schedule_tick_in(owner, delay_us);
}

/*
 * Returns the owner of a shard, and starts to load the shard's records. A
 * previous owner can no longer write them, since the role key has changed.
 */
owner_t *
owner_new(gw_rt_t *rt, store_t *store, const owner_role_t *role,
    const owner_ops_t *ops, void *arg)
{
	owner_t *owner = g_new0(owner_t, 1);
	const quota_role_t quota_role = {.shard = owner->shard,
	    .role_key = owner->role_key,
	    .fence = role->fence};

	owner->rt = rt;
	owner->store = store;
	g_strlcpy(owner->shard, role->shard, sizeof(owner->shard));
	roles_key(role->shard, owner->role_key, sizeof(owner->role_key));
	(void)snprintf(
	    owner->sequence_key, ROLE_KEY_BYTES, "gw/seq/%s/n", role->shard);
	roles_lapsing_key(
	    role->shard, owner->lapsing_key, sizeof(owner->lapsing_key));
	gw_id_random(owner->boot_id);
	owner->fence = role->fence;
	owner->ops = ops;
	owner->arg = arg;
	owner->on_tick = on_tick;
	owner->retry_ms = RETRY_MIN_MS;
	owner->pool = sched_pool_new(role->shard, role->data_centre,
	    gw_rt_clock(rt), &role->bounds, &pool_ops, owner);
	owner->agents = agents_new(rt, role->window, &agent_ops, owner);
	owner->quota =
	    quota_new(rt, store, owner->pool, &quota_role, &quota_ops, owner);
	sched_pool_set_fence(owner->pool, role->fence);
	sched_pool_set_window(owner->pool, role->window);
	owner_load_next_page(owner);
	return owner;
}

/*
 * Stops sending requests and frees the owner, after the store call in progress
 * if there is one. Waiting callers get the outcome "unknown".
 */
void
owner_free(owner_t *owner)
{
	if (owner == NULL)
		return;
	owner->closing = true;
	gw_timer_stop(&owner->load_timer);
	gw_timer_stop(&owner->tick_timer);
	gw_timer_stop(&owner->commit_timer);
	agents_free(owner->agents);
	quota_free(owner->quota);
	if (owner->batch != NULL)
		sched_batch_drop(owner->batch);
	owner->batch = NULL;
	sched_pool_free(owner->pool);
	if (!owner->call_in_progress)
		owner_destroy(owner);
}

bool
owner_is_loaded(const owner_t *owner)
{
	return owner->load_step == LOADED;
}

/*
 * Adds an instance, or updates it from its new entry in the registry.
 */
void
owner_set_instance(owner_t *owner, const sched_instance_info_t *info)
{
	sched_pool_set_instance(owner->pool, info);
	owner_schedule_tick(owner);
}

/*
 * Handles the removal of an instance from the registry.
 */
void
owner_remove_instance(owner_t *owner, const char *id)
{
	sched_pool_remove_instance(owner->pool, id);
	owner_schedule_tick(owner);
}

static const char *
get_refusal(const sched_submitter_t *submitter, void *arg)
{
	const owner_t *owner = arg;

	return owner->ops->get_refusal(owner->shard, submitter, owner->arg);
}

void
owner_config_changed(owner_t *owner)
{
	sched_pool_refuse_outdated(owner->pool, get_refusal, owner);
	owner_schedule_tick(owner);
}

sched_pool_t *
owner_pool(owner_t *owner)
{
	return owner->pool;
}

uint64_t
owner_fence(const owner_t *owner)
{
	return owner->fence;
}

bool
owner_lease_is_valid(const owner_t *owner)
{
	return gw_rt_now_us(owner->rt) < owner->ops->lease_until_us(owner->arg);
}

bool
owner_is_flushed(const owner_t *owner)
{
	return owner->load_step == LOADED && owner->batch == NULL &&
	    !sched_pool_is_dirty(owner->pool);
}
