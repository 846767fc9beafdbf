#include <string.h>

#include "claim.h"
#include "gw/log.h"
#include "role.h"

/* Changes of roles are gathered for so long. */
#define ROLE_PAUSE_MS 20
/* Time for the news of another owner to arrive. */
#define REGAIN_MS 100
/* A process with little processor time comes later by up to this. */
#define CLAIM_WEAK_MS 200
#define CPU_STRONG_PERMILLE 500

static void
take_owner(role_t *role, const store_item_t *item)
{
	roles_t *roles = role->roles;
	g_auto(GStrv) words = g_strsplit(item->value, " ", 3);

	g_clear_pointer(&role->owner, g_free);
	role->own_revision = 0;
	if (g_strv_length(words) < 2)
		return;
	role->owner = g_strdup(words[0]);
	if (strcmp(words[1], roles->boot) == 0 && !roles->released)
		role_gain(role, item->create_revision);
	else {
		role_set_former(role, words[0]);
		role_lose(role, "other-owner");
	}
}

static void
on_item(const store_item_t *item, void *arg)
{
	roles_t *roles = arg;
	role_t *role;

	if (!g_str_has_prefix(item->key, ROLE_PREFIX))
		return;
	role = role_get(roles, item->key + strlen(ROLE_PREFIX));
	if (item->mod_revision < role->revision)
		return;
	role->revision = item->mod_revision;
	if (!item->removed) {
		take_owner(role, item);
		return;
	}
	g_clear_pointer(&role->owner, g_free);
	role->own_revision = 0;
	role_lose(role, "key-removed");
	role_claim_later(role);
}

static void
on_listed(void *arg)
{
	roles_t *roles = arg;
	GHashTableIter iter;
	role_t *role;

	roles->listed = true;
	g_hash_table_iter_init(&iter, roles->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&role))
		if (role->owner == NULL && !gw_timer_armed(&role->claim))
			role_claim_later(role);
}

static void
on_contact(const gw_err_t *err, void *arg)
{
	roles_t *roles = arg;

	if ((err != NULL) == roles->store_lost)
		return;
	roles->store_lost = err != NULL;
	if (err != NULL)
		gw_log(GW_EV_DEPENDENCY_LOST,
		    "dependency=store step=\"%s\" err=%s text=\"%s\"",
		    err->step, gw_errc_name(err->code), err->text);
	else
		gw_log(GW_EV_DEPENDENCY_BACK, "dependency=store");
}

static const store_follow_ops_t follow_ops = {
    .on_item = on_item, .on_listed = on_listed, .on_contact = on_contact};

/*
 * Loses every role: the lease is gone, or has been without renewal for so long
 * that another owner may count on it.
 */
static void
lose_all(roles_t *roles, const char *reason)
{
	GHashTableIter iter;
	role_t *role;

	g_hash_table_iter_init(&iter, roles->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&role))
		role_lose(role, reason);
}

static void
on_lease_lost(const char *reason, void *arg)
{
	lose_all(arg, reason);
}

static const lease_ops_t lease_ops = {.on_lost = on_lease_lost};

/*
 * Begins to follow the roles and opens a lease. address is where the owner
 * takes calls of other entry processes.
 */
roles_t *
roles_new(gw_rt_t *rt, store_t *store, const char *node, const char *address,
    uint32_t cpu_permille, const roles_ops_t *ops, void *arg)
{
	roles_t *roles;

	roles = g_new0(roles_t, 1);
	roles->rt = rt;
	roles->store = store;
	g_strlcpy(roles->node, node, sizeof(roles->node));
	g_strlcpy(roles->address, address, sizeof(roles->address));
	gw_id_random(roles->boot);
	roles->weak_ms = CLAIM_WEAK_MS *
	    (CPU_STRONG_PERMILLE - MIN(cpu_permille, CPU_STRONG_PERMILLE)) /
	    CPU_STRONG_PERMILLE;
	roles->ops = ops;
	roles->arg = arg;
	roles->started_us = gw_rt_now_us(rt);
	roles->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, role_free);
	roles->follow =
	    store_follow(store, ROLE_PREFIX, ROLE_PAUSE_MS, &follow_ops, roles);
	roles->lease = lease_new(
	    rt, store, ROLES_TTL_MS, ROLES_GRACE_MS, &lease_ops, roles);
	return roles;
}

/*
 * Lets this process claim a role.
 */
void
roles_want(roles_t *roles, const char *name)
{
	role_t *role = role_get(roles, name);

	if (role->wanted)
		return;
	role->wanted = true;
	role_claim_later(role);
}

/*
 * Returns the address of a role's owner as last seen, or NULL.
 */
const char *
roles_owner(const roles_t *roles, const char *name)
{
	const role_t *role = g_hash_table_lookup(roles->by_name, name);

	return role == NULL ? NULL : role->owner;
}

/*
 * Tells whether this process owns the role.
 */
bool
roles_is_mine(const roles_t *roles, const char *name)
{
	const role_t *role = g_hash_table_lookup(roles->by_name, name);

	return role != NULL && role->fence != 0;
}

/*
 * Returns the end of the lease by the last renewal, or 0.
 */
uint64_t
roles_lease_until_us(const roles_t *roles)
{
	return lease_until_us(roles->lease);
}

/*
 * Tells whether the lease surely goes on.
 */
bool
roles_lease_valid(const roles_t *roles)
{
	return lease_valid(roles->lease);
}

static void
on_regain(gw_timer_t *timer, void *arg)
{
	role_t *role = arg;

	(void)timer;
	if (role->own_revision != 0 && role->fence == 0 &&
	    !role->roles->released && roles_lease_valid(role->roles))
		role_gain(role, role->own_revision);
}

/*
 * Takes note that another process has the role, or that its records are not as
 * expected. If the key is seen to be this process's all the same, it begins
 * anew with what the store has; else the role is claimed once the key is free.
 */
void
roles_give_up(roles_t *roles, const char *name, const char *reason)
{
	role_t *role = role_get(roles, name);

	role_lose(role, reason);
	if (role->own_revision != 0)
		gw_timer_start(roles->rt, &role->claim,
		    REGAIN_MS * GW_US_PER_MS, on_regain, role);
}

/*
 * Ends the lease, which frees the keys of all roles at once.
 */
void
roles_release(roles_t *roles)
{
	if (roles->released)
		return;
	lose_all(roles, "released");
	roles->released = true;
	lease_end(roles->lease);
}
