#ifndef GWENTRYD_CLAIM_H
#define GWENTRYD_CLAIM_H

#include "role.h"

/*
 * Claims a role without an owner after a pause that depends on what this
 * process owns already. Nothing happens if the role is owned by then.
 */
void role_claim_later(role_t *);

#endif
