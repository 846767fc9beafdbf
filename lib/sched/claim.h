#ifndef SCHED_CLAIM_H
#define SCHED_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

/* A process that may claim a role. */
typedef struct {
	uint32_t cpu_permille; /* its CPU share, in thousandths of a core */
	uint32_t link_kbps;    /* its link, in kilobits a second */
	uint32_t owned_roles;
	bool is_starting; /* started a moment ago */
	/* Its data centre has the owner of another shard of the pool. */
	bool shares_pool;
} sched_claimant_t;

/* Bound of the random part of a claim's delay, in ms. */
#define SCHED_CLAIM_JITTER_MS 60

/* For how long a process counts as starting. */
#define SCHED_CLAIM_STARTING_MS 300

/*
 * Returns for how long the process leaves a role without an owner to others
 * before it claims it, in ms, without the random part.
 */
uint32_t sched_claim_delay_ms(const sched_claimant_t *);

#endif
