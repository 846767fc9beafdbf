#include "policy/place_impl.h"

/* A throttled job keeps this part of its processors, percent. */
#define THROTTLED_PERCENT 25

static bool
may_give_way(const place_job_t *job)
{
	return !job->urgent && job->state == PLACE_RUNNING &&
	    (job->can_checkpoint || (job->can_throttle && !job->throttled));
}

static uint64_t
throttle_gain(const place_job_t *job)
{
	return job->reserved.of[PLACE_CPU_MILLIS] * (100 - THROTTLED_PERCENT) /
	    100;
}

/*
 * Room that the job leaves: processors at once when it is throttled, all of
 * it when it is checkpointed.
 */
static place_size_t
gain(const place_job_t *job, bool throttle)
{
	place_size_t size = {{0}};

	if (!throttle)
		return job->reserved;
	size.of[PLACE_CPU_MILLIS] = throttle_gain(job);
	return size;
}

/* Room on the node once jobs that were told to stop have done so. */
static place_size_t
room_soon(const place_node_t *node)
{
	place_size_t room = place_free_of(node);

	for (uint32_t i = 0; i < node->jobs->len; i++) {
		const place_job_t *job = node->jobs->pdata[i];
		if (job->state == PLACE_STOPPING)
			place_add(&room, &job->reserved);
	}
	return room;
}

/*
 * Number of jobs of the node that must give way for the size, or UINT32_MAX.
 */
static uint32_t
victims(const place_node_t *node, const place_size_t *size, bool throttle)
{
	place_size_t room = room_soon(node);
	uint32_t count = 0;

	if (node->lost)
		return UINT32_MAX;
	for (uint32_t i = 0; i < node->jobs->len; i++) {
		const place_job_t *job = node->jobs->pdata[i];
		place_size_t more;

		if (place_fits(size, &room))
			return count;
		if (!may_give_way(job) ||
		    (throttle ? !job->can_throttle || job->throttled
			      : !job->can_checkpoint))
			continue;
		more = gain(job, throttle);
		place_add(&room, &more);
		count++;
	}
	return place_fits(size, &room) ? count : UINT32_MAX;
}

static void
throttle_job(place_t *place, place_job_t *job, GPtrArray *decisions)
{
	place_size_t less = gain(job, true);

	place_subtract(&job->reserved, &less);
	place_subtract(&job->node->used, &less);
	place_subtract(&place_team(place, job->team)->used, &less);
	job->throttled = true;
	place_decide(decisions, PLACE_THROTTLE, job, job->node);
}

static void
clear_node(place_t *place, place_node_t *node, const place_size_t *size,
    bool throttle, GPtrArray *decisions)
{
	for (uint32_t i = 0; i < node->jobs->len; i++) {
		place_job_t *job = node->jobs->pdata[i];
		place_size_t room = room_soon(node);

		if (place_fits(size, &room))
			return;
		if (!may_give_way(job))
			continue;
		if (throttle && job->can_throttle && !job->throttled) {
			throttle_job(place, job, decisions);
		} else if (!throttle && job->can_checkpoint) {
			job->state = PLACE_STOPPING;
			place_decide(
			    decisions, PLACE_CHECKPOINT, job, job->node);
		}
	}
}

static place_node_t *
cheapest(place_t *place, const place_size_t *size, bool throttle)
{
	uint32_t least = UINT32_MAX;
	place_node_t *best = NULL;

	for (uint32_t i = 0; i < place->nodes->len; i++) {
		place_node_t *node = place->nodes->pdata[i];
		uint32_t count = victims(node, size, throttle);

		if (count < least) {
			least = count;
			best = node;
		}
	}
	return best;
}

/*
 * Makes room for an urgent job: by throttling, which works at once, else by
 * checkpoints. True when the job can start now.
 */
bool
place_make_room(place_t *place, place_job_t *job, GPtrArray *decisions)
{
	place_size_t size = place->ops->size(place, job), room;
	place_node_t *node = cheapest(place, &size, true);

	if (node != NULL) {
		clear_node(place, node, &size, true, decisions);
		room = place_free_of(node);
		if (!place_fits(&size, &room))
			return false;
		place_start(place, job, node, decisions);
		return true;
	}
	node = cheapest(place, &size, false);
	if (node != NULL)
		clear_node(place, node, &size, false, decisions);
	return false;
}
