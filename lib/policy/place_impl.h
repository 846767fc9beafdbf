#ifndef POLICY_PLACE_IMPL_H
#define POLICY_PLACE_IMPL_H

#include "policy/place.h"

struct place_node {
	char id[GW_NAME_BYTES];
	char rack[GW_NAME_BYTES];
	place_size_t size, used; /* used: reserved by its jobs */
	bool lost;		 /* until place_set_node() */
	GPtrArray *jobs;	 /* place_job_t */
};

typedef struct {
	char name[GW_NAME_BYTES];
	uint32_t weight;
	place_size_t quota, used; /* used: reserved by its running jobs */
	GQueue urgent, normal;	  /* place_job_t, waiting */
} place_team_t;

/* Usage of the jobs of one kind of a team. */
typedef struct {
	place_size_t peak; /* largest, decays with each report */
	uint32_t reports;  /* usage reports recorded */
} place_kind_t;

struct place {
	const place_ops_t *ops;
	GPtrArray *nodes;   /* place_node_t */
	GPtrArray *teams;   /* place_team_t */
	GHashTable *kinds;  /* "team/kind" -> place_kind_t */
	GPtrArray *unknown; /* place_job_t to report in the next round */
	place_size_t total; /* sizes of the nodes that are not lost */
};

struct place_ops {
	const char *name;
	/* Returns what to reserve for the job. */
	place_size_t (*size)(const place_t *, const place_job_t *);
	bool preempts;	   /* other jobs give way to urgent ones */
	bool strict_order; /* a job that does not fit blocks its queue */
};

bool place_size_fits(const place_size_t *, const place_size_t *free);
void place_size_add(place_size_t *, const place_size_t *);
void place_size_subtract(place_size_t *, const place_size_t *);
place_size_t place_node_free_size(const place_node_t *);
place_team_t *place_team_lookup(place_t *, const char *name);
const place_kind_t *place_kind_lookup(const place_t *, const place_job_t *);
void place_start(
    place_t *, place_job_t *, place_node_t *, GPtrArray *decisions);
bool place_preempt(place_t *, place_job_t *, GPtrArray *decisions);
place_decision_t *place_decision_add(
    GPtrArray *decisions, place_action_t, place_job_t *, const place_node_t *);

#endif
