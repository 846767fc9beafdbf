#ifndef POLICY_SPEED_H
#define POLICY_SPEED_H

#include <stdint.h>

/* Mean time of one endpoint choice among count instances, in microseconds. */
double speed_choice_us(uint32_t count, uint32_t full_percent);
/* Time of one planner round (lending and waves), in milliseconds. */
double speed_round_ms(uint32_t instances, uint32_t pools);

#endif
