#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "roles.h"
#include "sched/parts.h"
#include "service.h"

/* When the store takes no writes: outages last for seconds. */
#define NO_WRITES_RETRY_AFTER_MS 2000
/* How long a drain holds without being asked for again. */
#define DRAIN_MS 2500

struct service {
	gw_rt_t *rt;
	store_t *store;
	char data_centre[SCHED_NAME_BYTES];
	sched_bounds_t bounds;
	const owner_ops_t *ops;
	void *arg;
	GHashTable *owners;   /* pool -> owner_t */
	GHashTable *given_up; /* pool -> GArray of sched_lease_t */
	uint32_t parts;	      /* in which each pool is owned */
	bool closing;
};

/* A caller that waits for a record. */
typedef struct {
	dispatch_reply_t cb;
	void *arg;
} waiting_t;

/*
 * Returns a service without pools.
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
	service->given_up = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
	return service;
}

/*
 * Begins to own a part of a pool, whose records are then loaded.
 */
void
service_add(service_t *service, const char *pool, uint64_t fence)
{
	owner_role_t role = {.pool = pool,
	    .data_centre = service->data_centre,
	    .fence = fence,
	    .bounds = service->bounds};

	g_hash_table_replace(service->owners, g_strdup(pool),
	    owner_new(service->rt, service->store, &role, service->ops,
		service->arg));
}

/*
 * Gives a part up, and keeps how long its leases may run.
 */
void
service_remove(service_t *service, const char *pool)
{
	owner_t *owner = service_owner(service, pool);

	if (owner != NULL)
		g_hash_table_replace(service->given_up, g_strdup(pool),
		    sched_pool_leases(owner_pool(owner)));
	g_hash_table_remove(service->owners, pool);
}

/*
 * Returns the owner of a part, or NULL.
 */
owner_t *
service_owner(const service_t *service, const char *pool)
{
	return g_hash_table_lookup(service->owners, pool);
}

/*
 * Passes an entry on to the part that the instance belongs to, and its removal
 * to all others.
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
		uint32_t part = shard_parse_name(name, pool);

		sched_pool_end_superseded(owner_pool(owner), info);
		if (strcmp(pool, info->pool) == 0 &&
		    part == shard_of_id(info->machine, service->parts))
			owner_set_instance(owner, info);
		else /* It may have belonged to this pool before. */
			owner_remove_instance(owner, info->id);
	}
}

/*
 * Passes the removal of an entry on to all parts.
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
	waiting_t *waiting = arg;
	Gw__Reply reply = GW__REPLY__INIT;

	reply.outcome = from->outcome;
	reply.state = from->state;
	reply.retry_after_ms = from->retry_after_ms;
	if (from->reason != NULL)
		reply.reason = (char *)from->reason;
	waiting->cb(&reply, waiting->arg);
	g_free(waiting);
}

static waiting_t *
waiting_new(dispatch_reply_t cb, void *arg)
{
	waiting_t *waiting = g_new(waiting_t, 1);

	waiting->cb = cb;
	waiting->arg = arg;
	return waiting;
}

/*
 * Refuses a request, which was not taken. retry_after_ms 0 means that the owner
 * is just changing.
 */
static void
refuse(
    uint32_t retry_after_ms, const char *reason, dispatch_reply_t cb, void *arg)
{
	Gw__Reply reply = GW__REPLY__INIT;

	reply.outcome = GW__CALL_OUTCOME__CALL_REFUSED;
	reply.retry_after_ms = retry_after_ms;
	reply.reason = (char *)reason;
	cb(&reply, arg);
}

static void
answer_state(owner_t *owner, const Gw__Call *call, bool lease_valid,
    dispatch_reply_t cb, void *arg)
{
	sched_reply_t from =
	    sched_pool_state(owner_pool(owner), call->queue, call->id);
	Gw__Reply reply = GW__REPLY__INIT;

	/* Another owner may have accepted it meanwhile. */
	if (from.outcome == GW__CALL_OUTCOME__CALL_ABSENT && !lease_valid) {
		refuse(NO_WRITES_RETRY_AFTER_MS, "lease-not-renewed", cb, arg);
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
    owner_t *owner, const Gw__Call *call, dispatch_reply_t cb, void *arg)
{
	Gw__Reply reply = GW__REPLY__INIT;

	reply.outcome = GW__CALL_OUTCOME__CALL_OK;
	reply.pending =
	    sched_pool_count_pending(owner_pool(owner), call->queue);
	cb(&reply, arg);
}

static void
answer_drain(
    owner_t *owner, const Gw__Call *call, dispatch_reply_t cb, void *arg)
{
	Gw__Reply reply = GW__REPLY__INIT;

	reply.outcome = GW__CALL_OUTCOME__CALL_OK;
	if (call->ended)
		sched_pool_end_instance(
		    owner_pool(owner), call->instance, "machine-stopped");
	reply.drained =
	    sched_pool_drain(owner_pool(owner), call->instance, DRAIN_MS);
	owner_kick(owner);
	cb(&reply, arg);
}

static void
answer_load(
    owner_t *owner, const Gw__Call *call, dispatch_reply_t cb, void *arg)
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
 * Passes a change on to the pool. It is refused at once while the store takes
 * no writes: a record that cannot be written accepts nothing.
 */
static void
change(owner_t *owner, const Gw__Call *call, dispatch_reply_t cb, void *arg)
{
	sched_pool_t *pool = owner_pool(owner);

	if (!owner_can_write(owner)) {
		refuse(NO_WRITES_RETRY_AFTER_MS, "store-not-writable", cb, arg);
		return;
	}
	if (call->kind == GW__CALL_KIND__CALL_SUBMIT && call->spec != NULL &&
	    sched_spec_is_valid(call->spec))
		sched_pool_submit(
		    pool, call->spec, on_recorded, waiting_new(cb, arg));
	else if (call->kind == GW__CALL_KIND__CALL_CANCEL)
		sched_pool_cancel(pool, call->queue, call->id, on_recorded,
		    waiting_new(cb, arg));
	else
		refuse(NO_WRITES_RETRY_AFTER_MS, "malformed-call", cb, arg);
	owner_kick(owner);
}

/*
 * Tells a later owner how long the leases may run that this process gave.
 */
static void
answer_given_up(
    service_t *service, const GArray *leases, dispatch_reply_t cb, void *arg)
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
    service_t *service, const Gw__Call *call, dispatch_reply_t cb, void *arg)
{
	const GArray *leases =
	    g_hash_table_lookup(service->given_up, call->pool);
	Gw__Reply reply = GW__REPLY__INIT;

	if (service_owner(service, call->pool) != NULL) {
		reply.outcome = GW__CALL_OUTCOME__CALL_OK;
		cb(&reply, arg);
	} else if (leases != NULL) {
		answer_given_up(service, leases, cb, arg);
	} else {
		/* This process has never owned it: a former one has ended. */
		reply.outcome = GW__CALL_OUTCOME__CALL_ABSENT;
		cb(&reply, arg);
	}
}

/*
 * Answers a request for a pool, now or once the store has what it asks for.
 */
void
service_call(service_t *service, const Gw__Call *call, bool lease_valid,
    dispatch_reply_t cb, void *arg)
{
	owner_t *owner = service_owner(service, call->pool);

	if (call->kind == GW__CALL_KIND__CALL_OWNS) {
		answer_owns(service, call, cb, arg);
		return;
	}
	if (owner == NULL || !owner_loaded(owner)) {
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
			change(owner, call, cb, arg);
	}
}

/*
 * Sets the number of parts in which pools are owned.
 */
void
service_set_parts(service_t *service, uint32_t parts)
{
	service->parts = parts;
}

/*
 * Refuses changes from now on; questions are still answered.
 */
void
service_close(service_t *service)
{
	service->closing = true;
}

/*
 * Tells whether no part has anything left to write.
 */
bool
service_is_quiet(const service_t *service)
{
	GHashTableIter iter;
	owner_t *owner;

	g_hash_table_iter_init(&iter, service->owners);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&owner))
		if (!owner_is_quiet(owner))
			return false;
	return true;
}

/*
 * Returns the number of parts that this process owns.
 */
uint32_t
service_pools(const service_t *service)
{
	return g_hash_table_size(service->owners);
}
