#ifndef POLICY_PLAN_INDEX_H
#define POLICY_PLAN_INDEX_H

#include "policy/plan.h"

/* Available instances of one pool in one failure domain. */
typedef struct {
	const char *name;
	uint32_t available;
} plan_domain_t;

/* Availability that planned stops must leave to a pool by one manifest. */
typedef struct {
	bool in_manifest;   /* false: no limit, the rest is not set */
	uint32_t instances; /* of the pool in this data centre */
	uint32_t minimum;   /* fewest available instances whatever the budget */
	uint32_t floor;	    /* fewest available instances the budget allows */
	/* The floor must hold after the loss of any one failure domain. */
	bool reserve_domain;
} plan_floor_t;

/*
 * One pool in this data centre. Instances with an action in this round are
 * left out.
 */
typedef struct {
	const char *name;
	const manifest_pool_t *pool;	/* NULL: not in the manifest in force */
	plan_floor_t current, previous; /* by each manifest in use */
	uint32_t available;		/* active instances without an action */
	uint32_t inbound;	 /* instances that are moving to the pool */
	uint32_t in_maintenance; /* instances in maintenance */
	GArray *domains;	 /* plan_domain_t */
	GPtrArray *active; /* member_instance_t, those counted as available */
} plan_pool_t;

/* Pools and instances of a data centre by name, for one round. */
typedef struct {
	const plan_input_t *input;
	GHashTable *pools;	 /* name -> plan_pool_t */
	GPtrArray *ordered;	 /* plan_pool_t, in the order of the manifest */
	GHashTable *with_action; /* ids of instances, PLAN_BIND_TIME aside */
} plan_index_t;

plan_index_t *plan_index_new(const plan_input_t *, const GPtrArray *actions);
void plan_index_free(plan_index_t *);
plan_pool_t *plan_index_pool(const plan_index_t *, const char *name);
bool plan_index_has_action(const plan_index_t *, const member_instance_t *);
/* Records an action that takes the instance out of its pool. */
void plan_index_remove_instance(plan_index_t *, const member_instance_t *);
/* Returns how many more instances may be taken out of the pool. */
uint32_t plan_pool_removable_count(const plan_pool_t *);
bool plan_pool_may_remove(const plan_pool_t *, const member_instance_t *);
uint32_t plan_pool_largest_domain(const plan_pool_t *);

bool plan_in_maintenance(const member_instance_t *);

plan_action_t *plan_action_add(GPtrArray *actions, plan_action_kind_t,
    const char *instance_id, const char *target_pool);

#endif
