#include "policy/place_impl.h"

/* Part of its CPU that a throttled job keeps. */
#define THROTTLED_PERCENT 25

static bool
is_preemptible(const place_job_t *job)
{
	return !job->urgent && job->state == PLACE_RUNNING &&
	    (job->can_checkpoint || (job->can_throttle && !job->throttled));
}

static uint64_t
throttle_freed_cpu_millis(const place_job_t *job)
{
	return job->reserved.of[PLACE_CPU_MILLIS] * (100 - THROTTLED_PERCENT) /
	    100;
}

/*
 * Returns what the job frees when it gives way: part of its CPU when it
 * is throttled, all that it reserves when it is checkpointed.
 */
static place_size_t
freed_by(const place_job_t *job, bool throttle)
{
	place_size_t size = {{0}};

	if (!throttle)
		return job->reserved;
	size.of[PLACE_CPU_MILLIS] = throttle_freed_cpu_millis(job);
	return size;
}

/* What is free on the node once the jobs that checkpoint have stopped. */
static place_size_t
expected_free(const place_node_t *node)
{
	place_size_t available = place_node_free_size(node);

	for (uint32_t i = 0; i < node->jobs->len; i++) {
		const place_job_t *job = node->jobs->pdata[i];
		if (job->state == PLACE_STOPPING)
			place_size_add(&available, &job->reserved);
	}
	return available;
}

/*
 * Returns how many jobs of the node must be throttled, or else checkpointed, to
 * free the size, or UINT32_MAX when all of them would not free it.
 */
static uint32_t
count_victims(const place_node_t *node, const place_size_t *size, bool throttle)
{
	place_size_t available = expected_free(node);
	uint32_t count = 0;

	if (node->lost)
		return UINT32_MAX;
	for (uint32_t i = 0; i < node->jobs->len; i++) {
		const place_job_t *job = node->jobs->pdata[i];
		place_size_t more;

		if (place_size_fits(size, &available))
			return count;
		if (!is_preemptible(job) ||
		    (throttle ? !job->can_throttle || job->throttled
			      : !job->can_checkpoint))
			continue;
		more = freed_by(job, throttle);
		place_size_add(&available, &more);
		count++;
	}
	return place_size_fits(size, &available) ? count : UINT32_MAX;
}

static void
throttle_job(place_t *place, place_job_t *job, GPtrArray *decisions)
{
	place_size_t less = freed_by(job, true);

	place_size_subtract(&job->reserved, &less);
	place_size_subtract(&job->node->used, &less);
	place_size_subtract(&place_team_lookup(place, job->team)->used, &less);
	job->throttled = true;
	place_decision_add(decisions, PLACE_THROTTLE, job, job->node);
}

static void
preempt_jobs(place_t *place, place_node_t *node, const place_size_t *size,
    bool throttle, GPtrArray *decisions)
{
	for (uint32_t i = 0; i < node->jobs->len; i++) {
		place_job_t *job = node->jobs->pdata[i];
		place_size_t available = expected_free(node);

		if (place_size_fits(size, &available))
			return;
		if (!is_preemptible(job))
			continue;
		if (throttle && job->can_throttle && !job->throttled) {
			throttle_job(place, job, decisions);
		} else if (!throttle && job->can_checkpoint) {
			job->state = PLACE_STOPPING;
			place_decision_add(
			    decisions, PLACE_CHECKPOINT, job, job->node);
		}
	}
}

static place_node_t *
fewest_victims_node(place_t *place, const place_size_t *size, bool throttle)
{
	uint32_t least = UINT32_MAX;
	place_node_t *best = NULL;

	for (uint32_t i = 0; i < place->nodes->len; i++) {
		place_node_t *node = place->nodes->pdata[i];
		uint32_t count = count_victims(node, size, throttle);

		if (count < least) {
			least = count;
			best = node;
		}
	}
	return best;
}

/*
 * Makes other jobs give way to an urgent one: throttles them, which frees
 * CPU at once, or else checkpoints them. Returns true when the urgent
 * job was started; after checkpoints it starts in a later round.
 */
bool
place_preempt(place_t *place, place_job_t *job, GPtrArray *decisions)
{
	place_size_t size = place->ops->size(place, job), available;
	place_node_t *node = fewest_victims_node(place, &size, true);

	if (node != NULL) {
		preempt_jobs(place, node, &size, true, decisions);
		available = place_node_free_size(node);
		if (!place_size_fits(&size, &available))
			return false;
		place_start(place, job, node, decisions);
		return true;
	}
	node = fewest_victims_node(place, &size, false);
	if (node != NULL)
		preempt_jobs(place, node, &size, false, decisions);
	return false;
}
