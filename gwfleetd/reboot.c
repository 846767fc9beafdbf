#include <string.h>

#include "fleet_state.h"
#include "placement.h"
#include "reboot.h"
#include "router.h"
#include "wave.h"

static reboot_t *
reboot_of(fleet_t *fleet, const char *instance_id)
{
	reboot_t *reboot = g_hash_table_lookup(fleet->reboots, instance_id);

	if (reboot != NULL)
		return reboot;
	reboot = g_new0(reboot_t, 1);
	g_hash_table_insert(fleet->reboots, g_strdup(instance_id), reboot);
	return reboot;
}

/*
 * Asks the platform for the reboot. The operation id is the same for every
 * planner and every repetition, so that the instance reboots once.
 */
static void
ask_reboot(fleet_t *fleet, const member_instance_t *instance)
{
	char operation[2 * GW_NAME_BYTES];

	(void)g_snprintf(operation, sizeof(operation),
	    "reboot-%s-%" G_GUINT64_FORMAT, instance->incarnation,
	    instance->state_version);
	fleet->ops->reboot(fleet->ctx, instance->id, operation);
}

/*
 * Tells whether no router can use the instance or have a request on it.
 */
static bool
is_clear(const fleet_t *fleet, const member_instance_t *instance)
{
	uint64_t now_us = fleet_now_us(fleet);

	for (guint i = 0; i < fleet->routers->len; i++)
		if (!member_router_drained(fleet->routers->pdata[i],
			&fleet->election.lease, instance, now_us))
			return false;
	return true;
}

/*
 * Begins what is due for the instances that reboot or are checked.
 */
void
reboot_tick(fleet_t *fleet)
{
	uint64_t now_us = fleet_now_us(fleet);

	for (guint i = 0; i < fleet->table->instances->len; i++) {
		const member_instance_t *instance =
		    fleet->table->instances->pdata[i];
		reboot_t *reboot;

		if (instance->state != MEMBER_REBOOTING &&
		    instance->state != MEMBER_CHECKING) {
			g_hash_table_remove(fleet->reboots, instance->id);
			continue;
		}
		reboot = reboot_of(fleet, instance->id);
		if (now_us < reboot->asked_us + REBOOT_RETRY_MS * GW_US_PER_MS)
			continue;
		reboot->asked_us = now_us;
		if (instance->state == MEMBER_REBOOTING)
			ask_reboot(fleet, instance);
		else if (!reboot->passed)
			fleet->ops->check(fleet->ctx, instance);
	}
}

/*
 * Takes the result of a check of one incarnation.
 */
void
reboot_checked(fleet_t *fleet, const fleet_msg_t *msg)
{
	const member_instance_t *instance =
	    member_table_find(fleet->table, msg->instance_id);
	reboot_t *reboot;

	if (instance == NULL || instance->state != MEMBER_CHECKING ||
	    strcmp(instance->incarnation, msg->incarnation) != 0)
		return;
	reboot = reboot_of(fleet, instance->id);
	if (strcmp(reboot->incarnation, instance->incarnation) != 0) {
		g_strlcpy(reboot->incarnation, instance->incarnation,
		    sizeof(reboot->incarnation));
		reboot->checks_failed = 0;
	}
	reboot->passed = msg->err == NULL;
	fleet->dirty = true;
	if (reboot->passed)
		return;
	reboot->checks_failed++;
	if (reboot->checks_failed == REBOOT_CHECKS_MAX) {
		decision_note(fleet, "check-failed", instance->id,
		    instance->pool, msg->err->text);
		wave_failed(fleet, instance->id);
	}
}

/*
 * The reboot is done when the platform lists another incarnation as live.
 */
static void
finish_reboot(
    fleet_t *fleet, member_table_t *draft, member_instance_t *instance)
{
	const platform_instance_t *listed =
	    placement_listed(fleet, instance->id);
	gw_err_t err;

	if (listed == NULL || listed->state != PLATFORM_LIVE ||
	    strcmp(listed->incarnation, instance->incarnation) == 0)
		return;
	if (member_finish_reboot(draft, instance, listed->incarnation, &err) !=
	    0)
		return;
	decision_note(fleet, "rebooted", instance->id, instance->pool,
	    "the platform lists a new incarnation");
}

/*
 * An instance returns once its check has passed and no router can use it by an
 * older view. The wave notes it first: a planner that ends in between must not
 * reboot it again.
 */
static void
finish_check(fleet_t *fleet, member_table_t *draft, member_instance_t *instance)
{
	const reboot_t *reboot =
	    g_hash_table_lookup(fleet->reboots, instance->id);
	gw_err_t err;

	if (reboot == NULL || !reboot->passed ||
	    strcmp(reboot->incarnation, instance->incarnation) != 0 ||
	    !is_clear(fleet, instance) || !wave_done(fleet, instance))
		return;
	if (member_finish_check(draft, instance, &err) != 0)
		return;
	decision_note(fleet, "return", instance->id, instance->pool,
	    "the check has passed");
}

/*
 * Brings the draft in line with finished reboots and checks.
 */
void
reboot_update(fleet_t *fleet, member_table_t *draft)
{
	for (guint i = 0; i < draft->instances->len; i++) {
		member_instance_t *instance = draft->instances->pdata[i];

		if (instance->state == MEMBER_REBOOTING)
			finish_reboot(fleet, draft, instance);
		else if (instance->state == MEMBER_CHECKING)
			finish_check(fleet, draft, instance);
	}
}
