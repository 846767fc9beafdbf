#ifndef GWENTRYD_PLANNER_IMPL_H
#define GWENTRYD_PLANNER_IMPL_H

#include "planner.h"
#include "platform/machines.h"
#include "roles.h"
#include "sched/fleet.h"
#include "sched/parts.h"

/* An order that waits for its record. */
typedef struct {
	char machine[SCHED_NAME_BYTES];
	char pool[SCHED_NAME_BYTES]; /* empty: maintenance */
	uint64_t wave;
} order_t;

/* An order that was recorded, and when. */
typedef struct {
	order_t order;
	uint64_t recorded_us;
} recent_t;

/* What is recorded of a wave. */
typedef struct {
	uint64_t number;
	GPtrArray *done;      /* char * */
	uint64_t end_wall_ms; /* when it has to be done; 0: not known yet */
	bool has_state;
	bool completed;
	bool dirty;
	bool in_write; /* in the write under way */
} wave_record_t;

struct planner {
	gw_rt_t *rt;
	store_t *store;
	dispatch_t *dispatch;
	char node[SCHED_NAME_BYTES];
	char role_key[ROLE_KEY_BYTES];
	uint64_t fence;
	uint32_t parts;	  /* in which each pool is owned */
	uint64_t turn_us; /* between two planners' orders to a machine */
	GArray *recent;	  /* recent_t, no older than turn_us */
	const planner_ops_t *ops;
	void *arg;
	fleet_t *fleet;
	gw_httpc_t *machines;  /* NULL: the platform moves none */
	GHashTable *pools;     /* name -> NULL, not on standby */
	GHashTable *waves;     /* number -> wave_record_t */
	GArray *orders;	       /* order_t, not yet recorded */
	GArray *recording;     /* order_t, in the write under way */
	GPtrArray *wave_queue; /* plat_wave_t, until the records are read */
	char *page;
	char *records_after; /* last key of a truncated page of records */
	gw_timer_t tick;
	gw_timer_t retry;
	uint64_t load_us;
	uint32_t refs; /* calls under way */
	bool records_read;
	bool listing;
	bool writing;
	bool dead;
};

/* A call, and the machine, instance or part that it is about. */
typedef struct {
	planner_t *planner;
	char machine[SCHED_NAME_BYTES];
} asked_t;

/* planner_base.c */
void planner_destroy(planner_t *);
bool planner_call_ended(planner_t *);
asked_t *planner_asked_new(planner_t *, const char *machine);

/* planner_machines.c */
void planner_part_of_machine(const planner_t *, const char *pool,
    const char *machine, char out[SCHED_NAME_BYTES]);
void planner_list_machines(planner_t *);
void planner_send_order(planner_t *, const order_t *);

/* planner_records.c */
wave_record_t *planner_wave_record(planner_t *, uint64_t number);
void planner_wave_record_free(gpointer);
void planner_flush(planner_t *);
void planner_plan_wave(planner_t *, const plat_wave_t *);
void planner_read_records(planner_t *);

#endif
