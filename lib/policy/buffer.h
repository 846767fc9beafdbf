#ifndef POLICY_BUFFER_H
#define POLICY_BUFFER_H

#include <stdint.h>

/* Rounds remembered for the rises of demand. */
#define BUFFER_ROUNDS 256

/* Total demand of a data centre, and what it rose by within the lead time. */
typedef struct {
	uint64_t at_us[BUFFER_ROUNDS];
	uint32_t slots[BUFFER_ROUNDS];
	uint32_t rises[BUFFER_ROUNDS];
	uint64_t rounds;
	uint64_t failed_us; /* when instances were last missing */
	uint32_t failed;    /* most missing at once since then */
} buffer_t;

void buffer_observe(buffer_t *, uint32_t slots, uint32_t missing,
    uint64_t lead_us, uint64_t now_us);
uint32_t buffer_instances(
    const buffer_t *, uint32_t slots_per_instance, uint32_t serviced);

#endif
