#include <glib.h>

#include "previous_owner.h"

#define QUERY_TIMEOUT_MS 400
#define RETRY_DELAY_MS 200
/* Queries are repeated for as long as a response can shorten the wait. */
#define PERIOD_MS 8000

/* A query to an earlier owner of a shard. */
typedef struct {
	gw_rt_t *rt;
	dispatch_t *dispatch;
	owners_t *owners;
	char shard[SCHED_NAME_BYTES];
	char address[SCHED_NAME_BYTES];
	uint64_t fence;	 /* of this process's ownership */
	bool is_last;	 /* no other process has owned the shard since */
	uint64_t end_us; /* no query is sent after this time */
	gw_timer_t timer;
} query_t;

static void send_query(query_t *);

static void
on_retry(gw_timer_t *timer, void *arg)
{
	(void)timer;
	send_query(arg);
}

/*
 * Handles the response. A process that does not own the shard has released it
 * or has been restarted, and the new owner is told so. Otherwise the query is
 * repeated while this process owns the shard, for PERIOD_MS.
 */
static void
on_response(const Gw__Reply *response, void *arg)
{
	query_t *query = arg;
	owner_t *owner = owners_find(query->owners, query->shard);

	if (owner != NULL && owner_fence(owner) != query->fence)
		owner = NULL; /* the shard was lost and gained again */
	if (owner != NULL &&
	    response->outcome == GW__CALL_OUTCOME__CALL_ABSENT) {
		if (query->is_last)
			sched_pool_previous_owner_gone(owner_pool(owner),
			    response->leases, response->n_leases);
		sched_pool_runs_ended(
		    owner_pool(owner), response->ended, response->n_ended);
		owner_schedule_tick(owner);
	}
	if (owner == NULL ||
	    response->outcome == GW__CALL_OUTCOME__CALL_ABSENT ||
	    gw_rt_now_us(query->rt) >= query->end_us) {
		g_free(query);
		return;
	}
	gw_timer_start(query->rt, &query->timer, RETRY_DELAY_MS * GW_US_PER_MS,
	    on_retry, query);
}

static void
send_query(query_t *query)
{
	dispatch_query_ownership(query->dispatch, query->address, query->shard,
	    QUERY_TIMEOUT_MS, on_response, query);
}

void
previous_owner_query(gw_rt_t *rt, dispatch_t *dispatch, owners_t *owners,
    const char *shard, const char *address, bool is_last)
{
	query_t *query = g_new0(query_t, 1);

	query->rt = rt;
	query->dispatch = dispatch;
	query->owners = owners;
	g_strlcpy(query->shard, shard, sizeof(query->shard));
	g_strlcpy(query->address, address, sizeof(query->address));
	query->fence = owner_fence(owners_find(owners, shard));
	query->is_last = is_last;
	query->end_us = gw_rt_now_us(rt) + PERIOD_MS * GW_US_PER_MS;
	send_query(query);
}
