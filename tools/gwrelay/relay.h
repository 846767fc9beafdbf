#ifndef GWRELAY_RELAY_H
#define GWRELAY_RELAY_H

#include "gw/addr.h"
#include "gw/err.h"
#include "gw/runtime.h"

typedef enum {
	RELAY_FORWARDING,
	RELAY_SILENT, /* data and new connections are held back */
	RELAY_CLOSED  /* all connections are closed, new ones at once */
} relay_mode_t;

/* Accepts TCP connections and forwards each to a target address. */
typedef struct relay relay_t;

relay_t *relay_new(gw_rt_t *, const gw_addr_t *listen_addr,
    const gw_addr_t *target_addr, gw_err_t *);
void relay_set_mode(relay_t *, relay_mode_t);

#endif
