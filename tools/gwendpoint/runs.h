#ifndef GWENDPOINT_RUNS_H
#define GWENDPOINT_RUNS_H

#include <stdint.h>

#include <glib.h>

/* Runs by request id, and what else a test asks an endpoint. */
typedef struct {
	GHashTable *by_id; /* char * -> count */
	uint64_t started;
	uint64_t finished;
	uint64_t refused;
	uint32_t in_flight;
	uint32_t in_flight_max;
	uint32_t connections_max;
} runs_t;

void runs_init(runs_t *);
void runs_clear(runs_t *);
void runs_start(runs_t *, const char *request_id);
void runs_finish(runs_t *);
char *runs_json(const runs_t *);

#endif
