#ifndef GWWORKERD_WORKER_H
#define GWWORKERD_WORKER_H

#include <stdbool.h>

#include <glib.h>
#include <jansson.h>

#include "gw/runtime.h"
#include "http/httpd.h"

/*
 * Stand-ins for instances that run tasks under leases: each listens on a port
 * of its own. Runs are counted over all of them, to find a task that runs
 * twice.
 */
typedef struct worker worker_t;
typedef struct ledger ledger_t;

/* What all workers saw. */
struct ledger {
	GHashTable *running; /* task -> worker_t */
	GHashTable *done;    /* tasks of which a run ended as done */
	uint32_t starts;
	uint32_t ends;
	uint32_t lapses;
	uint32_t doubles; /* starts of a task that ran, or was done */
	uint32_t fenced;  /* orders with a lower fence */
	uint32_t upkeeps; /* orders to maintain a worker's machine */
};

typedef struct {
	char *task;
	uint32_t run;
	uint64_t ends_us; /* when the work is done */
	gw_timer_t timer;
	worker_t *worker;
} run_t;

struct worker {
	gw_rt_t *rt;
	ledger_t *ledger;
	char id[32];
	gw_addr_t addr;
	gw_httpd_t *httpd;
	uint64_t born_ms;
	uint64_t fence;
	uint64_t held_until_ms; /* on the worker's clock */
	uint64_t next_number;	/* of the next end */
	uint32_t work_ms;	/* how long a run takes */
	bool muted;		/* answers nothing */
	uint32_t lose_starts;	/* next starts: done, not answered */
	uint32_t late_starts;	/* next starts: not answered, done later */
	GHashTable *runs;	/* task -> run_t */
	GPtrArray *ends;	/* json_t, not acknowledged */
	GHashTable *highest;	/* task -> highest run that ended or stopped */
	GQueue holds;		/* holds that wait for an end */
	gw_timer_t lapse;
};

worker_t *worker_new(gw_rt_t *, ledger_t *, const char *id, const gw_addr_t *,
    uint32_t work_ms, gw_err_t *);
uint64_t worker_clock_ms(const worker_t *);
void worker_hold_until(worker_t *, uint64_t deadline_ms);
void worker_start(worker_t *, const char *task, uint32_t number);
void worker_end(worker_t *, const char *task, const char *how);
void worker_ack(worker_t *, uint64_t number);
uint64_t worker_highest(const worker_t *, const char *task);

/* worker_api.c */
int worker_request(h2o_req_t *, void *arg);
bool worker_path_is(const h2o_req_t *, const char *path);
void worker_answer_holds(worker_t *);

#endif
