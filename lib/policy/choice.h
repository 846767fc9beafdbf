#ifndef POLICY_CHOICE_H
#define POLICY_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* What the choice of an endpoint looks at, one per instance of a pool. */
typedef struct {
	uint32_t in_flight;
	uint32_t granted;   /* slots this router may use there */
	uint32_t recent_us; /* moving average of service time */
	bool usable; /* state and contact allow it, and it is not ejected */
	void *owner;
} choice_t;

typedef struct {
	const char *name;
	/* Returns an index, or -1 when no instance has a free slot. */
	int32_t (*pick)(const choice_t *, uint32_t count, GRand *);
} choice_ops_t;

extern const choice_ops_t choice_random;    /* baseline */
extern const choice_ops_t choice_power_two; /* better of two random ones */

#endif
