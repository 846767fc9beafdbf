#ifndef FLEET_STATUS_H
#define FLEET_STATUS_H

#include "fleet.h"
#include "record.h"

/* Shortest interval between two writes of the status key. */
#define STATUS_WRITE_MS 1000

extern const record_ops_t status_ops;

uint64_t status_generation_in(const char *text);
uint64_t status_in_force(const fleet_t *);
void status_tick(fleet_t *);

#endif
