#include <string.h>

#include "fleet_state.h"
#include "placement.h"
#include "reboot.h"
#include "router.h"
#include "wave.h"

/*
 * Returns the progress of an instance, created on first use.
 */
static reboot_t *
find_or_add_reboot(fleet_t *fleet, const char *instance_id)
{
	reboot_t *reboot = g_hash_table_lookup(fleet->reboots, instance_id);

	if (reboot != NULL)
		return reboot;
	reboot = g_new0(reboot_t, 1);
	g_hash_table_insert(fleet->reboots, g_strdup(instance_id), reboot);
	return reboot;
}

/*
 * Requests the reboot from the platform. The operation id is the same for
 * every planner and every repetition, so that the instance reboots once.
 */
static void
request_reboot(fleet_t *fleet, const member_instance_t *instance)
{
	char operation[2 * GW_NAME_BYTES];

	(void)g_snprintf(operation, sizeof(operation),
	    "reboot-%s-%" G_GUINT64_FORMAT, instance->incarnation,
	    instance->state_version);
	fleet->ops->reboot(fleet->ctx, instance->id, operation);
}

/*
 * Returns true when no router can use the instance or has a request on it.
 */
static bool
is_released_by_routers(const fleet_t *fleet, const member_instance_t *instance)
{
	uint64_t now_us = fleet_now_us(fleet);

	for (guint i = 0; i < fleet->routers->len; i++)
		if (!member_router_drained(fleet->routers->pdata[i],
			&fleet->election.lease, instance, now_us))
			return false;
	return true;
}

/*
 * Sends the reboot and check requests that are due, and frees the progress of
 * instances that are past both states.
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
		reboot = find_or_add_reboot(fleet, instance->id);
		if (now_us <
		    reboot->requested_us + REBOOT_RETRY_MS * GW_US_PER_MS)
			continue;
		reboot->requested_us = now_us;
		if (instance->state == MEMBER_REBOOTING)
			request_reboot(fleet, instance);
		else if (!reboot->passed)
			fleet->ops->check(fleet->ctx, instance);
	}
}

/*
 * Records the result of a check, and halts the instance's wave when too many
 * have failed. A result for another incarnation is ignored.
 */
void
reboot_handle_check(fleet_t *fleet, const fleet_msg_t *msg)
{
	const member_instance_t *instance =
	    member_table_find(fleet->table, msg->instance_id);
	reboot_t *reboot;

	if (instance == NULL || instance->state != MEMBER_CHECKING ||
	    strcmp(instance->incarnation, msg->incarnation) != 0)
		return;
	reboot = find_or_add_reboot(fleet, instance->id);
	if (strcmp(reboot->incarnation, instance->incarnation) != 0) {
		g_strlcpy(reboot->incarnation, instance->incarnation,
		    sizeof(reboot->incarnation));
		reboot->checks_failed = 0;
	}
	reboot->passed = msg->err == NULL;
	fleet->table_dirty = true;
	if (reboot->passed)
		return;
	reboot->checks_failed++;
	if (reboot->checks_failed == REBOOT_FAILED_CHECKS_MAX) {
		decision_log(fleet, "check-failed", instance->id,
		    instance->pool, msg->err->text);
		wave_record_failed(fleet, instance->id);
	}
}

/*
 * Moves the instance on to CHECKING when the platform lists a new incarnation
 * as live.
 */
static void
finish_reboot(
    fleet_t *fleet, member_table_t *draft, member_instance_t *instance)
{
	const platform_instance_t *listed =
	    placement_find_listed(fleet, instance->id);
	gw_err_t err;

	if (listed == NULL || listed->state != PLATFORM_LIVE ||
	    strcmp(listed->incarnation, instance->incarnation) == 0)
		return;
	if (member_finish_reboot(draft, instance, listed->incarnation, &err) !=
	    0)
		return;
	decision_log(fleet, "rebooted", instance->id, instance->pool,
	    "the platform lists a new incarnation");
}

/*
 * Returns an instance to service when its check has passed and no router can
 * use it on the strength of an older view. Its wave is stored first: otherwise
 * the next planner would reboot it again if this one ended in between.
 */
static void
finish_check(fleet_t *fleet, member_table_t *draft, member_instance_t *instance)
{
	const reboot_t *reboot =
	    g_hash_table_lookup(fleet->reboots, instance->id);
	gw_err_t err;

	if (reboot == NULL || !reboot->passed ||
	    strcmp(reboot->incarnation, instance->incarnation) != 0 ||
	    !is_released_by_routers(fleet, instance) ||
	    !wave_record_done(fleet, instance))
		return;
	if (member_finish_check(draft, instance, &err) != 0)
		return;
	decision_log(fleet, "return", instance->id, instance->pool,
	    "the check has passed");
}

/*
 * Updates the draft with finished reboots and checks.
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
