#ifndef FLEET_JOBS_H
#define FLEET_JOBS_H

#include "fleet.h"

typedef enum {
	JOB_SUBMIT = 1, /* text is the body */
	JOB_CANCEL,	/* of the job with the id */
	JOB_TASKS,	/* answer to tasks; list is the platform's body */
	JOB_USAGE,	/* answer to usage */
	JOB_PUT,	/* answer to task_put; id is the task's */
	JOB_OPERATED	/* answer to task_operate */
} job_msg_kind_t;

/* What the outside tells about jobs; pointers are valid during the call. */
typedef struct job_msg {
	job_msg_kind_t kind;
	const char *id;
	const char *text;
	const char *operation;
	const json_t *list; /* NULL: no answer */
	uint64_t call;	    /* of tasks and usage */
	int status;	    /* 0: no answer */
	bool surely_not;    /* without an answer: it was not sent */
} job_msg_t;

/* What jobs ask of the outside; answers never come before the return. */
typedef struct {
	void (*tasks)(void *ctx, uint64_t call);
	void (*usage)(void *ctx, uint64_t call);
	void (*task_put)(void *ctx, const char *task_id, const char *body);
	void (*task_operate)(void *ctx, const char *task_id,
	    const char *operation, const char *body);
	/* With status 200 the text is JSON, else a problem's detail. */
	void (*reply)(void *ctx, void *request, int status, const char *title,
	    const char *text);
} job_ops_t;

typedef struct jobs jobs_t;

void jobs_attach(fleet_t *, const job_ops_t *, void *ctx, gw_metrics_t *);
void jobs_free(jobs_t *);
void jobs_begin(fleet_t *);
void jobs_end(fleet_t *);
void jobs_tick(fleet_t *);
void jobs_handle(fleet_t *, const fleet_msg_t *);
json_t *jobs_explain_json(const fleet_t *, const char *id);

#endif
