#include <string.h>

#include "policy/place_impl.h"

/* Jobs of a queue that are tried before the team is skipped in this round. */
#define LOOKAHEAD_JOBS 32

static void
node_free(gpointer data)
{
	place_node_t *node = data;

	g_ptr_array_free(node->jobs, TRUE);
	g_free(node);
}

static void
team_free(gpointer data)
{
	place_team_t *team = data;

	g_queue_clear(&team->urgent);
	g_queue_clear(&team->normal);
	g_free(team);
}

place_t *
place_new(const place_ops_t *ops)
{
	place_t *place = g_new0(place_t, 1);

	place->ops = ops;
	place->nodes = g_ptr_array_new_with_free_func(node_free);
	place->teams = g_ptr_array_new_with_free_func(team_free);
	place->kinds =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	place->unknown = g_ptr_array_new();
	return place;
}

void
place_free(place_t *place)
{
	if (place == NULL)
		return;
	g_ptr_array_free(place->nodes, TRUE);
	g_ptr_array_free(place->teams, TRUE);
	g_ptr_array_free(place->unknown, TRUE);
	g_hash_table_destroy(place->kinds);
	g_free(place);
}

/*
 * Returns the team of that name, or NULL.
 */
place_team_t *
place_team_lookup(place_t *place, const char *name)
{
	for (uint32_t i = 0; i < place->teams->len; i++) {
		place_team_t *team = place->teams->pdata[i];
		if (strcmp(team->name, name) == 0)
			return team;
	}
	return NULL;
}

void
place_set_team(place_t *place, const char *name, uint32_t weight,
    const place_size_t *quota)
{
	place_team_t *team = place_team_lookup(place, name);

	if (team == NULL) {
		team = g_new0(place_team_t, 1);
		g_strlcpy(team->name, name, sizeof(team->name));
		g_ptr_array_add(place->teams, team);
	}
	team->weight = MAX(weight, 1);
	team->quota = *quota;
}

static place_node_t *
find_node(place_t *place, const char *id)
{
	for (uint32_t i = 0; i < place->nodes->len; i++) {
		place_node_t *node = place->nodes->pdata[i];
		if (strcmp(node->id, id) == 0)
			return node;
	}
	return NULL;
}

/*
 * Adds a worker, or sets the rack and size of a known one. A lost worker is
 * available again.
 */
void
place_set_node(
    place_t *place, const char *id, const char *rack, const place_size_t *size)
{
	place_node_t *node = find_node(place, id);

	if (node == NULL) {
		node = g_new0(place_node_t, 1);
		g_strlcpy(node->id, id, sizeof(node->id));
		node->jobs = g_ptr_array_new();
		g_ptr_array_add(place->nodes, node);
	}
	if (!node->lost)
		place_size_subtract(&place->total, &node->size);
	g_strlcpy(node->rack, rack, sizeof(node->rack));
	node->size = *size;
	node->lost = false;
	place_size_add(&place->total, size);
}

static bool
within_quota(const place_team_t *team, const place_size_t *size)
{
	for (int r = 0; r < PLACE_RESOURCE_COUNT; r++)
		if (team->quota.of[r] != 0 &&
		    team->used.of[r] + size->of[r] > team->quota.of[r])
			return false;
	return true;
}

static bool
fits_an_empty_node(const place_t *place, const place_size_t *size)
{
	for (uint32_t i = 0; i < place->nodes->len; i++) {
		const place_node_t *node = place->nodes->pdata[i];
		if (place_size_fits(size, &node->size))
			return true;
	}
	return false;
}

/*
 * Queues the job, or refuses it when it can never run: no worker or not the
 * whole quota of the team is large enough for its size. With place_fair that is
 * the observed size once the jobs of its kind have reported usage.
 */
bool
place_submit(place_t *place, place_job_t *job, uint64_t now_us, char *reason,
    uint32_t bytes)
{
	place_team_t *team = place_team_lookup(place, job->team);
	place_size_t size = place->ops->size(place, job);
	place_team_t empty;

	if (team == NULL) {
		g_snprintf(reason, bytes, "team %s is not defined", job->team);
		return false;
	}
	empty = *team;
	empty.used = (place_size_t){{0}};
	if (!within_quota(&empty, &size)) {
		g_snprintf(reason, bytes, "larger than the quota of team %s",
		    job->team);
		return false;
	}
	if (!fits_an_empty_node(place, &size)) {
		g_snprintf(reason, bytes, "larger than every worker");
		return false;
	}
	job->state = PLACE_WAITING;
	job->submitted_us = now_us;
	job->node = NULL;
	g_queue_push_tail(job->urgent ? &team->urgent : &team->normal, job);
	return true;
}

place_decision_t *
place_decision_add(GPtrArray *decisions, place_action_t action,
    place_job_t *job, const place_node_t *node)
{
	place_decision_t *decision = g_new0(place_decision_t, 1);

	decision->action = action;
	decision->job = job;
	if (node != NULL)
		g_strlcpy(
		    decision->node_id, node->id, sizeof(decision->node_id));
	g_ptr_array_add(decisions, decision);
	return decision;
}

/*
 * Returns the largest share that the team has of any resource, from 0 to 1,
 * divided by its weight.
 */
static double
dominant_share(const place_t *place, const place_team_t *team)
{
	double largest = 0;

	for (int r = 0; r < PLACE_RESOURCE_COUNT; r++)
		if (place->total.of[r] > 0)
			largest = MAX(largest,
			    (double)team->used.of[r] / place->total.of[r]);
	return largest / team->weight;
}

/*
 * Returns the number of jobs of the same team and kind in the node's rack.
 * They are spread over the racks so that the loss of a rack stops few of them.
 */
static uint32_t
same_kind_in_rack(
    const place_t *place, const place_node_t *node, const place_job_t *job)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < place->nodes->len; i++) {
		const place_node_t *other = place->nodes->pdata[i];

		if (strcmp(other->rack, node->rack) != 0)
			continue;
		for (uint32_t j = 0; j < other->jobs->len; j++) {
			const place_job_t *peer = other->jobs->pdata[j];
			count += strcmp(peer->team, job->team) == 0 &&
			    strcmp(peer->kind, job->kind) == 0;
		}
	}
	return count;
}

static place_node_t *
best_node(place_t *place, const place_job_t *job, const place_size_t *size)
{
	uint32_t least = UINT32_MAX;
	place_node_t *best = NULL;

	for (uint32_t i = 0; i < place->nodes->len; i++) {
		place_node_t *node = place->nodes->pdata[i];
		place_size_t room = place_node_free_size(node);
		uint32_t peers;

		if (node->lost || !place_size_fits(size, &room))
			continue;
		peers = same_kind_in_rack(place, node, job);
		if (peers < least) {
			least = peers;
			best = node;
		}
	}
	return best;
}

void
place_start(
    place_t *place, place_job_t *job, place_node_t *node, GPtrArray *decisions)
{
	place_team_t *team = place_team_lookup(place, job->team);
	place_decision_t *decision;

	job->reserved = place->ops->size(place, job);
	job->state = PLACE_RUNNING;
	job->node = node;
	job->throttled = false;
	place_size_add(&node->used, &job->reserved);
	place_size_add(&team->used, &job->reserved);
	g_ptr_array_add(node->jobs, job);
	decision = place_decision_add(decisions, PLACE_START, job, node);
	g_snprintf(decision->reason, sizeof(decision->reason),
	    "rack=%s share=%.3f cpu_millis=%lu", node->rack,
	    dominant_share(place, team),
	    (unsigned long)job->reserved.of[PLACE_CPU_MILLIS]);
}

static bool
try_job(
    place_t *place, place_team_t *team, place_job_t *job, GPtrArray *decisions)
{
	place_size_t size = place->ops->size(place, job);
	place_node_t *node;

	if (!within_quota(team, &size))
		return false;
	node = best_node(place, job, &size);
	if (node != NULL) {
		place_start(place, job, node, decisions);
		return true;
	}
	return job->urgent && place->ops->preempts &&
	    place_preempt(place, job, decisions);
}

/*
 * Starts the first job of the queue that fits. Jobs that do not fit now are
 * skipped, unless the policy keeps strict order.
 */
static bool
try_queue(
    place_t *place, place_team_t *team, GQueue *queue, GPtrArray *decisions)
{
	uint32_t tried = 0;

	for (GList *link = queue->head; link != NULL && tried < LOOKAHEAD_JOBS;
	     link = link->next) {
		if (try_job(place, team, link->data, decisions)) {
			g_queue_delete_link(queue, link);
			return true;
		}
		if (place->ops->strict_order)
			return false;
		tried++;
	}
	return false;
}

static place_team_t *
lowest_share_team(const place_t *place, const GHashTable *skipped, bool urgent)
{
	place_team_t *best = NULL;

	for (uint32_t i = 0; i < place->teams->len; i++) {
		place_team_t *team = place->teams->pdata[i];
		const GQueue *queue = urgent ? &team->urgent : &team->normal;

		if (queue->length == 0 ||
		    g_hash_table_contains((GHashTable *)skipped, team))
			continue;
		if (best == NULL ||
		    dominant_share(place, team) < dominant_share(place, best))
			best = team;
	}
	return best;
}

static void
serve_queues(place_t *place, bool urgent, GPtrArray *decisions)
{
	GHashTable *skipped = g_hash_table_new(NULL, NULL);
	place_team_t *team;

	while ((team = lowest_share_team(place, skipped, urgent)) != NULL)
		if (!try_queue(place, team,
			urgent ? &team->urgent : &team->normal, decisions))
			g_hash_table_add(skipped, team);
	g_hash_table_destroy(skipped);
}

void
place_schedule(place_t *place, uint64_t now_us, GPtrArray *decisions)
{
	(void)now_us;
	for (uint32_t i = 0; i < place->unknown->len; i++)
		place_decision_add(decisions, PLACE_REPORT_UNKNOWN,
		    place->unknown->pdata[i], NULL);
	g_ptr_array_set_size(place->unknown, 0);
	serve_queues(place, true, decisions);
	serve_queues(place, false, decisions);
}

static void
release_resources(place_t *place, place_job_t *job)
{
	place_size_subtract(&job->node->used, &job->reserved);
	place_size_subtract(
	    &place_team_lookup(place, job->team)->used, &job->reserved);
	g_ptr_array_remove(job->node->jobs, job);
	job->node = NULL;
	job->throttled = false;
}

/*
 * Releases the resources of a job that was checkpointed and stopped, and queues
 * it again, at the head of its team's queue.
 */
void
place_checkpointed(place_t *place, place_job_t *job, uint64_t now_us)
{
	(void)now_us;
	if (job->state != PLACE_STOPPING)
		return;
	release_resources(place, job);
	job->state = PLACE_WAITING;
	g_queue_push_head(&place_team_lookup(place, job->team)->normal, job);
}

void
place_complete(place_t *place, place_job_t *job)
{
	if (job->node != NULL)
		release_resources(place, job);
	job->state = PLACE_DONE;
}

/*
 * Queues the idempotent jobs of a lost worker again. It is not known whether
 * the others ran to their end: they are reported and not started again.
 */
void
place_node_lost(place_t *place, const char *id, uint64_t now_us)
{
	place_node_t *node = find_node(place, id);

	(void)now_us;
	if (node == NULL || node->lost)
		return;
	node->lost = true;
	place_size_subtract(&place->total, &node->size);
	while (node->jobs->len > 0) {
		place_job_t *job = node->jobs->pdata[0];
		place_team_t *team = place_team_lookup(place, job->team);

		release_resources(place, job);
		if (!job->idempotent) {
			job->state = PLACE_UNKNOWN;
			g_ptr_array_add(place->unknown, job);
			continue;
		}
		job->state = PLACE_WAITING;
		g_queue_push_head(
		    job->urgent ? &team->urgent : &team->normal, job);
	}
}
