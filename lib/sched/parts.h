#ifndef SCHED_PARTS_H
#define SCHED_PARTS_H

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
uint32_t parts_of(const char *id, uint32_t count);
/* Name of a part, as an owner's role; the pool's own when there is only one. */
void parts_name(const char *pool, uint32_t part, uint32_t count,
    char out[SCHED_NAME_BYTES]);
/* The pool that a part belongs to, and the part's number. */
uint32_t parts_split(const char *name, char pool[SCHED_NAME_BYTES]);

#endif
