#ifndef SCHED_FLEET_H
#define SCHED_FLEET_H

#include "sched/sched.h"

/*
 * The machines of all pools, as the planner sees them, and what it decides:
 * which machine is maintained when, and which one moves to which pool. Pure
 * state, like sched_pool_t: orders go out through fleet_ops_t.
 */
typedef struct fleet fleet_t;

typedef struct {
	char name[SCHED_NAME_BYTES];
	char pool[SCHED_NAME_BYTES];
	char instance[SCHED_NAME_BYTES]; /* empty: none */
	uint64_t cpu_millis;
	bool up; /* neither moving, maintained nor down */
} fleet_machine_t;

typedef enum {
	FLEET_ORDER_OK,
	FLEET_ORDER_BUSY,
	FLEET_ORDER_REJECTED, /* no such machine, or not of the wave */
	FLEET_ORDER_NO_ANSWER /* may have been done */
} fleet_answer_t;

typedef struct {
	/* Asks the pool's owner to free the instance; fleet_drained() follows.
	 */
	void (*drain)(const char *pool, const char *instance, void *arg);
	/* The instance has ended with its machine's order. */
	void (*ended)(const char *pool, const char *instance, void *arg);
	/* Orders; fleet_ordered() follows. */
	void (*maintain)(const char *machine, uint64_t wave, void *arg);
	void (*move)(const char *machine, const char *pool, void *arg);
	/* The wave's state for the operators. */
	void (*wave_state)(uint64_t wave, bool completed, void *arg);
	/* The machine needs no further order for the wave. */
	void (*wave_machine)(uint64_t wave, const char *machine, void *arg);
} fleet_ops_t;

/*
 * How many machines each pool should have; varies, so that a baseline and its
 * successor run on the same load.
 */
typedef struct fleet_lending fleet_lending_t;
extern const fleet_lending_t fleet_lending_none;   /* baseline: no moves */
extern const fleet_lending_t fleet_lending_demand; /* by what waits */
extern const fleet_lending_t fleet_lending_rate;   /* by what comes in */

/* How long a machine is away for an order, from the order's answer. */
typedef struct {
	uint32_t move_ms;
	uint32_t maintain_ms;
} fleet_times_t;

fleet_t *fleet_new(const gw_clock_t *, const fleet_lending_t *,
    const fleet_times_t *, const fleet_ops_t *, void *arg);
void fleet_free(fleet_t *);

/*
 * A pool as configured, and as its owner reports it. Machines move only between
 * pools of one group.
 */
void fleet_set_pool(fleet_t *, const char *name, uint32_t group, bool standby);
void fleet_set_load(fleet_t *, const char *name, const Gw__PoolLoad *);
/* Machines that move to the pool and are not there yet. */
uint32_t fleet_coming(const fleet_t *, const char *pool);
/* Machines on standby that the pool may get. */
uint32_t fleet_on_standby(fleet_t *, const char *pool);
/* A whole list of the platform's machines replaces what is known. */
void fleet_begin_list(fleet_t *);
void fleet_list_machine(fleet_t *, const fleet_machine_t *);
void fleet_end_list(fleet_t *);
/* The registry's news of the instance that a machine runs. */
void fleet_instance_up(fleet_t *, const sched_instance_info_t *);
void fleet_instance_gone(fleet_t *, const char *instance);
/* A wave that the operators asked for. */
void fleet_set_wave(fleet_t *, uint64_t number, const GPtrArray *machines,
    uint32_t duration_ms, uint32_t at_once_max);
/* A former planner had the machine maintained. */
void fleet_wave_known_done(fleet_t *, uint64_t number, const char *machine);
/* A former planner ordered the machine; it is left alone for a while. */
void fleet_ordered_before(
    fleet_t *, const char *name, uint64_t wave, uint64_t for_ms);
/* Answers. */
void fleet_drained(fleet_t *, const char *instance, bool drained);
void fleet_ordered(fleet_t *, const char *name, fleet_answer_t);
/* True while the list of machines should be read again. */
bool fleet_wants_list(const fleet_t *);
/* Decides what is to be done now; called several times a second. */
void fleet_tick(fleet_t *);

#endif
