#include <glib.h>

#include "gw/log.h"
#include "gw/runtime.h"

struct gw_rt {
	uv_loop_t loop;
	gw_clock_t clock;
	bool paused;   /* the clock is paused; wakeup is never armed */
	GTree *timers; /* gw_timer_t by (due_us, seq) */
	uint64_t next_seq;
	uv_timer_t wakeup;  /* armed for the earliest timer */
	uv_prepare_t flush; /* flushes the log before the loop waits */
};

static gint
timer_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const gw_timer_t *x = a, *y = b;

	(void)data;
	if (x->due_us != y->due_us)
		return x->due_us < y->due_us ? -1 : 1;
	if (x->seq != y->seq)
		return x->seq < y->seq ? -1 : 1;
	return 0;
}

static gw_timer_t *
first_timer(gw_rt_t *rt)
{
	GTreeNode *node;

	node = g_tree_node_first(rt->timers);
	return node == NULL ? NULL : g_tree_node_key(node);
}

/*
 * Fires every timer that is due at now_us, in the order of due_us and seq.
 */
static void
fire_due_timers(gw_rt_t *rt, uint64_t now_us)
{
	gw_timer_t *timer;

	while ((timer = first_timer(rt)) != NULL && timer->due_us <= now_us) {
		gw_timer_stop(timer);
		timer->cb(timer, timer->arg);
	}
}

static void on_wakeup(uv_timer_t *);

/*
 * Arms the libuv timer for the earliest due time, rounded up to a millisecond,
 * the resolution of libuv's timers.
 */
static void
arm_wakeup(gw_rt_t *rt)
{
	gw_timer_t *timer;
	uint64_t now_us, delay_ms;

	if (rt->paused)
		return;
	timer = first_timer(rt);
	if (timer == NULL) {
		uv_timer_stop(&rt->wakeup);
		return;
	}
	now_us = gw_clock_now_us(&rt->clock);
	delay_ms = timer->due_us <= now_us
	    ? 0
	    : (timer->due_us - now_us + GW_US_PER_MS - 1) / GW_US_PER_MS;
	uv_update_time(&rt->loop);
	uv_timer_start(&rt->wakeup, on_wakeup, delay_ms, 0);
}

static void
on_wakeup(uv_timer_t *handle)
{
	gw_rt_t *rt = handle->data;

	fire_due_timers(rt, gw_clock_now_us(&rt->clock));
	arm_wakeup(rt);
}

static void
on_prepare(uv_prepare_t *handle)
{
	(void)handle;
	gw_log_flush();
}

static gw_rt_t *
rt_new(bool paused, uint64_t now_us)
{
	gw_rt_t *rt;

	rt = g_new0(gw_rt_t, 1);
	rt->paused = paused;
	if (paused)
		gw_clock_init_paused(&rt->clock, now_us);
	else
		gw_clock_init_system(&rt->clock);
	rt->timers = g_tree_new_full(timer_compare, NULL, NULL, NULL);
	g_assert(uv_loop_init(&rt->loop) == 0);
	uv_timer_init(&rt->loop, &rt->wakeup);
	rt->wakeup.data = rt;
	uv_prepare_init(&rt->loop, &rt->flush);
	uv_prepare_start(&rt->flush, on_prepare);
	uv_unref((uv_handle_t *)&rt->flush);
	return rt;
}

/*
 * Returns a runtime on the system's monotonic clock.
 */
gw_rt_t *
gw_rt_new(void)
{
	return rt_new(false, 0);
}

/*
 * Returns a runtime whose clock reads now_us until gw_rt_advance() is called.
 * Sockets still work in real time.
 */
gw_rt_t *
gw_rt_new_paused(uint64_t now_us)
{
	return rt_new(true, now_us);
}

/*
 * Frees the runtime. The caller must have stopped all timers and called
 * uv_close() on all its handles; pending close callbacks are run here.
 */
void
gw_rt_free(gw_rt_t *rt)
{
	if (rt == NULL)
		return;
	uv_close((uv_handle_t *)&rt->wakeup, NULL);
	uv_close((uv_handle_t *)&rt->flush, NULL);
	(void)uv_run(&rt->loop, UV_RUN_NOWAIT);
	(void)uv_run(&rt->loop, UV_RUN_NOWAIT);
	(void)uv_loop_close(&rt->loop);
	g_tree_destroy(rt->timers);
	gw_log_flush();
	g_free(rt);
}

/*
 * Returns the libuv loop, on which sockets are opened.
 */
uv_loop_t *
gw_rt_loop(gw_rt_t *rt)
{
	return &rt->loop;
}

/*
 * Returns the clock, for functions that take one.
 */
const gw_clock_t *
gw_rt_clock(const gw_rt_t *rt)
{
	return &rt->clock;
}

/*
 * Returns the clock's reading in microseconds.
 */
uint64_t
gw_rt_now_us(const gw_rt_t *rt)
{
	return gw_clock_now_us(&rt->clock);
}

/*
 * Runs the loop until gw_rt_stop() or until no active handle is left.
 */
void
gw_rt_run(gw_rt_t *rt)
{
	(void)uv_run(&rt->loop, UV_RUN_DEFAULT);
	gw_log_flush();
}

/*
 * Runs one iteration of the loop without waiting. For tests.
 */
void
gw_rt_poll(gw_rt_t *rt)
{
	(void)uv_run(&rt->loop, UV_RUN_NOWAIT);
}

/*
 * Makes gw_rt_run() return.
 */
void
gw_rt_stop(gw_rt_t *rt)
{
	uv_stop(&rt->loop);
}

/*
 * Advances a paused clock by delta_us. Each timer fires with the clock at its
 * due time.
 */
void
gw_rt_advance(gw_rt_t *rt, uint64_t delta_us)
{
	gw_timer_t *timer;
	uint64_t end_us, now_us;

	now_us = gw_clock_now_us(&rt->clock);
	end_us = now_us + delta_us;
	while ((timer = first_timer(rt)) != NULL && timer->due_us <= end_us) {
		if (timer->due_us > now_us) {
			gw_clock_advance(&rt->clock, timer->due_us - now_us);
			now_us = timer->due_us;
		}
		gw_timer_stop(timer);
		timer->cb(timer, timer->arg);
	}
	gw_clock_advance(&rt->clock, end_us - now_us);
}

/*
 * Arms the timer to call cb once after delay_us. A timer that is already armed
 * is rescheduled.
 */
void
gw_timer_start(gw_rt_t *rt, gw_timer_t *timer, uint64_t delay_us,
    gw_timer_cb_t cb, void *arg)
{
	gw_timer_stop(timer);
	timer->rt = rt;
	timer->due_us = gw_clock_now_us(&rt->clock) + delay_us;
	timer->seq = rt->next_seq++;
	timer->cb = cb;
	timer->arg = arg;
	g_tree_insert(rt->timers, timer, timer);
	if (first_timer(rt) == timer)
		arm_wakeup(rt);
}

/*
 * Disarms the timer; does nothing when it is not armed.
 */
void
gw_timer_stop(gw_timer_t *timer)
{
	gw_rt_t *rt = timer->rt;

	if (rt == NULL)
		return;
	g_tree_remove(rt->timers, timer);
	timer->rt = NULL;
	if (first_timer(rt) == NULL)
		arm_wakeup(rt);
}

/*
 * Returns whether the timer is armed.
 */
bool
gw_timer_armed(const gw_timer_t *timer)
{
	return timer->rt != NULL;
}
