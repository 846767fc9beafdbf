#ifndef GWENTRYD_PEERS_H
#define GWENTRYD_PEERS_H

#include "gw/runtime.h"
#include "wire/conn.h"

/*
 * Calls between entry processes: one connection to each, made when needed, and
 * the answers matched by number.
 */
typedef struct peers peers_t;

/* How a call ended without a reply. */
typedef enum {
	PEERS_NOT_SENT, /* the owner surely has not seen it */
	PEERS_BROKEN	/* the owner may have seen it */
} peers_failure_t;

/* One of reply and failure counts: reply is NULL for a failure. */
typedef void (*peers_reply_cb_t)(const Gw__Reply *, peers_failure_t, void *arg);

/*
 * Handles a call of another process. It answers once with peers_answer(); the
 * ticket is valid until then, also when the connection has gone.
 */
typedef struct peers_ticket peers_ticket_t;
typedef void (*peers_call_cb_t)(const Gw__Call *, peers_ticket_t *, void *arg);

peers_t *peers_new(
    gw_rt_t *, const gw_addr_t *listen, peers_call_cb_t, void *arg, gw_err_t *);
/* Sends the call; the number is set here. The callback comes from the loop. */
void peers_call(peers_t *, const char *address, Gw__Call *, uint64_t timeout_ms,
    peers_reply_cb_t, void *arg);
void peers_answer(peers_ticket_t *, Gw__Reply *);

#endif
