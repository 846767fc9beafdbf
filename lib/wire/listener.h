#ifndef WIRE_LISTENER_H
#define WIRE_LISTENER_H

#include "wire/conn.h"

/* Accepts framed connections; each one gets the listener's ops and arg. */
typedef struct gw_listener gw_listener_t;
typedef void (*gw_accept_cb_t)(gw_conn_t *, void *arg);

gw_listener_t *gw_listener_new(gw_rt_t *, const gw_addr_t *,
    const gw_conn_ops_t *, gw_accept_cb_t, void *arg, gw_err_t *);
const gw_addr_t *gw_listener_addr(const gw_listener_t *);
void gw_listener_close(gw_listener_t *);

#endif
