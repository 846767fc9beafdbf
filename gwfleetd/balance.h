#ifndef FLEET_BALANCE_H
#define FLEET_BALANCE_H

#include "fleet.h"

void balance_update(fleet_t *, member_table_t *draft, const plan_input_t *);

#endif
