#include <glib.h>

#include "gw/clock.h"
#include "sched/window.h"

/* Time-out and repeat of a request while responses are fast. */
#define TIMEOUT_MIN_US (350 * GW_US_PER_MS)
#define REPEAT_MIN_US (400 * GW_US_PER_MS)
#define TIMEOUT_MAX_US (2 * GW_US_PER_S)
#define REPEAT_MAX_US (3200 * GW_US_PER_MS)
#define WINDOW_START_BYTES (32 * 1024)
/* Some starts of usual size, so that responses keep coming. */
#define WINDOW_MIN_BYTES (6 * 1024)
#define WINDOW_MAX_BYTES (1024 * 1024)
/*
 * The window is adjusted once in an interval, by the fastest response in it. A
 * process that has used up its share of the processor handles none for up to
 * 100 ms; within two such periods at least one response is read in time.
 */
#define INTERVAL_US (200 * GW_US_PER_MS)
/*
 * Delay of the fastest response, beyond the time without a queue, that shows a
 * queue on the link.
 */
#define QUEUE_MAX_US (80 * GW_US_PER_MS)
/* The time without a queue is the least of the last one to two periods. */
#define BASE_PERIOD_US (10 * GW_US_PER_S)
/* A queue measured longer ago is forgotten. */
#define QUEUE_AGE_MAX_US GW_US_PER_S
/* Starts wait for the window for about this many windows at most. */
#define PLACED_WINDOWS 2
/* Repeats, as a share of the responses, and how many may come together. */
#define RESPONSES_PER_REPEAT 4
#define REPEATS_MAX 16
/* One repeat is allowed in this time even if there are no responses. */
#define REPEAT_INTERVAL_US (50 * GW_US_PER_MS)
/* Head of a request, its response, and their TCP and IP headers. */
#define REQUEST_OVERHEAD_BYTES 400

struct sched_window_policy {
	const char *name;
	bool is_bounded;
};

struct sched_window {
	const sched_window_policy_t *policy;
	uint64_t in_flight_bytes;
	uint64_t window_bytes;
	/* Least response time of the present and of the last period; 0: none */
	uint64_t base_us, last_base_us;
	uint64_t base_since_us;
	/* The present interval. */
	uint64_t since_us;   /* 0: none began */
	uint64_t fastest_us; /* 0: no response yet */
	uint32_t timeouts;
	bool was_full; /* a start had to wait for room */
	/* The last interval. */
	uint64_t queue_us;
	/* Smoothed response time and its deviation, as TCP has them. */
	uint64_t smoothed_us, deviation_us;
	uint32_t repeat_credit; /* RESPONSES_PER_REPEAT for each repeat */
	uint64_t repeated_us;	/* when the last repeat was allowed */
};

const sched_window_policy_t sched_window_fixed = {"fixed", false};
const sched_window_policy_t sched_window_delay = {"delay", true};

/*
 * Returns a window with nothing in flight.
 */
sched_window_t *
sched_window_new(const sched_window_policy_t *policy)
{
	sched_window_t *window = g_new0(sched_window_t, 1);

	window->policy = policy;
	window->window_bytes = WINDOW_START_BYTES;
	window->repeat_credit = REPEATS_MAX * RESPONSES_PER_REPEAT;
	return window;
}

/*
 * Frees the window; NULL is allowed.
 */
void
sched_window_free(sched_window_t *window)
{
	g_free(window);
}

uint32_t
sched_window_request_bytes(uint32_t body_bytes)
{
	return body_bytes + REQUEST_OVERHEAD_BYTES;
}

void
sched_window_add(sched_window_t *window, uint32_t size_bytes)
{
	window->in_flight_bytes += size_bytes;
}

/*
 * Returns the least response time seen lately, in microseconds; 0: none.
 */
static uint64_t
base_us(const sched_window_t *window)
{
	if (window->last_base_us == 0 || window->base_us == 0)
		return MAX(window->last_base_us, window->base_us);
	return MIN(window->last_base_us, window->base_us);
}

static void
update_base(sched_window_t *window, uint64_t took_us, uint64_t now_us)
{
	if (gw_elapsed_us(now_us, window->base_since_us) >= BASE_PERIOD_US) {
		window->last_base_us = window->base_us;
		window->base_us = 0;
		window->base_since_us = now_us;
	}
	if (window->base_us == 0 || took_us < window->base_us)
		window->base_us = MAX(took_us, 1);
}

/*
 * Updates the smoothed response time and its deviation, with the weights of
 * RFC 6298.
 */
static void
update_smoothed(sched_window_t *window, uint64_t took_us)
{
	uint64_t off_us;

	if (window->smoothed_us == 0) {
		window->smoothed_us = took_us;
		window->deviation_us = took_us / 2;
		return;
	}
	off_us = took_us > window->smoothed_us ? took_us - window->smoothed_us
					       : window->smoothed_us - took_us;
	window->deviation_us = (3 * window->deviation_us + off_us) / 4;
	window->smoothed_us = (7 * window->smoothed_us + took_us) / 8;
}

/*
 * Ends the interval. The link has a queue if even the fastest response was
 * late, or if there was none at all. Then the window shrinks. Otherwise it
 * grows if it held starts back.
 */
static void
end_interval(sched_window_t *window, uint64_t now_us)
{
	uint64_t queue_us = window->timeouts > 0 ? TIMEOUT_MIN_US : 0;

	if (window->fastest_us != 0)
		queue_us = window->fastest_us -
		    MIN(window->fastest_us, base_us(window));
	if (queue_us > QUEUE_MAX_US) {
		window->window_bytes =
		    MAX(window->window_bytes * 7 / 10, WINDOW_MIN_BYTES);
	} else if (window->was_full) {
		window->window_bytes =
		    MIN(window->window_bytes * 5 / 4, WINDOW_MAX_BYTES);
	}
	window->queue_us = queue_us;
	window->since_us = now_us;
	window->fastest_us = 0;
	window->timeouts = 0;
	window->was_full = false;
}

void
sched_window_remove(sched_window_t *window, uint32_t size_bytes,
    uint64_t sent_us, uint64_t now_us, bool answered)
{
	uint64_t took_us = MAX(gw_elapsed_us(now_us, sent_us), 1);

	window->in_flight_bytes -= MIN(window->in_flight_bytes, size_bytes);
	if (sent_us == 0)
		return;
	if (window->since_us == 0)
		window->since_us = now_us;
	if (answered) {
		update_base(window, took_us, now_us);
		update_smoothed(window, took_us);
		if (window->fastest_us == 0 || took_us < window->fastest_us)
			window->fastest_us = took_us;
		window->repeat_credit = MIN(window->repeat_credit + 1,
		    REPEATS_MAX * RESPONSES_PER_REPEAT);
	} else {
		window->timeouts++;
	}
	if (gw_elapsed_us(now_us, window->since_us) >= INTERVAL_US)
		end_interval(window, now_us);
}

uint64_t
sched_window_in_flight(const sched_window_t *window)
{
	return window->in_flight_bytes;
}

uint64_t
sched_window_size(const sched_window_t *window)
{
	return window->window_bytes;
}

bool
sched_window_has_room(sched_window_t *window)
{
	bool has_room = !window->policy->is_bounded ||
	    window->in_flight_bytes < window->window_bytes;

	window->was_full |= !has_room;
	return has_room;
}

/*
 * A start that waited for a connection to its instance could neither be taken
 * back nor be checked against the instance's lease.
 */
bool
sched_window_has_room_at(sched_window_t *window, uint32_t in_flight)
{
	if (window->policy->is_bounded &&
	    in_flight >= SCHED_WINDOW_PER_INSTANCE)
		return false;
	return sched_window_has_room(window);
}

/*
 * Starts that are placed may wait for the store too, so that many of them do
 * not show that the window is too small.
 */
bool
sched_window_may_place(const sched_window_t *window, uint64_t unsent_bytes)
{
	return !window->policy->is_bounded ||
	    unsent_bytes < PLACED_WINDOWS * window->window_bytes;
}

uint64_t
sched_window_timeout_us(const sched_window_t *window)
{
	if (!window->policy->is_bounded)
		return TIMEOUT_MIN_US;
	return CLAMP(window->smoothed_us + 4 * window->deviation_us,
	    TIMEOUT_MIN_US, TIMEOUT_MAX_US);
}

uint64_t
sched_window_queue_us(const sched_window_t *window, uint64_t now_us)
{
	if (!window->policy->is_bounded ||
	    gw_elapsed_us(now_us, window->since_us) > QUEUE_AGE_MAX_US)
		return 0;
	return window->queue_us;
}

/*
 * Returns the time from the last send to the repeat. It doubles with each
 * attempt and is spread over a quarter more, so that requests that failed
 * together are not repeated together.
 */
static uint64_t
repeat_delay_us(
    const sched_window_t *window, const sched_window_request_t *request)
{
	uint32_t doublings = request->attempts > 1 ? request->attempts - 1 : 0;
	uint64_t delay_us = REPEAT_MIN_US << MIN(doublings, 3);

	if (!window->policy->is_bounded)
		return REPEAT_MIN_US;
	delay_us = MIN(delay_us, REPEAT_MAX_US);
	return delay_us + request->spread % (delay_us / 4);
}

/*
 * A request in flight is not repeated: it may be late because of those before
 * it. A budget keeps repeats a share of the responses, so that a link or
 * instances that are behind are not loaded further.
 */
bool
sched_window_repeat_due(sched_window_t *window,
    const sched_window_request_t *request, uint64_t now_us)
{
	if (gw_elapsed_us(now_us, request->sent_us) <=
	    repeat_delay_us(window, request))
		return false;
	if (!window->policy->is_bounded)
		return true;
	if (request->in_flight || !sched_window_has_room(window))
		return false;
	if (window->repeat_credit >= RESPONSES_PER_REPEAT)
		window->repeat_credit -= RESPONSES_PER_REPEAT;
	else if (gw_elapsed_us(now_us, window->repeated_us) <
	    REPEAT_INTERVAL_US)
		return false;
	window->repeated_us = now_us;
	return true;
}
