#include <string.h>

#include <glib.h>

#include "owners_impl.h"
#include "sched/quota.h"
#include "sched/shard.h"

/* Calls of callers and of other entry processes to an owner. */

/* Retry-After while the store is not writable, since outages last seconds. */
#define STORE_RETRY_AFTER_MS 2000
/* Until a process whose configuration is old has the newest one. */
#define CONFIG_RETRY_AFTER_MS 1000
/* A drain that is not requested again within this time ends. */
#define DRAIN_EXPIRY_MS 2500

/* The response to a submit or cancel, sent once its record is in the store. */
typedef struct {
	dispatch_response_cb_t cb;
	void *arg;
} pending_response_t;

static void
on_recorded(const sched_response_t *from, void *arg)
{
	pending_response_t *pending = arg;
	Gw__Reply response = GW__REPLY__INIT;

	response.outcome = from->outcome;
	response.state = from->state;
	response.retry_after_ms = from->retry_after_ms;
	if (from->reason != NULL)
		response.reason = (char *)from->reason;
	if (from->moved_to != NULL)
		response.moved_to = (char *)from->moved_to;
	pending->cb(&response, pending->arg);
	g_free(pending);
}

static pending_response_t *
pending_response_new(dispatch_response_cb_t cb, void *arg)
{
	pending_response_t *pending = g_new(pending_response_t, 1);

	pending->cb = cb;
	pending->arg = arg;
	return pending;
}

/*
 * Refuses a call: nothing was accepted. retry_after_ms 0 means that the shard
 * is changing owners, so that dispatch_call() retries the call soon.
 */
static void
refuse(uint32_t retry_after_ms, const char *reason, dispatch_response_cb_t cb,
    void *arg)
{
	Gw__Reply response = GW__REPLY__INIT;

	response.outcome = GW__CALL_OUTCOME__CALL_REFUSED;
	response.retry_after_ms = retry_after_ms;
	response.reason = (char *)reason;
	cb(&response, arg);
}

static sched_queue_ref_t
queue_of(const Gw__Call *call)
{
	return (sched_queue_ref_t){
	    .name = call->queue, .key = call->queue_key, .team = call->team};
}

/*
 * Copies the digest of the caller's key. Returns NULL if the call has none.
 */
static const sched_key_digest_t *
key_of(const Gw__Call *call, sched_key_digest_t *key)
{
	if (call->key_digest.len != sizeof(key->bytes))
		return NULL;
	memcpy(key->bytes, call->key_digest.data, sizeof(key->bytes));
	return key;
}

static void
reply_state(owner_t *owner, const Gw__Call *call, bool lease_valid,
    dispatch_response_cb_t cb, void *arg)
{
	sched_queue_ref_t queue = queue_of(call);
	sched_response_t from =
	    sched_pool_state(owner_pool(owner), &queue, call->id);
	Gw__Reply response = GW__REPLY__INIT;

	/* Another process may own the shard now and have accepted the job. */
	if (from.outcome == GW__CALL_OUTCOME__CALL_ABSENT && !lease_valid) {
		refuse(STORE_RETRY_AFTER_MS, "lease-not-renewed", cb, arg);
		return;
	}
	response.outcome = from.outcome;
	response.state = from.state;
	response.retry_after_ms = from.retry_after_ms;
	if (from.reason != NULL)
		response.reason = (char *)from.reason;
	if (from.moved_to != NULL)
		response.moved_to = (char *)from.moved_to;
	cb(&response, arg);
}

static void
reply_pending(
    owner_t *owner, const Gw__Call *call, dispatch_response_cb_t cb, void *arg)
{
	sched_queue_ref_t queue = queue_of(call);
	Gw__Reply response = GW__REPLY__INIT;

	response.outcome = GW__CALL_OUTCOME__CALL_OK;
	response.pending = sched_pool_count_pending(owner_pool(owner), &queue);
	cb(&response, arg);
}

/*
 * Drains an instance for the planner. If call->ended is set, the instance's
 * machine has stopped, so its runs have ended.
 */
static void
reply_drain(
    owner_t *owner, const Gw__Call *call, dispatch_response_cb_t cb, void *arg)
{
	Gw__Reply response = GW__REPLY__INIT;

	response.outcome = GW__CALL_OUTCOME__CALL_OK;
	if (call->ended)
		sched_pool_end_instance(
		    owner_pool(owner), call->instance, "machine-stopped");
	response.drained = sched_pool_drain(
	    owner_pool(owner), call->instance, DRAIN_EXPIRY_MS);
	owner_schedule_tick(owner);
	cb(&response, arg);
}

static void
reply_yield(
    owner_t *owner, const Gw__Call *call, dispatch_response_cb_t cb, void *arg)
{
	Gw__Reply response = GW__REPLY__INIT;

	response.outcome = GW__CALL_OUTCOME__CALL_OK;
	sched_pool_yield_quota(owner_pool(owner), call->team);
	owner_schedule_tick(owner);
	cb(&response, arg);
}

/*
 * Reports the shard's load to the planner, whose call gives the numbers of
 * machines that are moving to the pool or on standby for it, and what teams
 * submit to all pools.
 */
static void
reply_load(
    owner_t *owner, const Gw__Call *call, dispatch_response_cb_t cb, void *arg)
{
	Gw__Reply response = GW__REPLY__INIT;
	Gw__PoolLoad load;

	response.outcome = GW__CALL_OUTCOME__CALL_OK;
	sched_pool_set_incoming(owner_pool(owner), call->coming, call->standby);
	for (size_t i = 0; i < call->n_team_rates; i++)
		sched_pool_set_team_rate(owner_pool(owner),
		    call->team_rates[i]->team,
		    call->team_rates[i]->jobs_per_1000s);
	sched_pool_get_load(owner_pool(owner), &load);
	response.load = &load;
	cb(&response, arg);
	sched_load_clear(&load);
}

/*
 * Returns whether the queue of a submission is still there, and its key still
 * the team's. A job that was accepted before counts as accepted.
 */
static bool
is_in_force(
    const owners_t *owners, const sched_pool_t *pool, const Gw__Call *call)
{
	sched_key_digest_t key;
	char name[SCHED_NAME_BYTES];
	const sched_config_claim_t claim = {.config = owners->config,
	    .seen_version = owners->seen_version,
	    .version = call->config_version,
	    .queue = call->queue,
	    .queue_key = call->queue_key,
	    .pool = name,
	    .team = call->team,
	    .key = key_of(call, &key)};

	(void)shard_parse_name(call->pool, name);
	return sched_pool_has_job(pool, call->spec->id) ||
	    sched_config_allows(&claim);
}

const char *
owners_refusal(const owners_t *owners, const char *shard,
    const sched_submitter_t *submitter)
{
	const sched_queue_t *queue;
	char pool[SCHED_NAME_BYTES];

	if (owners->config == NULL)
		return "no-configuration";
	(void)shard_parse_name(shard, pool);
	queue = sched_config_queue_by_key(owners->config, submitter->queue_key);
	if (queue == NULL || strcmp(queue->pool, pool) != 0)
		return "queue-moved";
	if (!sched_config_allows_key(
		owners->config, queue, submitter->team, submitter->key))
		return "key-withdrawn";
	return NULL;
}

/*
 * Handles a submission to a queue that has another pool now. If this one does
 * not have the job, the caller submits it there: a copy that another process
 * sends by an older configuration is refused from now on. So is the call itself
 * if another process may own the shard.
 */
static void
resubmit(owners_t *owners, owner_t *owner, const Gw__Call *call,
    bool lease_valid, dispatch_response_cb_t cb, void *arg)
{
	owners->seen_version = MAX(owners->seen_version, call->config_version);
	if (!lease_valid)
		refuse(STORE_RETRY_AFTER_MS, "lease-not-renewed", cb, arg);
	else
		sched_pool_resubmit(owner_pool(owner), call->id, on_recorded,
		    pending_response_new(cb, arg));
	owner_schedule_tick(owner);
}

/*
 * Submits or cancels a job. The call is refused at once while the store is not
 * writable, since a job is accepted only once its record is written.
 */
static void
submit_or_cancel(owners_t *owners, owner_t *owner, const Gw__Call *call,
    dispatch_response_cb_t cb, void *arg)
{
	sched_queue_ref_t queue = queue_of(call);
	sched_pool_t *pool = owner_pool(owner);
	sched_key_digest_t key;
	bool is_submit = call->kind == GW__CALL_KIND__CALL_SUBMIT &&
	    call->spec != NULL && sched_spec_is_valid(call->spec);

	if (!owner_can_write(owner)) {
		refuse(STORE_RETRY_AFTER_MS, "store-not-writable", cb, arg);
		return;
	}
	if (is_submit && !is_in_force(owners, pool, call))
		refuse(CONFIG_RETRY_AFTER_MS, "queue-dropped", cb, arg);
	else if (is_submit)
		sched_pool_submit(pool, call->spec, key_of(call, &key),
		    on_recorded, pending_response_new(cb, arg));
	else if (call->kind == GW__CALL_KIND__CALL_CANCEL)
		sched_pool_cancel(pool, &queue, call->id, on_recorded,
		    pending_response_new(cb, arg));
	else
		refuse(STORE_RETRY_AFTER_MS, "malformed-call", cb, arg);
	owner_schedule_tick(owner);
}

/*
 * Replies to a later owner of a released shard with the remaining time of each
 * lease that this process granted, and with the ends that it saw.
 */
static void
reply_released(owners_t *owners, const sched_handover_t *handover,
    dispatch_response_cb_t cb, void *arg)
{
	const GArray *leases = handover->leases;
	Gw__LeaseLeft *rows = g_new(Gw__LeaseLeft, leases->len + 1);
	Gw__LeaseLeft **list = g_new(Gw__LeaseLeft *, leases->len + 1);
	uint64_t now_us = gw_rt_now_us(owners->rt);
	Gw__Reply response = GW__REPLY__INIT;

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
		list[i]->late_left_ms =
		    (uint32_t)(gw_elapsed_us(lease->late_until_us, now_us) /
			GW_US_PER_MS);
	}
	response.outcome = GW__CALL_OUTCOME__CALL_ABSENT;
	response.has_leases = true;
	response.n_leases = leases->len;
	response.leases = list;
	response.n_ended = sched_handover_end_count(handover, now_us);
	response.ended = (Gw__EndedRun **)handover->ended->pdata;
	cb(&response, arg);
	g_free(rows);
	g_free(list);
}

static void
reply_owns(owners_t *owners, const Gw__Call *call, dispatch_response_cb_t cb,
    void *arg)
{
	const sched_handover_t *handover =
	    g_hash_table_lookup(owners->handovers, call->pool);
	Gw__Reply response = GW__REPLY__INIT;

	if (owners_find(owners, call->pool) != NULL) {
		response.outcome = GW__CALL_OUTCOME__CALL_OK;
		cb(&response, arg);
	} else if (handover != NULL) {
		reply_released(owners, handover, cb, arg);
	} else {
		/*
		 * This process never owned the shard; the previous owner was
		 * an earlier process at this address, which has ended.
		 */
		response.outcome = GW__CALL_OUTCOME__CALL_ABSENT;
		cb(&response, arg);
	}
}

/*
 * Handles a call. Replies to submits and cancels once their record is written,
 * to all others at once.
 */
void
owners_handle_call(owners_t *owners, const Gw__Call *call, bool lease_valid,
    dispatch_response_cb_t cb, void *arg)
{
	owner_t *owner = owners_find(owners, call->pool);

	if (call->kind == GW__CALL_KIND__CALL_OWNS) {
		reply_owns(owners, call, cb, arg);
		return;
	}
	if (owner == NULL || !owner_is_loaded(owner)) {
		refuse(0, owner == NULL ? "not-owner" : "loading", cb, arg);
		return;
	}
	switch (call->kind) {
	case GW__CALL_KIND__CALL_STATE:
		reply_state(owner, call, lease_valid, cb, arg);
		return;
	case GW__CALL_KIND__CALL_PENDING:
		reply_pending(owner, call, cb, arg);
		return;
	case GW__CALL_KIND__CALL_DRAIN:
		reply_drain(owner, call, cb, arg);
		return;
	case GW__CALL_KIND__CALL_LOAD:
		reply_load(owner, call, cb, arg);
		return;
	case GW__CALL_KIND__CALL_YIELD_QUOTA:
		reply_yield(owner, call, cb, arg);
		return;
	default:
		if (owners->closing)
			refuse(0, "handing-over", cb, arg);
		else if (call->kind == GW__CALL_KIND__CALL_RESUBMIT)
			resubmit(owners, owner, call, lease_valid, cb, arg);
		else
			submit_or_cancel(owners, owner, call, cb, arg);
	}
}
