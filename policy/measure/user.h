#ifndef POLICY_USER_H
#define POLICY_USER_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/fairq.h"
#include "policy/plan.h"

#define USER_MAX_POOLS 5
#define USER_MAX_DCS 4
#define USER_TEAMS 3
#define USER_SLOTS 8
#define USER_RACK 4

/* Fleet of a user and the shape of its load (docs/design.md, section 1.1). */
typedef struct {
	const char *name;
	uint32_t data_centres;
	/* Instances of each pool; the last pool is the spare. */
	uint32_t workers[USER_MAX_POOLS];
	uint32_t max_unavailable; /* budget of each service's pool */
	uint64_t cycle_us;	  /* each pool surges once in it */
	uint64_t surge_us;
} user_t;

#define USER_SERVICES (USER_MAX_POOLS - 1)
#define USER_COUNT 2
extern const user_t users[USER_COUNT];
extern const char *const user_pool_names[USER_MAX_POOLS];
extern const uint32_t user_weights[USER_TEAMS];

/* How a variant sizes its pools. */
typedef enum {
	SIZE_HOME = 0, /* as in workers */
	SIZE_PEAK,     /* each pool fits its surge, no spare pool */
	SIZE_MEAN      /* each pool fits its mean demand, no spare pool */
} pool_sizing_t;

/* A combination of policies to measure. */
typedef struct {
	const char *name;
	const fairq_ops_t *queue;
	const plan_lending_ops_t *lending;
	pool_sizing_t sizing;
	bool release; /* instances not reserved run other work */
} variant_t;

double user_mean_slots(const user_t *, uint32_t pool);
uint32_t user_instances(
    const user_t *, pool_sizing_t, uint32_t pool, uint32_t data_centre);

#endif
