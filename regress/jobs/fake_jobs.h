#ifndef REGRESS_FAKE_JOBS_H
#define REGRESS_FAKE_JOBS_H

#include "../../gwfleetd/jobs.h"
#include "../fleet/world.h"

/* A task of the fake platform. */
typedef struct {
	char instance[GW_NAME_BYTES];
	const char *state;
	uint64_t end_us, run_ms, lease_end_us;
	uint64_t started_us;
	int share_percent, checkpoint;
} fake_task_t;

/* The job_ops_t context of a gwfleetd: calls go to the fake platform. */
typedef struct jobs_scene jobs_scene_t;
typedef struct {
	jobs_scene_t *scene;
	node_t *node;
} job_port_t;

struct jobs_scene {
	world_t *w;
	node_t *n1, *n2;
	job_port_t ports[2];
	GQueue replies_pending;	   /* fake_reply_t, not yet delivered */
	GHashTable *tasks;	   /* id -> fake_task_t */
	uint32_t lost_put_replies; /* next starts take effect without reply */
	bool drop_puts;	  /* task_put calls have no effect and no reply */
	uint32_t starts;  /* tasks started */
	uint32_t replies; /* sent to clients */
	int status;	  /* of the last reply */
	char text[256];
};

void jobs_scene_start(jobs_scene_t *);
void jobs_scene_end(jobs_scene_t *);
void jobs_scene_run(jobs_scene_t *, uint64_t ms);
void jobs_scene_submit(jobs_scene_t *, node_t *, const char *id,
    uint64_t service_ms, uint64_t cpu_millis, const char *more);
void jobs_scene_cancel(jobs_scene_t *, node_t *, const char *id);
fake_task_t *jobs_scene_task(const jobs_scene_t *, const char *id);
/* State of the job as the node knows it; "" when it knows no such job. */
const char *jobs_scene_state(const node_t *, const char *id);
uint32_t jobs_scene_recorded(const jobs_scene_t *, const char *id);

#endif
