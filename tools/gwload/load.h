#ifndef GWLOAD_LOAD_H
#define GWLOAD_LOAD_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

#include "arrival.h"
#include "gw/addr.h"
#include "gw/runtime.h"
#include "http/exchange.h"
#include "stats.h"

/* What to send. */
typedef struct {
	gw_addr_t *targets; /* request n goes to target n % target_count */
	uint32_t target_count;
	char **routes; /* values of Host; NULL-terminated */
	char *method;
	char *path;
	char *headers; /* further header lines, each with CRLF; may be empty */
	char *id_prefix;
	uint32_t seed;
	uint32_t mean_per_s;  /* per route; 0: closed loop */
	uint32_t concurrency; /* requests in flight in a closed loop */
	uint32_t surge_ms;
	uint32_t duration_ms;
	uint32_t requests_max;
	uint32_t in_flight_max;
	uint32_t body_bytes;
	uint32_t timeout_ms;
	FILE *each_file; /* gets a line per request; may be NULL */
	bool spin;	 /* busy-poll, for exact sending times */
} load_plan_t;

/* A load: its plan, state and results. */
typedef struct load load_t;

load_t *load_new(gw_rt_t *, const load_plan_t *);
void load_run(load_t *);
stats_t *load_stats(load_t *, uint32_t route);
double load_elapsed_s(const load_t *);
void load_free(load_t *);

#endif
