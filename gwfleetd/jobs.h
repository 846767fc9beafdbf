#ifndef FLEET_JOBS_H
#define FLEET_JOBS_H

#include "fleet.h"

typedef enum {
	JOB_SUBMIT = 1, /* text is the request's body */
	JOB_CANCEL,	/* id is the job's */
	JOB_TASKS,	/* reply to tasks; list is the body of the reply */
	JOB_USAGE,	/* reply to usage; list as above */
	JOB_PUT,	/* reply to task_put; id is the task's */
	JOB_OPERATED	/* reply to task_operate; id is the task's */
} job_msg_kind_t;

/*
 * A client's request or a reply of the platform. Pointers are valid during the
 * call only.
 */
typedef struct job_msg {
	job_msg_kind_t kind;
	const char *id;
	const char *text;
	const char *operation;
	const json_t *list; /* NULL: no valid reply */
	uint64_t call;	    /* number given to tasks or usage */
	int status;	    /* HTTP status; 0: no reply */
	bool not_sent;	    /* the call failed before it was sent */
} job_msg_t;

/*
 * Calls to the platform and replies to clients. The platform's replies arrive
 * through jobs_handle(), never before the call returns.
 */
typedef struct {
	void (*tasks)(void *ctx, uint64_t call);
	void (*usage)(void *ctx, uint64_t call);
	void (*task_put)(void *ctx, const char *task_id, const char *body);
	void (*task_operate)(void *ctx, const char *task_id,
	    const char *operation, const char *body);
	/* text is JSON with status 200, else the detail of the problem. */
	void (*reply)(void *ctx, void *request, int status, const char *title,
	    const char *text);
} job_ops_t;

typedef struct jobs jobs_t;

void jobs_attach(fleet_t *, const job_ops_t *, void *ctx, gw_metrics_t *);
void jobs_free(jobs_t *);
void jobs_begin_term(fleet_t *);
void jobs_end_term(fleet_t *);
void jobs_tick(fleet_t *);
void jobs_handle(fleet_t *, const fleet_msg_t *);
json_t *jobs_explain_json(const fleet_t *, const char *id);

#endif
