#ifndef SOAK_H
#define SOAK_H

#include <stdbool.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

#include "gw/runtime.h"
#include "http/httpc.h"

#define ENTRIES_MAX 5
#define WORKERS_START 9
#define LASTING_JOBS 4
#define LASTING_TASKS 5
#define HOST "jobs.example"

/* Offsets from the port base. */
enum {
	PORT_STORE = 1,
	PORT_CONTROL = 2,
	PORT_FRONT = 10,
	PORT_READY = 20,
	PORT_INTERNAL = 30,
	PORT_WORKERS = 50
};

/* A process that the soak started. */
typedef struct {
	uv_process_t handle;
	char name[16];
	bool running;
	bool stopped; /* by SIGSTOP */
	uint64_t starts;
} process_t;

typedef struct {
	process_t process;
	uint32_t number;   /* counted from 1 */
	gw_httpc_t *front; /* a connection that stays open */
	bool stays_away;   /* once it has ended */
} entry_t;

typedef struct {
	char id[17];
	uint32_t tasks;
	bool lasting;
	bool fails;
	bool accepted;
	bool completed;
	bool asked; /* at the end of the run */
} job_t;

typedef struct {
	gw_rt_t *rt;
	GRand *random;
	const char *bin;
	char *dir; /* settings and logs */
	uint32_t port_base;
	uint64_t began_us;
	uint64_t calm_from_ms; /* end of the last disruption, Unix ms */
	uint32_t disruptions;  /* those in progress */
	process_t store, workers;
	entry_t entries[ENTRIES_MAX];
	uint32_t entry_count;
	gw_httpc_t *store_api, *control;
	GPtrArray *jobs;      /* job_t */
	GHashTable *reported; /* violations, to print each once */
	uint32_t violations, events, accepted, refused;
	uint32_t worker_count; /* ever started */
	uint32_t fill_percent; /* at which no more short jobs are submitted */
	uint32_t load_percent; /* of the workers that have not left */
	json_t *worker_rows;   /* as listed last */
	uint64_t longest_stand_ms; /* of a task that lasts */
	bool finishing;
} soak_t;

uint64_t soak_now_ms(void);
void soak_print(soak_t *, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void soak_on_control(const gw_http_response_t *, const gw_err_t *, void *arg);
void soak_violation(soak_t *, const char *key, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void soak_disrupt(soak_t *);
void soak_disruption_begin(soak_t *);
void soak_disruption_end(soak_t *);

/* process.c */
int process_start(soak_t *, process_t *, const char *name,
    const char *const *args, const char *settings);
void process_signal(process_t *, int signum);
void entry_start(soak_t *, entry_t *);

/* traffic.c */
void traffic_start(soak_t *);
void traffic_ask_all(soak_t *);
gw_httpc_t *soak_client(soak_t *, uint32_t port_offset);

/* check.c */
void check_start(soak_t *);
void check_completed(soak_t *, job_t *);
uint32_t check_pending(void);

/* events.c */
void events_start(soak_t *);

#endif
