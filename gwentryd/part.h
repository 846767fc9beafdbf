#ifndef GWENTRYD_PART_H
#define GWENTRYD_PART_H

#include "transfer.h"

/*
 * The calls between the owners of shards that have parts of one job
 * (sched/part.c), and the rows of the store with tasks that are handed over.
 */

/* Calls the owner of another shard on behalf of that of shard. */
void part_tell(
    const transfer_t *, const char *shard, const sched_part_call_t *);
/* Handles a CALL_PART from another owner. */
void part_handle_call(
    const transfer_t *, const Gw__Call *, dispatch_response_cb_t, void *arg);

#endif
