#ifndef GWENTRYD_AGENTS_H
#define GWENTRYD_AGENTS_H

#include "gw/runtime.h"
#include "sched/sched.h"

/*
 * Sends requests of a shard's owner to the shard's instances over HTTP: starts
 * and stops of runs, and lease renewals.
 */
typedef struct agents agents_t;

/* Called with the result of each request, but may_start() before a start. */
typedef struct {
	/*
	 * Whether a start may be sent at this moment. It may have waited for a
	 * connection, and the process may have been suspended meanwhile.
	 */
	bool (*may_start)(void *arg);
	/* clock_ms: the instance's clock at the response; 0: not known */
	void (*on_started)(const char *instance, const sched_task_ref_t *,
	    uint32_t run, sched_result_t, uint64_t clock_ms, void *arg);
	void (*on_stopped)(const char *instance, const sched_task_ref_t *,
	    uint32_t run, sched_result_t, void *arg);
	void (*on_report)(const char *instance, const sched_report_t *,
	    uint64_t sent_us, void *arg);
	void (*on_renew_failed)(
	    const char *instance, sched_result_t, void *arg);
} agents_ops_t;

/*
 * The window counts starts and stops that are queued or in flight; it outlives
 * the agents.
 */
agents_t *agents_new(
    gw_rt_t *, sched_window_t *, const agents_ops_t *, void *arg);
/* Cancels calls in progress without a callback. */
void agents_free(agents_t *);
void agents_start(agents_t *, const sched_start_t *);
void agents_stop(agents_t *, const char *instance, const char *address,
    const sched_task_ref_t *, uint32_t run, uint64_t fence);
void agents_renew(agents_t *, const sched_renewal_t *);
/*
 * Closes the connections to an instance; calls in progress are cancelled
 * without a callback.
 */
void agents_disconnect(agents_t *, const char *instance);

#endif
