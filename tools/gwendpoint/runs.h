#ifndef GWENDPOINT_RUNS_H
#define GWENDPOINT_RUNS_H

#include <stdint.h>

#include <glib.h>

/* The counts that GET /runs reports. */
typedef struct {
	GHashTable *by_id; /* request id -> number of runs */
	uint64_t started;
	uint64_t finished;
	uint64_t refused;	  /* requests refused as not run */
	uint32_t in_flight;	  /* runs */
	uint32_t in_flight_max;	  /* most at one time */
	uint32_t connections_max; /* most at one time */
} runs_t;

void runs_init(runs_t *);
void runs_clear(runs_t *);
void runs_count_start(runs_t *, const char *request_id);
void runs_count_end(runs_t *);
char *runs_json(const runs_t *);

#endif
