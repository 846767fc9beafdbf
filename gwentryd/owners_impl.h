#ifndef GWENTRYD_OWNERS_IMPL_H
#define GWENTRYD_OWNERS_IMPL_H

#include "owners.h"

/* What owners.c and owners_call.c share. */

struct owners {
	gw_rt_t *rt;
	store_t *store;
	char data_centre[SCHED_NAME_BYTES];
	sched_bounds_t bounds;
	sched_window_t *window;	      /* of starts in flight, of all owners */
	const sched_config_t *config; /* in force; NULL before the first */
	uint64_t seen_version;	      /* see sched_config_claim_t */
	const owner_ops_t *ops;
	void *arg;
	GHashTable *by_shard; /* shard name -> owner_t */
	/* Of the shards that this process has released, for later owners. */
	GHashTable *handovers; /* shard name -> sched_handover_t */
	uint32_t shard_count;  /* shards of each pool; 0: not known yet */
	bool closing;	       /* submits and cancels are refused */
};

#endif
