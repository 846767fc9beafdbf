#include "events.h"

#define CALL_TIMEOUT_MS 2000

typedef struct {
	void (*run)(soak_t *);
	uint32_t weight;	 /* in a run with all disruptions */
	uint32_t planned_weight; /* in one with planned work only */
} event_t;

static const event_t events[] = {
    {event_leave, 5, 3},
    {event_crash, 1, 0},
    {event_fail, 2, 0},
    {event_silent, 1, 0},
    {event_late_starts, 1, 0},
    {event_back_and_cut, 3, 0},
    {event_wave, 2, 2},
    {event_store_refuses, 3, 0},
    {event_store_dark, 1, 0},
    {event_store_slow, 1, 0},
    {event_store_loses, 1, 0},
    {event_store_forgets, 1, 0},
    {event_config, 2, 5},
    {event_kill, 3, 0},
    {event_kill_all, 1, 0},
    {event_term, 2, 5},
    {event_stop, 2, 0},
    {event_hup, 1, 3},
};

static gw_timer_t timer;
static uint32_t left_in_series;

uint32_t
events_draw(soak_t *soak, uint32_t from, uint32_t to)
{
	return (uint32_t)g_rand_int_range(
	    soak->random, (gint32)from, (gint32)to);
}

/*
 * Handles the response to a fault that is set or ended. A worker that has left
 * meanwhile refuses it.
 */
static void
on_fault(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	if (response == NULL || response->status != 400)
		soak_on_control(response, err, arg);
}

/*
 * Sets faults of a stand-in.
 */
void
events_control(soak_t *soak, gw_httpc_t *client, const char *fmt, ...)
{
	g_autofree char *body = NULL;
	va_list args;

	va_start(args, fmt);
	body = g_strdup_vprintf(fmt, args);
	va_end(args);
	(void)gw_httpc_call(
	    client, "POST", "/control", body, CALL_TIMEOUT_MS, on_fault, soak);
}

static void
on_follow_up(gw_timer_t *tick, void *arg)
{
	follow_up_t *follow_up = arg;

	(void)tick;
	follow_up->run(follow_up);
	if (follow_up->is_disruption)
		soak_disruption_end(follow_up->soak);
	g_free(follow_up);
}

/*
 * Runs a function after delay_ms.
 */
follow_up_t *
events_later(soak_t *soak, uint32_t delay_ms, void (*run)(follow_up_t *))
{
	follow_up_t *follow_up = g_new0(follow_up_t, 1);

	follow_up->soak = soak;
	follow_up->run = run;
	gw_timer_start(soak->rt, &follow_up->timer, delay_ms * GW_US_PER_MS,
	    on_follow_up, follow_up);
	return follow_up;
}

/*
 * The same; all the time until then counts as a disruption.
 */
follow_up_t *
events_disrupt_for(soak_t *soak, uint32_t delay_ms, void (*run)(follow_up_t *))
{
	follow_up_t *follow_up = events_later(soak, delay_ms, run);

	follow_up->is_disruption = true;
	soak_disruption_begin(soak);
	return follow_up;
}

static uint32_t
weight_of(const soak_t *soak, const event_t *event)
{
	return soak->planned_only ? event->planned_weight : event->weight;
}

static void
run_event(soak_t *soak)
{
	uint32_t total = 0, at;

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
		total += weight_of(soak, &events[i]);
	at = events_draw(soak, 0, total);
	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		if (at < weight_of(soak, &events[i])) {
			soak->events++;
			events[i].run(soak);
			return;
		}
		at -= weight_of(soak, &events[i]);
	}
}

/*
 * Runs the next event of a series. Between two series there is time enough for
 * the checks that need calm, mostly.
 */
static void
on_event(gw_timer_t *tick, void *arg)
{
	soak_t *soak = arg;
	uint32_t delay_ms;

	if (soak->traffic_over)
		return;
	if (left_in_series == 0) {
		left_in_series = events_draw(soak, 2, 7);
		delay_ms = events_draw(soak, 7000, 13000);
	} else {
		left_in_series--;
		run_event(soak);
		delay_ms = events_draw(soak, 50, 1800);
	}
	gw_timer_start(soak->rt, tick, delay_ms * GW_US_PER_MS, on_event, soak);
}

/*
 * Begins the events with a first series.
 */
void
events_start(soak_t *soak)
{
	left_in_series = events_draw(soak, 3, 7);
	on_event(&timer, soak);
}
