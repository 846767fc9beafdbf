#ifndef GWENTRYD_PREVIOUS_OWNER_H
#define GWENTRYD_PREVIOUS_OWNER_H

#include "dispatch.h"
#include "owners.h"

/*
 * Asks the process at address, the previous owner of the pool, whether it has
 * released the pool. Then the new owner here waits no longer than needed for
 * instances that it cannot reach.
 */
void previous_owner_query(
    gw_rt_t *, dispatch_t *, owners_t *, const char *pool, const char *address);

#endif
