#ifndef POLICY_PLAN_INDEX_H
#define POLICY_PLAN_INDEX_H

#include "policy/plan.h"

/* Available instances of one pool in one failure domain. */
typedef struct {
	const char *name;
	uint32_t available;
} plan_domain_t;

/* Availability that planned stops must leave to a pool, by one manifest. */
typedef struct {
	bool bounded;
	uint32_t instances; /* of the pool in this data centre */
	uint32_t minimum;
	uint32_t floor;	  /* fewest available instances the budget allows */
	bool keep_domain; /* floor holds after the loss of a failure domain */
} plan_floor_t;

/* One pool in this data centre, with actions of the round taken out. */
typedef struct {
	const char *name;
	const manifest_pool_t *pool; /* NULL: not in the manifest in force */
	plan_floor_t now, before;
	uint32_t available;
	uint32_t inbound;  /* instances that are moving here */
	uint32_t serviced; /* instances in maintenance */
	GArray *domains;   /* plan_domain_t */
	GPtrArray *active; /* member_instance_t */
} plan_pool_t;

/* Pools and instances of a data centre by name, for one round. */
typedef struct {
	const plan_input_t *input;
	GHashTable *pools;  /* name -> plan_pool_t */
	GPtrArray *ordered; /* plan_pool_t, in the order of the manifest */
	GHashTable *taken;  /* id of an instance with an action */
} plan_index_t;

plan_index_t *plan_index_new(const plan_input_t *, const GPtrArray *actions);
void plan_index_free(plan_index_t *);
plan_pool_t *plan_index_pool(const plan_index_t *, const char *name);
bool plan_index_taken(const plan_index_t *, const member_instance_t *);
/* Records that a planned action takes the instance out of service. */
void plan_index_take(plan_index_t *, const member_instance_t *);
/* How many more available instances planned actions may take out. */
uint32_t plan_pool_left(const plan_pool_t *);
bool plan_pool_may_take(const plan_pool_t *, const member_instance_t *);
uint32_t plan_pool_largest_domain(const plan_pool_t *);

bool plan_in_service(const member_instance_t *);

plan_action_t *plan_action_add(GPtrArray *actions, plan_action_kind_t,
    const char *instance_id, const char *target_pool);

#endif
