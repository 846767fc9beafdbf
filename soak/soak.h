#ifndef SOAK_H
#define SOAK_H

#include <stdbool.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

#include "caller.h"
#include "gw/runtime.h"
#include "http/httpc.h"

#define ENTRIES_MAX 8
#define POOLS_MAX 2
#define STANDBY_POOL "sp"
#define LASTING_TASKS 5
/*
 * In runs with several shards no short task fits beside one that lasts, so the
 * load stays below what the other workers bear.
 */
#define WIDE_LASTING_MB 60000
#define WIDE_SHORT_MB 6000
#define WIDE_FILL_PERCENT 30
#define HOST "jobs.example"

/* What the rules promise, in ms. */
#define CONTACT_MS 3000
#define LOSS_SLACK_MS 200
#define CONFIG_APPLY_MS 2000
#define GRACE_MS 4000
#define FINISH_MS 14000

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
	uint32_t number; /* counted from 1 */
	gw_addr_t front;
	gw_httpc_t *ready;
	uint32_t misses;     /* of the readiness check, in a row */
	uint64_t planned_ms; /* until when its signals are planned work */
	bool stays_away;     /* once it has ended */
} entry_t;

/* What a client does with a job. */
typedef enum {
	JOB_SHORT,
	JOB_FAILING, /* its runs always fail */
	JOB_STEPS,   /* two steps, one after the other */
	JOB_GANG,
	JOB_CANCELLED, /* lasts, and is cancelled after a while */
	JOB_LASTING
} job_kind_t;

typedef struct {
	char id[17];
	uint32_t pool;
	job_kind_t kind;
	bool is_limited;      /* of the team that has a quota */
	uint32_t key_version; /* whose key it was handed in with; 0: any */
	uint32_t tasks;	      /* of which an end as done is listed */
	bool accepted;
	bool cancel_sent;
	bool ended;	  /* shown as completed, failed or cancelled */
	bool asked;	  /* at the end of the run */
	uint64_t sent_ms; /* first */
	uint64_t accepted_ms;
	uint64_t idle_since_ms; /* nothing of it runs, though it could; 0: no */
} job_t;

/* A pool as the workers show it. */
typedef struct {
	uint32_t workers; /* that have not left */
	uint32_t load_percent;
} pool_load_t;

typedef struct {
	gw_rt_t *rt;
	GRand *random;
	const char *bin;
	char *dir; /* settings and logs */
	uint32_t port_base;
	uint64_t began_us;
	uint64_t calm_from_ms;	   /* end of the last disruption, Unix ms */
	uint64_t unplanned_end_ms; /* the same, planned work left out */
	uint32_t disruptions;	   /* unplanned ones in progress */
	uint64_t config_until_ms;  /* a configuration may be taking effect */
	uint32_t config_version;
	process_t store, workers;
	entry_t entries[ENTRIES_MAX];
	uint32_t entry_count;
	uint32_t pool_count;
	uint32_t shard_count; /* of each pool */
	bool has_machines;    /* pools with a standby pool, and a planner */
	bool has_teams;	      /* callers need keys; see teams.c */
	bool planned_only;    /* no other disruption than planned work */
	uint32_t cpu_percent; /* of the entry processes; 100: not limited */
	gw_httpc_t *store_api, *control;
	GPtrArray *jobs; /* job_t */
	uint32_t lasting_count;
	GHashTable *reported; /* violations, to print each once */
	uint32_t violations, events, accepted, refused;
	uint32_t worker_count; /* ever started */
	uint32_t fill_percent; /* at which no more short jobs are submitted */
	pool_load_t loads[POOLS_MAX];
	json_t *worker_rows;	   /* as listed last */
	uint64_t longest_stand_ms; /* of a task that lasts */
	uint32_t moves, upkeeps;
	uint32_t answered, not_sent, unanswered, timed_out; /* requests */
	uint64_t longest_unanswered_ms;
	bool finishing;
	bool traffic_over;
} soak_t;

uint64_t soak_now_ms(void);
void soak_print(soak_t *, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void soak_on_control(const gw_http_response_t *, const gw_err_t *, void *arg);
void soak_on_config(const gw_http_response_t *, const gw_err_t *, void *arg);
void soak_violation(soak_t *, const char *key, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
void soak_disrupt(soak_t *, bool is_planned);
void soak_disruption_begin(soak_t *);
void soak_disruption_end(soak_t *);
gw_httpc_t *soak_client(soak_t *, uint32_t port_offset);

/* process.c */
int process_start(soak_t *, process_t *, const char *name,
    const char *const *args, const char *settings);
void process_signal(process_t *, int signum);
void entry_start(soak_t *, entry_t *);
void processes_throttle(soak_t *);

/* clients.c */
void clients_start(soak_t *);
bool clients_send(soak_t *, const char *method, const char *path,
    const char *key, const char *body, caller_done_t, void *arg);

/* traffic.c */
void traffic_start(soak_t *);
void traffic_ask_all(soak_t *);

/* check.c */
void check_start(soak_t *);
void check_completed(soak_t *, job_t *);
void check_failed(soak_t *, job_t *);
uint32_t check_pending(void);

/* config.c */
void config_put(soak_t *);
void config_put_layout(soak_t *);

/* teams.c */
void teams_draw(soak_t *, uint32_t seed);
void teams_append(const soak_t *, GString *config);
void teams_version_begins(soak_t *);
void teams_version_acked(soak_t *);
void teams_draw_job(const soak_t *, job_t *);
const char *teams_key(const soak_t *, const job_t *, bool is_submission);
void teams_check_accepted(soak_t *, const job_t *);
void teams_check_running(soak_t *, const json_t *tasks);
uint32_t teams_most_percent(void);
bool teams_may_wait(const soak_t *, const job_t *);

/* events.c, faults.c */
void events_start(soak_t *);

#endif
