#include <glib.h>

#include "former.h"

/* A former owner is asked while its answer could still shorten the wait. */
#define TIMEOUT_MS 400
#define RETRY_MS 200
#define TRIES_MAX 8

/* A question to the former owner of a pool. */
typedef struct {
	gw_rt_t *rt;
	dispatch_t *dispatch;
	service_t *service;
	char pool[SCHED_NAME_BYTES];
	char address[SCHED_NAME_BYTES];
	uint32_t tries;
	gw_timer_t timer;
} former_t;

static void ask(former_t *);

static void
on_retry(gw_timer_t *timer, void *arg)
{
	(void)timer;
	ask(arg);
}

/*
 * A process that says that it does not own the pool has given it up, or has
 * been started again; one that does not answer is asked again.
 */
static void
on_former(const Gw__Reply *reply, void *arg)
{
	former_t *former = arg;
	owner_t *owner = service_owner(former->service, former->pool);

	if (owner != NULL && reply->outcome == GW__CALL_OUTCOME__CALL_ABSENT)
		sched_pool_former_gone(
		    owner_pool(owner), reply->leases, reply->n_leases);
	if (owner == NULL || reply->outcome == GW__CALL_OUTCOME__CALL_ABSENT ||
	    ++former->tries >= TRIES_MAX) {
		g_free(former);
		return;
	}
	gw_timer_start(former->rt, &former->timer, RETRY_MS * GW_US_PER_MS,
	    on_retry, former);
}

static void
ask(former_t *former)
{
	dispatch_query_ownership(former->dispatch, former->address,
	    former->pool, TIMEOUT_MS, on_former, former);
}

/*
 * Asks, and tells the pool when the answer is that the former owner has gone.
 */
void
former_ask(gw_rt_t *rt, dispatch_t *dispatch, service_t *service,
    const char *pool, const char *address)
{
	former_t *former = g_new0(former_t, 1);

	former->rt = rt;
	former->dispatch = dispatch;
	former->service = service;
	g_strlcpy(former->pool, pool, sizeof(former->pool));
	g_strlcpy(former->address, address, sizeof(former->address));
	ask(former);
}
