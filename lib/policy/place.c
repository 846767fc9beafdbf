#include <string.h>

#include "policy/place_impl.h"

/* Waiting jobs of a team that are tried in one round. */
#define LOOK_AHEAD 32

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
 * The team of that name, or NULL.
 */
place_team_t *
place_team(place_t *place, const char *name)
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
	place_team_t *team = place_team(place, name);

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
 * Adds a worker, or sets the size of one that is known or has come back.
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
		place_subtract(&place->total, &node->size);
	g_strlcpy(node->rack, rack, sizeof(node->rack));
	node->size = *size;
	node->lost = false;
	place_add(&place->total, size);
}

static bool
within_quota(const place_team_t *team, const place_size_t *size)
{
	for (int r = 0; r < PLACE_RESOURCES; r++)
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
		if (place_fits(size, &node->size))
			return true;
	}
	return false;
}

/*
 * Accepts the job, or refuses it when it can never run. Once a kind's size is
 * known, the observed size is judged, not the declared one.
 */
bool
place_submit(place_t *place, place_job_t *job, uint64_t now_us, char *reason,
    uint32_t bytes)
{
	place_team_t *team = place_team(place, job->team);
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
place_decide(GPtrArray *decisions, place_action_t action, place_job_t *job,
    const place_node_t *node)
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

/* Weighted dominant share of the team, in parts of the whole. */
static double
dominant_share(const place_t *place, const place_team_t *team)
{
	double largest = 0;

	for (int r = 0; r < PLACE_RESOURCES; r++)
		if (place->total.of[r] > 0)
			largest = MAX(largest,
			    (double)team->used.of[r] / place->total.of[r]);
	return largest / team->weight;
}

/*
 * Jobs of the same team and kind in the node's rack: they spread over racks,
 * so that the loss of one takes few of them.
 */
static uint32_t
kin_in_rack(
    const place_t *place, const place_node_t *node, const place_job_t *job)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < place->nodes->len; i++) {
		const place_node_t *other = place->nodes->pdata[i];

		if (strcmp(other->rack, node->rack) != 0)
			continue;
		for (uint32_t j = 0; j < other->jobs->len; j++) {
			const place_job_t *kin = other->jobs->pdata[j];
			count += strcmp(kin->team, job->team) == 0 &&
			    strcmp(kin->kind, job->kind) == 0;
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
		place_size_t room = place_free_of(node);
		uint32_t kin;

		if (node->lost || !place_fits(size, &room))
			continue;
		kin = kin_in_rack(place, node, job);
		if (kin < least) {
			least = kin;
			best = node;
		}
	}
	return best;
}

void
place_start(
    place_t *place, place_job_t *job, place_node_t *node, GPtrArray *decisions)
{
	place_team_t *team = place_team(place, job->team);
	place_decision_t *decision;

	job->reserved = place->ops->size(place, job);
	job->state = PLACE_RUNNING;
	job->node = node;
	job->throttled = false;
	place_add(&node->used, &job->reserved);
	place_add(&team->used, &job->reserved);
	g_ptr_array_add(node->jobs, job);
	decision = place_decide(decisions, PLACE_START, job, node);
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
	return job->urgent && place->ops->gives_way &&
	    place_make_room(place, job, decisions);
}

/*
 * Starts the first job of the queue that fits. Jobs that do not fit now are
 * passed over, unless the order is strict.
 */
static bool
try_queue(
    place_t *place, place_team_t *team, GQueue *queue, GPtrArray *decisions)
{
	uint32_t tried = 0;

	for (GList *link = queue->head; link != NULL && tried < LOOK_AHEAD;
	     link = link->next) {
		if (try_job(place, team, link->data, decisions)) {
			g_queue_delete_link(queue, link);
			return true;
		}
		if (place->ops->in_order)
			return false;
		tried++;
	}
	return false;
}

static place_team_t *
poorest(const place_t *place, const GHashTable *given_up, bool urgent)
{
	place_team_t *best = NULL;

	for (uint32_t i = 0; i < place->teams->len; i++) {
		place_team_t *team = place->teams->pdata[i];
		const GQueue *queue = urgent ? &team->urgent : &team->normal;

		if (queue->length == 0 ||
		    g_hash_table_contains((GHashTable *)given_up, team))
			continue;
		if (best == NULL ||
		    dominant_share(place, team) < dominant_share(place, best))
			best = team;
	}
	return best;
}

static void
serve(place_t *place, bool urgent, GPtrArray *decisions)
{
	GHashTable *given_up = g_hash_table_new(NULL, NULL);
	place_team_t *team;

	while ((team = poorest(place, given_up, urgent)) != NULL)
		if (!try_queue(place, team,
			urgent ? &team->urgent : &team->normal, decisions))
			g_hash_table_add(given_up, team);
	g_hash_table_destroy(given_up);
}

void
place_round(place_t *place, uint64_t now_us, GPtrArray *decisions)
{
	(void)now_us;
	for (uint32_t i = 0; i < place->unknown->len; i++)
		place_decide(decisions, PLACE_REPORT_UNKNOWN,
		    place->unknown->pdata[i], NULL);
	g_ptr_array_set_size(place->unknown, 0);
	serve(place, true, decisions);
	serve(place, false, decisions);
}

static void
leave_node(place_t *place, place_job_t *job)
{
	place_subtract(&job->node->used, &job->reserved);
	place_subtract(&place_team(place, job->team)->used, &job->reserved);
	g_ptr_array_remove(job->node->jobs, job);
	job->node = NULL;
	job->throttled = false;
}

/*
 * The job is stopped and saved; it waits again, at the head of its queue.
 */
void
place_checkpointed(place_t *place, place_job_t *job, uint64_t now_us)
{
	(void)now_us;
	if (job->state != PLACE_STOPPING)
		return;
	leave_node(place, job);
	job->state = PLACE_WAITING;
	g_queue_push_head(&place_team(place, job->team)->normal, job);
}

void
place_done(place_t *place, place_job_t *job)
{
	if (job->node != NULL)
		leave_node(place, job);
	job->state = PLACE_DONE;
}

/*
 * Idempotent jobs of a lost worker start again elsewhere. The end of the
 * others is unknown: they are reported and never started again.
 */
void
place_node_lost(place_t *place, const char *id, uint64_t now_us)
{
	place_node_t *node = find_node(place, id);

	(void)now_us;
	if (node == NULL || node->lost)
		return;
	node->lost = true;
	place_subtract(&place->total, &node->size);
	while (node->jobs->len > 0) {
		place_job_t *job = node->jobs->pdata[0];
		place_team_t *team = place_team(place, job->team);

		leave_node(place, job);
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
