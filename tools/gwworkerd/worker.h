#ifndef GWWORKERD_WORKER_H
#define GWWORKERD_WORKER_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

#include "gw/runtime.h"
#include "http/httpd.h"

/* A longer lease is shortened to this. */
#define WORKER_LEASE_MAX_MS 6000
/* Delay of a late start, whose request gets no response. */
#define WORKER_LATE_MS 1500

/*
 * Stand-in for an instance that runs tasks under a lease. Each worker listens
 * on its own port. The counts of all workers are kept together, to detect a
 * task that runs twice.
 */
typedef struct worker worker_t;
typedef struct worker_stats worker_stats_t;

/* Runs and counts over all workers; GET /stats reports the counts. */
struct worker_stats {
	GHashTable *running;   /* task -> worker_t */
	GHashTable *done;      /* tasks of which a run ended as done -> run */
	GHashTable *ever_done; /* the same, also those whose end was lost */
	GHashTable *failed;    /* task -> count of its failed ends */
	GHashTable *lasting;   /* name of a task that lasts -> lasting_t */
	uint32_t starts;
	uint32_t ends;
	uint32_t lapses;  /* runs whose lease expired */
	uint32_t doubles; /* starts of a task that was running or done */
	uint32_t fenced;  /* orders refused: a higher fence was seen */
	uint32_t upkeeps; /* orders to maintain a machine */
	uint32_t moves;	  /* orders to move one */
	uint32_t crashes; /* of workers */
	uint32_t over;	  /* starts beyond a worker's capacity */
};

/* What the workers saw of a task that lasts; times are in ms since 1970. */
typedef struct {
	uint32_t running;
	uint32_t starts;
	uint64_t started_ms; /* the last start */
	uint64_t ended_ms;   /* the last end; 0: none yet */
	const char *how;     /* kind of the last end, or "" */
	worker_t *worker;    /* of the last start */
} lasting_t;

/* What the specification of a job says to its runs. */
typedef struct {
	bool lasting;
	bool failing;
	bool deadly;	     /* crashes each worker that starts it */
	uint32_t cpu_millis; /* 0: unknown */
	uint32_t work_ms;    /* 0: as the worker's other runs */
	uint32_t gang;	     /* members of its gang; 0: none */
} run_spec_t;

typedef struct {
	char *task;
	uint32_t number;
	run_spec_t spec;
	bool stopping;
	bool ending;	  /* with its gang */
	uint64_t ends_us; /* end of the work */
	gw_timer_t timer;
	worker_t *worker;
} run_t;

struct worker {
	gw_rt_t *rt;
	worker_stats_t *stats;
	char id[32];
	char pool[32];
	char machine[32];
	char data_centre[32];
	gw_addr_t addr;
	gw_httpd_t *httpd;
	uint64_t born_ms;    /* start time, wall clock */
	uint64_t started_us; /* when its clock began; 0: with the machine's */
	uint64_t fence;
	uint64_t lease_end_ms;	  /* on the worker's clock */
	uint64_t next_end_number; /* numbers the ends */
	uint32_t work_ms;	  /* duration of a run */
	uint32_t stop_ms;	  /* from the order to stop a run to its end */
	uint32_t cpu_millis;	  /* capacity */
	uint32_t leave_ms;	  /* from the entry that says so to its end */
	bool leaving;		  /* its entry says so, or is about to */
	bool left;		  /* it has ended for good */
	bool failing;		  /* runs started now will fail */
	bool muted;	      /* ignores orders, and its registration expires */
	bool cut;	      /* the same, but carries out late starts */
	bool crashed;	      /* the same, until it starts again */
	uint32_t lose_starts; /* next starts: applied without a response */
	uint32_t late_starts; /* next starts: applied late without a response */
	uint32_t late_ms;     /* how much later */
	GHashTable *runs;     /* task -> run_t */
	GPtrArray *ends;      /* json_t; not yet acknowledged */
	GHashTable *highest_ended_run; /* task -> run number */
	GQueue waiting_renewals;       /* until a run ends */
	gw_timer_t lease_timer;
	gw_timer_t restart_timer;
	gw_timer_t leave_timer;
};

worker_t *worker_new(gw_rt_t *, worker_stats_t *, const char *id,
    const gw_addr_t *, uint32_t work_ms, gw_err_t *);
uint64_t worker_clock_ms(const worker_t *);
bool worker_is_silent(const worker_t *);
void worker_crash(worker_t *);
void worker_leave_later(worker_t *);
void worker_leave_now(worker_t *, const char *how);
void worker_extend_lease(worker_t *, uint64_t deadline_ms);
void worker_start_run(
    worker_t *, const char *task, uint32_t number, const run_spec_t *);
void worker_stop_run(worker_t *, const char *task);
void worker_end_run(worker_t *, const char *task, const char *kind);
void worker_ack_ends(worker_t *, uint64_t number);
uint64_t worker_highest_ended_run(const worker_t *, const char *task);

/* gang.c */
void gang_member_started(run_t *, gw_timer_cb_t on_work_done, uint32_t work_ms);
void gang_end_others(run_t *, const char *how);

/* worker_api.c */
int worker_handle_request(h2o_req_t *, void *arg);
bool worker_path_is(const h2o_req_t *, const char *path);
void worker_reply_renewals(worker_t *);
void worker_cut_renewals(worker_t *);

#endif
