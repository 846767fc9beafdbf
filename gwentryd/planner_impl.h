#ifndef GWENTRYD_PLANNER_IMPL_H
#define GWENTRYD_PLANNER_IMPL_H

#include "planner.h"
#include "platform/machines.h"
#include "roles.h"
#include "sched/fleet.h"
#include "sched/shard.h"

/* An order to a machine; sent only after it has been recorded. */
typedef struct {
	char machine[SCHED_NAME_BYTES];
	char pool[SCHED_NAME_BYTES]; /* target of a move; empty: maintenance */
	uint64_t wave;		     /* 0: a move */
} order_t;

/* An order in the record of recent orders. */
typedef struct {
	order_t order;
	uint64_t recorded_us;
} recorded_order_t;

/* The record of a wave in the store. */
typedef struct {
	uint64_t number;
	GPtrArray *done;      /* char *, machines that need no more orders */
	uint64_t end_wall_ms; /* deadline, ms since 1970; 0: not known yet */
	bool has_state;	      /* the wave has begun */
	bool completed;
	bool dirty;	    /* must be written to the store */
	bool being_written; /* in the write in progress */
} wave_record_t;

struct planner {
	gw_rt_t *rt;
	store_t *store;
	dispatch_t *dispatch;
	char node[SCHED_NAME_BYTES];
	char role_key[ROLE_KEY_BYTES];
	uint64_t fence;
	uint32_t shard_count; /* of each pool */
	/* Minimum time between two planners' orders to a machine. */
	uint64_t order_handover_us;
	/* recorded_order_t, also of previous planners, while they matter */
	GArray *recent_orders;
	const planner_ops_t *ops;
	void *arg;
	fleet_t *fleet;
	gw_httpc_t *machines_api; /* NULL: the platform takes no orders */
	GHashTable *pools;	  /* shard name -> NULL, without standby */
	GHashTable *wave_records; /* number -> wave_record_t */
	GArray *pending_orders;	  /* order_t, not in a write yet */
	GArray *orders_in_write;  /* order_t, in the write in progress */
	GPtrArray *queued_waves;  /* plat_wave_t, until records_read */
	char *list_page_token;	  /* of the next page of machines, or NULL */
	/* Last key read when the store truncated a page of records, or NULL. */
	char *records_resume_key;
	gw_timer_t tick;
	gw_timer_t retry;
	uint64_t loads_requested_us;
	uint32_t calls_in_flight; /* each keeps the planner in memory */
	bool records_read;	  /* all records were read */
	bool reading_list;
	bool writing;
	uint64_t write_sent_us; /* of the write in progress */
	bool write_failed;	/* the last write of orders or waves */
	bool machines_failed;	/* the last call had no response */
	bool released;		/* planner_free() was called */
};

/* A call in flight, and the machine, instance or shard that it is about. */
typedef struct {
	planner_t *planner;
	char subject[SCHED_NAME_BYTES];
} planner_call_t;

/* planner_base.c */
void planner_destroy(planner_t *);
bool planner_end_call(planner_t *);
planner_call_t *planner_call_new(planner_t *, const char *subject);

/* planner_machines.c */
void planner_shard_of_machine(const planner_t *, const char *pool,
    const char *machine, char out[SCHED_NAME_BYTES]);
void planner_list_machines(planner_t *);
void planner_send_order(planner_t *, const order_t *);

/* planner_records.c */
wave_record_t *planner_wave_record(planner_t *, uint64_t number);
void planner_wave_record_free(gpointer);
void planner_flush(planner_t *);
void planner_start_wave(planner_t *, const plat_wave_t *);
void planner_read_records(planner_t *);

#endif
