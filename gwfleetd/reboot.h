#ifndef FLEET_REBOOT_H
#define FLEET_REBOOT_H

#include "fleet.h"

/* Interval at which a reboot is asked for again and a check is repeated. */
#define REBOOT_RETRY_MS 1000
/* A check that fails this often after a reboot makes the instance a failed
 * one: it stays out of service and stops its wave. */
#define REBOOT_CHECKS_MAX 10

/* The planner's work on an instance that reboots or is checked. */
typedef struct {
	uint64_t asked_us; /* the last request for a reboot or a check */
	uint32_t checks_failed;
	bool passed;
	char incarnation[GW_NAME_BYTES]; /* that the check was made of */
} reboot_t;

void reboot_tick(fleet_t *);
void reboot_checked(fleet_t *, const fleet_msg_t *);
void reboot_update(fleet_t *, member_table_t *draft);

#endif
