#ifndef SCHED_TURNS_H
#define SCHED_TURNS_H

#include <glib.h>

#include "policy/share.h"
#include "sched/sched.h"

/*
 * Turns of the owners of jobs, teams or queues, by the work placed for them.
 */
typedef struct {
	const void *owner; /* NULL: jobs without one */
	share_account_t account;
	uint64_t weight;
} sched_turn_t;

typedef struct sched_job sched_job_t;
typedef sched_turn_t (*sched_turn_of_t)(
    const sched_pool_t *, const sched_job_t *);

void sched_turns_take(const sched_pool_t *, const share_t *, sched_turn_of_t,
    sched_job_t **jobs, guint count);

#endif
