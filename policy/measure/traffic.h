#ifndef POLICY_TRAFFIC_H
#define POLICY_TRAFFIC_H

#include "user.h"

/* Seeded arrival process of one user. */
typedef struct {
	const user_t *user;
	GRand *rand;
	uint64_t shift_us[USER_SERVICES]; /* of the pool's surges */
	/* From turn_us on, settlement work takes turn_factor times as long. */
	uint64_t turn_us;
	double turn_factor;
} traffic_t;

extern const uint64_t traffic_service_us[CLASS_COUNT];
extern const uint64_t traffic_wait_us[CLASS_COUNT];

void traffic_init(traffic_t *, const user_t *, uint32_t seed);
void traffic_clear(traffic_t *);
bool traffic_surging(const traffic_t *, uint32_t pool, uint64_t now_us);
/* Requests of the team and class that arrive in the next step_us. */
uint32_t traffic_arrivals(traffic_t *, uint32_t pool, uint32_t team,
    request_class_t, uint64_t now_us, uint64_t step_us);
uint64_t traffic_draw_service_us(traffic_t *, request_class_t, uint64_t now_us);

#endif
