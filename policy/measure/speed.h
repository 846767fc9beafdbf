#ifndef POLICY_SPEED_H
#define POLICY_SPEED_H

#include <stdint.h>

/* Measures the mean time of one endpoint choice among count instances. */
double speed_choice_us(uint32_t count, uint32_t full_percent);
/* Measures the mean time of one planner round (lending and waves). */
double speed_round_ms(uint32_t instances, uint32_t pools);

#endif
