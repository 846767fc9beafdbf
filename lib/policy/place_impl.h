#ifndef POLICY_PLACE_IMPL_H
#define POLICY_PLACE_IMPL_H

#include "policy/place.h"

struct place_node {
	char id[GW_NAME_BYTES];
	char rack[GW_NAME_BYTES];
	place_size_t size, used;
	bool lost;
	GPtrArray *jobs; /* place_job_t */
};

typedef struct {
	char name[GW_NAME_BYTES];
	uint32_t weight;
	place_size_t quota, used;
	GQueue urgent, normal; /* place_job_t, waiting */
} place_team_t;

/* Largest recent usage of the jobs of one kind. */
typedef struct {
	place_size_t peak;
	uint32_t reports;
} place_kind_t;

struct place {
	const place_ops_t *ops;
	GPtrArray *nodes;   /* place_node_t */
	GPtrArray *teams;   /* place_team_t */
	GHashTable *kinds;  /* "team/kind" -> place_kind_t */
	GPtrArray *unknown; /* place_job_t to report */
	place_size_t total;
};

struct place_ops {
	const char *name;
	place_size_t (*size)(const place_t *, const place_job_t *);
	bool gives_way; /* other work makes room for urgent jobs */
	bool in_order;	/* a job that does not fit holds up the rest */
};

bool place_fits(const place_size_t *, const place_size_t *free);
void place_add(place_size_t *, const place_size_t *);
void place_subtract(place_size_t *, const place_size_t *);
place_size_t place_free_of(const place_node_t *);
place_team_t *place_team(place_t *, const char *name);
const place_kind_t *place_kind(const place_t *, const place_job_t *);
void place_start(
    place_t *, place_job_t *, place_node_t *, GPtrArray *decisions);
bool place_make_room(place_t *, place_job_t *, GPtrArray *decisions);
place_decision_t *place_decide(
    GPtrArray *decisions, place_action_t, place_job_t *, const place_node_t *);

#endif
