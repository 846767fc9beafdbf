#ifndef POLICY_CHOICE_H
#define POLICY_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* An instance of a pool as a candidate for the next request. */
typedef struct {
	uint32_t in_flight; /* requests of this router on the instance */
	uint32_t granted;   /* slots of it that this router may use */
	uint32_t
	    service_mean_us; /* moving average of service time, 0 unknown */
	/* Not ejected, and its state and the contact allow a request. */
	bool usable;
	void *owner;
} choice_candidate_t;

typedef struct {
	const char *name;
	/* Returns the index of a candidate, or -1 when none is free. */
	int32_t (*pick)(const choice_candidate_t *, uint32_t count, GRand *);
} choice_ops_t;

extern const choice_ops_t choice_random;    /* baseline */
extern const choice_ops_t choice_power_two; /* faster of two random ones */

#endif
