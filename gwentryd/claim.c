#include <stdlib.h>
#include <string.h>

#include "claim.h"

/*
 * Pause before a claim: the processes that own least come first, and others
 * are spread so that few claims collide.
 */
#define CLAIM_BASE_MS 20
#define CLAIM_PER_ROLE_MS 150
#define CLAIM_SPREAD_MS 100
/* Time for all processes of a system that has just started to see the roles. */
#define CLAIM_START_MS 300

static void
on_claimed(uint64_t revision, const store_page_t *current, const gw_err_t *err,
    void *arg)
{
	role_t *role = arg;

	(void)current;
	role->claiming = false;
	if (err == NULL && !role->roles->released)
		role_gain(role, revision);
	else if (err != NULL && err->code == GW_ERR_NOT_FOUND)
		lease_forget(role->roles->lease);
	/* Without an answer the followed key tells whose it is. */
	if (role->fence == 0)
		role_claim_later(role);
}

static void
on_claim(gw_timer_t *timer, void *arg)
{
	role_t *role = arg;
	roles_t *roles = role->roles;
	g_autofree char *value = NULL;
	char key[ROLE_KEY_BYTES];
	store_precondition_t precondition = {.key = key};
	store_write_t write = {.key = key, .lease_id = lease_id(roles->lease)};
	store_txn_t txn = {.preconditions = &precondition,
	    .precondition_count = 1,
	    .writes = &write,
	    .write_count = 1};

	(void)timer;
	if (role->owner != NULL || role->claiming || role->fence != 0 ||
	    roles->released || !role->wanted)
		return;
	if (!lease_valid(roles->lease) || !roles->listed ||
	    roles_owned(roles) > role->owned_then) {
		role_claim_later(role);
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
void
role_claim_later(role_t *role)
{
	roles_t *roles = role->roles;
	uint64_t now_us = gw_rt_now_us(roles->rt);
	uint64_t delay_us;

	if (role->owner != NULL || role->claiming || !role->wanted ||
	    roles->released)
		return;
	role->owned_then = roles_owned(roles);
	delay_us = (CLAIM_BASE_MS + CLAIM_PER_ROLE_MS * role->owned_then +
		       role->roles->weak_ms + spread(role) % CLAIM_SPREAD_MS) *
	    GW_US_PER_MS;
	if (now_us < roles->started_us + CLAIM_START_MS * GW_US_PER_MS)
		delay_us += CLAIM_START_MS * GW_US_PER_MS;
	gw_timer_start(roles->rt, &role->claim, delay_us, on_claim, role);
}
