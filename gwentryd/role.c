#include <stdio.h>
#include <string.h>

#include "gw/log.h"
#include "role.h"

/*
 * Writes the store's key of a role.
 */
void
roles_key(const char *role, char *out, uint32_t size_bytes)
{
	(void)snprintf(out, size_bytes, "%s%s", ROLE_PREFIX, role);
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
	g_free(role->previous_owner);
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
 * owner asks it when the leases of the instances expire; an earlier owner does
 * not know that.
 */
void
role_set_previous_owner(role_t *role, const char *address)
{
	g_free(role->previous_owner);
	role->previous_owner = g_strdup(address);
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
 * Makes this process the owner of the role, with this fencing token.
 */
void
role_gain(role_t *role, uint64_t fence)
{
	roles_t *roles = role->roles;

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
	gw_log(GW_EV_ROLE_GAINED, "role=%s fence=%" PRIu64 " owned=%u",
	    role->name, fence, roles_count_owned(roles));
	roles->ops->on_gain(
	    role->name, fence, role->previous_owner, roles->arg);
	role_set_previous_owner(role, roles->address);
}
