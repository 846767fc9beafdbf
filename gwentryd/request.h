#ifndef GWENTRYD_REQUEST_H
#define GWENTRYD_REQUEST_H

#include "gw/runtime.h"
#include "http/httpd.h"
#include "sched/sched.h"
#include "stats.h"

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_UNAUTHORIZED 401
#define STATUS_NOT_FOUND 404
#define STATUS_BAD_METHOD 405
#define STATUS_GONE 410
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504

/* Callers' requests, and what replying to them needs. */
typedef struct {
	gw_rt_t *rt;
	stats_t *stats;
	void *front;		 /* front_t, for the handlers in front.c */
	uint64_t config_version; /* configuration in force, for the log */
	/* When it is known to have been the newest one; 0: not yet. */
	uint64_t config_current_us;
	GQueue open; /* request_t, not replied to yet */
	/* What is held for callers; forwarded requests are charged to it. */
	gw_budget_t *budget;
	uint32_t in_memory; /* requests that libh2o has not released yet */
} requests_t;

/*
 * One caller's request. It is freed once libh2o has released it and all calls
 * to owners for it have ended.
 */
typedef struct {
	requests_t *requests;
	h2o_req_t *req; /* NULL unless is_open */
	Gw__CallKind kind;
	char id[SCHED_JOB_ID_BYTES]; /* of the job; empty to count a queue */
	char queue[SCHED_NAME_BYTES];
	char team[SCHED_NAME_BYTES]; /* of the caller's key; empty: none */
	bool has_key;
	sched_key_digest_t key; /* if has_key */
	uint64_t arrived_us;
	/* From arrival; shorter than the caller's timeout. */
	uint64_t response_timeout_ms;
	gw_timer_t deadline;
	uint64_t charged_bytes; /* while its body is forwarded */
	uint32_t refs;
	GList link;   /* in requests->open */
	bool is_open; /* not replied to, and the caller is connected */
} request_t;

void requests_init(requests_t *, gw_rt_t *, stats_t *, void *front);
/* Returns a request with one reference, which libh2o's request holds. */
request_t *request_new(requests_t *, h2o_req_t *);
void request_unref(request_t *);
/* True for requests that change nothing. */
bool request_is_read_only(const request_t *);
/* Returns the time until response_timeout_ms has passed. */
uint64_t request_time_left_ms(const request_t *);
/* Replies with 504 once response_timeout_ms has passed. */
void request_start_deadline(request_t *);
/* Replies to, logs and counts a request; does nothing if it is not open. */
void request_reply(request_t *, int status, const char *body,
    const char *reason, uint32_t retry_after_ms);
/* Replies with an error status; the body names the reason. */
void request_reply_error(
    request_t *, int status, const char *reason, uint32_t retry_after_ms);

#endif
