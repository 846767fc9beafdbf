#ifndef GWENTRYD_DISPATCH_H
#define GWENTRYD_DISPATCH_H

#include "gw/runtime.h"
#include "peers.h"
#include "roles.h"

/*
 * Brings a caller's request to the owner of its pool, in this process or in
 * another, and answers the requests that others bring here.
 */
typedef struct dispatch dispatch_t;

/* Handles a request for a pool that this process owns. */
typedef void (*dispatch_reply_t)(const Gw__Reply *, void *arg);
typedef void (*dispatch_serve_t)(
    const Gw__Call *, dispatch_reply_t, void *reply_arg, void *arg);

dispatch_t *dispatch_new(gw_rt_t *, roles_t *, const gw_addr_t *listen,
    dispatch_serve_t, void *arg, gw_err_t *);
/* Asks the process at address whether it still owns the pool. */
void dispatch_ask_former(dispatch_t *, const char *address, const char *pool,
    uint64_t timeout_ms, dispatch_reply_t, void *arg);
/*
 * Sends the request (copied) and reports one reply within timeout_ms. Refused
 * means that it surely was not taken; unknown that it may have been.
 */
void dispatch_call(dispatch_t *, const Gw__Call *, uint64_t timeout_ms,
    dispatch_reply_t, void *arg);

#endif
