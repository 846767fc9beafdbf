#ifndef GWENTRYD_DISPATCH_H
#define GWENTRYD_DISPATCH_H

#include "gw/runtime.h"
#include "peers.h"
#include "roles.h"

/*
 * Forwards calls to the owner of a shard, in this or in another entry process.
 * Calls for owners in this process are passed to a handler.
 */
typedef struct dispatch dispatch_t;

/* Handles a call in this process, and passes one response to the callback. */
typedef void (*dispatch_response_cb_t)(const Gw__Reply *, void *arg);
typedef void (*dispatch_handler_t)(
    const Gw__Call *, dispatch_response_cb_t, void *response_arg, void *arg);

/* Bounds other processes' connections; see peers_set_descriptors(). */
void dispatch_set_descriptors(dispatch_t *, uint32_t descriptors);
dispatch_t *dispatch_new(gw_rt_t *, roles_t *, const gw_addr_t *listen,
    dispatch_handler_t, void *arg, gw_err_t *);
/* Asks the process at address whether it owns the shard. */
void dispatch_query_ownership(dispatch_t *, const char *address,
    const char *shard, uint64_t timeout_ms, dispatch_response_cb_t, void *arg);
/*
 * Forwards a copy of the call, and passes one response to the callback within
 * timeout_ms, possibly before the function returns. CALL_REFUSED means that the
 * call was not accepted, CALL_UNKNOWN that it may have been.
 */
void dispatch_call(dispatch_t *, const Gw__Call *, uint64_t timeout_ms,
    dispatch_response_cb_t, void *arg);
/*
 * The same for a call that is not repeated once is_wanted(arg) returns false:
 * its caller has left, and may have cancelled it.
 */
void dispatch_call_while(dispatch_t *, const Gw__Call *, uint64_t timeout_ms,
    bool (*is_wanted)(void *arg), dispatch_response_cb_t, void *arg);

#endif
