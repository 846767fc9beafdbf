#include "member/member.h"

/*
 * Returns the lowest table version that a router must have in force before its
 * heartbeats are answered. A router whose contact expired may come back with a
 * view in which an instance is still active in its old pool, and renewed
 * contact would let the router use the instance there.
 */
uint64_t
member_answer_floor(const member_table_t *table)
{
	const member_instance_t *instance;
	uint64_t floor;
	guint i;

	floor = 0;
	for (i = 0; i < table->instances->len; i++) {
		instance = g_ptr_array_index(table->instances, i);
		if (instance->state_version > floor)
			floor = instance->state_version;
	}
	return floor;
}

/*
 * Tells whether the planner may answer a heartbeat of a router that has the
 * given table version in force. The planner must hold its lease and have
 * stored the table with its own epoch. Before that, a write of the previous
 * planner may still succeed which assumes that the router's contact has
 * expired, and the answer would renew that contact.
 */
bool
member_may_answer(const member_lease_t *lease, const member_table_t *table,
    uint64_t heartbeat_version, uint64_t now_us)
{
	if (!member_lease_valid(lease, now_us))
		return false;
	if (table->epoch != lease->epoch)
		return false;
	return heartbeat_version >= member_answer_floor(table);
}
