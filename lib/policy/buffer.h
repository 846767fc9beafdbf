#ifndef POLICY_BUFFER_H
#define POLICY_BUFFER_H

#include <stdint.h>

/* Planner rounds whose demand is remembered. */
#define BUFFER_HISTORY_ROUNDS 256

/*
 * Recent demand of a data centre, from which the number of instances to keep
 * idle is computed.
 */
typedef struct {
	uint64_t at_us[BUFFER_HISTORY_ROUNDS];
	uint32_t slots[BUFFER_HISTORY_ROUNDS]; /* total demand */
	uint32_t rises[BUFFER_HISTORY_ROUNDS]; /* slots, within a lead time */
	uint64_t rounds;		       /* observed ever */
	uint64_t missing_us;  /* when instances were last missing */
	uint32_t max_missing; /* most instances missing at once, lately */
} buffer_t;

void buffer_observe(buffer_t *, uint32_t slots, uint32_t missing,
    uint64_t lead_us, uint64_t now_us);
uint32_t buffer_instances(
    const buffer_t *, uint32_t slots_per_instance, uint32_t in_maintenance);

#endif
