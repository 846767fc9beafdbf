#ifndef FLEET_FLEETWIDE_H
#define FLEET_FLEETWIDE_H

#include "fleet.h"

/* Interval at which one other data centre's status is read, while a
 * generation is not in force everywhere. */
#define FLEETWIDE_READ_MS 500

/* What the other data centres have in force. */
typedef struct {
	GHashTable *generations; /* data centre -> uint64_t */
	char asked[GW_NAME_BYTES];
	uint64_t asked_us;
	bool waits;
} fleetwide_t;

void fleetwide_init(fleetwide_t *);
void fleetwide_clear(fleetwide_t *);
void fleetwide_tick(fleet_t *);

#endif
