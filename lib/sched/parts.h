#ifndef SCHED_PARTS_H
#define SCHED_PARTS_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/name.h"

/*
 * A pool is owned in parts, so that no single process carries all its work.
 * A job belongs to a part by the hash of its id, an instance by that of its
 * machine; so the fleet is divided into groups of machines that lend to each
 * other only. The number of parts is decided once for a system and kept in the
 * store.
 */
#define PARTS_MAX 16

/* Number of parts for pools of up to so many instances. */
uint32_t parts_for(uint32_t instances);
/*
 * The registry of a system that has just started: its instances appear one by
 * one, in an order that nobody knows.
 */
typedef struct {
	uint32_t largest;  /* instances of the largest pool so far */
	uint64_t since_us; /* when it was reached; 0: never looked */
	uint64_t begun_us;
} parts_growth_t;
/* Takes the size at now_us; true once the number of parts can be decided. */
bool parts_settled(parts_growth_t *, uint32_t largest, uint64_t now_us);
uint32_t parts_of(const char *id, uint32_t count);
/* Name of a part, as an owner's role; the pool's own when there is only one. */
void parts_name(const char *pool, uint32_t part, uint32_t count,
    char out[SCHED_NAME_BYTES]);
/* The pool that a part belongs to, and the part's number. */
uint32_t parts_split(const char *name, char pool[SCHED_NAME_BYTES]);

#endif
