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

/* What a pool asks of its router. */
typedef struct {
	void (*start)(fairq_item_t *, instance_t *);
	void (*expired)(fairq_item_t *, void *);
} pool_ops_t;

/* What a heartbeat tells the planner of a pool. */
typedef struct {
	uint32_t queued;
	uint32_t in_flight;
	uint32_t slots_wanted;
	uint64_t refused;
} pool_demand_t;

/* A pool as one router serves it: queue, instances, choice, retry budget. */
struct pool {
	char name[GW_NAME_BYTES];
	gw_rt_t *rt;
	const pool_ops_t *ops;
	const member_router_contact_t *contact;
	const choice_ops_t *choice;
	GRand *rand;
	fairq_t *queue;
	GHashTable *teams;    /* names whose weight is set */
	GPtrArray *instances; /* instance_t, not owned */
	GArray *choices;      /* choice_candidate_t, same order */
	outlier_t *outlier;
	retry_budget_t retries;
	uint32_t slots; /* granted on usable instances */
	uint32_t in_flight;
	uint32_t in_flight_peak; /* since the last heartbeat */
	uint64_t refused;
	bool is_reported;	/* the planner has been told of it */
	pool_demand_t reported; /* as the planner holds it */
	bool dispatching;
};

pool_t *pool_new(gw_rt_t *, const settings_t *, const char *name,
    const pool_ops_t *, const member_router_contact_t *, GRand *);
void pool_free(pool_t *);
void pool_set_teams(pool_t *, const manifest_t *);
void pool_add(pool_t *, instance_t *);
void pool_remove(pool_t *, instance_t *);
void pool_refresh(pool_t *);
bool pool_has_room(pool_t *);
void pool_dispatch(pool_t *);
void pool_started(pool_t *, instance_t *, bool bound);
void pool_ended(pool_t *, instance_t *, bool bound);
void pool_report(pool_t *, instance_t *, outlier_result_t);
pool_demand_t pool_take_demand(pool_t *);

#endif
