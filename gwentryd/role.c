#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gw/addr.h"
#include "gw/log.h"
#include "role.h"

/* Most owners of a role that are remembered. */
#define PREVIOUS_OWNERS_MAX 4

/*
 * Writes the store's key of a role.
 */
void
roles_key(const char *role, char *out, uint32_t size_bytes)
{
	(void)snprintf(out, size_bytes, "%s%s", ROLE_PREFIX, role);
}

void
roles_lapsing_key(const char *shard, char *out, uint32_t size_bytes)
{
	(void)snprintf(
	    out, size_bytes, "%s%s%s/n", ROLE_PREFIX, LAPSING_PREFIX, shard);
}

/*
 * Writes the store's key for the last owner of a role.
 */
void
roles_last_key(const char *role, char *out, uint32_t size_bytes)
{
	(void)snprintf(
	    out, size_bytes, "%s%s%s", ROLE_PREFIX, LAST_PREFIX, role);
}

/*
 * Returns the role of that name; creates it if it is unknown.
 */
role_t *
role_get(roles_t *roles, const char *name)
{
	role_t *role = g_hash_table_lookup(roles->by_name, name);

	if (role != NULL)
		return role;
	role = g_new0(role_t, 1);
	role->roles = roles;
	g_strlcpy(role->name, name, sizeof(role->name));
	role->previous_owners = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(roles->by_name, role->name, role);
	return role;
}

void
role_free(gpointer data)
{
	role_t *role = data;

	gw_timer_stop(&role->claim_timer);
	g_free(role->owner);
	g_free(role->owner_data_centre);
	g_ptr_array_free(role->previous_owners, TRUE);
	g_free(role);
}

/*
 * Counts the roles that this process owns or is claiming.
 */
uint32_t
roles_count_owned(const roles_t *roles)
{
	uint32_t count = 0;
	GHashTableIter iter;
	role_t *role;

	g_hash_table_iter_init(&iter, roles->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&role))
		count += role->fence != 0 || role->claim_in_flight;
	return count;
}

/*
 * Stores the address of the last owner, which may be this process. The next
 * owner asks it when the leases of the instances expire, which earlier owners
 * do not know; these may still know of ends that nobody has recorded.
 */
void
role_add_previous_owner(role_t *role, const char *address)
{
	GPtrArray *owners = role->previous_owners;
	guint index;

	if (g_ptr_array_find_with_equal_func(
		owners, address, g_str_equal, &index))
		g_ptr_array_remove_index(owners, index);
	g_ptr_array_insert(owners, 0, g_strdup(address));
	if (owners->len > PREVIOUS_OWNERS_MAX)
		g_ptr_array_remove_index(owners, PREVIOUS_OWNERS_MAX);
}

/*
 * Ends this process's ownership of the role, if it owns it.
 */
void
role_lose(role_t *role, const char *reason)
{
	roles_t *roles = role->roles;

	if (role->fence == 0)
		return;
	gw_log(GW_EV_ROLE_LOST, "role=%s fence=%" PRIu64 " reason=%s",
	    role->name, role->fence, reason);
	role->fence = 0;
	roles->ops->on_lose(role->name, reason, roles->arg);
}

/*
 * Notes the lease and the creation of the role's key, which now has an owner.
 */
void
role_set_owner_lease(role_t *role, uint64_t lease_id, uint64_t create_revision)
{
	role->owner_lease_id = lease_id;
	role->owner_key_revision = create_revision;
	role->owner_lease_ended_us = 0;
	role->absent_since_us = 0;
}

/*
 * Applies the key that names the process that claimed the role last. Its value
 * is the process's address, boot id and lease.
 */
void
role_apply_last(role_t *role, const store_item_t *item)
{
	const roles_t *roles = role->roles;
	g_auto(GStrv) words = NULL;
	gw_err_t unused_err;
	gw_addr_t address;

	if (item->mod_revision <= role->last_revision)
		return;
	role->last_revision = item->removed ? 0 : item->mod_revision;
	if (item->removed)
		return;
	words = g_strsplit(item->value, " ", 3);
	if (g_strv_length(words) != 3 ||
	    gw_addr_parse(&address, words[0], &unused_err) != 0) {
		gw_log(GW_EV_ENTRY_IGNORED, "key=%s text=\"names no process\"",
		    item->key);
		return;
	}
	if (strcmp(words[1], roles->boot_id) == 0)
		return;
	role_add_previous_owner(role, words[0]);
	if (role->owner_key_revision < item->mod_revision)
		role_set_owner_lease(
		    role, strtoull(words[2], NULL, 10), item->mod_revision);
}

/*
 * Handles that all keys have been read, and the role has no owner. If its last
 * owner is known, its key was gone by now; so was its lease, unless the process
 * is still announced under it.
 */
void
role_note_listed(role_t *role)
{
	uint64_t now_us = gw_rt_now_us(role->roles->rt);

	if (role->absent_since_us != 0 || !role_knows_last_owner(role))
		return;
	role->absent_since_us = now_us;
	if (role->owner_lease_id != 0 &&
	    !roles_lease_is_present(role->roles, role->owner_lease_id))
		role->owner_lease_ended_us = now_us;
}

/*
 * Returns whether the last owner that this process knows is the one that the
 * store names. A claim on that condition proves that there was no later one.
 */
bool
role_knows_last_owner(const role_t *role)
{
	return role->last_revision != 0 &&
	    role->owner_key_revision == role->last_revision;
}

/*
 * Returns what this process saw of the last owner's end.
 */
static sched_vacancy_t
get_vacancy(const role_t *role)
{
	bool lease_ended = role->owner_lease_ended_us != 0;

	if (role->absent_since_us == 0)
		return (sched_vacancy_t){0, false, false};
	return (sched_vacancy_t){
	    MAX(role->absent_since_us, role->owner_lease_ended_us), lease_ended,
	    role->last_owner_certain};
}

/*
 * Makes this process the owner of the role, with this fencing token.
 */
void
role_gain(role_t *role, uint64_t fence)
{
	roles_t *roles = role->roles;
	const roles_gain_t gain = {.role = role->name,
	    .fence = fence,
	    .previous_owners = role->previous_owners,
	    .vacancy = get_vacancy(role)};

	if (role->fence == fence)
		return;
	role_lose(role, "newer-fence");
	role->fence = fence;
	role->own_key_revision = fence;
	role->revision = MAX(role->revision, fence);
	g_free(role->owner);
	role->owner = g_strdup(roles->address);
	g_free(role->owner_data_centre);
	role->owner_data_centre = g_strdup(roles->data_centre);
	role->vacant_since_us = 0;
	role_set_owner_lease(role, lease_id(roles->lease), fence);
	gw_log(GW_EV_ROLE_GAINED,
	    "role=%s fence=%" PRIu64
	    " owned=%u previous_owner=%s since_start_ms=%" PRIu64,
	    role->name, fence, roles_count_owned(roles),
	    role->previous_owners->len == 0
		? "unknown"
		: (const char *)role->previous_owners->pdata[0],
	    gw_elapsed_us(gw_rt_now_us(roles->rt), roles->started_us) /
		GW_US_PER_MS);
	roles->ops->on_gain(&gain, roles->arg);
	role_add_previous_owner(role, roles->address);
}
