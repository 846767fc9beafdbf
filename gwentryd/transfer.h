#ifndef GWENTRYD_TRANSFER_H
#define GWENTRYD_TRANSFER_H

#include "dispatch.h"
#include "owners.h"
#include "view.h"

/*
 * Transfers of jobs between the shards of a pool (sched/transfer.c): the choice
 * of the other shard, the calls between the two owners, and the adoption of a
 * job from its records.
 */
typedef struct {
	gw_rt_t *rt;
	store_t *store;
	dispatch_t *dispatch;
	owners_t *owners;
	const view_t *view;
	uint32_t shard_count;
} transfer_t;

/*
 * Finds a shard that can run the job, by the entries of the registry. Returns
 * false if there is none.
 */
bool transfer_find_shard(const transfer_t *, const char *shard,
    const sched_seeker_t *, char to[SCHED_NAME_BYTES]);
/* Asks the owner of the shard to whether it has room for the job. */
void transfer_ask_room(const transfer_t *, const char *shard,
    const sched_seeker_t *, const char *to);
/* Tells the owner of the shard to that the store has the job there. */
void transfer_tell_adopt(
    const transfer_t *, const char *shard, const char *to, const char *id);
/*
 * Lets the shard's owner adopt the job if the store has it in that shard, and
 * forget its transfer if not.
 */
void transfer_find_records(
    const transfer_t *, const char *shard, const char *id);
/* Handle a CALL_ADOPT and a CALL_ROOM from another owner. */
void transfer_handle_adopt(
    const transfer_t *, const Gw__Call *, dispatch_response_cb_t, void *arg);
void transfer_handle_room(
    const transfer_t *, const Gw__Call *, dispatch_response_cb_t, void *arg);

#endif
