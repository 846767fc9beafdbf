#ifndef GW_CLOCK_H
#define GW_CLOCK_H

#include <stdint.h>

#define GW_US_PER_MS UINT64_C(1000)
#define GW_US_PER_S UINT64_C(1000000)

/* A monotonic clock: the system's, or one that a test advances. */
typedef struct gw_clock gw_clock_t;

typedef struct {
	uint64_t (*now_us)(const gw_clock_t *);
} gw_clock_ops_t;

struct gw_clock {
	const gw_clock_ops_t *ops;
	uint64_t paused_us; /* reading of a paused clock; else unused */
};

void gw_clock_init_system(gw_clock_t *);
void gw_clock_init_paused(gw_clock_t *, uint64_t now_us);
void gw_clock_advance(gw_clock_t *, uint64_t delta_us);
uint64_t gw_clock_now_us(const gw_clock_t *);
/* Time from then_us to now_us; 0 when then_us is later than now_us. */
uint64_t gw_elapsed_us(uint64_t now_us, uint64_t then_us);
/* Seconds since 1970, for display only; no decision may depend on them. */
uint64_t gw_clock_wall_s(void);
/* Milliseconds since 1970, for events scheduled at a wall-clock time. */
uint64_t gw_clock_wall_ms(void);

#endif
