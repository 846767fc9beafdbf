#include <glib.h>

#include "gw/log.h"
#include "lease.h"

/* Renewed some times within its time, so that one lost answer ends nothing. */
#define RENEW_MS 450
/* Pause after a call that failed. */
#define RETRY_MS 100

struct lease {
	gw_rt_t *rt;
	store_t *store;
	uint32_t ttl_ms;
	uint32_t grace_ms;
	const lease_ops_t *ops;
	void *arg;
	uint64_t id;
	uint64_t sent_us; /* when the call under way was sent */
	uint64_t valid_until_us;
	bool calling;
	bool ended;
	gw_timer_t renew;
};

static void step(lease_t *);

static void
lost(lease_t *lease, const char *reason)
{
	gw_log(
	    GW_EV_LEASE_LOST, "lease=%" PRIu64 " reason=%s", lease->id, reason);
	lease->id = 0;
	lease->ops->on_lost(reason, lease->arg);
}

static void
on_renew(gw_timer_t *timer, void *arg)
{
	(void)timer;
	step(arg);
}

static void
on_lease(uint64_t id, uint32_t ttl_ms, const gw_err_t *err, void *arg)
{
	lease_t *lease = arg;
	uint64_t delay_ms = RENEW_MS;

	lease->calling = false;
	if (lease->ended)
		return;
	if (err == NULL) {
		if (lease->id == 0) {
			lease->id = id;
			gw_log(GW_EV_LEASE_OPEN, "lease=%" PRIu64 " ttl_ms=%u",
			    id, ttl_ms);
		}
		lease->valid_until_us = lease->sent_us +
		    (ttl_ms == 0 ? lease->ttl_ms : ttl_ms) * GW_US_PER_MS;
	} else {
		if (err->code == GW_ERR_NOT_FOUND && lease->id != 0)
			lost(lease, "ended");
		delay_ms = RETRY_MS;
	}
	gw_timer_start(
	    lease->rt, &lease->renew, delay_ms * GW_US_PER_MS, on_renew, lease);
}

/*
 * Opens or renews the lease.
 */
static void
step(lease_t *lease)
{
	uint64_t now_us = gw_rt_now_us(lease->rt);

	if (lease->ended || lease->calling)
		return;
	if (lease->id != 0 &&
	    now_us > lease->valid_until_us + lease->grace_ms * GW_US_PER_MS) {
		/* A new lease, so that the keys of this one are let go. */
		lost(lease, "not-renewed");
	}
	lease->sent_us = now_us;
	lease->calling = true;
	if (lease->id == 0)
		store_lease_open(lease->store, lease->ttl_ms, on_lease, lease);
	else
		store_lease_keepalive(lease->store, lease->id, on_lease, lease);
}

/*
 * Begins to open a lease.
 */
lease_t *
lease_new(gw_rt_t *rt, store_t *store, uint32_t ttl_ms, uint32_t grace_ms,
    const lease_ops_t *ops, void *arg)
{
	lease_t *lease = g_new0(lease_t, 1);

	lease->rt = rt;
	lease->store = store;
	lease->ttl_ms = ttl_ms;
	lease->grace_ms = grace_ms;
	lease->ops = ops;
	lease->arg = arg;
	step(lease);
	return lease;
}

/*
 * Returns the store's number of the lease, or 0.
 */
uint64_t
lease_id(const lease_t *lease)
{
	return lease->id;
}

/*
 * Returns the end of the lease by the last renewal, or 0.
 */
uint64_t
lease_until_us(const lease_t *lease)
{
	return lease->id == 0 ? 0 : lease->valid_until_us;
}

/*
 * Tells whether the lease surely goes on.
 */
bool
lease_valid(const lease_t *lease)
{
	return gw_rt_now_us(lease->rt) < lease_until_us(lease);
}

/*
 * Drops a lease that has ended; the next step opens another.
 */
void
lease_forget(lease_t *lease)
{
	lease->id = 0;
}

static void
on_ended(uint64_t id, uint32_t ttl_ms, const gw_err_t *err, void *arg)
{
	(void)id;
	(void)ttl_ms;
	(void)arg;
	if (err != NULL)
		gw_log(GW_EV_LEASE_LOST,
		    "reason=release-failed err=%s text=\"%s\"",
		    gw_errc_name(err->code), err->text);
}

/*
 * Ends the lease at the store.
 */
void
lease_end(lease_t *lease)
{
	if (lease->ended)
		return;
	lease->ended = true;
	gw_timer_stop(&lease->renew);
	if (lease->id != 0)
		store_lease_close(lease->store, lease->id, on_ended, lease);
}
