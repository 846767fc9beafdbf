#ifndef GWROUTED_POOL_H
#define GWROUTED_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "instance.h"
#include "manifest/manifest.h"
#include "policy/choice.h"
#include "policy/fairq.h"
#include "policy/outlier.h"
#include "retry.h"
#include "settings.h"

/* Callbacks for requests that leave the queue of a pool. */
typedef struct {
	/* Starts an attempt on the instance, which has a free slot. */
	void (*start)(fairq_item_t *, instance_t *);
	/* The deadline of the request has passed in the queue. */
	void (*expired)(fairq_item_t *, void *);
} pool_ops_t;

/*
 * The demand on a pool, as heartbeats report it to the planner. slots_wanted
 * covers the period since the last report, refused the time since the start of
 * the process.
 */
typedef struct {
	uint32_t queued;
	uint32_t in_flight;
	uint32_t slots_wanted;
	uint64_t refused;
} pool_demand_t;

/*
 * A pool in this router: the queue of its requests, its instances, the state
 * used to pick one of them, and the retry budget.
 */
struct pool {
	char name[GW_NAME_BYTES];
	gw_rt_t *rt;
	const pool_ops_t *ops;
	const member_router_contact_t *contact;
	const choice_ops_t *choice;
	GRand *rand;
	fairq_t *queue;
	GHashTable *teams;    /* names of teams whose weight is set in queue */
	GPtrArray *instances; /* instance_t, not owned */
	GArray *candidates; /* choice_candidate_t, in the order of instances */
	outlier_t *outlier;
	retry_budget_t retries;
	uint32_t slots; /* granted on instances that can be picked now */
	uint32_t in_flight;
	uint32_t in_flight_peak;  /* since the last heartbeat */
	uint64_t refused;	  /* requests, since the start of the process */
	bool has_reported_demand; /* a heartbeat has named this pool */
	/* As of the last heartbeat that named this pool. */
	pool_demand_t reported_demand;
	bool dispatching; /* pool_dispatch() is running */
};

pool_t *pool_new(gw_rt_t *, const settings_t *, const char *name,
    const pool_ops_t *, const member_router_contact_t *, GRand *);
void pool_free(pool_t *);
void pool_set_teams(pool_t *, const manifest_t *);
void pool_add_instance(pool_t *, instance_t *);
void pool_remove_instance(pool_t *, instance_t *);
void pool_refresh(pool_t *);
bool pool_has_free_slot(pool_t *);
void pool_dispatch(pool_t *);
void pool_attempt_started(pool_t *, instance_t *, bool was_time_bound);
void pool_attempt_ended(pool_t *, instance_t *, bool was_time_bound);
void pool_record_result(pool_t *, instance_t *, outlier_result_t);
pool_demand_t pool_take_demand(pool_t *);

#endif
