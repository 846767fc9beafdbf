#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "roles.h"
#include "sched/shard.h"
#include "service.h"

/* Retry-After while the store is not writable: outages last for seconds. */
#define STORE_RETRY_AFTER_MS 2000
/* A drain that is not requested again within this time ends. */
#define DRAIN_EXPIRY_MS 2500

struct service {
	gw_rt_t *rt;
	store_t *store;
	char data_centre[SCHED_NAME_BYTES];
	sched_bounds_t bounds;
	const owner_ops_t *ops;
	void *arg;
	GHashTable *owners; /* shard name -> owner_t */
	/* Leases that a shard's instances had when this process released it. */
	GHashTable *released_leases; /* shard name -> GArray of sched_lease_t */
	uint32_t shard_count;	     /* shards of each pool; 0: not known yet */
	bool closing;		     /* submits and cancels are refused */
};

/* The reply to a submit or cancel, sent once its record is in the store. */
typedef struct {
	dispatch_reply_cb_t cb;
	void *arg;
} pending_reply_t;

/*
 * Returns a service that owns no shard yet.
 */
service_t *
service_new(gw_rt_t *rt, store_t *store, const char *data_centre,
    const sched_bounds_t *bounds, const owner_ops_t *ops, void *arg)
{
	service_t *service = g_new0(service_t, 1);

	service->rt = rt;
	service->store = store;
	g_strlcpy(
	    service->data_centre, data_centre, sizeof(service->data_centre));
	service->bounds = *bounds;
	service->bounds.renew_grace_ms = ROLES_GRACE_MS;
	service->bounds.previous_renew_max_ms = ROLES_TTL_MS + ROLES_GRACE_MS;
	service->ops = ops;
	service->arg = arg;
	service->owners = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)owner_free);
	service->released_leases = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
	return service;
}

/*
 * Adds the owner of a shard, which then loads the shard's records.
 */
void
service_add(service_t *service, const char *shard, uint64_t fence)
{
	owner_role_t role = {.pool = shard,
	    .data_centre = service->data_centre,
	    .fence = fence,
	    .bounds = service->bounds};

	g_hash_table_replace(service->owners, g_strdup(shard),
	    owner_new(service->rt, service->store, &role, service->ops,
		service->arg));
}

/*
 * Removes the owner of a shard, but remembers when the leases of what runs
 * there expire, for the next owner.
 */
void
service_remove(service_t *service, const char *shard)
{
	owner_t *owner = service_owner(service, shard);

	if (owner != NULL)
		g_hash_table_replace(service->released_leases, g_strdup(shard),
		    sched_pool_leases(owner_pool(owner)));
	g_hash_table_remove(service->owners, shard);
}

owner_t *
service_owner(const service_t *service, const char *shard)
{
	return g_hash_table_lookup(service->owners, shard);
}

/*
 * Adds or updates an instance in the shard that it belongs to, and removes it
 * from all others.
 */
void
service_set_instance(service_t *service, const sched_instance_info_t *info)
{
	GHashTableIter iter;
	owner_t *owner;
	gpointer name;

	g_hash_table_iter_init(&iter, service->owners);
	while (g_hash_table_iter_next(&iter, &name, (gpointer *)&owner)) {
		char pool[SCHED_NAME_BYTES];
		uint32_t shard = shard_parse_name(name, pool);

		sched_pool_end_superseded(owner_pool(owner), info);
		if (strcmp(pool, info->pool) == 0 &&
		    shard == shard_of_id(info->machine, service->shard_count))
			owner_set_instance(owner, info);
		else /* It may have belonged to this shard before. */
			owner_remove_instance(owner, info->id);
	}
}

/*
 * Removes an instance from all shards.
 */
void
service_remove_instance(service_t *service, const char *id)
{
	GHashTableIter iter;
	owner_t *owner;

	g_hash_table_iter_init(&iter, service->owners);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&owner))
		owner_remove_instance(owner, id);
}

static void
on_recorded(const sched_reply_t *from, void *arg)
{
	pending_reply_t *pending = arg;
	Gw__Reply reply = GW__REPLY__INIT;

	reply.outcome = from->outcome;
	reply.state = from->state;
	reply.retry_after_ms = from->retry_after_ms;
	if (from->reason != NULL)
		reply.reason = (char *)from->reason;
	pending->cb(&reply, pending->arg);
	g_free(pending);
}

static pending_reply_t *
pending_reply_new(dispatch_reply_cb_t cb, void *arg)
{
	pending_reply_t *pending = g_new(pending_reply_t, 1);

	pending->cb = cb;
	pending->arg = arg;
	return pending;
}

/*
 * Refuses a call: nothing was accepted. retry_after_ms 0 means that the shard
 * is just changing owners, so the sender retries at once.
 */
static void
refuse(uint32_t retry_after_ms, const char *reason, dispatch_reply_cb_t cb,
    void *arg)
{
	Gw__Reply reply = GW__REPLY__INIT;

	reply.outcome = GW__CALL_OUTCOME__CALL_REFUSED;
	reply.retry_after_ms = retry_after_ms;
	reply.reason = (char *)reason;
	cb(&reply, arg);
}

static void
answer_state(owner_t *owner, const Gw__Call *call, bool lease_valid,
    dispatch_reply_cb_t cb, void *arg)
{
	sched_reply_t from =
	    sched_pool_state(owner_pool(owner), call->queue, call->id);
	Gw__Reply reply = GW__REPLY__INIT;

	/* Another process may own the shard now and have accepted the job. */
	if (from.outcome == GW__CALL_OUTCOME__CALL_ABSENT && !lease_valid) {
		refuse(STORE_RETRY_AFTER_MS, "lease-not-renewed", cb, arg);
		return;
	}
	reply.outcome = from.outcome;
	reply.state = from.state;
	if (from.reason != NULL)
		reply.reason = (char *)from.reason;
	cb(&reply, arg);
}

static void
answer_pending(
    owner_t *owner, const Gw__Call *call, dispatch_reply_cb_t cb, void *arg)
{
	Gw__Reply reply = GW__REPLY__INIT;

	reply.outcome = GW__CALL_OUTCOME__CALL_OK;
	reply.pending =
	    sched_pool_count_pending(owner_pool(owner), call->queue);
	cb(&reply, arg);
}

/*
 * Drains an instance for the planner; call->ended says that the instance's
 * machine has stopped, so that nothing runs there any more.
 */
static void
answer_drain(
    owner_t *owner, const Gw__Call *call, dispatch_reply_cb_t cb, void *arg)
{
	Gw__Reply reply = GW__REPLY__INIT;

	reply.outcome = GW__CALL_OUTCOME__CALL_OK;
	if (call->ended)
		sched_pool_end_instance(
		    owner_pool(owner), call->instance, "machine-stopped");
	reply.drained = sched_pool_drain(
	    owner_pool(owner), call->instance, DRAIN_EXPIRY_MS);
	owner_schedule_tick(owner);
	cb(&reply, arg);
}

/*
 * Reports the shard's load to the planner, whose call gives the number of
 * machines that are on their way to the pool or on standby.
 */
static void
answer_load(
    owner_t *owner, const Gw__Call *call, dispatch_reply_cb_t cb, void *arg)
{
	Gw__Reply reply = GW__REPLY__INIT;
	Gw__PoolLoad load;

	reply.outcome = GW__CALL_OUTCOME__CALL_OK;
	sched_pool_set_incoming(owner_pool(owner), call->coming, call->standby);
	sched_pool_get_load(owner_pool(owner), &load);
	reply.load = &load;
	cb(&reply, arg);
	g_free(load.idle_instances);
	g_free(load.lasting_instances);
}

/*
 * Submits or cancels a job. The call is refused at once while the store is not
 * writable: a job counts as accepted only once its record is written.
 */
static void
submit_or_cancel(
    owner_t *owner, const Gw__Call *call, dispatch_reply_cb_t cb, void *arg)
{
	sched_pool_t *pool = owner_pool(owner);

	if (!owner_can_write(owner)) {
		refuse(STORE_RETRY_AFTER_MS, "store-not-writable", cb, arg);
		return;
	}
	if (call->kind == GW__CALL_KIND__CALL_SUBMIT && call->spec != NULL &&
	    sched_spec_is_valid(call->spec))
		sched_pool_submit(
		    pool, call->spec, on_recorded, pending_reply_new(cb, arg));
	else if (call->kind == GW__CALL_KIND__CALL_CANCEL)
		sched_pool_cancel(pool, call->queue, call->id, on_recorded,
		    pending_reply_new(cb, arg));
	else
		refuse(STORE_RETRY_AFTER_MS, "malformed-call", cb, arg);
	owner_schedule_tick(owner);
}

/*
 * Replies to a later owner of a released shard with the time until each lease
 * that this process granted expires.
 */
static void
answer_released(
    service_t *service, const GArray *leases, dispatch_reply_cb_t cb, void *arg)
{
	Gw__LeaseLeft *rows = g_new(Gw__LeaseLeft, leases->len + 1);
	Gw__LeaseLeft **list = g_new(Gw__LeaseLeft *, leases->len + 1);
	uint64_t now_us = gw_rt_now_us(service->rt);
	Gw__Reply reply = GW__REPLY__INIT;

	for (guint i = 0; i < leases->len; i++) {
		sched_lease_t *lease = &g_array_index(leases, sched_lease_t, i);

		list[i] = &rows[i];
		gw__lease_left__init(list[i]);
		list[i]->instance = lease->instance;
		list[i]->born_ms = lease->born_ms;
		list[i]->left_ms =
		    (uint32_t)(gw_elapsed_us(lease->expiry_us, now_us) /
			    GW_US_PER_MS +
			1);
	}
	reply.outcome = GW__CALL_OUTCOME__CALL_ABSENT;
	reply.has_leases = true;
	reply.n_leases = leases->len;
	reply.leases = list;
	cb(&reply, arg);
	g_free(rows);
	g_free(list);
}

static void
answer_owns(
    service_t *service, const Gw__Call *call, dispatch_reply_cb_t cb, void *arg)
{
	const GArray *leases =
	    g_hash_table_lookup(service->released_leases, call->pool);
	Gw__Reply reply = GW__REPLY__INIT;

	if (service_owner(service, call->pool) != NULL) {
		reply.outcome = GW__CALL_OUTCOME__CALL_OK;
		cb(&reply, arg);
	} else if (leases != NULL) {
		answer_released(service, leases, cb, arg);
	} else {
		/*
		 * This process never owned the shard; the previous owner was
		 * an earlier process at this address, which has ended.
		 */
		reply.outcome = GW__CALL_OUTCOME__CALL_ABSENT;
		cb(&reply, arg);
	}
}

/*
 * Handles a call. Submits and cancels are replied to once their record is
 * written, all others at once.
 */
void
service_handle_call(service_t *service, const Gw__Call *call, bool lease_valid,
    dispatch_reply_cb_t cb, void *arg)
{
	owner_t *owner = service_owner(service, call->pool);

	if (call->kind == GW__CALL_KIND__CALL_OWNS) {
		answer_owns(service, call, cb, arg);
		return;
	}
	if (owner == NULL || !owner_is_loaded(owner)) {
		refuse(0, owner == NULL ? "not-owner" : "loading", cb, arg);
		return;
	}
	switch (call->kind) {
	case GW__CALL_KIND__CALL_STATE:
		answer_state(owner, call, lease_valid, cb, arg);
		return;
	case GW__CALL_KIND__CALL_PENDING:
		answer_pending(owner, call, cb, arg);
		return;
	case GW__CALL_KIND__CALL_DRAIN:
		answer_drain(owner, call, cb, arg);
		return;
	case GW__CALL_KIND__CALL_LOAD:
		answer_load(owner, call, cb, arg);
		return;
	default:
		if (service->closing)
			refuse(0, "handing-over", cb, arg);
		else
			submit_or_cancel(owner, call, cb, arg);
	}
}

void
service_set_shard_count(service_t *service, uint32_t shard_count)
{
	service->shard_count = shard_count;
}

void
service_refuse_changes(service_t *service)
{
	service->closing = true;
}

/*
 * Returns true when no shard has anything left to write.
 */
bool
service_is_flushed(const service_t *service)
{
	GHashTableIter iter;
	owner_t *owner;

	g_hash_table_iter_init(&iter, service->owners);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&owner))
		if (!owner_is_flushed(owner))
			return false;
	return true;
}

uint32_t
service_owned_shards(const service_t *service)
{
	return g_hash_table_size(service->owners);
}
