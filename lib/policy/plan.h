#ifndef POLICY_PLAN_H
#define POLICY_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/clock.h"
#include "manifest/manifest.h"
#include "member/member.h"

/* What the planner observed of one pool in its data centre. */
typedef struct {
	char pool[MANIFEST_NAME_BYTES];
	uint32_t queued;
	uint32_t in_flight;
	uint32_t slots_wanted; /* demand in slots, as the routers report it */
	uint32_t refused;      /* since the last round */
	/* Idle slots of the pool in other data centres that can be reached. */
	uint32_t slots_elsewhere;
	uint32_t age_ms; /* of the report */
} plan_demand_t;

typedef enum {
	PLAN_MOVE = 1,
	PLAN_REBOOT,
	PLAN_BIND
} plan_action_kind_t;

/* A decision about one instance, with the reason for the log. */
typedef struct {
	plan_action_kind_t kind;
	char instance_id[GW_NAME_BYTES];
	char target_pool[GW_NAME_BYTES]; /* of a move */
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

/* Input of one planner round; nothing in it is changed. */
typedef struct {
	const manifest_t *manifest;
	const manifest_t *previous; /* until the newer is in force everywhere */
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

extern const plan_lending_ops_t plan_lending_static; /* baseline: no moves */
extern const plan_lending_ops_t plan_lending_adaptive;

plan_lending_t *plan_lending_new(void);
void plan_lending_free(plan_lending_t *);
/* Instances of the data centre to hold idle, as of the last round. */
uint32_t plan_lending_buffer(const plan_lending_t *);
/*
 * Instances of the pool to hold for requests, busy ones included. Those
 * beyond may run work that can be stopped at once.
 */
uint32_t plan_lending_hold(const plan_lending_t *, const char *pool);

/*
 * How many more instances of the pool may be taken out of service now, in this
 * data centre, even if the largest failure domain is then lost.
 */
uint32_t plan_budget_left(const plan_input_t *, const char *pool);

/* True when the wave's failures call for a halt; writes the reason. */
bool plan_wave_must_halt(
    const plan_wave_t *, char *reason, uint32_t size_bytes);

/* Adds the reboots that the waves want now, as wide as budgets allow. */
void plan_waves(const plan_input_t *, uint64_t now_us, GPtrArray *actions);

#endif
