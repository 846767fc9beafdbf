#ifndef GWENTRYD_CLAIM_H
#define GWENTRYD_CLAIM_H

#include "role.h"

/*
 * Schedules a claim of a role, after a delay that grows with the number of
 * roles that this process owns. The claim does nothing if the role has an owner
 * by then.
 */
void role_schedule_claim(role_t *);

#endif
