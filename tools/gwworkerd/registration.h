#ifndef GWWORKERD_REGISTRATION_H
#define GWWORKERD_REGISTRATION_H

#include "store/store.h"
#include "worker.h"

/*
 * A worker's entry in the store. It is kept under a lease, which is renewed as
 * long as the worker is not muted, and removed when the worker has left.
 */
typedef struct registration registration_t;

registration_t *registration_new(gw_rt_t *, store_t *, worker_t *);
void registration_leave(registration_t *);

#endif
