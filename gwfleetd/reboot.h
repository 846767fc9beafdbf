#ifndef FLEET_REBOOT_H
#define FLEET_REBOOT_H

#include "fleet.h"

/* Interval at which a reboot request or a check is repeated. */
#define REBOOT_RETRY_MS 1000
/* Number of failed checks of one incarnation that halts the instance's wave.
 * The instance stays out of service while its checks fail. */
#define REBOOT_FAILED_CHECKS_MAX 10

/* Progress of an instance that reboots or is checked. */
typedef struct {
	uint64_t requested_us;	/* time of the last reboot or check request */
	uint32_t checks_failed; /* of the incarnation below */
	bool passed;		/* the last check succeeded */
	char incarnation[GW_NAME_BYTES]; /* that was checked last */
} reboot_t;

void reboot_tick(fleet_t *);
void reboot_handle_check(fleet_t *, const fleet_msg_t *);
void reboot_update(fleet_t *, member_table_t *draft);

#endif
