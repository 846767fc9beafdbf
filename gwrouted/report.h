#ifndef GWROUTED_REPORT_H
#define GWROUTED_REPORT_H

#include <stdint.h>

#include <glib.h>

#include "wire/gw.pb-c.h"

typedef struct router router_t;

/* Which pools a heartbeat reports. */
typedef enum {
	DEMAND_NONE = 0,
	DEMAND_CHANGED, /* changed since the last heartbeat with demand */
	DEMAND_FULL
} report_demand_t;

/*
 * A message about the state of the router, and its submessages.
 */
typedef struct {
	Gw__Hello hello;
	Gw__Heartbeat heartbeat;
	Gw__Ack ack;
	Gw__Outcome outcome;
	GPtrArray *submessages; /* in the order in which they are sent */
} report_t;

void report_hello(report_t *, router_t *);
void report_heartbeat(report_t *, router_t *, report_demand_t,
    uint64_t sequence, uint64_t sent_us);
void report_ack(report_t *, router_t *, uint64_t view_sequence);
void report_outcome(report_t *, router_t *);
void report_clear(report_t *);

#endif
