#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * All shards together hold at most this part of a quota beyond what they use,
 * but for what has just become free. So a team that uses less than the rest
 * gets more in any shard, even while the owners of others are lost or cut off.
 */
#define SPARE_DIVISOR 2
/* What is held beyond use and spare is given back after this time. */
#define SPARE_AGE_MAX_US GW_US_PER_S
/* After another shard has asked, nothing is held to spare for this long. */
#define YIELD_US (1500 * GW_US_PER_MS)
/* A shard that is asked reads the parts again if it last did so before this. */
#define OTHERS_AGE_MAX_US GW_US_PER_S

struct sched_quota_policy {
	const char *name;
	/* Returns what is held of a limit beyond what is used. */
	uint64_t (*spare)(uint64_t limit, uint32_t parts);
};

static uint64_t
spare_none(uint64_t limit, uint32_t parts)
{
	(void)limit;
	(void)parts;
	return 0;
}

static uint64_t
spare_share(uint64_t limit, uint32_t parts)
{
	return limit / SPARE_DIVISOR / MAX(parts, 1);
}

const sched_quota_policy_t sched_quota_exact = {"exact", spare_none};
const sched_quota_policy_t sched_quota_spare = {"spare", spare_share};

void
sched_pool_set_quota_policy(
    sched_pool_t *pool, const sched_quota_policy_t *policy)
{
	pool->quota_policy = policy;
}

void
sched_pool_set_quota_parts(sched_pool_t *pool, uint32_t parts)
{
	pool->quota_parts = parts;
}

static bool
is_any(const sched_resources_t *resources)
{
	return resources->cpu_millis > 0 || resources->memory_mib > 0 ||
	    resources->accelerators > 0;
}

/*
 * Returns whether the team has a quota. What a team that a version has removed
 * had submitted runs without one.
 */
static bool
has_quota(const sched_team_t *team)
{
	return team->is_configured && is_any(&team->config.quota);
}

static bool
is_lower(uint64_t limit, uint64_t before)
{
	return limit != 0 && (before == 0 || limit < before);
}

/*
 * Handles that the team's quota is about to change. When it is lowered, what
 * the other shards hold counts as unknown until the store shows it: a part that
 * has grown since it was read stands for runs that go on.
 */
void
sched_quota_set_limit(sched_team_t *team, const sched_resources_t *quota)
{
	const sched_resources_t *before = &team->config.quota;
	bool is_any_lower = is_lower(quota->cpu_millis, before->cpu_millis) ||
	    is_lower(quota->memory_mib, before->memory_mib) ||
	    is_lower(quota->accelerators, before->accelerators);

	if (!is_any_lower)
		return;
	team->others = (sched_resources_t){UINT64_MAX, UINT64_MAX, UINT64_MAX};
	team->is_held_known = false;
}

/*
 * Returns whether the store may show a part, which must be given back before
 * the team is forgotten.
 */
bool
sched_quota_has_part(const sched_team_t *team)
{
	return is_any(&team->held) || team->is_held_uncertain;
}

/* One member of the team's resources. */
typedef struct {
	uint64_t limit;
	uint64_t used;
	uint64_t held;
	uint64_t others; /* held by the other shards */
	uint64_t lacking;
} member_t;

/*
 * Returns what is left of a limit beside what others have.
 */
uint64_t
sched_quota_available(uint64_t limit, uint64_t others)
{
	return limit - MIN(limit, others);
}

/* All of them. */
typedef struct {
	member_t cpu;
	member_t memory;
	member_t accelerators;
} members_t;

static members_t
members_of(const sched_team_t *team, const sched_resources_t *limit)
{
	const sched_resources_t *used = &team->used, *held = &team->held;
	const sched_resources_t *others = &team->others;
	const sched_resources_t *lacking = &team->lacking;

	return (members_t){
	    .cpu = {limit->cpu_millis, used->cpu_millis, held->cpu_millis,
		others->cpu_millis, lacking->cpu_millis},
	    .memory = {limit->memory_mib, used->memory_mib, held->memory_mib,
		others->memory_mib, lacking->memory_mib},
	    .accelerators = {limit->accelerators, used->accelerators,
		held->accelerators, others->accelerators,
		lacking->accelerators}};
}

/*
 * Returns whether the part covers more than what is used. Where the quota was
 * lowered below the sum of the parts, what the other shards leave of it counts:
 * the shards that last wrote their parts know of all others, so that they do
 * not start more than the quota together.
 */
static bool
is_within(const member_t *member, uint64_t more)
{
	uint64_t usable = MIN(
	    member->held, sched_quota_available(member->limit, member->others));

	if (sched_quota_is_half_free(
		member->limit, member->others, member->used))
		usable = member->held;
	return member->limit == 0 || member->used + more <= usable;
}

/*
 * Returns whether the shard holds enough of the team's quota to run the task.
 */
bool
sched_quota_allows(const sched_task_t *task)
{
	const sched_team_t *team = task->job->team;
	sched_resources_t takes;
	members_t members;

	if (team == NULL || !has_quota(team))
		return true;
	takes = sched_step_resources(sched_task_step_spec(task));
	members = members_of(team, &team->config.quota);
	return is_within(&members.cpu, takes.cpu_millis) &&
	    is_within(&members.memory, takes.memory_mib) &&
	    is_within(&members.accelerators, takes.accelerators);
}

/*
 * Notes that so many tasks of the step have room, but lack quota.
 */
void
sched_quota_note_lacking(const sched_task_t *task, uint32_t tasks)
{
	sched_resources_t takes =
	    sched_step_resources(sched_task_step_spec(task));
	sched_resources_t *lacking = &task->job->team->lacking;
	sched_resources_t *largest = &task->job->team->largest;

	largest->cpu_millis = MAX(largest->cpu_millis, takes.cpu_millis);
	largest->memory_mib = MAX(largest->memory_mib, takes.memory_mib);
	largest->accelerators = MAX(largest->accelerators, takes.accelerators);
	lacking->cpu_millis += tasks * takes.cpu_millis;
	lacking->memory_mib += tasks * takes.memory_mib;
	lacking->accelerators += tasks * takes.accelerators;
}

void
sched_quota_begin_round(sched_pool_t *pool)
{
	GHashTableIter iter;
	sched_team_t *team;

	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team))
		team->lacking = team->largest = (sched_resources_t){0};
}

/*
 * Returns the room on the instances that get starts.
 */
static sched_resources_t
sum_room(const sched_pool_t *pool, uint64_t now_us)
{
	sched_resources_t room = {0};
	sched_instance_t *instance;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		const sched_resources_t *capacity = &instance->info.capacity;

		if (!sched_instance_is_usable(instance, now_us))
			continue;
		room.cpu_millis += sched_quota_available(
		    capacity->cpu_millis, instance->used.cpu_millis);
		room.memory_mib += sched_quota_available(
		    capacity->memory_mib, instance->used.memory_mib);
		room.accelerators += sched_quota_available(
		    capacity->accelerators, instance->used.accelerators);
	}
	return room;
}

/*
 * Leaves out what the tasks that lack quota have no room for: other shards may
 * have.
 */
static void
limit_lacking(const sched_pool_t *pool, sched_team_t *team, uint64_t now_us)
{
	sched_resources_t room = sum_room(pool, now_us);

	team->lacking.cpu_millis =
	    MIN(team->lacking.cpu_millis, room.cpu_millis);
	team->lacking.memory_mib =
	    MIN(team->lacking.memory_mib, room.memory_mib);
	team->lacking.accelerators =
	    MIN(team->lacking.accelerators, room.accelerators);
}

/*
 * Logs when a team begins to lack quota in this shard, and when that ends.
 */
void
sched_quota_end_round(sched_pool_t *pool, uint64_t now_us)
{
	GHashTableIter iter;
	sched_team_t *team;

	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
		bool is_lacking = is_any(&team->lacking);

		if (is_lacking)
			limit_lacking(pool, team, now_us);

		if (is_lacking == (team->short_since_us != 0))
			continue;
		gw_log(GW_EV_QUOTA_SHORT,
		    "team=%s pool=%s lacking=%d used_cpu=%" PRIu64
		    " held_cpu=%" PRIu64 " quota_cpu=%" PRIu64
		    " used_memory=%" PRIu64 " held_memory=%" PRIu64
		    " quota_memory=%" PRIu64 " lacking_cpu=%" PRIu64
		    " for_ms=%" PRIu64,
		    team->config.name, pool->name, is_lacking,
		    team->used.cpu_millis, team->held.cpu_millis,
		    team->config.quota.cpu_millis, team->used.memory_mib,
		    team->held.memory_mib, team->config.quota.memory_mib,
		    team->lacking.cpu_millis,
		    is_lacking ? 0
			       : gw_elapsed_us(now_us, team->short_since_us) /
			    GW_US_PER_MS);
		team->short_since_us = is_lacking ? now_us : 0;
	}
}

/* How the part of one member should change. */
typedef enum {
	KEEP,
	CHANGE,
	SHRINK_LATER /* unless it is used until SPARE_AGE_MAX_US have passed */
} trend_t;

/*
 * Sets *wanted to what the shard should hold of one member.
 */
static trend_t
want_member(const member_t *member, uint64_t spare, uint64_t *wanted)
{
	*wanted = member->used + member->lacking + spare;
	if (member->limit == 0) {
		*wanted = 0;
		return member->held > 0 ? SHRINK_LATER : KEEP;
	}
	/* The parts exceed a quota that was lowered. */
	if (member->held >
	    MAX(sched_quota_available(member->limit, member->others),
		member->used))
		return CHANGE;
	if (member->held > *wanted)
		return SHRINK_LATER;
	if (member->lacking > 0 && *wanted > member->held)
		return CHANGE;
	/* What it uses, if it holds less, and some to spare can wait. */
	return KEEP;
}

/*
 * Sets change->wanted. Returns whether the part should change now.
 */
static bool
set_wanted(const sched_pool_t *pool, sched_team_t *team,
    sched_quota_change_t *change, uint64_t now_us)
{
	const members_t values = members_of(team, &change->quota);
	bool yields = now_us < team->yield_until_us;
	const sched_quota_policy_t *policy =
	    yields ? &sched_quota_exact : pool->quota_policy;
	const member_t members[] = {
	    values.cpu, values.memory, values.accelerators};
	uint64_t *wanted[] = {&change->wanted.cpu_millis,
	    &change->wanted.memory_mib, &change->wanted.accelerators};
	bool changes = false, shrinks = false;

	for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
		trend_t trend = want_member(&members[i],
		    policy->spare(members[i].limit, pool->quota_parts),
		    wanted[i]);

		changes |= trend == CHANGE;
		shrinks |= trend == SHRINK_LATER;
	}
	if (!shrinks)
		team->spare_since_us = 0;
	else if (team->spare_since_us == 0)
		team->spare_since_us = now_us;
	return changes || !team->is_held_known ||
	    (shrinks &&
		(yields ||
		    gw_elapsed_us(now_us, team->spare_since_us) >=
			SPARE_AGE_MAX_US));
}

GArray *
sched_pool_quota_changes(sched_pool_t *pool)
{
	GArray *changes =
	    g_array_new(FALSE, TRUE, sizeof(sched_quota_change_t));
	uint64_t now_us = gw_clock_now_us(pool->clock);
	GHashTableIter iter;
	sched_team_t *team;

	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
		sched_quota_change_t change = {.used = team->used,
		    .held = team->held,
		    .largest = team->largest,
		    .is_lacking = is_any(&team->lacking),
		    .must_read =
			!team->is_held_known && !team->is_held_uncertain};

		if (!has_quota(team) && !sched_quota_has_part(team))
			continue;
		if (has_quota(team))
			change.quota = team->config.quota;
		g_strlcpy(change.team, team->config.name, sizeof(change.team));
		if (set_wanted(pool, team, &change, now_us))
			g_array_append_val(changes, change);
	}
	return changes;
}

void
sched_pool_set_quota_held(sched_pool_t *pool, const char *name,
    const sched_resources_t *held, const sched_resources_t *others)
{
	sched_team_t *team = g_hash_table_lookup(pool->teams, name);

	if (team == NULL)
		return;
	if (!sched_resources_equal(&team->held, held))
		team->spare_since_us = 0;
	team->held = *held;
	team->others = *others;
	team->is_held_known = true;
	team->held_read_us = gw_clock_now_us(pool->clock);
	team->is_held_uncertain = false;
}

void
sched_pool_limit_quota_held(
    sched_pool_t *pool, const char *name, const sched_resources_t *part)
{
	sched_team_t *team = g_hash_table_lookup(pool->teams, name);

	if (team == NULL)
		return;
	team->held.cpu_millis = MIN(team->held.cpu_millis, part->cpu_millis);
	team->held.memory_mib = MIN(team->held.memory_mib, part->memory_mib);
	team->held.accelerators =
	    MIN(team->held.accelerators, part->accelerators);
}

void
sched_pool_forget_quota_held(sched_pool_t *pool, const char *name)
{
	sched_team_t *team = g_hash_table_lookup(pool->teams, name);

	if (team == NULL)
		return;
	team->is_held_known = false;
	team->is_held_uncertain = true;
}

void
sched_pool_yield_quota(sched_pool_t *pool, const char *name)
{
	sched_team_t *team = g_hash_table_lookup(pool->teams, name);
	uint64_t now_us = gw_clock_now_us(pool->clock);

	if (team == NULL)
		return;
	team->yield_until_us = now_us + YIELD_US;
	/*
	 * Without a part here, the store shows one that this shard does not
	 * know of: a write whose response was lost may take effect after the
	 * row was removed. The other shards may also hold more than the quota
	 * leaves, since their runs began before it was set or lowered.
	 */
	if (!is_any(&team->held) ||
	    gw_elapsed_us(now_us, team->held_read_us) >= OTHERS_AGE_MAX_US)
		team->is_held_known = false;
}
