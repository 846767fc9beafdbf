#ifndef GWROUTED_INSTANCE_H
#define GWROUTED_INSTANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "gw/runtime.h"
#include "http/exchange.h"
#include "member/member.h"
#include "settings.h"
#include "wire/gw.pb-c.h"

/* Time-out of a connect to an endpoint or a peer router. */
#define GW_CONNECT_TIMEOUT_MS 500

/* Results of the attempts on an instance since the last Outcome message. */
typedef struct {
	uint32_t started;
	uint32_t succeeded;
	uint32_t failed;
	uint32_t timed_out;
} attempt_counts_t;

typedef struct pool pool_t;

/*
 * One incarnation of an endpoint instance. It is freed when it is no longer in
 * the view and the last attempt on it has ended.
 */
typedef struct {
	char id[GW_NAME_BYTES];
	char incarnation[GW_NAME_BYTES];
	gw_addr_t addr;
	gw_rt_t *rt;
	uint32_t endpoint_idle_ms;
	gw_target_t *target; /* NULL until the first attempt */
	pool_t *pool;	     /* NULL when it must get no new requests */
	uint32_t index;	     /* position in pool->instances */
	member_state_t state;
	bool time_bound;
	bool in_view;	  /* false once retired */
	uint32_t granted; /* slots granted by the planner */
	uint32_t in_flight;
	/* Those in flight that started while it was not time-bound. */
	uint32_t in_flight_not_time_bound;
	uint32_t service_mean_us; /* moving average; 0 before any response */
	/* Gets no requests before this time; 0 without a failure. */
	uint64_t backoff_until_us;
	bool echoes_attempt_id; /* has sent an attempt id in a response */
	attempt_counts_t counts;
} instance_t;

instance_t *instance_new(gw_rt_t *, const settings_t *, const char *id,
    const char *incarnation, const gw_addr_t *);
void instance_free(instance_t *);
gw_target_t *instance_target(instance_t *);
void instance_set_granted(instance_t *, uint32_t granted);
void instance_attempt_started(instance_t *, bool was_time_bound);
void instance_attempt_ended(instance_t *, bool was_time_bound);
void instance_record_service_time(instance_t *, uint64_t service_us);
void instance_back_off(instance_t *);
uint32_t instance_reported_in_flight(const instance_t *);
bool instance_needs_report(const instance_t *);

#endif
