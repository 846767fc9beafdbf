#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include <jansson.h>

#include "fleet_ops.h"
#include "gw/clock.h"
#include "gw/metric.h"
#include "policy/plan.h"

/* Interval of FLEET_TICK. */
#define FLEET_TICK_MS 100

/* The decision functions in use; a baseline can replace each of them. */
typedef struct {
	const plan_lending_ops_t *lending;
	plan_lending_t *(*lending_new)(void);
	void (*lending_free)(plan_lending_t *);
	void (*waves)(const plan_input_t *, uint64_t now_us, GPtrArray *);
	uint32_t (*budget_left)(const plan_input_t *, const char *pool);
} fleet_policy_t;

typedef struct {
	char node_id[GW_NAME_BYTES];
	char data_centre[GW_NAME_BYTES];
	uint64_t boot_id;
	const fleet_policy_t *policy; /* NULL: no lending and no waves */
} fleet_config_t;

/*
 * The fleet daemon's state machine. It owns all its state, changes it only in
 * fleet_handle(), and does no input or output of its own.
 */
typedef struct fleet fleet_t;

fleet_t *fleet_new(const fleet_config_t *, const fleet_ops_t *, void *ctx,
    const gw_clock_t *, gw_metrics_t *);
void fleet_free(fleet_t *);
void fleet_handle(fleet_t *, const fleet_msg_t *);
bool fleet_ready(const fleet_t *);
bool fleet_is_planner(const fleet_t *);
uint64_t fleet_generation(const fleet_t *);
const member_table_t *fleet_table(const fleet_t *);

/* Answers of the admin port; the caller frees them. */
json_t *fleet_status_json(const fleet_t *);
json_t *fleet_pools_json(const fleet_t *);
json_t *fleet_instances_json(const fleet_t *);
json_t *fleet_waves_json(const fleet_t *);
json_t *fleet_jobs_json(const fleet_t *);
json_t *fleet_explain_json(
    const fleet_t *, const char *instance_id, const char *pool);

#endif
