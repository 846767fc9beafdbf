#ifndef GWENTRYD_LEASE_H
#define GWENTRYD_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "gw/runtime.h"
#include "store/store.h"

/*
 * This process's lease at the store. It is opened and renewed; after it has
 * ended, a new one is opened. Its validity counts from just before the request
 * is sent, on a clock that keeps running while the machine is suspended.
 */
typedef struct lease lease_t;

typedef struct {
	/* The store has granted a lease. */
	void (*on_open)(void *arg);
	/*
	 * The lease has ended, or was not renewed within the grace period
	 * after its expiry. A new lease is opened.
	 */
	void (*on_lost)(const char *reason, void *arg);
} lease_ops_t;

/*
 * ttl_ms: time without a renewal after which the lease expires at the store.
 * grace_ms: how long a lease that may have expired is kept before it counts as
 * lost.
 */
lease_t *lease_new(gw_rt_t *, store_t *, uint32_t ttl_ms, uint32_t grace_ms,
    const lease_ops_t *, void *arg);
/* The lease's id at the store; 0 while there is none. */
uint64_t lease_id(const lease_t *);
/* Until when the lease cannot have expired; 0 while there is none. */
uint64_t lease_valid_until_us(const lease_t *);
bool lease_valid(const lease_t *);
/* A write was refused because the lease has ended. */
void lease_mark_ended(lease_t *);
/* Ends the lease at the store, which removes its keys; none is opened later. */
void lease_end(lease_t *);

#endif
