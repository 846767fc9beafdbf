#include <string.h>

#include "sched/impl.h"

/*
 * The teams whose jobs the pool has, and those of the configuration. A team
 * that a version removes stays here while it has jobs: they run on, as they
 * were accepted.
 */

/*
 * Returns the team with this name; adds it, as not configured, if it is
 * unknown. Returns NULL for an empty name, and for one that is too long, which
 * only a malformed record or call has.
 */
sched_team_t *
sched_team_get(sched_pool_t *pool, const char *name)
{
	sched_team_t *team;

	if (name[0] == '\0' || strlen(name) >= SCHED_NAME_BYTES)
		return NULL;
	team = g_hash_table_lookup(pool->teams, name);
	if (team != NULL)
		return team;
	team = g_new0(sched_team_t, 1);
	g_strlcpy(team->config.name, name, sizeof(team->config.name));
	g_hash_table_insert(pool->teams, team->config.name, team);
	return team;
}

/*
 * Sets the team of a job, by the key that it was submitted with.
 */
void
sched_job_set_team(sched_pool_t *pool, sched_job_t *job, const char *name)
{
	if (job->team != NULL)
		return;
	job->team = sched_team_get(pool, name);
	if (job->team != NULL)
		job->team->jobs++;
}

/*
 * Handles that the job is about to be freed.
 */
void
sched_team_job_removed(sched_job_t *job)
{
	if (job->team != NULL)
		job->team->jobs--;
	job->team = NULL;
}

/*
 * Returns whether a caller of this team (NULL or empty: of none) sees the job.
 * A job without a team is seen by all.
 */
bool
sched_team_may_see(const sched_job_t *job, const char *team)
{
	return job->team == NULL || team == NULL || team[0] == '\0' ||
	    strcmp(job->team->config.name, team) == 0;
}

/*
 * Returns what a task of the step takes.
 */
sched_resources_t
sched_step_resources(const Gw__JobStep *step)
{
	return (sched_resources_t){.cpu_millis = sched_step_cpu_millis(step),
	    .memory_mib = step->memory_mib,
	    .accelerators = step->accelerators};
}

/*
 * Counts what a task of the team takes. team may be NULL.
 */
void
sched_team_add_used(sched_team_t *team, const sched_resources_t *used)
{
	if (team == NULL)
		return;
	team->used.cpu_millis += used->cpu_millis;
	team->used.memory_mib += used->memory_mib;
	team->used.accelerators += used->accelerators;
}

/*
 * Counts that it is free again.
 */
void
sched_team_subtract_used(sched_team_t *team, const sched_resources_t *used)
{
	if (team == NULL)
		return;
	team->used.cpu_millis -= used->cpu_millis;
	team->used.memory_mib -= used->memory_mib;
	team->used.accelerators -= used->accelerators;
}

static gboolean
is_unused(gpointer name, gpointer data, gpointer arg)
{
	const sched_team_t *team = data;

	(void)name;
	(void)arg;
	return !team->is_configured && team->jobs == 0 &&
	    !sched_quota_has_part(team);
}

/*
 * Sets the teams of the configuration in force, and forgets those that are
 * neither in it nor have jobs or a part of a quota.
 */
void
sched_pool_set_teams(
    sched_pool_t *pool, const sched_team_config_t *configs, uint32_t count)
{
	GHashTableIter iter;
	sched_team_t *team;

	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team))
		team->is_configured = false;
	for (uint32_t i = 0; i < count; i++) {
		team = sched_team_get(pool, configs[i].name);
		sched_quota_set_limit(team, &configs[i].quota);
		team->config = configs[i];
		team->is_configured = true;
	}
	(void)g_hash_table_foreach_remove(pool->teams, is_unused, NULL);
}
