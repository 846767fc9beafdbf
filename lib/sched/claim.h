#ifndef SCHED_CLAIM_H
#define SCHED_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

/* What a process has for the roles that it owns. */
typedef struct {
	uint32_t cpu_permille; /* its CPU share, in thousandths of a core */
	uint32_t link_kbps;    /* its link, in kilobits a second */
} sched_process_t;

/* A process that may claim a role. */
typedef struct {
	sched_process_t process;
	uint32_t owned_roles;
	bool is_starting; /* started a moment ago */
	/* Its data centre has the owner of another shard of the pool. */
	bool shares_pool;
} sched_claimant_t;

/* Bound of the random part of a claim's delay, in ms. */
#define SCHED_CLAIM_JITTER_MS 60

/*
 * For how long a process counts as starting, in ms, and so leaves each role to
 * others: all processes of a system that has just started know the roles first.
 */
#define SCHED_CLAIM_STARTING_MS 300

/*
 * Returns what a process should have in order to claim at once: as much as the
 * strongest of those present that are enough for all roles have at least.
 */
sched_process_t sched_claim_reference(
    const sched_process_t *present, uint32_t count, uint32_t roles);

/*
 * Returns for how long the process leaves a role without an owner to others
 * before it claims it, in ms, without the random part.
 */
uint32_t sched_claim_delay_ms(
    const sched_claimant_t *, const sched_process_t *reference);

#endif
