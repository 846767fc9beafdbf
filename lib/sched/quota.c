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

bool
sched_resources_equal(const sched_resources_t *x, const sched_resources_t *y)
{
	return x->cpu_millis == y->cpu_millis &&
	    x->memory_mib == y->memory_mib &&
	    x->accelerators == y->accelerators;
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
is_within(uint64_t limit, uint64_t held, uint64_t used, uint64_t more)
{
	return limit == 0 || used + more <= held;
}

/*
 * Returns whether the shard holds enough of the team's quota to run the task.
 */
bool
sched_quota_allows(const sched_task_t *task)
{
	const sched_team_t *team = task->job->team;
	sched_resources_t takes;
	const sched_resources_t *limit;

	if (team == NULL || !has_quota(team))
		return true;
	limit = &team->config.quota;
	takes = sched_step_resources(sched_task_step_spec(task));
	return is_within(limit->cpu_millis, team->held.cpu_millis,
		   team->used.cpu_millis, takes.cpu_millis) &&
	    is_within(limit->memory_mib, team->held.memory_mib,
		team->used.memory_mib, takes.memory_mib) &&
	    is_within(limit->accelerators, team->held.accelerators,
		team->used.accelerators, takes.accelerators);
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
		team->lacking = (sched_resources_t){0};
}

static uint64_t
room_left(uint64_t capacity, uint64_t used)
{
	return capacity - MIN(capacity, used);
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
		room.cpu_millis +=
		    room_left(capacity->cpu_millis, instance->used.cpu_millis);
		room.memory_mib +=
		    room_left(capacity->memory_mib, instance->used.memory_mib);
		room.accelerators += room_left(
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

/* One member of the team's resources. */
typedef struct {
	uint64_t limit;
	uint64_t used;
	uint64_t held;
	uint64_t lacking;
} member_t;

/* How the part of one member should change. */
typedef enum {
	KEEP,
	GROW,
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
	if (member->held > *wanted)
		return SHRINK_LATER;
	if (member->lacking > 0 && *wanted > member->held)
		return GROW;
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
	const sched_resources_t *limit = &change->quota;
	bool yields = now_us < team->yield_until_us;
	const sched_quota_policy_t *policy =
	    yields ? &sched_quota_exact : pool->quota_policy;
	const member_t members[] = {
	    {limit->cpu_millis, team->used.cpu_millis, team->held.cpu_millis,
		team->lacking.cpu_millis},
	    {limit->memory_mib, team->used.memory_mib, team->held.memory_mib,
		team->lacking.memory_mib},
	    {limit->accelerators, team->used.accelerators,
		team->held.accelerators, team->lacking.accelerators}};
	uint64_t *wanted[] = {&change->wanted.cpu_millis,
	    &change->wanted.memory_mib, &change->wanted.accelerators};
	bool grows = false, shrinks = false;

	for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
		trend_t trend = want_member(&members[i],
		    policy->spare(members[i].limit, pool->quota_parts),
		    wanted[i]);

		grows |= trend == GROW;
		shrinks |= trend == SHRINK_LATER;
	}
	if (!shrinks)
		team->spare_since_us = 0;
	else if (team->spare_since_us == 0)
		team->spare_since_us = now_us;
	return grows || !team->is_held_known ||
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
		    .is_lacking = is_any(&team->lacking)};

		if (!has_quota(team) && !is_any(&team->held))
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
sched_pool_set_quota_held(
    sched_pool_t *pool, const char *name, const sched_resources_t *held)
{
	sched_team_t *team = g_hash_table_lookup(pool->teams, name);

	if (team == NULL)
		return;
	team->held = *held;
	team->is_held_known = true;
	team->spare_since_us = 0;
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

	if (team != NULL)
		team->is_held_known = false;
}

void
sched_pool_yield_quota(sched_pool_t *pool, const char *name)
{
	sched_team_t *team = g_hash_table_lookup(pool->teams, name);

	if (team != NULL)
		team->yield_until_us = gw_clock_now_us(pool->clock) + YIELD_US;
}

sched_resources_t
sched_quota_part(const Gw__QuotaRecord *record, const char *shard)
{
	sched_resources_t part = {0};

	for (size_t i = 0; record != NULL && i < record->n_parts; i++)
		if (strcmp(record->parts[i]->shard, shard) == 0)
			part = (sched_resources_t){record->parts[i]->cpu_millis,
			    record->parts[i]->memory_mib,
			    record->parts[i]->accelerators};
	return part;
}

/*
 * Returns what the shard can have of one member.
 */
static uint64_t
grant_member(uint64_t limit, uint64_t others, uint64_t used, uint64_t wanted)
{
	uint64_t available = limit - MIN(limit, others);

	return limit == 0 ? 0 : MAX(MIN(wanted, available), used);
}

sched_resources_t
sched_quota_grant(const Gw__QuotaRecord *record, const char *shard,
    const sched_quota_change_t *change)
{
	sched_resources_t others = {0};

	for (size_t i = 0; record != NULL && i < record->n_parts; i++) {
		const Gw__QuotaPart *part = record->parts[i];

		if (strcmp(part->shard, shard) == 0)
			continue;
		others.cpu_millis += part->cpu_millis;
		others.memory_mib += part->memory_mib;
		others.accelerators += part->accelerators;
	}
	return (sched_resources_t){
	    grant_member(change->quota.cpu_millis, others.cpu_millis,
		change->used.cpu_millis, change->wanted.cpu_millis),
	    grant_member(change->quota.memory_mib, others.memory_mib,
		change->used.memory_mib, change->wanted.memory_mib),
	    grant_member(change->quota.accelerators, others.accelerators,
		change->used.accelerators, change->wanted.accelerators)};
}

GBytes *
sched_quota_encode(const Gw__QuotaRecord *from, const char *shard,
    const sched_resources_t *part)
{
	size_t count = from == NULL ? 0 : from->n_parts, size_bytes;
	g_autofree Gw__QuotaPart **parts = g_new(Gw__QuotaPart *, count + 1);
	Gw__QuotaRecord record = GW__QUOTA_RECORD__INIT;
	Gw__QuotaPart own = GW__QUOTA_PART__INIT;
	uint8_t *data;

	record.parts = parts;
	for (size_t i = 0; i < count; i++)
		if (strcmp(from->parts[i]->shard, shard) != 0)
			parts[record.n_parts++] = from->parts[i];
	own.shard = (char *)shard;
	own.cpu_millis = part->cpu_millis;
	own.memory_mib = part->memory_mib;
	own.accelerators = part->accelerators;
	if (is_any(part))
		parts[record.n_parts++] = &own;
	if (record.n_parts == 0)
		return NULL;
	size_bytes = gw__quota_record__get_packed_size(&record);
	data = g_malloc(size_bytes);
	gw__quota_record__pack(&record, data);
	return g_bytes_new_take(data, size_bytes);
}
