#ifndef GWROUTED_SWEEP_H
#define GWROUTED_SWEEP_H

typedef struct router router_t;

void sweep_gone_callers(router_t *);

#endif
