#include "http/drain.h"

/*
 * Returns what a server does elapsed_us after its shutdown has begun, with this
 * many open requests and connections. While callers have connections, it stays:
 * a caller may send a request before it sees the end of its connection.
 */
gw_drain_step_t
gw_drain_step(const gw_drain_plan_t *plan, uint64_t elapsed_us,
    uint32_t requests, uint32_t connections)
{
	gw_drain_step_t step = {.close_listener = elapsed_us >= plan->listen_us,
	    .end = elapsed_us >= plan->end_us};

	step.reply_all = plan->reply_all_us > 0 &&
	    elapsed_us + plan->reply_all_us >= plan->end_us;
	if (step.close_listener && requests == 0)
		step.end |= connections == 0 ||
		    elapsed_us >= plan->listen_us + plan->linger_us;
	return step;
}
