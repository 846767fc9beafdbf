#include "member/member.h"

/*
 * Changes the state from one to another; sets an error and returns -1 when the
 * instance is in a different state.
 */
static int
transition(member_table_t *table, member_instance_t *instance,
    member_state_t from, member_state_t to, gw_err_t *err)
{
	if (instance->state != from) {
		gw_err_set(err, GW_ERR_CONFLICT, "reboot", instance->id,
		    "instance is %s, not %s",
		    member_state_name(instance->state),
		    member_state_name(from));
		return -1;
	}
	table->version++;
	instance->state = to;
	instance->state_version = table->version;
	return 0;
}

/*
 * Records that the platform reports the instance as running after its reboot:
 * rebooting -> checking. The same incarnation as before means that the reboot
 * has not happened yet, which is an error.
 */
int
member_finish_reboot(member_table_t *table, member_instance_t *instance,
    const char *incarnation, gw_err_t *err)
{
	if (g_str_equal(incarnation, instance->incarnation)) {
		gw_err_set(err, GW_ERR_CONFLICT, "reboot", instance->id,
		    "incarnation %s is the one before the reboot", incarnation);
		return -1;
	}
	if (transition(
		table, instance, MEMBER_REBOOTING, MEMBER_CHECKING, err) != 0)
		return -1;
	g_strlcpy(
	    instance->incarnation, incarnation, sizeof(instance->incarnation));
	return 0;
}

/*
 * Records that the instance passed its health check after a reboot:
 * checking -> active.
 */
int
member_finish_check(
    member_table_t *table, member_instance_t *instance, gw_err_t *err)
{
	if (transition(table, instance, MEMBER_CHECKING, MEMBER_ACTIVE, err) !=
	    0)
		return -1;
	instance->purpose = MEMBER_PURPOSE_NONE;
	return 0;
}

/*
 * Marks an instance as ended, after an explicit report of the platform. The
 * entry stays, so that the address is not used for another instance while a
 * router may still send to it; member_step() removes the entry later.
 */
void
member_mark_ended(member_table_t *table, member_instance_t *instance)
{
	if (instance->state == MEMBER_ENDED)
		return;
	table->version++;
	instance->state = MEMBER_ENDED;
	instance->state_version = table->version;
	instance->purpose = MEMBER_PURPOSE_NONE;
	instance->target_pool[0] = '\0';
}

/*
 * Tells whether a router still holds the slots that its Hello reports. If the
 * router's contact expired while the instance left its pool, the slots were
 * freed, but the router's old view still has them.
 */
bool
member_held_slots_current(
    const member_instance_t *instance, uint64_t hello_version)
{
	return instance->state == MEMBER_LEAVING ||
	    hello_version >= instance->state_version;
}
