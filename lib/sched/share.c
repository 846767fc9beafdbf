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

/* A team's jobs while they are being ordered. */
typedef struct {
	const sched_team_t *team; /* NULL: jobs without one */
	share_account_t account;
	uint64_t weight;
	GPtrArray *jobs; /* sched_job_t, least work first */
	guint next;
} lane_t;

static lane_t *
get_lane(GArray *lanes, const sched_pool_t *pool, const sched_team_t *team)
{
	lane_t lane = {.team = team,
	    .account = team == NULL ? pool->no_team_account : team->account,
	    .weight = team != NULL && team->is_configured
		? team->config.weight_permille
		: NO_TEAM_WEIGHT_PERMILLE};

	for (guint i = 0; i < lanes->len; i++)
		if (g_array_index(lanes, lane_t, i).team == team)
			return &g_array_index(lanes, lane_t, i);
	share_activate(&pool->share, &lane.account);
	lane.jobs = g_ptr_array_new();
	g_array_append_val(lanes, lane);
	return &g_array_index(lanes, lane_t, lanes->len - 1);
}

static lane_t *
next_lane(GArray *lanes)
{
	lane_t *best = NULL;

	for (guint i = 0; i < lanes->len; i++) {
		lane_t *lane = &g_array_index(lanes, lane_t, i);

		if (lane->next < lane->jobs->len &&
		    (best == NULL || lane->account.tag < best->account.tag))
			best = lane;
	}
	return best;
}

/*
 * Lets the teams take turns by their tags, as if each job's waiting work were
 * placed, and inside a team keeps the order.
 */
static void
take_turns(const sched_pool_t *pool, sched_job_t **jobs, guint count)
{
	g_autoptr(GArray) lanes = g_array_new(FALSE, TRUE, sizeof(lane_t));
	share_t share = pool->share;
	lane_t *lane;
	guint at = 0;

	for (guint i = 0; i < count; i++)
		g_ptr_array_add(
		    get_lane(lanes, pool, jobs[i]->team)->jobs, jobs[i]);
	while ((lane = next_lane(lanes)) != NULL) {
		sched_job_t *job = lane->jobs->pdata[lane->next++];
		sched_ready_t ready = {0};

		sched_job_add_ready(job, &ready);
		share_charge(
		    &share, &lane->account, ready.cpu_ms, lane->weight);
		jobs[at++] = job;
	}
	for (guint i = 0; i < lanes->len; i++)
		g_ptr_array_free(g_array_index(lanes, lane_t, i).jobs, TRUE);
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

static bool
is_same_rank(const sched_job_t *x, const sched_job_t *y)
{
	return x->rank_class == y->rank_class &&
	    x->is_beyond_share == y->is_beyond_share;
}

/*
 * Orders sorted jobs by their teams' shares, each class by itself. Long-running
 * and overdue jobs keep their order of submission.
 */
void
sched_share_order(const sched_pool_t *pool, GPtrArray *jobs)
{
	sched_job_t **sorted = (sched_job_t **)jobs->pdata;
	guint first = 0;

	for (guint i = 1; i <= jobs->len; i++) {
		if (i < jobs->len && is_same_rank(sorted[first], sorted[i]))
			continue;
		if (sorted[first]->rank_class == SCHED_RANK_IN_TIME ||
		    sorted[first]->rank_class == SCHED_RANK_LATE)
			pool->sharing->order(pool, &sorted[first], i - first);
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
