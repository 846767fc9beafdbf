#ifndef REGRESS_FAKE_INSTANCES_H
#define REGRESS_FAKE_INSTANCES_H

#include "gw/clock.h"
#include "sched/sched.h"

/*
 * Instances that respond to a pool's requests by themselves, for plays that
 * last many rounds. They carry out starts and stops at once and report each
 * renewal's runs and ends, and note for how long each task stands.
 */
typedef struct fake_instances fake_instances_t;

fake_instances_t *fake_instances_new(const gw_clock_t *);
void fake_instances_free(fake_instances_t *);
/* An instance, or a new incarnation of one, which has no runs. */
void fake_instances_begin(fake_instances_t *, const char *id, uint64_t born_ms);
/* The instance responds no more; its runs have ended. */
void fake_instances_end(fake_instances_t *, const char *id);
/* All runs that start on the instance fail at once. */
void fake_instances_set_grey(fake_instances_t *, const char *id);
/*
 * The runs of a step end after run_ms, 0: never; as failed if fails is set.
 */
void fake_instances_set_step(fake_instances_t *, const char *job, uint32_t step,
    uint64_t run_ms, bool fails);
void fake_instances_start(fake_instances_t *, const sched_start_t *);
void fake_instances_stop(
    fake_instances_t *, const char *id, const sched_task_ref_t *, uint32_t run);
void fake_instances_renew(fake_instances_t *, const sched_renewal_t *);
/*
 * Delivers the responses to all requests since the last call; returns how many
 * starts and stops these were.
 */
uint32_t fake_instances_respond(fake_instances_t *, sched_pool_t *);
/* Prints the longest time that each task of the job stood between runs. */
void fake_instances_print_stood(const fake_instances_t *, const char *job);

#endif
