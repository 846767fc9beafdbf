#ifndef GWROUTED_INSTANCE_H
#define GWROUTED_INSTANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "gw/runtime.h"
#include "http/exchange.h"
#include "member/member.h"
#include "settings.h"
#include "wire/gw.pb-c.h"

/* Connect time-out to an endpoint or a peer router. */
#define GW_CONNECT_MS 500

/* What became of the attempts on an instance since the last report. */
typedef struct {
	uint32_t started;
	uint32_t succeeded;
	uint32_t failed;
	uint32_t timed_out;
} tally_t;

typedef struct pool pool_t;

/*
 * One incarnation of an endpoint instance. It is freed when it is out of the
 * view and nothing is in flight on it.
 */
typedef struct {
	char id[GW_NAME_BYTES];
	char incarnation[GW_NAME_BYTES];
	gw_addr_t addr;
	gw_rt_t *rt;
	uint32_t endpoint_idle_ms;
	gw_target_t *target; /* NULL until the first attempt */
	pool_t *pool;	     /* NULL when it takes no new work */
	uint32_t index;	     /* in its pool */
	member_state_t state;
	bool time_bound;
	bool in_view;
	uint32_t granted;
	uint32_t in_flight;
	uint32_t in_flight_unbound; /* began while it was not time-bound */
	uint32_t service_mean_us;   /* moving average of the service time */
	uint64_t avoid_until_us;    /* after a failed connect */
	bool echoes;		    /* names the attempt in its responses */
	tally_t tally;
} instance_t;

instance_t *instance_new(gw_rt_t *, const settings_t *, const char *id,
    const char *incarnation, const gw_addr_t *);
void instance_free(instance_t *);
gw_target_t *instance_target(instance_t *);
void instance_set_granted(instance_t *, uint32_t granted);
void instance_started(instance_t *, bool bound);
void instance_ended(instance_t *, bool bound);
void instance_served(instance_t *, uint64_t service_us);
void instance_avoid(instance_t *);
uint32_t instance_reported_in_flight(const instance_t *);
bool instance_needs_report(const instance_t *);

#endif
