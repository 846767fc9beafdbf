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

/* A gwfleetd's way to the fake platform and the answers to its callers. */
typedef struct jobs_scene jobs_scene_t;
typedef struct {
	jobs_scene_t *scene;
	node_t *node;
} job_side_t;

struct jobs_scene {
	world_t *w;
	node_t *n1, *n2;
	job_side_t sides[2];
	GQueue answers;	    /* fake_answer_t, not yet delivered */
	GHashTable *tasks;  /* id -> fake_task_t */
	uint32_t lose_puts; /* next starts: done, the answer is lost */
	bool ignore_puts;   /* starts get lost on their way */
	uint32_t starts;
	uint32_t replies;
	int status; /* of the last reply */
	char text[256];
};

void jobs_scene_start(jobs_scene_t *);
void jobs_scene_end(jobs_scene_t *);
void jobs_scene_run(jobs_scene_t *, uint64_t ms);
void jobs_scene_submit(jobs_scene_t *, node_t *, const char *id,
    uint64_t service_ms, uint64_t cpu_millis, const char *more);
void jobs_scene_cancel(jobs_scene_t *, node_t *, const char *id);
fake_task_t *jobs_scene_task(const jobs_scene_t *, const char *id);
/* State of the job on the node; the empty text when it is not known. */
const char *jobs_scene_state(const node_t *, const char *id);
uint32_t jobs_scene_recorded(const jobs_scene_t *, const char *id);

#endif
