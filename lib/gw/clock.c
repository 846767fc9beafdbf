#include <time.h>

#include <glib.h>

#include "gw/clock.h"

#define NS_PER_US 1000

/*
 * Reads CLOCK_BOOTTIME, which also counts the time that the machine is
 * suspended, because leases expire during that time.
 */
static uint64_t
system_now_us(const gw_clock_t *clock)
{
	struct timespec ts;

	(void)clock;
	(void)clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * GW_US_PER_S +
	    (uint64_t)ts.tv_nsec / NS_PER_US;
}

static uint64_t
paused_now_us(const gw_clock_t *clock)
{
	return clock->paused_us;
}

static const gw_clock_ops_t system_ops = {.now_us = system_now_us};
static const gw_clock_ops_t paused_ops = {.now_us = paused_now_us};

/*
 * Makes the clock read the system's monotonic clock.
 */
void
gw_clock_init_system(gw_clock_t *clock)
{
	clock->ops = &system_ops;
	clock->paused_us = 0;
}

/*
 * Makes a clock that reads now_us until gw_clock_advance() is called.
 */
void
gw_clock_init_paused(gw_clock_t *clock, uint64_t now_us)
{
	clock->ops = &paused_ops;
	clock->paused_us = now_us;
}

/*
 * Advances a paused clock by delta_us. The clock must be a paused one.
 */
void
gw_clock_advance(gw_clock_t *clock, uint64_t delta_us)
{
	g_assert(clock->ops == &paused_ops);
	clock->paused_us += delta_us;
}

/*
 * Returns the clock's reading in microseconds since an arbitrary start.
 */
uint64_t
gw_clock_now_us(const gw_clock_t *clock)
{
	return clock->ops->now_us(clock);
}

/*
 * Returns the time between two readings, 0 when then_us is the later one. That
 * happens when a round of work compares the time read at its start with a time
 * read during the round.
 */
uint64_t
gw_elapsed_us(uint64_t now_us, uint64_t then_us)
{
	return now_us > then_us ? now_us - then_us : 0;
}

/*
 * Returns the seconds since 1970. The system's clock may be set back.
 */
uint64_t
gw_clock_wall_s(void)
{
	return gw_clock_wall_ms() / 1000;
}

/*
 * Returns the milliseconds since 1970. The system's clock may be set back.
 */
uint64_t
gw_clock_wall_ms(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}
