#ifndef FLEET_DECISION_H
#define FLEET_DECISION_H

#include "fleet.h"

/* Number of the last decisions that are kept for /v1/explain. */
#define DECISIONS_KEPT 1024

/* One decision of the planner and the reason for it. */
typedef struct {
	uint64_t at_us;
	char what[24];
	char instance_id[GW_NAME_BYTES];
	char pool[GW_NAME_BYTES];
	char reason[96];
} decision_t;

typedef struct {
	GQueue kept; /* decision_t, oldest first */
} decisions_t;

void decisions_init(decisions_t *);
void decisions_clear(decisions_t *);
void decision_log(fleet_t *, const char *what, const char *instance_id,
    const char *pool, const char *reason);

#endif
