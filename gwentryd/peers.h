#ifndef GWENTRYD_PEERS_H
#define GWENTRYD_PEERS_H

#include "gw/runtime.h"
#include "wire/conn.h"

/*
 * Calls between entry processes, over one connection to each process, which is
 * opened when needed. A response is matched to its call by number.
 */
typedef struct peers peers_t;

/* Why a call ended without a response. */
typedef enum {
	PEERS_NOT_SENT,	  /* the peer cannot have received it */
	PEERS_NO_RESPONSE /* sent; the peer may have received it */
} peers_failure_t;

/* Gets the response, or NULL and the failure. */
typedef void (*peers_response_cb_t)(
    const Gw__Reply *, peers_failure_t, void *arg);

/*
 * Handles a call from another process, and replies once with peers_reply(). The
 * responder is valid until then, even if the connection closes.
 */
typedef struct peers_responder peers_responder_t;
typedef void (*peers_call_cb_t)(
    const Gw__Call *, peers_responder_t *, void *arg);

peers_t *peers_new(
    gw_rt_t *, const gw_addr_t *listen, peers_call_cb_t, void *arg, gw_err_t *);
/* Bounds the connections that others open, by the process's descriptors. */
void peers_set_descriptors(peers_t *, uint32_t descriptors);
/*
 * Sends the call, whose number is set here. The callback is called once, from
 * the event loop, after timeout_ms at the latest.
 */
void peers_call(peers_t *, const char *address, Gw__Call *, uint64_t timeout_ms,
    peers_response_cb_t, void *arg);
void peers_reply(peers_responder_t *, Gw__Reply *);

#endif
