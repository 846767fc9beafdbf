#ifndef SCHED_FLEET_IMPL_H
#define SCHED_FLEET_IMPL_H

#include "sched/fleet.h"
#include "sched/forecast.h"

/* The order that is being prepared or carried out. */
typedef enum {
	GOAL_NONE,
	GOAL_MAINTAIN,
	GOAL_MOVE
} goal_t;

typedef enum {
	PHASE_DRAINING, /* the owner is draining the machine's instance */
	PHASE_ORDERED,	/* the order was issued; no response yet */
	PHASE_AWAY	/* the order was accepted; no new instance is up yet */
} phase_t;

typedef struct {
	fleet_machine_t state; /* last reported by platform or registry */
	bool in_list;	       /* seen in the list being read */
	goal_t goal;
	phase_t phase;		   /* valid unless the goal is GOAL_NONE */
	uint64_t phase_since_us;   /* when the phase began */
	uint64_t requested_us;	   /* last drain or order sent; 0: none yet */
	bool is_ordered;	   /* an order for the goal was issued */
	uint64_t backoff_until_us; /* no new goal before; 0: no limit */
	uint64_t wave;		   /* of GOAL_MAINTAIN; 0 for a move */
	/* A previous planner's order may be carried out until then. */
	uint64_t previous_order_until_us;
	uint64_t previous_order_wave;	     /* 0: that order was a move */
	char target_pool[SCHED_NAME_BYTES];  /* of GOAL_MOVE */
	char old_instance[SCHED_NAME_BYTES]; /* ended by the order */
} machine_t;

/* A pool, or one shard of it if there are several. */
typedef struct {
	char name[SCHED_NAME_BYTES];
	uint32_t group; /* machines move only within a group */
	bool standby;
	/* From the owner's last report. */
	uint64_t load_received_us; /* 0: no report yet */
	/* Since when it has reported without a long pause. */
	uint64_t reporting_since_us;
	uint32_t instances; /* usable ones */
	uint64_t capacity_cpu_millis;
	uint64_t used_cpu_millis;
	uint64_t waiting_cpu_ms;     /* waiting work, in core milliseconds */
	uint64_t waiting_cpu_millis; /* CPU of the waiting tasks */
	/* The parts of used_cpu_millis and waiting_cpu_ms of late jobs. */
	uint64_t late_used_cpu_millis;
	uint64_t late_waiting_cpu_ms;
	uint64_t demand_cpu_ms;	       /* all work that arrived so far */
	uint64_t rate_cpu_millis;      /* arrival rate; short average */
	uint64_t long_rate_cpu_millis; /* arrival rate; long average */
	forecast_t *forecast;	       /* of the arrival rate */
	uint64_t capacity_memory_mib;
	uint64_t used_memory_mib;
	uint64_t waiting_memory_mib_ms;
	uint32_t long_running_waiting; /* long-running tasks without room */
	uint64_t long_running_waiting_since_us; /* 0: none waits */
	/* What those take, and the CPU of the others. */
	uint64_t long_running_waiting_cpu_millis;
	uint64_t long_running_waiting_memory_mib;
	uint64_t long_running_used_cpu_millis;
	uint32_t blocked_jobs;	 /* with a task that fits on no instance */
	uint32_t late_instances; /* that run only late tasks */
	GHashTable *team_counts; /* see fleet_team.c */
	GHashTable *idle;	 /* instance -> NULL */
	/* Instances with long-running tasks, which never become idle. */
	GHashTable *long_running_hosts; /* instance -> NULL */
	uint64_t surplus_since_us;	/* 0: no surplus */
	/* These two are counted again each time a wave is advanced. */
	uint32_t in_maintenance; /* machines being drained or maintained */
	/* Machines of the wave that run long-running tasks, not yet drained. */
	uint32_t long_running_left;
	/* Both are set by the lending policy. */
	uint32_t wanted_machines; /* moved to the pool if it has fewer */
	uint32_t kept_machines;	  /* not moved to standby */
} pool_t;

typedef struct {
	uint64_t number;
	GPtrArray *machines;  /* char * */
	GHashTable *done;     /* machines that need no further order -> NULL */
	uint32_t at_once_max; /* most machines down at once */
	uint64_t accepted_us;
	uint64_t deadline_us;
	bool running_reported;
	bool completed;
} wave_t;

struct fleet {
	const gw_clock_t *clock;
	const fleet_lending_t *lending;
	fleet_times_t times;
	const fleet_ops_t *ops;
	void *arg;
	GHashTable *machines;	   /* name -> machine_t */
	GHashTable *pools;	   /* name -> pool_t */
	GPtrArray *waves;	   /* wave_t */
	bool has_list;		   /* a whole list of machines was read */
	uint64_t list_read_us;	   /* 0: never, or to be read again */
	bool orders_unavailable;   /* see fleet_set_orders_available() */
	uint64_t wanted_logged_us; /* when log_wanted() last logged */
};

struct fleet_lending {
	const char *name;
	/*
	 * Sets wanted_machines and kept_machines of each pool that is not on
	 * standby.
	 */
	void (*set_wanted_machines)(fleet_t *, uint64_t now_us);
};

/* fleet_machines.c */
pool_t *fleet_get_pool(fleet_t *, const char *name);
machine_t *fleet_find_machine(const fleet_t *, const char *instance);
bool fleet_machine_is_idle(fleet_t *, const machine_t *);
uint32_t fleet_away_ms(const fleet_t *, const machine_t *);
bool fleet_machine_is_overdue(const fleet_t *, const machine_t *);
uint32_t fleet_count_pool_machines(const fleet_t *, const char *pool);
void fleet_start_goal(fleet_t *, machine_t *, goal_t);
void fleet_set_phase(fleet_t *, machine_t *, phase_t);

/* fleet_team.c */
GHashTable *fleet_team_counts_new(void);
void fleet_set_team_loads(pool_t *, const Gw__PoolLoad *, uint64_t age_us);

/* fleet_load.c */
bool fleet_load_is_recent(const pool_t *, uint64_t now_us);
uint64_t fleet_extrapolate_rate(const pool_t *, uint64_t lead_us);
uint64_t fleet_expected_rate(const pool_t *, uint64_t ahead_us);

/* fleet_want.c */
uint64_t fleet_move_lead_us(const fleet_t *);

/* fleet_wave.c */
void fleet_advance_waves(fleet_t *, uint64_t now_us);
void fleet_wave_record_done(fleet_t *, uint64_t number, const char *machine);
void fleet_wave_free(gpointer);

/* fleet_lend.c */
void fleet_lend(fleet_t *, uint64_t now_us);
uint64_t fleet_lacking_room_us(
    const fleet_t *, const pool_t *, uint64_t now_us);

#endif
