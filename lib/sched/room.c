#include <string.h>

#include "sched/room.h"

struct sched_room {
	const Gw__JobSpec *spec;
	uint64_t *tasks; /* of each step, that the instances can run */
};

/*
 * Returns a count without instances. The specification must outlive it.
 */
sched_room_t *
sched_room_new(const Gw__JobSpec *spec)
{
	sched_room_t *room = g_new0(sched_room_t, 1);

	room->spec = spec;
	room->tasks = g_new0(uint64_t, spec->n_steps);
	return room;
}

void
sched_room_free(sched_room_t *room)
{
	if (room == NULL)
		return;
	g_free(room->tasks);
	g_free(room);
}

/*
 * Returns how often need goes into capacity, at most limit times.
 */
static uint64_t
times(uint64_t capacity, uint64_t need, uint64_t limit)
{
	return need == 0 ? limit : MIN(limit, capacity / need);
}

/*
 * Returns how many tasks of the step the instance can run at a time.
 */
static uint64_t
tasks_on(const sched_instance_info_t *info, const Gw__JobStep *step)
{
	uint64_t limit =
	    step->max_per_instance > 0 ? step->max_per_instance : step->count;

	if (step->label[0] != '\0' &&
	    (info->labels == NULL ||
		!g_strv_contains(
		    (const char *const *)info->labels, step->label)))
		return 0;
	limit = times(info->capacity.cpu_millis,
	    step->fills ? 0 : step->cpu_millis, limit);
	limit = times(info->capacity.memory_mib, step->memory_mib, limit);
	return times(info->capacity.accelerators, step->accelerators, limit);
}

/*
 * Adds an instance, unless it is leaving.
 */
void
sched_room_add(sched_room_t *room, const sched_instance_info_t *info)
{
	for (size_t i = 0; !info->leaving && i < room->spec->n_steps; i++)
		room->tasks[i] += tasks_on(info, room->spec->steps[i]);
}

/*
 * All members of a gang, and all long-running tasks of a step, must run at the
 * same time. The tasks of other steps may run one after the other.
 */
bool
sched_room_suffices(const sched_room_t *room, const bool *is_open)
{
	for (size_t i = 0; i < room->spec->n_steps; i++) {
		const Gw__JobStep *step = room->spec->steps[i];
		uint64_t needed = step->gang || step->lasting ? step->count : 1;

		if ((is_open == NULL || is_open[i]) && room->tasks[i] < needed)
			return false;
	}
	return true;
}

uint64_t
sched_room_count(const sched_room_t *room, uint32_t step)
{
	return room->tasks[step];
}

bool
sched_room_choose_shard(sched_room_t *const *rooms, uint32_t count,
    uint32_t present, uint32_t home, const bool *is_open, uint32_t *shard)
{
	for (uint32_t i = 1; i < count; i++) {
		*shard = (present + i) % count;
		if (!sched_room_suffices(rooms[*shard], is_open))
			continue;
		if (present != home)
			*shard = home;
		return true;
	}
	return false;
}
