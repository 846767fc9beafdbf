#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "owners_impl.h"
#include "roles.h"
#include "sched/quota.h"
#include "sched/shard.h"

/*
 * Returns an empty table of owners.
 */
owners_t *
owners_new(gw_rt_t *rt, store_t *store, const char *data_centre,
    const sched_bounds_t *bounds, const owner_ops_t *ops, void *arg)
{
	owners_t *owners = g_new0(owners_t, 1);

	owners->rt = rt;
	owners->store = store;
	g_strlcpy(
	    owners->data_centre, data_centre, sizeof(owners->data_centre));
	owners->bounds = *bounds;
	owners->bounds.renew_grace_ms = ROLES_GRACE_MS;
	owners->bounds.previous_renew_max_ms = ROLES_TTL_MS + ROLES_GRACE_MS;
	owners->window = sched_window_new(&sched_window_delay);
	owners->ops = ops;
	owners->arg = arg;
	owners->by_shard = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)owner_free);
	owners->handovers = g_hash_table_new_full(g_str_hash, g_str_equal,
	    g_free, (GDestroyNotify)sched_handover_free);
	return owners;
}

static void
set_teams(const owners_t *owners, owner_t *owner)
{
	const GArray *teams;

	if (owners->config == NULL)
		return;
	teams = owners->config->teams;
	sched_pool_set_quota_parts(owner_pool(owner),
	    owners->shard_count * sched_config_pool_count(owners->config));
	sched_pool_set_teams(owner_pool(owner),
	    (const sched_team_config_t *)teams->data, teams->len);
}

/*
 * Adds the owner of a shard, which then loads the shard's records. If this
 * process has owned the shard before, it still knows the ends that it saw.
 */
void
owners_add(owners_t *owners, const char *shard, uint64_t fence,
    const sched_vacancy_t *vacancy)
{
	owner_role_t role = {.shard = shard,
	    .data_centre = owners->data_centre,
	    .fence = fence,
	    .bounds = owners->bounds,
	    .window = owners->window};
	const sched_handover_t *handover =
	    g_hash_table_lookup(owners->handovers, shard);
	owner_t *owner = owner_new(
	    owners->rt, owners->store, &role, owners->ops, owners->arg);
	char pool[SCHED_NAME_BYTES];

	g_hash_table_replace(owners->by_shard, g_strdup(shard), owner);
	sched_pool_set_shard(owner_pool(owner), shard_parse_name(shard, pool),
	    owners->shard_count);
	sched_pool_set_vacancy(owner_pool(owner), vacancy);
	set_teams(owners, owner);
	if (handover != NULL)
		sched_pool_runs_ended(owner_pool(owner),
		    (Gw__EndedRun **)handover->ended->pdata,
		    sched_handover_end_count(
			handover, gw_rt_now_us(owners->rt)));
}

/*
 * Removes the owner of a shard, but keeps what later owners ask for.
 */
void
owners_remove(owners_t *owners, const char *shard)
{
	owner_t *owner = owners_find(owners, shard);

	if (owner != NULL)
		g_hash_table_replace(owners->handovers, g_strdup(shard),
		    sched_handover_new(owner_pool(owner)));
	g_hash_table_remove(owners->by_shard, shard);
}

owner_t *
owners_find(const owners_t *owners, const char *shard)
{
	return g_hash_table_lookup(owners->by_shard, shard);
}

/*
 * Adds or updates an instance in the shard that it belongs to, and removes it
 * from all others.
 */
void
owners_set_instance(owners_t *owners, const sched_instance_info_t *info)
{
	GHashTableIter iter;
	owner_t *owner;
	gpointer name;

	g_hash_table_iter_init(&iter, owners->by_shard);
	while (g_hash_table_iter_next(&iter, &name, (gpointer *)&owner)) {
		char pool[SCHED_NAME_BYTES];
		uint32_t shard = shard_parse_name(name, pool);

		sched_pool_end_superseded(owner_pool(owner), info);
		if (strcmp(pool, info->pool) == 0 &&
		    shard == shard_of_id(info->machine, owners->shard_count))
			owner_set_instance(owner, info);
		else /* it may have belonged to this shard before */
			owner_remove_instance(owner, info->id);
	}
}

/*
 * Removes an instance from all shards.
 */
void
owners_remove_instance(owners_t *owners, const char *id)
{
	GHashTableIter iter;
	owner_t *owner;

	g_hash_table_iter_init(&iter, owners->by_shard);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&owner))
		owner_remove_instance(owner, id);
}

void
owners_set_shard_count(owners_t *owners, uint32_t shard_count)
{
	owners->shard_count = shard_count;
}

/*
 * Sets the configuration in force, which stays with the caller.
 */
void
owners_set_config(owners_t *owners, const sched_config_t *config)
{
	GHashTableIter iter;
	owner_t *owner;

	owners->config = config;
	g_hash_table_iter_init(&iter, owners->by_shard);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&owner)) {
		set_teams(owners, owner);
		owner_config_changed(owner);
	}
}

void
owners_refuse_changes(owners_t *owners)
{
	owners->closing = true;
}

/*
 * Returns whether new jobs are refused, since the shards will be released.
 */
bool
owners_are_closing(const owners_t *owners)
{
	return owners->closing;
}

/*
 * Returns true when no shard has anything left to write.
 */
bool
owners_are_flushed(const owners_t *owners)
{
	GHashTableIter iter;
	owner_t *owner;

	g_hash_table_iter_init(&iter, owners->by_shard);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&owner))
		if (!owner_is_flushed(owner))
			return false;
	return true;
}

uint32_t
owners_count(const owners_t *owners)
{
	return g_hash_table_size(owners->by_shard);
}

GPtrArray *
owners_shards(const owners_t *owners)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, owners->by_shard);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(names, name);
	return names;
}

sched_waits_t
owners_waits(const owners_t *owners)
{
	sched_waits_t sum = {0};
	GHashTableIter iter;
	owner_t *owner;

	g_hash_table_iter_init(&iter, owners->by_shard);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&owner))
		sched_pool_add_waits(owner_pool(owner), &sum);
	return sum;
}
