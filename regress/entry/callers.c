#include <err.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "../../soak/caller.h"

#define CALLERS 16
#define TIMEOUT_MS 3000

/* A caller that asks for a queue's pending jobs again and again. */
typedef struct {
	caller_t *caller;
	gw_timer_t timer;
} asker_t;

static gw_rt_t *rt;
static gw_addr_t addr;
static uint64_t interval_ms;
static asker_t askers[CALLERS];
static gw_timer_t end_timer;
static uint32_t answered, not_sent, unanswered, timed_out;
static uint64_t longest_us; /* of the unanswered ones */

static void
on_done(const caller_result_t *result, void *arg)
{
	(void)arg;
	switch (result->outcome) {
	case CALLER_ANSWERED:
		answered++;
		break;
	case CALLER_NOT_SENT:
		not_sent++;
		break;
	case CALLER_UNANSWERED:
		unanswered++;
		longest_us =
		    MAX(longest_us, result->ended_us - result->sent_us);
		break;
	default:
		timed_out++;
	}
}

static void
on_due(gw_timer_t *timer, void *arg)
{
	asker_t *asker = arg;
	const caller_request_t request = {.addr = addr,
	    .method = "GET",
	    .path = "/q/",
	    .host = "jobs.example",
	    .deadline_ms = TIMEOUT_MS,
	    .timeout_ms = TIMEOUT_MS};

	gw_timer_start(rt, timer, interval_ms * GW_US_PER_MS, on_due, asker);
	if (!caller_is_busy(asker->caller))
		caller_send(asker->caller, &request, on_done, asker);
}

static void
on_end(gw_timer_t *timer, void *arg)
{
	(void)timer;
	(void)arg;
	gw_rt_stop(rt);
}

/*
 * Sends requests to one address for some ms, from callers that keep their
 * connections and send a request in each interval, and counts how they end.
 */
int
main(int argc, char **argv)
{
	gw_err_t error;

	if (argc != 4)
		errx(1, "usage: callers ADDRESS MS INTERVAL_MS");
	if (gw_addr_parse(&addr, argv[1], &error) != 0)
		errx(1, "%s", error.text);
	interval_ms = strtoul(argv[3], NULL, 10);
	(void)signal(SIGPIPE, SIG_IGN);
	rt = gw_rt_new();
	for (uint32_t i = 0; i < CALLERS; i++) {
		askers[i].caller = caller_new(rt);
		gw_timer_start(
		    rt, &askers[i].timer, i * GW_US_PER_MS, on_due, &askers[i]);
	}
	gw_timer_start(rt, &end_timer,
	    strtoul(argv[2], NULL, 10) * GW_US_PER_MS, on_end, NULL);
	gw_rt_run(rt);
	printf("{\"answered\":%u,\"not_sent\":%u,\"unanswered\":%u,"
	       "\"timed_out\":%u,\"longest_us\":%" PRIu64 "}\n",
	    answered, not_sent, unanswered, timed_out, longest_us);
	return 0;
}
