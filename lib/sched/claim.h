#ifndef SCHED_CLAIM_H
#define SCHED_CLAIM_H

#include <stdint.h>

/* What a process that may claim a role has for it. */
typedef struct {
	uint32_t cpu_permille; /* its CPU share, in thousandths of a core */
	uint32_t link_kbps;    /* its link, in kilobits a second */
	uint32_t owned_roles;
} sched_claimant_t;

/* Bound of the random part of a claim's delay, in ms. */
#define SCHED_CLAIM_JITTER_MS 60

/*
 * Returns for how long the process waits before it claims a role without an
 * owner, in ms, without the random part.
 */
uint32_t sched_claim_delay_ms(const sched_claimant_t *);

#endif
