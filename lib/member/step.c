#include "member/member.h"

typedef bool (*router_predicate_t)(const member_contact_t *,
    const member_lease_t *, const member_instance_t *, uint64_t now_us);

/*
 * Tells whether the predicate holds for every admitted router. It does not hold
 * for a router without a contact.
 */
static bool
holds_for_all_routers(const member_table_t *table,
    const member_instance_t *instance, const GPtrArray *contacts,
    const member_lease_t *lease, router_predicate_t predicate, uint64_t now_us)
{
	const member_router_t *router;
	const member_contact_t *contact;
	guint i;

	for (i = 0; i < table->routers->len; i++) {
		router = g_ptr_array_index(table->routers, i);
		contact = member_contact_find(
		    contacts, router->node_id, router->boot_id);
		if (contact == NULL ||
		    !predicate(contact, lease, instance, now_us))
			return false;
	}
	return true;
}

/*
 * Sets the state of an instance; always true, as the table changed.
 */
static bool
set_state(member_table_t *table, member_instance_t *instance, member_state_t to)
{
	table->version++;
	instance->state = to;
	instance->state_version = table->version;
	return true;
}

/*
 * leaving -> drained, once no router has work on the instance or starts any.
 */
static bool
step_leaving(member_table_t *table, member_instance_t *instance,
    const GPtrArray *contacts, const member_lease_t *lease, uint64_t now_us)
{
	if (!holds_for_all_routers(table, instance, contacts, lease,
		member_router_drained, now_us))
		return false;
	return set_state(table, instance, MEMBER_DRAINED);
}

/*
 * free -> joining, in the target pool.
 */
static bool
step_free(member_table_t *table, member_instance_t *instance)
{
	g_strlcpy(
	    instance->pool, instance->target_pool, sizeof(instance->pool));
	instance->target_pool[0] = '\0';
	return set_state(table, instance, MEMBER_JOINING);
}

/*
 * joining -> active.
 */
static bool
step_joining(member_table_t *table, member_instance_t *instance)
{
	instance->purpose = MEMBER_PURPOSE_NONE;
	return set_state(table, instance, MEMBER_ACTIVE);
}

/*
 * Confirms the time bound of an active instance.
 */
static bool
step_active(member_table_t *table, member_instance_t *instance,
    const GPtrArray *contacts)
{
	if (instance->bound_confirmed ||
	    !member_bound_everywhere(table, instance, contacts))
		return false;
	table->version++;
	instance->bound_confirmed = true;
	return true;
}

/*
 * Removes an ended instance once no router starts requests to its address.
 */
static bool
step_ended(member_table_t *table, member_instance_t *instance,
    const GPtrArray *contacts, const member_lease_t *lease, uint64_t now_us)
{
	if (!holds_for_all_routers(table, instance, contacts, lease,
		member_router_stopped, now_us))
		return false;
	table->version++;
	(void)member_table_remove(table, instance->id);
	return true;
}

/*
 * Advances one instance by one state transition, if its condition holds now;
 * true when the table changed. table is a copy of the stored table, and the
 * caller writes it to the store. contacts and lease are what the planner knows
 * of the routers and of its own lease. An ended instance may be removed and
 * freed here. Returns false when the table does not have the planner's epoch or
 * the lease has expired.
 */
bool
member_step(member_table_t *table, member_instance_t *instance,
    GPtrArray *contacts, const member_lease_t *lease, uint64_t now_us)
{
	if (table->epoch != lease->epoch || !member_lease_valid(lease, now_us))
		return false;
	switch (instance->state) {
	case MEMBER_ACTIVE:
		return step_active(table, instance, contacts);
	case MEMBER_LEAVING:
		return step_leaving(table, instance, contacts, lease, now_us);
	case MEMBER_DRAINED:
		return set_state(table, instance,
		    instance->purpose == MEMBER_PURPOSE_REBOOT
			? MEMBER_REBOOTING
			: MEMBER_FREE);
	case MEMBER_FREE:
		return step_free(table, instance);
	case MEMBER_JOINING:
		return step_joining(table, instance);
	case MEMBER_ENDED:
		return step_ended(table, instance, contacts, lease, now_us);
	case MEMBER_REBOOTING:
	case MEMBER_CHECKING:
		break;
	}
	return false;
}
