#include "member/member.h"

/*
 * Changes the state if it is the expected one; else sets an error.
 */
static int
change(member_table_t *table, member_instance_t *instance, member_state_t from,
    member_state_t to, gw_err_t *err)
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
 * The platform reports the instance live again after its reboot. It must be a
 * new incarnation, otherwise the reboot has not happened yet.
 */
int
member_reboot_done(member_table_t *table, member_instance_t *instance,
    const char *incarnation, gw_err_t *err)
{
	if (g_str_equal(incarnation, instance->incarnation)) {
		gw_err_set(err, GW_ERR_CONFLICT, "reboot", instance->id,
		    "incarnation %s is the one before the reboot", incarnation);
		return -1;
	}
	if (change(table, instance, MEMBER_REBOOTING, MEMBER_CHECKING, err) !=
	    0)
		return -1;
	g_strlcpy(
	    instance->incarnation, incarnation, sizeof(instance->incarnation));
	return 0;
}

/*
 * The instance passed its check after a reboot and is active in its pool.
 */
int
member_check_passed(
    member_table_t *table, member_instance_t *instance, gw_err_t *err)
{
	if (change(table, instance, MEMBER_CHECKING, MEMBER_ACTIVE, err) != 0)
		return -1;
	instance->purpose = MEMBER_FOR_NONE;
	return 0;
}

/*
 * The platform reported explicitly that the instance ended. The entry stays,
 * so that its address is not used for another instance while a router may
 * still send to it; member_step() removes it.
 */
void
member_instance_ended(member_table_t *table, member_instance_t *instance)
{
	if (instance->state == MEMBER_ENDED)
		return;
	table->version++;
	instance->state = MEMBER_ENDED;
	instance->state_version = table->version;
	instance->purpose = MEMBER_FOR_NONE;
	instance->target_pool[0] = '\0';
}

/*
 * Tells whether slots that a router reports in its Hello are still its own. A
 * router that was waited out while the instance left reports slots of the
 * instance's earlier membership; those were freed.
 */
bool
member_held_counts(const member_instance_t *instance, uint64_t hello_version)
{
	return instance->state == MEMBER_LEAVING ||
	    hello_version >= instance->state_version;
}
