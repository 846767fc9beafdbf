#include <string.h>

#include <xxhash.h>

#include "sched/impl.h"

/*
 * Shares of teams in a pool that is full; docs/design/team-shares.md. The load:
 * one team submits several times its usual, the others do not, and together
 * they want more than the pool holds.
 */

/* The planner reports rates several times a second; see also admit.c. */
#define RATE_AGE_MAX_US GW_US_PER_S
/* Of jobs that came without a key, as if of one team. */
#define NO_TEAM_WEIGHT_PERMILLE 1000

struct sched_sharing {
	const char *name;
	/* Returns whether the job is beyond its team's share. */
	bool (*is_beyond)(const sched_pool_t *, const sched_team_t *,
	    const char *id, uint64_t now_us);
	/* Puts jobs of equal rank, least work first, into another order. */
	void (*order)(const sched_pool_t *, sched_job_t **jobs, guint count);
};

static bool
is_never_beyond(const sched_pool_t *pool, const sched_team_t *team,
    const char *id, uint64_t now_us)
{
	(void)pool;
	(void)team;
	(void)id;
	(void)now_us;
	return false;
}

static void
keep_order(const sched_pool_t *pool, sched_job_t **jobs, guint count)
{
	(void)pool;
	(void)jobs;
	(void)count;
}

/*
 * Of a team that submits more jobs a second than its weight, those whose ids
 * lie in the part that the weight covers are within its share. So a job that is
 * submitted again is judged alike, also by another owner.
 */
static bool
is_beyond_weight(const sched_pool_t *pool, const sched_team_t *team,
    const char *id, uint64_t now_us)
{
	(void)pool;
	if (!team->is_configured || team->rate_us == 0 ||
	    gw_elapsed_us(now_us, team->rate_us) >= RATE_AGE_MAX_US ||
	    team->jobs_per_1000s <= team->config.weight_permille)
		return false;
	return XXH64(id, strlen(id), 0) % team->jobs_per_1000s >=
	    team->config.weight_permille;
}

static sched_turn_t
team_turn(const sched_pool_t *pool, const sched_job_t *job)
{
	const sched_team_t *team = job->team;

	return (sched_turn_t){.owner = team,
	    .account = team == NULL ? pool->no_team_account : team->account,
	    .weight = team != NULL && team->is_configured
		? team->config.weight_permille
		: NO_TEAM_WEIGHT_PERMILLE};
}

/*
 * Lets the teams take turns by their tags, and inside a team keeps the order.
 */
static void
take_turns(const sched_pool_t *pool, sched_job_t **jobs, guint count)
{
	sched_turns_take(pool, &pool->share, team_turn, jobs, count);
}

const sched_sharing_t sched_sharing_none = {
    "none", is_never_beyond, keep_order};
const sched_sharing_t sched_sharing_weighted = {
    "weighted", is_beyond_weight, take_turns};

void
sched_pool_set_sharing(sched_pool_t *pool, const sched_sharing_t *sharing)
{
	pool->sharing = sharing;
}

void
sched_pool_set_team_rate(
    sched_pool_t *pool, const char *name, uint64_t jobs_per_1000s)
{
	sched_team_t *team = g_hash_table_lookup(pool->teams, name);

	if (team == NULL)
		return;
	team->jobs_per_1000s = jobs_per_1000s;
	team->rate_us = gw_clock_now_us(pool->clock);
}

/*
 * Returns whether a job of the team (empty: none) is beyond its share.
 */
bool
sched_share_is_beyond(const sched_pool_t *pool, const char *team_name,
    const char *id, uint64_t now_us)
{
	const sched_team_t *team = g_hash_table_lookup(pool->teams, team_name);

	return team != NULL && pool->sharing->is_beyond(pool, team, id, now_us);
}

/*
 * Orders sorted jobs by the shares of teams, and inside a team by those of
 * queues, each class and priority by itself.
 * Long-running and overdue jobs keep their order of submission.
 */
void
sched_share_order(const sched_pool_t *pool, GPtrArray *jobs)
{
	sched_job_t **sorted = (sched_job_t **)jobs->pdata;
	guint first = 0;

	for (guint i = 1; i <= jobs->len; i++) {
		sched_rank_t rank_class;

		if (i < jobs->len &&
		    sched_order_compare_tier(pool, &sorted[first]->key_in_order,
			&sorted[i]->key_in_order) == 0)
			continue;
		rank_class = sorted[first]->key_in_order.rank_class;
		if (rank_class == SCHED_RANK_IN_TIME ||
		    rank_class == SCHED_RANK_LATE) {
			sched_kind_order(pool, &sorted[first], i - first);
			pool->sharing->order(pool, &sorted[first], i - first);
		}
		first = i;
	}
}

/*
 * Charges the task's team for its work, which has been placed.
 */
void
sched_share_note_placed(sched_pool_t *pool, const sched_task_t *task)
{
	uint64_t work = sched_step_work_cpu_ms(sched_task_step_spec(task), 1);
	sched_team_t *team = task->job->team;

	if (work == 0)
		return;
	if (team == NULL) {
		share_activate(&pool->share, &pool->no_team_account);
		share_charge(&pool->share, &pool->no_team_account, work,
		    NO_TEAM_WEIGHT_PERMILLE);
		return;
	}
	share_activate(&pool->share, &team->account);
	share_charge(&pool->share, &team->account, work,
	    team->is_configured ? team->config.weight_permille
				: NO_TEAM_WEIGHT_PERMILLE);
}
