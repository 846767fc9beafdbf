#ifndef GWWORKERD_REGISTRY_H
#define GWWORKERD_REGISTRY_H

#include "store/store.h"
#include "worker.h"

/* Registers a worker in the store under a lease, as long as it is not muted. */
typedef struct registry registry_t;

registry_t *registry_new(
    gw_rt_t *, store_t *, const worker_t *, const char *pool, const char *dc);

#endif
