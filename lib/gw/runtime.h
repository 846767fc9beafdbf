#ifndef GW_RUNTIME_H
#define GW_RUNTIME_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "gw/clock.h"

/*
 * The event loop and its clock. With a paused clock, timers fire only from
 * gw_rt_advance().
 */
typedef struct gw_rt gw_rt_t;
typedef struct gw_timer gw_timer_t;
typedef void (*gw_timer_cb_t)(gw_timer_t *, void *arg);

/* A one-shot timer, a member of its owner; zero it before first use. */
struct gw_timer {
	gw_rt_t *rt;	 /* NULL unless armed */
	uint64_t due_us; /* on the runtime's clock */
	uint64_t seq;	 /* firing order among timers with the same due_us */
	gw_timer_cb_t cb;
	void *arg;
};

gw_rt_t *gw_rt_new(void);
gw_rt_t *gw_rt_new_paused(uint64_t now_us);
void gw_rt_free(gw_rt_t *);
uv_loop_t *gw_rt_loop(gw_rt_t *);
const gw_clock_t *gw_rt_clock(const gw_rt_t *);
uint64_t gw_rt_now_us(const gw_rt_t *);
void gw_rt_run(gw_rt_t *);
void gw_rt_poll(gw_rt_t *);
void gw_rt_stop(gw_rt_t *);
void gw_rt_advance(gw_rt_t *, uint64_t delta_us);

void gw_timer_start(
    gw_rt_t *, gw_timer_t *, uint64_t delay_us, gw_timer_cb_t, void *arg);
void gw_timer_stop(gw_timer_t *);
bool gw_timer_armed(const gw_timer_t *);

#endif
