#ifndef FLEET_FLEETWIDE_H
#define FLEET_FLEETWIDE_H

#include "fleet.h"

/* Interval between reads of another data centre's status, one at a time, while
 * a generation is not in force everywhere. */
#define FLEETWIDE_READ_MS 500

/* Manifest generations in force in the other data centres. */
typedef struct {
	GHashTable *generations;       /* data centre -> uint64_t */
	char requested[GW_NAME_BYTES]; /* data centre of the last read */
	uint64_t requested_us;	       /* time of the last read */
	bool pending;		       /* the last read is unanswered */
} fleetwide_t;

void fleetwide_init(fleetwide_t *);
void fleetwide_clear(fleetwide_t *);
void fleetwide_tick(fleet_t *);

#endif
