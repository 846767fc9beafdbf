#ifndef SCHED_QUOTA_H
#define SCHED_QUOTA_H

#include "sched/sched.h"

/*
 * The parts of the teams' quotas that a shard holds. A part is in the store
 * before it is used, and the parts of all shards add up to no more than the
 * quota. It belongs to the shard and not to its owner: the next owner of the
 * shard has it, with the runs that it stands for. docs/design/team-quotas.md
 * has the reasons.
 */

/*
 * How much a shard holds beyond what it uses. There are several, so that a
 * policy can be compared with the baseline.
 */
typedef struct sched_quota_policy sched_quota_policy_t;
/* Baseline: what is used and what tasks lack now. */
extern const sched_quota_policy_t sched_quota_exact;
/* Also some to spare, so that most jobs start without another write. */
extern const sched_quota_policy_t sched_quota_spare;
void sched_pool_set_quota_policy(sched_pool_t *, const sched_quota_policy_t *);
/* Sets among how many shards, of all pools, a quota is divided. */
void sched_pool_set_quota_parts(sched_pool_t *, uint32_t parts);

/* A change that the shard wants to its part of a team's quota. */
typedef struct {
	char team[SCHED_NAME_BYTES];
	sched_resources_t quota; /* a member that is 0 has no limit */
	sched_resources_t used;
	sched_resources_t held;
	sched_resources_t wanted;
	sched_resources_t
	    largest;	 /* what one of the tasks that lack it takes */
	bool is_lacking; /* tasks have room, but wait for it */
	bool must_read;	 /* held is not known, and no write is uncertain */
} sched_quota_change_t;

/*
 * Returns the changes that are wanted now (sched_quota_change_t); the caller
 * frees the array.
 */
GArray *sched_pool_quota_changes(sched_pool_t *);
/* Handles that the store shows this part, and others as the sum of the rest. */
void sched_pool_set_quota_held(sched_pool_t *, const char *name,
    const sched_resources_t *held, const sched_resources_t *others);
/*
 * Handles that a write of this part is about to be sent: what it gives back is
 * not used any more, whatever its outcome.
 */
void sched_pool_limit_quota_held(
    sched_pool_t *, const char *name, const sched_resources_t *);
/*
 * Handles that it is not known any more which part the store shows, since a
 * write of this shard may still take effect. It is written again.
 */
void sched_pool_forget_quota_held(sched_pool_t *, const char *name);
/* Another shard lacks the team's quota: gives back what is not used. */
void sched_pool_yield_quota(sched_pool_t *, const char *name);

/*
 * Returns the part that the shard can have by the record of the team's quota
 * (NULL: there is none): no more than is free beside the other parts, but no
 * less than it uses, and one task more while half of the quota is free.
 */
sched_resources_t sched_quota_grant(
    const Gw__QuotaRecord *, const char *shard, const sched_quota_change_t *);
/* Returns the shard's part by the record, and the sum of the others. */
sched_resources_t sched_quota_part(const Gw__QuotaRecord *, const char *shard);
sched_resources_t sched_quota_others(
    const Gw__QuotaRecord *, const char *shard);
/*
 * Returns the record with this part of the shard, in the encoding of the store;
 * NULL if no shard has a part any more.
 */
GBytes *sched_quota_encode(
    const Gw__QuotaRecord *, const char *shard, const sched_resources_t *part);
bool sched_resources_equal(
    const sched_resources_t *, const sched_resources_t *);

#endif
