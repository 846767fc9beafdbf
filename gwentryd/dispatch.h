#ifndef GWENTRYD_DISPATCH_H
#define GWENTRYD_DISPATCH_H

#include "gw/runtime.h"
#include "peers.h"
#include "roles.h"

/*
 * Forwards calls to the owner of a shard, in this process or in another entry
 * process, and passes calls that others forward to this process to a handler.
 */
typedef struct dispatch dispatch_t;

/* Handles a call in this process and replies to it once. */
typedef void (*dispatch_response_cb_t)(const Gw__Reply *, void *arg);
typedef void (*dispatch_handler_t)(
    const Gw__Call *, dispatch_response_cb_t, void *response_arg, void *arg);

dispatch_t *dispatch_new(gw_rt_t *, roles_t *, const gw_addr_t *listen,
    dispatch_handler_t, void *arg, gw_err_t *);
/* Asks the process at address whether it owns the shard. */
void dispatch_query_ownership(dispatch_t *, const char *address,
    const char *shard, uint64_t timeout_ms, dispatch_response_cb_t, void *arg);
/*
 * Forwards a copy of the call and passes one reply to the callback within
 * timeout_ms, perhaps before this returns. CALL_REFUSED means that the call was
 * certainly not accepted, CALL_UNKNOWN that it may have been.
 */
void dispatch_call(dispatch_t *, const Gw__Call *, uint64_t timeout_ms,
    dispatch_response_cb_t, void *arg);

#endif
