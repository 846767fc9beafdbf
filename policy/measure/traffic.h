#ifndef POLICY_TRAFFIC_H
#define POLICY_TRAFFIC_H

#include "user.h"

/* Seeded arrival process of one user. */
typedef struct {
	const user_t *user;
	GRand *rand;
	uint64_t surge_offset_us[USER_SERVICES]; /* start of the first surge */
	uint64_t run_time_change_us;		 /* 0: never */
	/* Factor of settlement run times from run_time_change_us on. */
	double run_time_factor;
} traffic_t;

extern const uint64_t traffic_service_us[CLASS_COUNT]; /* mean run time */
extern const uint64_t traffic_wait_us[CLASS_COUNT];    /* latest start */

void traffic_init(traffic_t *, const user_t *, uint32_t seed);
void traffic_clear(traffic_t *);
bool traffic_surging(const traffic_t *, uint32_t pool, uint64_t now_us);
/* Draws how many requests of the team and class arrive in step_us. */
uint32_t traffic_arrivals(traffic_t *, uint32_t pool, uint32_t team,
    request_class_t, uint64_t now_us, uint64_t step_us);
uint64_t traffic_draw_service_us(traffic_t *, request_class_t, uint64_t now_us);

#endif
