#ifndef POLICY_OPTIMUM_H
#define POLICY_OPTIMUM_H

#include <stdint.h>

/* Moves of lending compared with the fewest possible, on small cases. */
typedef struct {
	uint32_t cases;
	uint32_t moves, least; /* sums */
	double worst;	/* largest ratio of one case with at least one move */
	uint32_t unmet; /* phases at whose end a demand was not met */
} optimum_t;

void optimum_run(uint32_t cases, uint32_t seed, optimum_t *);

#endif
