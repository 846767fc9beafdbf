#ifndef HTTP_DRAIN_H
#define HTTP_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/* Times of a server's graceful shutdown, in us from its begin. */
typedef struct {
	/* The listener stays open, until callers' load balancer has noticed. */
	uint64_t listen_us;
	/* After that, open connections may still send requests for so long. */
	uint64_t linger_us;
	/* The shutdown ends, even if requests are open. */
	uint64_t end_us;
	/* Open requests are replied to so long before that; 0: they are not. */
	uint64_t reply_all_us;
} gw_drain_plan_t;

/* What the server does now. */
typedef struct {
	bool close_listener;
	bool reply_all; /* to open requests and to each further one */
	bool end;
} gw_drain_step_t;

gw_drain_step_t gw_drain_step(const gw_drain_plan_t *, uint64_t elapsed_us,
    uint32_t requests, uint32_t connections);

#endif
