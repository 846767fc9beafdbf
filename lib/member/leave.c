#include "member/member.h"

/*
 * Sets an error about an instance that is not active and returns -1.
 */
static int
wrong_state(gw_err_t *err, const char *step, const member_instance_t *instance)
{
	gw_err_set(err, GW_ERR_CONFLICT, step, instance->id,
	    "instance is %s, not active", member_state_name(instance->state));
	return -1;
}

/*
 * Starts to drain an active instance: for a move or a return to target_pool, or
 * for a reboot (target_pool is NULL). Returns -1 with an error when the
 * instance is not active, or target_pool does not fit the purpose or is the
 * pool that the instance is in.
 */
int
member_begin_leave(member_table_t *table, member_instance_t *instance,
    member_purpose_t purpose, const char *target_pool, gw_err_t *err)
{
	bool has_target;

	if (instance->state != MEMBER_ACTIVE)
		return wrong_state(err, "leave", instance);
	has_target = target_pool != NULL && target_pool[0] != '\0';
	if (purpose == MEMBER_PURPOSE_NONE ||
	    has_target != (purpose != MEMBER_PURPOSE_REBOOT) ||
	    (has_target && g_str_equal(target_pool, instance->pool))) {
		gw_err_set(err, GW_ERR_INVALID, "leave", instance->id,
		    "purpose %s does not fit target pool '%s'",
		    member_purpose_name(purpose),
		    has_target ? target_pool : "");
		return -1;
	}
	table->version++;
	instance->state = MEMBER_LEAVING;
	instance->state_version = table->version;
	instance->purpose = purpose;
	g_strlcpy(instance->target_pool, has_target ? target_pool : "",
	    sizeof(instance->target_pool));
	return 0;
}

/*
 * Makes an active instance time-bound: routers may start work on it only while
 * they have contact with the planner. member_step() confirms the bound once
 * every admitted router has acknowledged it. Does nothing when the instance is
 * already time-bound.
 */
int
member_bind_time(
    member_table_t *table, member_instance_t *instance, gw_err_t *err)
{
	if (instance->state != MEMBER_ACTIVE)
		return wrong_state(err, "bind", instance);
	if (instance->time_bound)
		return 0;
	table->version++;
	instance->time_bound = true;
	instance->bound_confirmed = false;
	instance->bound_version = table->version;
	return 0;
}

/*
 * Clears the time bound of an active instance, so that routers may use it
 * without contact. Later states can't clear it: the planner may rely on the
 * expiry of a router's contact to drain the instance.
 */
int
member_unbind_time(
    member_table_t *table, member_instance_t *instance, gw_err_t *err)
{
	if (instance->state != MEMBER_ACTIVE)
		return wrong_state(err, "unbind", instance);
	if (!instance->time_bound)
		return 0;
	table->version++;
	instance->time_bound = false;
	instance->bound_confirmed = false;
	instance->bound_version = 0;
	return 0;
}

/*
 * Tells whether every admitted router has put the time bound in force and has
 * no request in flight that began before the bound. Such a request is not
 * subject to the hard deadline, so the planner could not tell when it ends.
 */
bool
member_bound_everywhere(const member_table_t *table,
    const member_instance_t *instance, const GPtrArray *contacts)
{
	const member_router_t *router;
	const member_contact_t *contact;
	guint i;

	if (!instance->time_bound)
		return false;
	for (i = 0; i < table->routers->len; i++) {
		router = g_ptr_array_index(table->routers, i);
		contact = member_contact_find(
		    contacts, router->node_id, router->boot_id);
		if (contact == NULL)
			return false;
		if (contact->ended)
			continue;
		if (contact->acked_version < instance->bound_version)
			return false;
		if (g_hash_table_contains(contact->in_flight, instance->id))
			return false;
	}
	return true;
}
