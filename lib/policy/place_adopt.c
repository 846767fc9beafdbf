#include <string.h>

#include "policy/place_impl.h"

/*
 * Reserves the resources of a job that a previous planner started, on the node
 * and in its team's quota, without starting it again.
 */
bool
place_adopt(place_t *place, place_job_t *job, const char *node_id)
{
	place_team_t *team = place_team_lookup(place, job->team);

	if (team == NULL)
		return false;
	for (uint32_t i = 0; i < place->nodes->len; i++) {
		place_node_t *node = place->nodes->pdata[i];

		if (node->lost || strcmp(node->id, node_id) != 0)
			continue;
		job->reserved = place->ops->size(place, job);
		job->state = PLACE_RUNNING;
		job->node = node;
		place_size_add(&node->used, &job->reserved);
		place_size_add(&team->used, &job->reserved);
		g_ptr_array_add(node->jobs, job);
		return true;
	}
	return false;
}

/*
 * Removes a waiting job from its team's queue, as when it was cancelled.
 */
void
place_dequeue(place_t *place, place_job_t *job)
{
	place_team_t *team = place_team_lookup(place, job->team);

	if (team != NULL && job->state == PLACE_WAITING)
		(void)g_queue_remove(
		    job->urgent ? &team->urgent : &team->normal, job);
	job->state = PLACE_DONE;
}
