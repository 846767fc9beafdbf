#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "claim.h"
#include "gw/log.h"
#include "sched/shard.h"

/*
 * Schedules a claim as if the role had just been found without an owner.
 */
static void
restart_claim(role_t *role)
{
	role->vacant_since_us = 0;
	role_schedule_claim(role);
}

static void
on_claimed(uint64_t revision, const store_page_t *current, const gw_err_t *err,
    void *arg)
{
	role_t *role = arg;

	(void)current;
	role->claim_in_flight = false;
	if (err == NULL && !role->roles->released)
		role_gain(role, revision);
	else if (err != NULL && err->code == GW_ERR_NOT_FOUND)
		lease_mark_ended(role->roles->lease);
	/* If the response was lost, the followed key still shows the owner. */
	if (role->fence == 0)
		restart_claim(role);
}

static void
on_odd_key_removed(uint64_t revision, const store_page_t *current,
    const gw_err_t *err, void *arg)
{
	role_t *role = arg;

	(void)revision;
	(void)current;
	role->claim_in_flight = false;
	if (err != NULL && err->code != GW_ERR_CONFLICT)
		gw_log(GW_EV_COMMIT_FAILED,
		    "role=%s step=remove err=%s text=\"%s\"", role->name,
		    gw_errc_name(err->code), err->text);
	restart_claim(role);
}

/*
 * Removes the key of the role if it is still the one that names no process. The
 * role is claimed once the followed key shows the removal.
 */
static void
remove_odd_key(role_t *role, const char *key)
{
	store_precondition_t precondition = {key, role->odd_key_revision};
	store_txn_t txn = {.preconditions = &precondition,
	    .precondition_count = 1,
	    .removes = &key,
	    .remove_count = 1};

	role->claim_in_flight = true;
	store_txn(role->roles->store, &txn, on_odd_key_removed, role);
}

/*
 * Returns whether another shard of the role's pool has its owner in the data
 * centre of this process.
 */
static bool
shares_pool(const role_t *role)
{
	const roles_t *roles = role->roles;
	char pool[SCHED_NAME_BYTES], other_pool[SCHED_NAME_BYTES];
	GHashTableIter iter;
	role_t *other;

	(void)shard_parse_name(role->name, pool);
	g_hash_table_iter_init(&iter, roles->by_name);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&other)) {
		(void)shard_parse_name(other->name, other_pool);
		if (other != role && strcmp(pool, other_pool) == 0 &&
		    g_strcmp0(other->owner_data_centre, roles->data_centre) ==
			0)
			return true;
	}
	return false;
}

/*
 * Returns a hash of the process and the role, the source of the jitter.
 */
static uint32_t
jitter_seed(const role_t *role)
{
	g_autofree char *text =
	    g_strdup_printf("%s %s", role->roles->boot_id, role->name);
	char digest[GW_ID_TEXT_BYTES];

	gw_id_content(text, strlen(text), digest);
	digest[7] = '\0';
	return (uint32_t)strtoul(digest, NULL, 16);
}

/*
 * Returns when this process may claim the role. The delay counts from when the
 * role was found without an owner: a process that has gained another role
 * meanwhile keeps its lead over those that have less to offer.
 */
static uint64_t
claim_due_us(const role_t *role)
{
	const roles_t *roles = role->roles;
	const sched_claimant_t claimant = {.process = roles->process,
	    .owned_roles = roles_count_owned(roles),
	    .is_starting = role->vacant_since_us <
		roles->started_us + SCHED_CLAIM_STARTING_MS * GW_US_PER_MS,
	    .shares_pool = shares_pool(role)};
	const sched_process_t reference = roles_claim_reference(roles);

	return role->vacant_since_us +
	    (sched_claim_delay_ms(&claimant, &reference) +
		jitter_seed(role) % SCHED_CLAIM_JITTER_MS) *
	    GW_US_PER_MS;
}

/*
 * Claims the role: creates its key under this process's lease, on condition
 * that the key does not exist and that nobody has claimed the role since the
 * last owner that this process knows. The delay begins again if the lease is
 * not valid or the roles have not been read, and goes on if it has become
 * longer since the claim was scheduled.
 */
static void
on_claim(gw_timer_t *timer, void *arg)
{
	role_t *role = arg;
	roles_t *roles = role->roles;
	g_autofree char *value = NULL;
	g_autofree char *last = NULL;
	char key[ROLE_KEY_BYTES], last_key[ROLE_KEY_BYTES];
	const store_precondition_t preconditions[] = {
	    {.key = key}, {last_key, role->last_revision}};
	store_write_t writes[] = {
	    {.key = key, .lease_id = lease_id(roles->lease)},
	    {.key = last_key}};
	store_txn_t txn = {.preconditions = preconditions,
	    .precondition_count = G_N_ELEMENTS(preconditions),
	    .writes = writes,
	    .write_count = G_N_ELEMENTS(writes)};

	(void)timer;
	if (role->owner != NULL || role->claim_in_flight || role->fence != 0 ||
	    roles->released || !role->claim_enabled)
		return;
	if (!lease_valid(roles->lease) || !roles->listed) {
		restart_claim(role);
		return;
	}
	if (gw_rt_now_us(roles->rt) < claim_due_us(role)) {
		role_schedule_claim(role);
		return;
	}
	roles_key(role->name, key, sizeof(key));
	if (role->odd_key_revision != 0) {
		remove_odd_key(role, key);
		return;
	}
	roles_last_key(role->name, last_key, sizeof(last_key));
	value = g_strdup_printf("%s %s %s %s", roles->address, roles->boot_id,
	    roles->data_centre, roles->node);
	writes[0].value = value;
	writes[0].size_bytes = strlen(value);
	last = g_strdup_printf("%s %s %" PRIu64, roles->address, roles->boot_id,
	    lease_id(roles->lease));
	writes[1].value = last;
	writes[1].size_bytes = strlen(last);
	role->last_owner_certain = role_knows_last_owner(role);
	role->claim_in_flight = true;
	store_txn(roles->store, &txn, on_claimed, role);
}

/*
 * Schedules a claim, if the role has no owner and this process may claim it.
 */
void
role_schedule_claim(role_t *role)
{
	roles_t *roles = role->roles;
	uint64_t now_us = gw_rt_now_us(roles->rt);

	if (role->owner != NULL || role->claim_in_flight ||
	    !role->claim_enabled || roles->released)
		return;
	if (role->vacant_since_us == 0)
		role->vacant_since_us = now_us;
	gw_timer_start(roles->rt, &role->claim_timer,
	    MAX(claim_due_us(role), now_us) - now_us, on_claim, role);
}
