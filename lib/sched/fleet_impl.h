#ifndef SCHED_FLEET_IMPL_H
#define SCHED_FLEET_IMPL_H

#include "sched/fleet.h"

/* What a machine is being prepared for. */
typedef enum {
	GOAL_NONE,
	GOAL_MAINTAIN,
	GOAL_MOVE
} goal_t;

typedef enum {
	PHASE_DRAIN,   /* its instance is being freed */
	PHASE_ORDERED, /* the order is under way */
	PHASE_AWAY     /* done; its next instance is not up yet */
} phase_t;

typedef struct {
	fleet_machine_t at;
	bool listed; /* in the list under way */
	goal_t goal;
	phase_t phase;
	uint64_t since_us; /* when the phase began */
	uint64_t asked_us; /* the last drain or order */
	uint64_t retry_us; /* no order before this */
	uint64_t wave;
	uint64_t before_until_us;      /* a former planner's order may go on */
	uint64_t before_wave;	       /* its wave; 0: a move */
	char target[SCHED_NAME_BYTES]; /* pool of a move */
	char before[SCHED_NAME_BYTES]; /* instance that the order ended */
} machine_t;

typedef struct {
	char name[SCHED_NAME_BYTES];
	uint32_t group;
	bool standby;
	uint64_t load_us; /* when its owner reported; 0: never */
	uint32_t instances;
	uint64_t capacity_cpu_millis;
	uint64_t used_cpu_millis;
	uint64_t waiting_cpu_ms;
	uint64_t waiting_cpu_millis;
	uint64_t demand_cpu_ms;	  /* all so far, at the last report */
	uint64_t rate_cpu_millis; /* demand that comes in, as processors */
	uint64_t slow_cpu_millis; /* the same over a longer time */
	uint64_t capacity_memory_mib;
	uint64_t used_memory_mib;
	uint64_t waiting_memory_mib_ms;
	uint32_t lasting_waiting;
	GHashTable *idle;    /* instance -> NULL */
	GHashTable *lasting; /* instances that never become idle */
	uint64_t surplus_since_us;
	/* Of the wave that is worked on, as it is planned. */
	uint32_t maintained;   /* machines that waves keep from service */
	uint32_t lasting_left; /* machines with lasting tasks still to do */
	uint32_t wanted;       /* machines, as the lending policy has it */
} pool_t;

typedef struct {
	uint64_t number;
	GPtrArray *machines; /* char * */
	GHashTable *done;    /* machine -> NULL */
	uint32_t at_once_max;
	uint64_t seen_us;
	uint64_t end_us;
	bool running_said;
	bool completed;
} wave_t;

struct fleet {
	const gw_clock_t *clock;
	const fleet_lending_t *lending;
	fleet_times_t times;
	const fleet_ops_t *ops;
	void *arg;
	GHashTable *machines; /* name -> machine_t */
	GHashTable *pools;    /* name -> pool_t */
	GPtrArray *waves;     /* wave_t */
	bool listed;
	uint64_t list_us;
	uint64_t logged_us; /* when the wanted numbers were logged */
};

struct fleet_lending {
	const char *name;
	/* Sets wanted of each pool that is not on standby. */
	void (*decide)(fleet_t *, uint64_t now_us);
};

/* fleet_machines.c */
pool_t *fleet_pool(fleet_t *, const char *name);
machine_t *fleet_machine_of(const fleet_t *, const char *instance);
bool fleet_is_idle(fleet_t *, const machine_t *);
uint32_t fleet_pool_machines(const fleet_t *, const char *pool);
void fleet_begin(fleet_t *, machine_t *, goal_t);
void fleet_set_phase(fleet_t *, machine_t *, phase_t);

/* fleet_load.c */
uint64_t fleet_expected_rate(const pool_t *, uint64_t lead_us);

/* fleet_wave.c */
void fleet_waves(fleet_t *, uint64_t now_us);
void fleet_wave_done(fleet_t *, uint64_t number, const char *machine);
void fleet_wave_free(gpointer);

/* fleet_lend.c */
void fleet_lend(fleet_t *, uint64_t now_us);

#endif
