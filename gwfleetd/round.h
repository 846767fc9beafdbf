#ifndef FLEET_ROUND_H
#define FLEET_ROUND_H

#include "fleet.h"

/* Interval of the rounds that decide on lending, waves and pool sizes. */
#define ROUND_MS 500

void round_decide(fleet_t *, member_table_t *draft);
void round_step(fleet_t *, member_table_t *draft);

#endif
