#ifndef POLICY_PLAN_H
#define POLICY_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/clock.h"
#include "manifest/manifest.h"
#include "member/member.h"

/* Demand of one pool in one data centre, from the reports of its routers. */
typedef struct {
	char pool[MANIFEST_NAME_BYTES];
	uint32_t queued;
	uint32_t in_flight;
	uint32_t slots_wanted; /* sum of the routers' fairq_slots_wanted() */
	uint32_t refused;      /* requests since the last round */
	/* Idle slots of the pool in other data centres within reach. */
	uint32_t slots_elsewhere;
	uint32_t age_ms; /* of the oldest report that is counted */
} plan_demand_t;

typedef enum {
	PLAN_MOVE = 1,
	PLAN_REBOOT,
	PLAN_BIND_TIME /* make time-bound: usable only while contact lasts */
} plan_action_kind_t;

/* A decision about one instance, with the reason for the log. */
typedef struct {
	plan_action_kind_t kind;
	char instance_id[GW_NAME_BYTES];
	char target_pool[GW_NAME_BYTES]; /* of a move, else empty */
	char reason[96];
} plan_action_t;

/* Progress of a wave in this data centre. */
typedef struct {
	char name[MANIFEST_NAME_BYTES];
	bool started;
	bool halted;
	char halt_reason[96];
	GHashTable *done;   /* instance id -> NULL */
	GHashTable *failed; /* instance id -> NULL */
} plan_wave_t;

/* Input of one planner round, which the policies only read. */
typedef struct {
	const manifest_t *manifest;
	/* Previous generation, NULL once manifest is in force everywhere. */
	const manifest_t *previous;
	const member_table_t *table;
	const GPtrArray *demand; /* plan_demand_t */
	const GPtrArray *waves;	 /* plan_wave_t */
	const char *data_centre;
} plan_input_t;

/* State that the lending policy keeps between rounds. */
typedef struct plan_lending plan_lending_t;

typedef struct {
	const char *name;
	void (*decide)(plan_lending_t *, const plan_input_t *, uint64_t now_us,
	    GPtrArray *actions);
} plan_lending_ops_t;

/* Baseline: no moves. */
extern const plan_lending_ops_t plan_lending_static;
extern const plan_lending_ops_t plan_lending_adaptive;

plan_lending_t *plan_lending_new(void);
void plan_lending_free(plan_lending_t *);
/* Instances of the data centre to keep idle, as of the last round. */
uint32_t plan_lending_buffer(const plan_lending_t *);
/*
 * Instances of the pool to reserve for requests, busy ones included, as of the
 * last round; UINT32_MAX when the pool is not known. Further instances may run
 * work that can be stopped at once.
 */
uint32_t plan_lending_reserve(const plan_lending_t *, const char *pool);

/*
 * Returns how many more instances of the pool may be taken out of service in
 * this data centre now, so that the budget holds even if the largest failure
 * domain is then lost.
 */
uint32_t plan_budget_left(const plan_input_t *, const char *pool);

/*
 * Returns true, and writes the reason, when too many instances of the wave
 * failed to come back.
 */
bool plan_wave_must_halt(
    const plan_wave_t *, char *reason, uint32_t size_bytes);

/* Appends as many reboots of the started waves as the budgets allow now. */
void plan_waves(const plan_input_t *, uint64_t now_us, GPtrArray *actions);

#endif
