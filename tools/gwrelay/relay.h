#ifndef GWRELAY_RELAY_H
#define GWRELAY_RELAY_H

#include "gw/addr.h"
#include "gw/err.h"
#include "gw/runtime.h"

typedef enum {
	RELAY_HEALED,
	RELAY_SILENT, /* bytes and new connections wait until healed */
	RELAY_CLOSED  /* connections are closed, new ones at once */
} relay_mode_t;

/* Forwards TCP connections from one address to another. */
typedef struct relay relay_t;

relay_t *relay_new(
    gw_rt_t *, const gw_addr_t *from, const gw_addr_t *to, gw_err_t *);
void relay_set_mode(relay_t *, relay_mode_t);

#endif
