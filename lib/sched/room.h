#ifndef SCHED_ROOM_H
#define SCHED_ROOM_H

#include <stdbool.h>
#include <stdint.h>

#include "sched/sched.h"

/*
 * Counts whether a group of instances could run a job if nothing else ran
 * there.
 */
typedef struct sched_room sched_room_t;

sched_room_t *sched_room_new(const Gw__JobSpec *);
void sched_room_free(sched_room_t *);
void sched_room_add(sched_room_t *, const sched_instance_info_t *);
/*
 * Returns whether all steps that are open can run. is_open has an entry for
 * each step; NULL: all are.
 */
bool sched_room_suffices(const sched_room_t *, const bool *is_open);
/* Returns how many tasks of the step the instances can run at a time. */
uint64_t sched_room_count(const sched_room_t *, uint32_t step);
/*
 * Chooses the shard to which a job is transferred that its shard cannot run,
 * from the room of each shard. A job away from its home shard goes back there
 * first. Returns false if no other shard can run it.
 */
bool sched_room_choose_shard(sched_room_t *const *rooms, uint32_t count,
    uint32_t present, uint32_t home, const bool *is_open, uint32_t *shard);

#endif
