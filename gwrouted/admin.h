#ifndef GWROUTED_ADMIN_H
#define GWROUTED_ADMIN_H

#include "gw/err.h"

typedef struct router router_t;

/* The server of /healthz, /readyz and /metrics. */
typedef struct admin admin_t;

admin_t *admin_new(router_t *, gw_err_t *);
void admin_shutdown(admin_t *);
void admin_free(admin_t *);

#endif
