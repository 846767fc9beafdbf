#ifndef GWENTRYD_REQUEST_H
#define GWENTRYD_REQUEST_H

#include "gw/runtime.h"
#include "http/httpd.h"
#include "sched/sched.h"
#include "stats.h"

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_BAD_METHOD 405
#define STATUS_GONE 410
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504

/* The callers' requests that are open, and those whose memory is still held. */
typedef struct {
	gw_rt_t *rt;
	stats_t *stats;
	void *front;		 /* for the handlers of replies */
	uint64_t config_version; /* for the log */
	GQueue open;		 /* request_t that were not answered yet */
	uint32_t held;
} requests_t;

/* One request, from its arrival until its answer and its reply. */
typedef struct {
	requests_t *all;
	h2o_req_t *req; /* NULL once answered, or the caller has gone */
	Gw__CallKind kind;
	char id[SCHED_JOB_ID_BYTES];
	char queue[SCHED_NAME_BYTES];
	uint64_t arrived_us;
	uint64_t wait_ms; /* so long the caller waits for the answer */
	gw_timer_t deadline;
	uint32_t waiting; /* replies of owners that are still to come */
	uint32_t pending; /* the sum of those that came */
	bool failed;	  /* one did not tell */
	uint32_t refs;
	GList link; /* in all->open */
	bool is_open;
} request_t;

void requests_init(requests_t *, gw_rt_t *, stats_t *, void *front);
/* The reference is libh2o's; further ones are counted in refs. */
request_t *request_new(requests_t *, h2o_req_t *);
void request_unref(request_t *);
/* True for requests that change nothing. */
bool request_is_read(const request_t *);
/* Answers with 504 when the caller is about to stop to wait. */
void request_start_deadline(request_t *);
/* Answers, logs and counts; a request that was answered is left alone. */
void request_answer(request_t *, int status, const char *body,
    const char *reason, uint32_t retry_after_ms);
/* Answers with an error whose body names the reason. */
void request_refuse(
    request_t *, int status, const char *reason, uint32_t retry_after_ms);

#endif
