#ifndef SCHED_FLEET_H
#define SCHED_FLEET_H

#include "sched/sched.h"

/*
 * The planner's state: the machines of all pools. Decides when a machine is
 * maintained and which pool it moves to. Like sched_pool_t it does no input or
 * output: requests and orders go out through fleet_ops_t. Each shard of a pool
 * counts as a pool of its own here.
 */
typedef struct fleet fleet_t;

typedef struct {
	char name[SCHED_NAME_BYTES];
	char pool[SCHED_NAME_BYTES];
	char instance[SCHED_NAME_BYTES]; /* empty: none */
	uint64_t cpu_millis;
	bool up; /* neither moving, nor in maintenance, nor down */
} fleet_machine_t;

/* The result of an order to a machine. */
typedef enum {
	FLEET_ORDER_OK,
	FLEET_ORDER_BUSY,
	FLEET_ORDER_REJECTED,	/* no such machine, or it is not in the wave */
	FLEET_ORDER_NO_RESPONSE /* the order may have been carried out */
} fleet_order_result_t;

typedef struct {
	/*
	 * Requests that the pool's owner drains the instance. The response is
	 * passed to fleet_handle_drain_response().
	 */
	void (*drain)(const char *pool, const char *instance, void *arg);
	/* The order to the instance's machine has ended the instance. */
	void (*instance_ended)(
	    const char *pool, const char *instance, void *arg);
	/*
	 * Send an order to the platform. Its result is passed to
	 * fleet_handle_order_result().
	 */
	void (*maintain)(const char *machine, uint64_t wave, void *arg);
	void (*move)(const char *machine, const char *pool, void *arg);
	/* Publishes to the operators that the wave is running or completed. */
	void (*wave_state_changed)(uint64_t wave, bool completed, void *arg);
	/* The machine needs no further order for the wave. */
	void (*wave_machine_done)(
	    uint64_t wave, const char *machine, void *arg);
} fleet_ops_t;

/*
 * A policy that sets how many machines each pool should have. There are
 * several, so that a new policy can be compared with the baseline on the same
 * load.
 */
typedef struct fleet_lending fleet_lending_t;
extern const fleet_lending_t fleet_lending_none;   /* baseline: no moves */
extern const fleet_lending_t fleet_lending_demand; /* by the waiting work */
extern const fleet_lending_t fleet_lending_rate;   /* by the arrival rate */
/* By the arrival rate, and the rate that is expected by its period. */
extern const fleet_lending_t fleet_lending_forecast;

/* How long an order takes a machine out of service, from its acceptance. */
typedef struct {
	uint32_t move_ms;
	uint32_t maintain_ms;
} fleet_times_t;

fleet_t *fleet_new(const gw_clock_t *, const fleet_lending_t *,
    const fleet_times_t *, const fleet_ops_t *, void *arg);
void fleet_free(fleet_t *);

/*
 * Set a pool's configuration, and the load that its owner reports. Machines
 * move only between pools of one group.
 */
void fleet_set_pool(fleet_t *, const char *name, uint32_t group, bool standby);
void fleet_set_load(fleet_t *, const char *name, const Gw__PoolLoad *);
/*
 * Sets whether orders can be recorded and sent now. While they can't,
 * fleet_lending_forecast moves no machine to standby: it would be drained for
 * an order that may come late.
 */
void fleet_set_orders_available(fleet_t *, bool available);
/* Returns the number of machines that are moving to the pool. */
uint32_t fleet_count_incoming(const fleet_t *, const char *pool);
/* Returns the number of machines on standby that could move to the pool. */
uint32_t fleet_count_standby(fleet_t *, const char *pool);
/* What a team submits, over all pools that report. */
typedef struct {
	char team[SCHED_NAME_BYTES];
	uint64_t jobs_per_1000s;
} fleet_team_rate_t;
/* Returns the rates of all teams (fleet_team_rate_t); the caller frees them. */
GArray *fleet_team_rates(const fleet_t *);
/*
 * Replace the known machines by a complete list from the platform: begin, add
 * each machine, end. Machines that were not added are removed at the end.
 */
void fleet_list_begin(fleet_t *);
void fleet_list_add(fleet_t *, const fleet_machine_t *);
void fleet_list_end(fleet_t *);
/* An instance's registry entry is new or has changed, or was removed. */
void fleet_instance_up(fleet_t *, const sched_instance_info_t *);
void fleet_instance_removed(fleet_t *, const char *instance);
/* Adds a maintenance wave that the operators requested. */
void fleet_add_wave(fleet_t *, uint64_t number, const GPtrArray *machines,
    uint32_t duration_ms, uint32_t at_once_max);
/* A previous planner had the machine maintained in the wave. */
void fleet_wave_mark_done(fleet_t *, uint64_t number, const char *machine);
/* A previous planner ordered the machine: it gets no order for for_ms. */
void fleet_add_previous_order(
    fleet_t *, const char *name, uint64_t wave, uint64_t for_ms);
void fleet_handle_drain_response(fleet_t *, const char *instance, bool drained);
void fleet_handle_order_result(
    fleet_t *, const char *name, fleet_order_result_t);
/*
 * Returns whether an order that was issued to the machine may be sent now: the
 * machine has been drained for it.
 */
bool fleet_may_send_order(const fleet_t *, const char *name);
/* Returns whether the platform's list of machines should be read now. */
bool fleet_needs_list(const fleet_t *);
/* Advances waves, moves and orders; to be called several times a second. */
void fleet_tick(fleet_t *);

#endif
