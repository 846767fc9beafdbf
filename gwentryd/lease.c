#include <glib.h>

#include "gw/log.h"
#include "lease.h"

/*
 * Several renewals are sent within the TTL, so that the loss of a response does
 * not end the lease.
 */
#define RENEW_INTERVAL_MS 450
/* Delay before a failed call is tried again. */
#define RETRY_DELAY_MS 100

struct lease {
	gw_rt_t *rt;
	store_t *store;
	uint32_t ttl_ms;   /* requested from the store */
	uint32_t grace_ms; /* from the expiry until the lease counts as lost */
	const lease_ops_t *ops;
	void *arg;
	uint64_t id;		 /* 0: no lease */
	uint64_t call_sent_us;	 /* when the call in flight was sent */
	uint64_t valid_until_us; /* by the last renewal */
	bool call_in_flight;
	bool closed; /* lease_end() was called */
	gw_timer_t renew_timer;
};

static void open_or_renew(lease_t *);

static void
mark_lost(lease_t *lease, const char *reason)
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
	open_or_renew(arg);
}

static void
on_lease(uint64_t id, uint32_t ttl_ms, const gw_err_t *err, void *arg)
{
	lease_t *lease = arg;
	uint64_t delay_ms = RENEW_INTERVAL_MS;
	bool is_new = err == NULL && lease->id == 0;

	lease->call_in_flight = false;
	if (lease->closed)
		return;
	if (err == NULL) {
		if (is_new) {
			lease->id = id;
			gw_log(GW_EV_LEASE_OPEN, "lease=%" PRIu64 " ttl_ms=%u",
			    id, ttl_ms);
		}
		lease->valid_until_us = lease->call_sent_us +
		    (ttl_ms == 0 ? lease->ttl_ms : ttl_ms) * GW_US_PER_MS;
	} else {
		if (err->code == GW_ERR_NOT_FOUND && lease->id != 0)
			mark_lost(lease, "ended");
		delay_ms = RETRY_DELAY_MS;
	}
	if (is_new)
		lease->ops->on_open(lease->arg);
	gw_timer_start(lease->rt, &lease->renew_timer, delay_ms * GW_US_PER_MS,
	    on_renew, lease);
}

/*
 * Opens or renews the lease, unless a call is in flight.
 */
static void
open_or_renew(lease_t *lease)
{
	uint64_t now_us = gw_rt_now_us(lease->rt);

	if (lease->closed || lease->call_in_flight)
		return;
	if (lease->id != 0 &&
	    now_us > lease->valid_until_us + lease->grace_ms * GW_US_PER_MS) {
		/* A new lease is opened; the keys of this one expire. */
		mark_lost(lease, "not-renewed");
	}
	lease->call_sent_us = now_us;
	lease->call_in_flight = true;
	if (lease->id == 0)
		store_lease_open(lease->store, lease->ttl_ms, on_lease, lease);
	else
		store_lease_keepalive(lease->store, lease->id, on_lease, lease);
}

/*
 * Creates a lease object, and begins to open a lease at the store.
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
	open_or_renew(lease);
	return lease;
}

/*
 * Returns the lease's id at the store, or 0.
 */
uint64_t
lease_id(const lease_t *lease)
{
	return lease->id;
}

/*
 * Returns the time until which the last renewal keeps the lease, or 0 if there
 * is no lease.
 */
uint64_t
lease_valid_until_us(const lease_t *lease)
{
	return lease->id == 0 ? 0 : lease->valid_until_us;
}

/*
 * Returns whether the lease cannot have expired.
 */
bool
lease_valid(const lease_t *lease)
{
	return gw_rt_now_us(lease->rt) < lease_valid_until_us(lease);
}

/*
 * Drops a lease that has ended, and all that is under it; the next renewal
 * opens a new one.
 */
void
lease_mark_ended(lease_t *lease)
{
	if (lease->id != 0)
		mark_lost(lease, "ended");
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
 * Ends the lease at the store and opens no other.
 */
void
lease_end(lease_t *lease)
{
	if (lease->closed)
		return;
	lease->closed = true;
	gw_timer_stop(&lease->renew_timer);
	if (lease->id != 0)
		store_lease_close(lease->store, lease->id, on_ended, lease);
}
