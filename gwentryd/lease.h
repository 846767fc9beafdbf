#ifndef GWENTRYD_LEASE_H
#define GWENTRYD_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "gw/runtime.h"
#include "store/store.h"

/*
 * The lease of this process at the store: opened, renewed, and opened anew when
 * it has ended. Its time counts from the moment before a call is sent, on a
 * clock that goes on while the machine is suspended.
 */
typedef struct lease lease_t;

typedef struct {
	/*
	 * The lease has ended, or was not renewed for so long that nothing may
	 * count on it. Another is opened.
	 */
	void (*on_lost)(const char *reason, void *arg);
} lease_ops_t;

/*
 * ttl_ms: time after which the store ends the lease of a process that is gone.
 * grace_ms: how long a lease that is not renewed is kept after it may have
 * ended.
 */
lease_t *lease_new(gw_rt_t *, store_t *, uint32_t ttl_ms, uint32_t grace_ms,
    const lease_ops_t *, void *arg);
/* The store's number of the lease; 0 while there is none. */
uint64_t lease_id(const lease_t *);
/* Until when the store cannot have ended it; 0 while there is none. */
uint64_t lease_until_us(const lease_t *);
bool lease_valid(const lease_t *);
/* A write learned that the lease has ended. */
void lease_forget(lease_t *);
/* Ends it at the store, which removes its keys; no other is opened. */
void lease_end(lease_t *);

#endif
