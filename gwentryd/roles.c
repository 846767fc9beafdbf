#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gw/id.h"
#include "gw/log.h"
#include "lease.h"
#include "roles.h"
#include "sched/name.h"
#include "store/follow.h"

#define ROLE_PREFIX "gw/role/"
/* Changes of roles are gathered for so long. */
#define ROLE_PAUSE_MS 20
/* Time for the news of another owner to arrive. */
#define REGAIN_MS 100
/*
 * Pause before a claim: the processes that own least come first, and others
 * are spread so that few claims collide.
 */
#define CLAIM_BASE_MS 20
#define CLAIM_PER_ROLE_MS 150
#define CLAIM_SPREAD_MS 100
/* A process with little processor time comes later by up to this. */
#define CLAIM_WEAK_MS 200
#define CPU_STRONG_PERMILLE 500
/* Time for all processes of a system that has just started to see the roles. */
#define CLAIM_START_MS 300

typedef struct {
	roles_t *roles;
	char name[SCHED_NAME_BYTES];
	char *owner;	       /* address, NULL: none */
	char *former;	       /* address of the last owner, NULL: none */
	uint64_t revision;     /* of the newest state seen */
	uint64_t fence;	       /* not 0 while it is this process's */
	uint64_t own_revision; /* of this process's key as seen; 0: none */
	bool wanted;
	bool claiming;
	uint32_t owned_then; /* when the claim was scheduled */
	gw_timer_t claim;
} role_t;

struct roles {
	gw_rt_t *rt;
	store_t *store;
	char node[SCHED_NAME_BYTES];
	char address[GW_ADDR_TEXT_BYTES];
	char boot[GW_ID_TEXT_BYTES]; /* this life of the process */
	const roles_ops_t *ops;
	void *arg;
	GHashTable *by_name; /* role_t */
	store_follow_t *follow;
	lease_t *lease;
	uint64_t started_us;
	uint32_t weak_ms;
	bool listed;
	bool store_lost;
	bool released;
};

/*
 * Writes the store's key of a role.
 */
void
roles_key(const char *role, char *out, uint32_t size_bytes)
{
	(void)snprintf(out, size_bytes, "%s%s", ROLE_PREFIX, role);
}

static role_t *
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

static void
role_free(gpointer data)
{
	role_t *role = data;

	gw_timer_stop(&role->claim);
	g_free(role->owner);
	g_free(role->former);
	g_free(role);
}

static uint32_t
owned(const roles_t *roles)
{
	uint32_t count = 0;
	GHashTableIter iter;
	role_t *role;

	g_hash_table_iter_init(&iter, roles->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&role))
		count += role->fence != 0 || role->claiming;
	return count;
}

static void
lose(role_t *role, const char *reason)
{
	roles_t *roles = role->roles;

	if (role->fence == 0)
		return;
	gw_log(GW_EV_ROLE_LOST, "role=%s fence=%" PRIu64 " reason=%s",
	    role->name, role->fence, reason);
	role->fence = 0;
	roles->ops->on_lose(role->name, reason, roles->arg);
}

static void
gain(role_t *role, uint64_t fence)
{
	roles_t *roles = role->roles;

	if (role->fence == fence)
		return;
	lose(role, "newer-fence");
	role->fence = fence;
	role->own_revision = fence;
	role->revision = MAX(role->revision, fence);
	g_free(role->owner);
	role->owner = g_strdup(roles->address);
	gw_log(GW_EV_ROLE_GAINED, "role=%s fence=%" PRIu64 " owned=%u",
	    role->name, fence, owned(roles));
	roles->ops->on_gain(role->name, fence, role->former, roles->arg);
	/* If it comes back, an owner before this one is of no use. */
	g_free(role->former);
	role->former = g_strdup(roles->address);
}

static void schedule_claim(role_t *);

static void
on_claimed(uint64_t revision, const store_page_t *current, const gw_err_t *err,
    void *arg)
{
	role_t *role = arg;

	(void)current;
	role->claiming = false;
	if (err == NULL && !role->roles->released)
		gain(role, revision);
	else if (err != NULL && err->code == GW_ERR_NOT_FOUND)
		lease_forget(role->roles->lease);
	/* Without an answer the followed key tells whose it is. */
	if (role->fence == 0)
		schedule_claim(role);
}

static void
on_claim(gw_timer_t *timer, void *arg)
{
	role_t *role = arg;
	roles_t *roles = role->roles;
	g_autofree char *value = NULL;
	char key[ROLE_KEY_BYTES];
	store_guard_t guard = {.key = key};
	store_write_t write = {.key = key, .lease_id = lease_id(roles->lease)};
	store_txn_t txn = {.guards = &guard,
	    .guard_count = 1,
	    .writes = &write,
	    .write_count = 1};

	(void)timer;
	if (role->owner != NULL || role->claiming || role->fence != 0 ||
	    roles->released || !role->wanted)
		return;
	if (!roles_lease_valid(roles) || !roles->listed ||
	    owned(roles) > role->owned_then) {
		schedule_claim(role);
		return;
	}
	roles_key(role->name, key, sizeof(key));
	value = g_strdup_printf(
	    "%s %s %s", roles->address, roles->boot, roles->node);
	write.value = value;
	write.size_bytes = strlen(value);
	role->claiming = true;
	store_txn(roles->store, &txn, on_claimed, role);
}

/*
 * Returns a number that differs between processes and between roles.
 */
static uint32_t
spread(const role_t *role)
{
	g_autofree char *text =
	    g_strdup_printf("%s %s", role->roles->boot, role->name);
	char digest[GW_ID_TEXT_BYTES];

	gw_id_content(text, strlen(text), digest);
	digest[7] = '\0';
	return (uint32_t)strtoul(digest, NULL, 16);
}

/*
 * Claims a role without an owner after a pause that depends on what this
 * process owns already.
 */
static void
schedule_claim(role_t *role)
{
	roles_t *roles = role->roles;
	uint64_t now_us = gw_rt_now_us(roles->rt);
	uint64_t delay_us;

	if (role->owner != NULL || role->claiming || !role->wanted ||
	    roles->released)
		return;
	role->owned_then = owned(roles);
	delay_us = (CLAIM_BASE_MS + CLAIM_PER_ROLE_MS * role->owned_then +
		       role->roles->weak_ms + spread(role) % CLAIM_SPREAD_MS) *
	    GW_US_PER_MS;
	if (now_us < roles->started_us + CLAIM_START_MS * GW_US_PER_MS)
		delay_us += CLAIM_START_MS * GW_US_PER_MS;
	gw_timer_start(roles->rt, &role->claim, delay_us, on_claim, role);
}

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
		gain(role, item->create_revision);
	else {
		g_free(role->former);
		role->former = g_strdup(words[0]);
		lose(role, "other-owner");
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
	lose(role, "key-removed");
	schedule_claim(role);
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
			schedule_claim(role);
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
		lose(role, reason);
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
	schedule_claim(role);
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
		gain(role, role->own_revision);
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

	lose(role, reason);
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
