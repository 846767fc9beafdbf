#ifndef GWENTRYD_PREVIOUS_OWNER_H
#define GWENTRYD_PREVIOUS_OWNER_H

#include "dispatch.h"
#include "owners.h"

/*
 * Asks the process at address, an earlier owner of the shard, whether it has
 * released the shard, and which runs it has seen end that no record may show.
 * Only the last owner knows when the leases of the instances expire, so that
 * the new owner waits no longer than needed for those that it cannot reach.
 */
void previous_owner_query(gw_rt_t *, dispatch_t *, owners_t *,
    const char *shard, const char *address, bool is_last);

#endif
