#ifndef GWLOAD_STATS_H
#define GWLOAD_STATS_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

typedef enum {
	OUTCOME_ANSWERED = 0,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_BROKEN, /* connection broken, or no complete response in time */
	OUTCOME_COUNT
} outcome_t;

/* Results of one route. */
typedef struct {
	uint64_t sent;
	uint64_t unsent; /* in_flight_max was reached */
	uint64_t outcomes[OUTCOME_COUNT];
	uint64_t mismatched; /* response body differs from the request's */
	/* uint32_t; of answered requests, from their intended sending time */
	GArray *latency_us;
} stats_t;

const char *outcome_name(outcome_t);
void stats_init(stats_t *);
void stats_clear(stats_t *);
void stats_merge(stats_t *, const stats_t *);
void stats_record(stats_t *, outcome_t, uint64_t latency_us);
uint32_t stats_percentile_us(stats_t *, double percent);
json_t *stats_json(stats_t *, const char *route, double elapsed_s);
void stats_print_header(void);
void stats_print(stats_t *, const char *route, double elapsed_s);

#endif
