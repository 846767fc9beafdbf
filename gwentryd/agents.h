#ifndef GWENTRYD_AGENTS_H
#define GWENTRYD_AGENTS_H

#include "gw/runtime.h"
#include "sched/sched.h"

/* The calls of one pool's owner to the instances of the pool. */
typedef struct agents agents_t;

/* Answers, by instance. */
typedef struct {
	void (*on_started)(const char *instance, const sched_task_ref_t *,
	    uint32_t run, sched_answer_t, void *arg);
	void (*on_stopped)(const char *instance, const sched_task_ref_t *,
	    uint32_t run, sched_answer_t, void *arg);
	void (*on_report)(const char *instance, const sched_report_t *,
	    uint64_t sent_us, void *arg);
	void (*on_hold_failed)(const char *instance, sched_answer_t, void *arg);
} agents_ops_t;

agents_t *agents_new(
    gw_rt_t *, uint64_t fence, const agents_ops_t *, void *arg);
/* Ends open calls without a callback. */
void agents_free(agents_t *);
void agents_start(agents_t *, const sched_start_t *);
void agents_stop(agents_t *, const char *instance, const char *address,
    const sched_task_ref_t *, uint32_t run);
void agents_hold(agents_t *, const sched_renewal_t *);
/* Closes the connections to an instance; open calls end without a callback. */
void agents_forget(agents_t *, const char *instance);

#endif
