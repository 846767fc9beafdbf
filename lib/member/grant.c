#include <string.h>

#include "member/grant.h"

/*
 * Returns an empty set of grants for an instance with that many slots.
 */
member_grants_t *
member_grants_new(uint32_t slots)
{
	member_grants_t *grants;

	grants = g_new0(member_grants_t, 1);
	grants->slots = slots;
	grants->grants = g_ptr_array_new_with_free_func(g_free);
	return grants;
}

/*
 * Frees grants; NULL is allowed.
 */
void
member_grants_free(member_grants_t *grants)
{
	if (grants == NULL)
		return;
	g_ptr_array_unref(grants->grants);
	g_free(grants);
}

/*
 * Returns the number of slots that routers may be using.
 */
uint32_t
member_grants_reserved(const member_grants_t *grants)
{
	const member_grant_t *grant;
	uint32_t sum;
	guint i;

	sum = 0;
	for (i = 0; i < grants->grants->len; i++) {
		grant = g_ptr_array_index(grants->grants, i);
		sum += grant->reserved;
	}
	return sum;
}

/*
 * Returns the number of slots that may be granted now. A new planner that still
 * waits for some router's Hello grants none, as that router may hold them.
 */
uint32_t
member_grants_free_slots(const member_grants_t *grants)
{
	uint32_t reserved;

	reserved = member_grants_reserved(grants);
	if (grants->unreported != 0 || reserved >= grants->slots)
		return 0;
	return grants->slots - reserved;
}

/*
 * Returns the router's grant, or NULL.
 */
static member_grant_t *
find(const member_grants_t *grants, const char *node_id)
{
	member_grant_t *grant;
	guint i;

	for (i = 0; i < grants->grants->len; i++) {
		grant = g_ptr_array_index(grants->grants, i);
		if (strcmp(grant->node_id, node_id) == 0)
			return grant;
	}
	return NULL;
}

const member_grant_t *
member_grants_find(const member_grants_t *grants, const char *node_id)
{
	return find(grants, node_id);
}

/*
 * Returns the router's grant; adds an empty one when there is none.
 */
static member_grant_t *
find_or_add(member_grants_t *grants, const char *node_id)
{
	member_grant_t *grant;

	grant = find(grants, node_id);
	if (grant != NULL)
		return grant;
	grant = g_new0(member_grant_t, 1);
	g_strlcpy(grant->node_id, node_id, sizeof(grant->node_id));
	g_ptr_array_add(grants->grants, grant);
	return grant;
}

/*
 * Divides slots among count routers by max-min fairness: no router gets more
 * than it wants, and none could get more without reducing a smaller share.
 */
static void
divide_max_min(
    uint32_t slots, const uint32_t *wanted, uint32_t *shares, uint32_t count)
{
	uint32_t i;
	bool progressed;

	memset(shares, 0, count * sizeof(*shares));
	do {
		progressed = false;
		for (i = 0; i < count && slots > 0; i++) {
			if (shares[i] == wanted[i])
				continue;
			shares[i]++;
			slots--;
			progressed = true;
		}
	} while (progressed && slots > 0);
}

/*
 * Reduces a grant to target; false when it is not above target. The slots stay
 * reserved until the router acknowledges the view.
 */
static bool
reduce(member_grant_t *grant, uint32_t target, uint64_t view_sequence)
{
	if (grant->granted <= target)
		return false;
	grant->granted = target;
	grant->revoked_sequence = view_sequence;
	return true;
}

/*
 * Raises a grant towards target, using the slots that are already reserved for
 * the router and then free ones; false when the grant did not change.
 */
static bool
raise_grant(member_grants_t *grants, member_grant_t *grant, uint32_t target)
{
	uint32_t limit;

	limit = MAX(grant->reserved, grant->granted) +
	    member_grants_free_slots(grants);
	/* No raise while reports are missing or too much is reserved. */
	if (grants->unreported != 0 ||
	    member_grants_reserved(grants) > grants->slots)
		limit = grant->granted;
	target = MIN(target, limit);
	if (grant->granted >= target)
		return false;
	grant->granted = target;
	grant->reserved = MAX(grant->reserved, target);
	return true;
}

/*
 * Divides the slots by what each router wants and grants the free ones. wanted
 * has one count per node id; a router that is not in node_ids wants none.
 * Returns true when a grant changed. Call again after an acknowledgement freed
 * slots.
 */
bool
member_grants_divide(member_grants_t *grants, const GPtrArray *node_ids,
    const uint32_t *wanted, uint64_t view_sequence)
{
	member_grant_t *grant;
	uint32_t *shares;
	bool changed;
	guint i;

	shares = g_new0(uint32_t, node_ids->len + 1);
	divide_max_min(grants->slots, wanted, shares, node_ids->len);
	changed = false;
	for (i = 0; i < grants->grants->len; i++) {
		grant = g_ptr_array_index(grants->grants, i);
		if (!g_ptr_array_find_with_equal_func((GPtrArray *)node_ids,
			grant->node_id, g_str_equal, NULL))
			changed |= reduce(grant, 0, view_sequence);
	}
	for (i = 0; i < node_ids->len; i++) {
		grant = find_or_add(grants, g_ptr_array_index(node_ids, i));
		changed |= reduce(grant, shares[i], view_sequence);
	}
	for (i = 0; i < node_ids->len; i++) {
		grant = find(grants, g_ptr_array_index(node_ids, i));
		changed |= raise_grant(grants, grant, shares[i]);
	}
	g_free(shares);
	return changed;
}

/*
 * Sets the number of the view that carried the router's last reduction, if
 * member_grants_divide() was called with MEMBER_VIEW_UNSENT. Views are numbered
 * per connection, so the number is known only when the view is sent.
 */
void
member_grants_assign_view(
    member_grants_t *grants, const char *node_id, uint64_t view_sequence)
{
	member_grant_t *grant;

	grant = find(grants, node_id);
	if (grant != NULL && grant->revoked_sequence == MEMBER_VIEW_UNSENT)
		grant->revoked_sequence = view_sequence;
}

/*
 * Frees the slots that the router no longer uses. An acknowledgement of a view
 * before the last reduction is ignored. Slots held beyond the grant stay
 * reserved.
 */
void
member_grants_acked(member_grants_t *grants, const char *node_id,
    uint64_t view_sequence, uint32_t held)
{
	member_grant_t *grant;

	grant = find(grants, node_id);
	if (grant == NULL || view_sequence < grant->revoked_sequence)
		return;
	grant->reserved = MAX(grant->granted, MIN(grant->reserved, held));
}

/*
 * Records the slots that a router's Hello reports as held. Views are numbered
 * from first_sequence on the new connection; the acknowledgement of the first
 * one confirms the grant.
 */
void
member_grants_reported(member_grants_t *grants, const char *node_id,
    uint32_t held, uint64_t first_sequence)
{
	member_grant_t *grant;
	uint32_t reserved;

	reserved = member_grants_reserved(grants);
	grant = find(grants, node_id);
	if (grant == NULL) {
		grant = find_or_add(grants, node_id);
		if (reserved < grants->slots)
			grant->granted = MIN(held, grants->slots - reserved);
	}
	grant->reserved = MAX(grant->reserved, MAX(held, grant->granted));
	grant->revoked_sequence = first_sequence;
}

/*
 * Frees all slots of a router that is gone.
 */
void
member_grants_drop(member_grants_t *grants, const char *node_id)
{
	member_grant_t *grant;

	grant = find(grants, node_id);
	if (grant != NULL)
		g_ptr_array_remove_fast(grants->grants, grant);
}

/*
 * Frees all slots of a drained instance.
 */
void
member_grants_reset(member_grants_t *grants)
{
	g_ptr_array_set_size(grants->grants, 0);
	grants->unreported = 0;
}

/*
 * Tells whether a Hello counts as the router's report to this planner. The
 * router must have put the planner's epoch in force before: from then on it
 * ignores a view of an earlier planner that is still in transit, so its grants
 * can't change any more.
 */
bool
member_report_counts(const member_lease_t *lease, uint64_t hello_epoch)
{
	return lease->epoch != 0 && hello_epoch == lease->epoch;
}
