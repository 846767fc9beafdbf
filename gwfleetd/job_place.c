#include <string.h>

#include "gw/log.h"
#include "jobs_state.h"

static bool
is_worker(const fleet_t *fleet, const platform_instance_t *listed)
{
	return !listed->entry && listed->state != PLATFORM_ENDED &&
	    strcmp(listed->data_centre, fleet->config.data_centre) == 0;
}

static place_size_t
capacity_of(const platform_instance_t *listed)
{
	place_size_t size = {{0}};

	size.of[PLACE_CPU_MILLIS] = listed->cpu_millis;
	size.of[PLACE_MEMORY_MIB] = listed->memory_mib;
	size.of[PLACE_ACCELERATORS] = listed->accelerators;
	return size;
}

static bool
exceeds(const place_size_t *size, const place_size_t *limit, bool zero_is_none)
{
	for (int r = 0; r < PLACE_RESOURCE_COUNT; r++)
		if (size->of[r] > limit->of[r] &&
		    (!zero_is_none || limit->of[r] != 0))
			return true;
	return false;
}

static place_size_t
quota_of(const manifest_team_t *team)
{
	place_size_t quota = {{0}};

	quota.of[PLACE_CPU_MILLIS] = team->quota_cpu_millis;
	quota.of[PLACE_MEMORY_MIB] = team->quota_memory_mib;
	quota.of[PLACE_ACCELERATORS] = team->quota_accelerators;
	return quota;
}

/*
 * Tells with a reason whether the job can never run here: judged by the sizes
 * of all workers that the platform lists, so that a worker in maintenance makes
 * no job impossible.
 */
bool
job_impossible(const fleet_t *fleet, const job_spec_t *spec, char *reason,
    uint32_t size_bytes)
{
	const manifest_team_t *team =
	    manifest_team(fleet->generation.manifest, spec->team);
	place_size_t limit;

	if (team == NULL) {
		g_snprintf(reason, size_bytes,
		    "team: the manifest has no team %s", spec->team);
		return true;
	}
	limit = quota_of(team);
	if (exceeds(&spec->size, &limit, true)) {
		g_snprintf(reason, size_bytes,
		    "the job is larger than the quota of team %s", spec->team);
		return true;
	}
	for (guint i = 0; i < fleet->list->len; i++) {
		const platform_instance_t *listed = fleet->list->pdata[i];

		limit = capacity_of(listed);
		if (is_worker(fleet, listed) &&
		    !exceeds(&spec->size, &limit, false))
			return false;
	}
	g_snprintf(
	    reason, size_bytes, "the job is larger than every worker here");
	return true;
}

static void
update_teams(fleet_t *fleet)
{
	const GArray *teams = fleet->generation.manifest->teams;

	for (guint i = 0; i < teams->len; i++) {
		const manifest_team_t *team =
		    &g_array_index(teams, manifest_team_t, i);
		place_size_t quota = quota_of(team);

		place_set_team(
		    fleet->jobs->place, team->name, team->weight, &quota);
	}
}

/*
 * Gives the placement the room of one worker. A worker that is not active, for
 * instance because it is drained for maintenance, has room for no new job.
 */
static void
update_node(fleet_t *fleet, const platform_instance_t *listed)
{
	const member_instance_t *member =
	    member_table_find(fleet->table, listed->id);
	place_size_t room = {{0}}, *before;

	if (member != NULL && member->state == MEMBER_ACTIVE &&
	    listed->state == PLATFORM_LIVE)
		room = capacity_of(listed);
	before = g_hash_table_lookup(fleet->jobs->nodes, listed->id);
	if (before != NULL && memcmp(before, &room, sizeof(room)) == 0)
		return;
	g_hash_table_replace(fleet->jobs->nodes, g_strdup(listed->id),
	    g_memdup2(&room, sizeof(room)));
	place_set_node(
	    fleet->jobs->place, listed->id, listed->failure_domain, &room);
}

/*
 * Logs what was decided about a job and why, and keeps the reason.
 */
static void
note(fleet_t *fleet, job_t *job, const char *what, const char *reason)
{
	g_strlcpy(job->reason, reason, sizeof(job->reason));
	fleet->metrics.decisions->value++;
	gw_log(GW_EV_JOB_DECISION,
	    "what=%s job=%s team=%s instance=%s attempt=%u reason=\"%s\"", what,
	    job->spec.id, job->spec.team, job->node, job->attempt, reason);
}

/*
 * Takes the job out of the placement, waiting or placed.
 */
void
job_place_forget(fleet_t *fleet, job_t *job)
{
	if (fleet->jobs->place == NULL)
		return;
	if (job->queued)
		place_dequeue(fleet->jobs->place, &job->place);
	else if (job->place.node != NULL)
		place_complete(fleet->jobs->place, &job->place);
	job->queued = false;
}

/*
 * Ends the job, and records how.
 */
void
job_set_state(fleet_t *fleet, job_t *job, job_state_t state, const char *reason)
{
	job_place_forget(fleet, job);
	job->state = state;
	job->ended_us = fleet_now_us(fleet);
	g_strlcpy(job->reason, reason, sizeof(job->reason));
	job_changed(fleet, job);
	gw_log(state == JOB_UNKNOWN ? GW_EV_JOB_END_UNKNOWN : GW_EV_JOB_ENDED,
	    "job=%s team=%s state=%s instance=%s attempt=%u reason=\"%s\"",
	    job->spec.id, job->spec.team, job_state_name(state), job->node,
	    job->attempt, reason);
}

static void
clear_task(job_t *job)
{
	job->may_run = false;
	job->own = false;
	job->uncertain = false;
	job->confirmed = false;
	job->throttle_due = false;
	job->saved = false;
	job->call_us = 0;
}

/*
 * Lets the job wait for another start. The pause grows with the attempts, since
 * some workers fail everything they start.
 */
void
job_restart(fleet_t *fleet, job_t *job, const char *reason)
{
	if (job->attempt >= JOB_ATTEMPTS_MAX) {
		job_set_state(fleet, job, JOB_FAILED, "lost too many times");
		return;
	}
	note(fleet, job, "wait", reason);
	if (job->place.state == PLACE_STOPPING) {
		place_checkpointed(
		    fleet->jobs->place, &job->place, fleet_now_us(fleet));
		job->queued = true;
	} else {
		job_place_forget(fleet, job);
	}
	clear_task(job);
	job->state = JOB_WAITING;
	job->retry_us = fleet_now_us(fleet) +
	    (job->attempt - 1) * JOB_RETRY_MS * GW_US_PER_MS;
	job_changed(fleet, job);
}

static void
adopt_jobs(fleet_t *fleet)
{
	GHashTableIter iter;
	gpointer value;
	job_t *job;

	if (fleet->jobs->adopted)
		return;
	fleet->jobs->adopted = true;
	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job = value;
		if (job_placed(job) && job->place.node == NULL &&
		    place_adopt(fleet->jobs->place, &job->place, job->node))
			note(fleet, job, "adopt", "started by another planner");
	}
}

static gint
compare_jobs(gconstpointer a, gconstpointer b)
{
	const job_t *one = *(job_t *const *)a, *other = *(job_t *const *)b;

	if (one->accepted_us != other->accepted_us)
		return one->accepted_us < other->accepted_us ? -1 : 1;
	return strcmp(one->spec.id, other->spec.id);
}

/*
 * Hands recorded jobs that wait to the placement, the oldest first, and removes
 * those that ended long ago.
 */
static void
queue_jobs(fleet_t *fleet)
{
	g_autoptr(GPtrArray) ready = g_ptr_array_new();
	g_autoptr(GPtrArray) old = g_ptr_array_new();
	uint64_t now_us = fleet_now_us(fleet);
	GHashTableIter iter;
	gpointer value;
	job_t *job;

	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job = value;
		if (job->state == JOB_WAITING && job->recorded &&
		    !job->queued && now_us >= job->retry_us)
			g_ptr_array_add(ready, job);
		else if (job_ended(job) && job_committed(fleet, job) &&
		    now_us >= job->ended_us + JOB_KEEP_MS * GW_US_PER_MS)
			g_ptr_array_add(old, job);
	}
	g_ptr_array_sort(ready, compare_jobs);
	for (guint i = 0; i < ready->len; i++) {
		job = ready->pdata[i];
		job->queued = place_submit(fleet->jobs->place, &job->place,
		    now_us, job->reason, sizeof(job->reason));
	}
	for (guint i = 0; i < old->len; i++)
		job_commit_remove(fleet, old->pdata[i]);
}

static void
begin_start(fleet_t *fleet, job_t *job, const place_decision_t *decision)
{
	clear_task(job);
	job->queued = false;
	job->state = JOB_STARTING;
	job->attempt++;
	g_strlcpy(job->node, decision->node_id, sizeof(job->node));
	note(fleet, job, "start", decision->reason);
	job_changed(fleet, job);
}

static void
apply(fleet_t *fleet, const place_decision_t *decision)
{
	job_t *job = jobs_find(fleet, decision->job->id);

	switch (decision->action) {
	case PLACE_START:
		begin_start(fleet, job, decision);
		break;
	case PLACE_THROTTLE:
		job->throttle_due = true;
		note(fleet, job, "throttle", "room for an urgent job");
		break;
	case PLACE_CHECKPOINT:
		job->state = JOB_CHECKPOINTING;
		note(fleet, job, "checkpoint", "room for an urgent job");
		break;
	case PLACE_REPORT_UNKNOWN:
		break;
	}
}

/*
 * Decides which jobs start and which give way. A start is recorded before the
 * platform is asked for the task.
 */
void
job_place_round(fleet_t *fleet)
{
	g_autoptr(GPtrArray) decisions = g_ptr_array_new_with_free_func(g_free);

	if (fleet->generation.manifest == NULL || fleet->list->len == 0)
		return;
	update_teams(fleet);
	for (guint i = 0; i < fleet->list->len; i++)
		if (!((platform_instance_t *)fleet->list->pdata[i])->entry)
			update_node(fleet, fleet->list->pdata[i]);
	adopt_jobs(fleet);
	queue_jobs(fleet);
	place_schedule(fleet->jobs->place, fleet_now_us(fleet), decisions);
	for (guint i = 0; i < decisions->len; i++)
		apply(fleet, decisions->pdata[i]);
}
