#ifndef GWLOAD_ARRIVAL_H
#define GWLOAD_ARRIVAL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Multiples of the mean rate during a route's surge and between surges. */
#define ARRIVAL_SURGE_FACTOR 5.0
#define ARRIVAL_TROUGH_FACTOR 0.05

/*
 * Intended sending times of one route: a Poisson process whose rate is steady,
 * or alternates between surges and troughs. The routes surge in turn.
 */
typedef struct {
	GRand *rand;
	double mean_per_s;
	bool surges;
	uint32_t route;
	uint32_t route_count;
	uint64_t surge_us; /* length of one route's surge */
	uint64_t next_us;  /* since the start of the load */
} arrival_t;

void arrival_init(arrival_t *, uint32_t seed, uint32_t route,
    uint32_t route_count, double mean_per_s, uint64_t surge_us);
void arrival_clear(arrival_t *);
void arrival_next(arrival_t *);

#endif
