#include <glib.h>

#include "gw/clock.h"
#include "sched/window.h"

/* A link of 2 Mbit/s, and starts of 900 bytes: 277 a second. */
#define LINK_BYTES_S 250000
#define START_BYTES 900
#define ROUND_TRIP_US (5 * GW_US_PER_MS)
/* Starts ordered at once, as when new instances join a pool that is behind. */
#define SURGE_STARTS 600
/* Starts in a second after that, four fifths of what the link carries. */
#define STARTS_S 220
#define PLAY_US (20 * GW_US_PER_S)
#define STEP_US (5 * GW_US_PER_MS)
#define STARTS_MAX (SURGE_STARTS + 20 * STARTS_S)

typedef struct {
	uint64_t ordered_us;
	uint64_t answered_us; /* 0: not yet */
	sched_window_request_t request;
	uint64_t arrives_us; /* response to the last send */
	uint64_t timeout_us; /* of the last send */
} start_t;

/* What one play of the load gives. */
typedef struct {
	uint32_t ordered;
	uint32_t answered;
	uint32_t sends;
	uint64_t worst_us; /* order to response, in the second half */
} outcome_t;

/*
 * Sends a start through the link, on which it waits for those before it. Bytes
 * passed to the link are carried even if the sender gives up.
 */
static void
send_start(sched_window_t *window, start_t *start, uint64_t *link_free_us,
    uint64_t now)
{
	*link_free_us =
	    MAX(*link_free_us, now) + START_BYTES * GW_US_PER_S / LINK_BYTES_S;
	start->request.sent_us = now;
	start->request.attempts++;
	start->request.in_flight = true;
	start->arrives_us = *link_free_us + ROUND_TRIP_US;
	start->timeout_us = now + sched_window_timeout_us(window);
	sched_window_add(window, START_BYTES);
}

/*
 * Handles the response or the time-out of a start, or repeats it.
 */
static void
step_start(sched_window_t *window, start_t *start, uint64_t *link_free_us,
    uint64_t now)
{
	if (start->request.in_flight && now >= start->arrives_us &&
	    start->arrives_us <= start->timeout_us) {
		start->request.in_flight = false;
		start->answered_us = now;
		sched_window_remove(window, START_BYTES, start->request.sent_us,
		    start->arrives_us, true);
		return;
	}
	if (start->request.in_flight && now >= start->timeout_us) {
		start->request.in_flight = false;
		sched_window_remove(
		    window, START_BYTES, start->request.sent_us, now, false);
	}
	if (!start->request.in_flight &&
	    sched_window_repeat_due(window, &start->request, now))
		send_start(window, start, link_free_us, now);
}

static outcome_t
play(const sched_window_policy_t *policy)
{
	sched_window_t *window = sched_window_new(policy);
	start_t *starts = g_new0(start_t, STARTS_MAX);
	uint64_t link_free_us = 0;
	outcome_t outcome = {0};

	for (uint64_t now = GW_US_PER_S; now < GW_US_PER_S + PLAY_US;
	     now += STEP_US) {
		uint32_t due = SURGE_STARTS +
		    (uint32_t)((now - GW_US_PER_S) * STARTS_S / GW_US_PER_S);

		for (; outcome.ordered < due; outcome.ordered++)
			starts[outcome.ordered].ordered_us = now;
		for (uint32_t i = 0; i < outcome.ordered; i++) {
			start_t *start = &starts[i];

			start->request.spread = i * 7919;
			if (start->answered_us != 0)
				continue;
			if (start->request.attempts > 0)
				step_start(window, start, &link_free_us, now);
			else if (sched_window_has_room(window))
				send_start(window, start, &link_free_us, now);
		}
	}
	for (uint32_t i = 0; i < outcome.ordered; i++) {
		outcome.sends += starts[i].request.attempts;
		outcome.answered += starts[i].answered_us != 0;
		if (starts[i].ordered_us > GW_US_PER_S + PLAY_US / 2 &&
		    starts[i].answered_us != 0)
			outcome.worst_us = MAX(outcome.worst_us,
			    starts[i].answered_us - starts[i].ordered_us);
	}
	sched_window_free(window);
	g_free(starts);
	return outcome;
}

/*
 * Guards against the collapse of the order path: after a surge that takes the
 * link longer than a time-out, starts are repeated though they are only late,
 * and the link never recovers although it could carry the load. The baseline
 * shows it.
 */
static void
test_surge_on_slow_link(void)
{
	outcome_t fixed = play(&sched_window_fixed);
	outcome_t delay = play(&sched_window_delay);

	g_test_message("fixed: %u of %u answered, %u sends", fixed.answered,
	    fixed.ordered, fixed.sends);
	g_test_message("delay: %u of %u answered, %u sends, worst %u ms",
	    delay.answered, delay.ordered, delay.sends,
	    (uint32_t)(delay.worst_us / GW_US_PER_MS));
	g_assert_cmpuint(fixed.answered, <, fixed.ordered / 2);
	g_assert_cmpuint(fixed.sends, >, 2 * fixed.ordered);
	/* The last half second may be on its way. */
	g_assert_cmpuint(delay.answered, >=, delay.ordered - STARTS_S / 2);
	g_assert_cmpuint(delay.sends, <=, delay.ordered * 11 / 10);
	g_assert_cmpuint(delay.worst_us, <=, 500 * GW_US_PER_MS);
}

/*
 * Guards against a budget that stops repeats for good when no instance
 * responds, and against repeats that come together.
 */
static void
test_repeats_without_responses(void)
{
	sched_window_t *window = sched_window_new(&sched_window_delay);
	sched_window_request_t request = {.sent_us = 1, .attempts = 1};
	uint64_t now_us = GW_US_PER_S;
	uint32_t repeats = 0;

	for (; now_us < 2 * GW_US_PER_S; now_us += GW_US_PER_MS)
		repeats += sched_window_repeat_due(window, &request, now_us);
	g_assert_cmpuint(repeats, >=, 20);
	g_assert_cmpuint(repeats, <=, 40);
	sched_window_free(window);
}

/*
 * Guards against a window that grows while the store, not the link, holds the
 * starts back: tasks would then fill the pool long before they are started.
 */
static void
test_no_growth_without_use(void)
{
	sched_window_t *window = sched_window_new(&sched_window_delay);
	uint64_t start_bytes = sched_window_size(window);

	for (uint64_t now_us = GW_US_PER_S; now_us < 6 * GW_US_PER_S;
	     now_us += 50 * GW_US_PER_MS) {
		g_assert_false(
		    sched_window_may_place(window, UINT64_C(16) << 20));
		sched_window_add(window, START_BYTES);
		sched_window_remove(
		    window, START_BYTES, now_us - ROUND_TRIP_US, now_us, true);
	}
	g_assert_cmpuint(sched_window_size(window), ==, start_bytes);
	sched_window_free(window);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/window/surge-on-slow-link", test_surge_on_slow_link);
	g_test_add_func("/window/repeats-without-responses",
	    test_repeats_without_responses);
	g_test_add_func(
	    "/window/no-growth-without-use", test_no_growth_without_use);
	return g_test_run();
}
