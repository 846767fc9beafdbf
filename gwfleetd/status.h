#ifndef FLEET_STATUS_H
#define FLEET_STATUS_H

#include "fleet.h"
#include "record.h"

/* Minimum interval between two writes of the status key. */
#define STATUS_WRITE_INTERVAL_MS 1000

extern const record_ops_t status_ops;

uint64_t status_parse_generation(const char *text);
uint64_t status_generation_in_force(const fleet_t *);
void status_tick(fleet_t *);

#endif
