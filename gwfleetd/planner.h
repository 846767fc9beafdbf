#ifndef FLEET_PLANNER_H
#define FLEET_PLANNER_H

#include "fleet.h"

void planner_begin(fleet_t *);
void planner_end(fleet_t *);
void planner_tick(fleet_t *);

#endif
