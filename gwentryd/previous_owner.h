#ifndef GWENTRYD_PREVIOUS_OWNER_H
#define GWENTRYD_PREVIOUS_OWNER_H

#include "dispatch.h"
#include "owners.h"

/*
 * Asks the process at address, the previous owner of the shard, whether it has
 * released the shard and when its leases expire, so that the new owner waits no
 * longer than needed for instances that it cannot reach.
 */
void previous_owner_query(gw_rt_t *, dispatch_t *, owners_t *,
    const char *shard, const char *address);

#endif
