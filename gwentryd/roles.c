#include <string.h>

#include "claim.h"
#include "gw/addr.h"
#include "gw/log.h"
#include "role.h"

/* Pause after changes of roles, so that several are handled together. */
#define ROLE_BATCH_MS 20
/* Time in which a change of owner at the store becomes known here. */
#define REGAIN_DELAY_MS 100
static bool
names_process(char *const *words)
{
	gw_err_t unused_err;
	gw_addr_t address;

	return words[0] != NULL && words[1] != NULL && words[1][0] != '\0' &&
	    gw_addr_parse(&address, words[0], &unused_err) == 0 &&
	    gw_addr_port(&address) != 0;
}

/*
 * Handles a key that no process of this system has written. It is removed, so
 * that the role can be claimed.
 */
static void
apply_odd_key(role_t *role, const store_item_t *item)
{
	gw_log(
	    GW_EV_ENTRY_IGNORED, "key=%s text=\"names no process\"", item->key);
	role->odd_key_revision = item->mod_revision;
	role_set_owner_lease(role, 0, 0);
	role_lose(role, "role-key-changed");
	role_schedule_claim(role);
}

/*
 * Applies an owner's key, whose value is the owner's address, boot id, data
 * centre and node name; earlier versions wrote no data centre. This process
 * gains the role if the key is its own, else it loses it.
 */
static void
apply_owner(role_t *role, const store_item_t *item)
{
	roles_t *roles = role->roles;
	g_auto(GStrv) words = g_strsplit(item->value, " ", 4);

	g_clear_pointer(&role->owner, g_free);
	g_clear_pointer(&role->owner_data_centre, g_free);
	role->own_key_revision = 0;
	if (!names_process(words)) {
		apply_odd_key(role, item);
		return;
	}
	role->owner = g_strdup(words[0]);
	if (g_strv_length(words) == 4)
		role->owner_data_centre = g_strdup(words[2]);
	role->vacant_since_us = 0;
	if (strcmp(words[1], roles->boot_id) == 0 && !roles->released)
		role_gain(role, item->create_revision);
	else {
		role_set_owner_lease(
		    role, item->lease_id, item->create_revision);
		role_add_previous_owner(role, words[0]);
		role_lose(role, "other-owner");
	}
}

/*
 * Notes when a shard's list of lapsing leases was received: its times count
 * from before then.
 */
static void
apply_lapsing(roles_t *roles, const store_item_t *item)
{
	lapsing_seen_t *seen;

	if (item->removed) {
		g_hash_table_remove(roles->lapsing, item->key);
		return;
	}
	seen = g_new(lapsing_seen_t, 1);
	seen->revision = item->mod_revision;
	seen->seen_us = gw_rt_now_us(roles->rt);
	g_hash_table_replace(roles->lapsing, g_strdup(item->key), seen);
}

uint64_t
roles_lapsing_seen_us(const roles_t *roles, const char *key, uint64_t revision)
{
	const lapsing_seen_t *seen = g_hash_table_lookup(roles->lapsing, key);

	return seen != NULL && seen->revision == revision
	    ? seen->seen_us
	    : gw_rt_now_us(roles->rt);
}

static void
on_item(const store_item_t *item, void *arg)
{
	roles_t *roles = arg;
	const char *name;
	role_t *role;
	bool is_last;

	if (!g_str_has_prefix(item->key, ROLE_PREFIX))
		return;
	name = item->key + strlen(ROLE_PREFIX);
	if (g_str_has_prefix(name, LAPSING_PREFIX)) {
		apply_lapsing(roles, item);
		return;
	}
	is_last = g_str_has_prefix(name, LAST_PREFIX);
	if (is_last)
		name += strlen(LAST_PREFIX);
	if (strlen(name) >= SCHED_NAME_BYTES) {
		gw_log(GW_EV_ENTRY_IGNORED, "key=%s text=\"name too long\"",
		    item->key);
		return;
	}
	if (g_str_has_prefix(name, PROCESS_PREFIX)) {
		roles_apply_process(roles, item);
		return;
	}
	role = role_get(roles, name);
	if (is_last) {
		role_apply_last(role, item);
		return;
	}
	if (item->mod_revision < role->revision)
		return;
	role->revision = item->mod_revision;
	role->odd_key_revision = 0;
	if (!item->removed) {
		apply_owner(role, item);
		return;
	}
	g_clear_pointer(&role->owner, g_free);
	g_clear_pointer(&role->owner_data_centre, g_free);
	role->own_key_revision = 0;
	role->absent_since_us = gw_rt_now_us(roles->rt);
	role_lose(role, "key-removed");
	role_schedule_claim(role);
}

static void
on_listed(void *arg)
{
	roles_t *roles = arg;
	GHashTableIter iter;
	role_t *role;

	roles->listed = true;
	g_hash_table_iter_init(&iter, roles->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&role)) {
		if (role->owner != NULL)
			continue;
		role_note_listed(role);
		if (!gw_timer_armed(&role->claim_timer))
			role_schedule_claim(role);
	}
}

static void
on_contact(const gw_err_t *err, void *arg)
{
	roles_t *roles = arg;

	if ((err != NULL) == roles->store_unreachable)
		return;
	roles->store_unreachable = err != NULL;
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
 * Loses every role, because the lease has ended, because it was not renewed for
 * so long that another process may own the roles, or because this process
 * releases them.
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

static void
on_lease_open(void *arg)
{
	roles_announce(arg);
}

static const lease_ops_t lease_ops = {
    .on_open = on_lease_open, .on_lost = on_lease_lost};

/*
 * Begins to follow the roles, and opens a lease. Other entry processes send
 * their calls to address.
 */
roles_t *
roles_new(gw_rt_t *rt, store_t *store, const char *node,
    const char *data_centre, const char *address,
    const sched_process_t *process, const roles_ops_t *ops, void *arg)
{
	roles_t *roles;

	roles = g_new0(roles_t, 1);
	roles->rt = rt;
	roles->store = store;
	g_strlcpy(roles->node, node, sizeof(roles->node));
	g_strlcpy(roles->data_centre, data_centre, sizeof(roles->data_centre));
	g_strlcpy(roles->address, address, sizeof(roles->address));
	gw_id_random(roles->boot_id);
	roles->process = *process;
	roles->ops = ops;
	roles->arg = arg;
	roles->started_us = gw_rt_now_us(rt);
	roles->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, role_free);
	roles->processes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	roles->lapsing =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	roles->follow =
	    store_follow(store, ROLE_PREFIX, ROLE_BATCH_MS, &follow_ops, roles);
	roles->lease = lease_new(
	    rt, store, ROLES_TTL_MS, ROLES_GRACE_MS, &lease_ops, roles);
	return roles;
}

/*
 * Lets this process claim a role, and schedules the claim.
 */
void
roles_enable_claim(roles_t *roles, const char *name)
{
	role_t *role = role_get(roles, name);

	if (role->claim_enabled)
		return;
	role->claim_enabled = true;
	role_schedule_claim(role);
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
 * Returns whether this process owns the role.
 */
bool
roles_is_owner(const roles_t *roles, const char *name)
{
	const role_t *role = g_hash_table_lookup(roles->by_name, name);

	return role != NULL && role->fence != 0;
}

/*
 * Returns the time until which the last renewal keeps the lease, or 0 if there
 * is no lease.
 */
uint64_t
roles_lease_valid_until_us(const roles_t *roles)
{
	return lease_valid_until_us(roles->lease);
}

/*
 * Returns whether the lease cannot have expired.
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
	if (role->own_key_revision != 0 && role->fence == 0 &&
	    !role->roles->released && roles_lease_valid(role->roles))
		role_gain(role, role->own_key_revision);
}

/*
 * Loses a role, because another process has it or the role's records are not as
 * expected. If the key still names this process after REGAIN_DELAY_MS, the
 * process gains the role again and reads the records again; otherwise it claims
 * the role once the key is removed.
 */
void
roles_mark_lost(roles_t *roles, const char *name, const char *reason)
{
	role_t *role = role_get(roles, name);

	role_lose(role, reason);
	if (role->own_key_revision != 0)
		gw_timer_start(roles->rt, &role->claim_timer,
		    REGAIN_DELAY_MS * GW_US_PER_MS, on_regain, role);
}

/*
 * Ends the lease, which removes the keys of all roles at once.
 */
void
roles_release_all(roles_t *roles)
{
	if (roles->released)
		return;
	lose_all(roles, "released");
	roles->released = true;
	lease_end(roles->lease);
}
