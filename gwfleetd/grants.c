#include <string.h>

#include "fleet_state.h"
#include "grants.h"
#include "gw/log.h"
#include "view.h"

/*
 * Frees an instance's grants. Takes void * to serve as a GDestroyNotify.
 */
void
instance_grants_free(void *ptr)
{
	instance_grants_t *entry = ptr;

	member_grants_free(entry->grants);
	g_free(entry);
}

/*
 * Returns the grants of an instance, made on first use.
 */
static instance_grants_t *
entry_of(fleet_t *fleet, const member_instance_t *instance)
{
	instance_grants_t *entry;

	entry = g_hash_table_lookup(fleet->grants, instance->id);
	if (entry != NULL)
		return entry;
	entry = g_new0(instance_grants_t, 1);
	entry->grants = member_grants_new(instance->slots);
	g_hash_table_insert(fleet->grants, g_strdup(instance->id), entry);
	return entry;
}

/*
 * Returns the slots of an instance that a router may use.
 */
uint32_t
grants_of(const fleet_t *fleet, const char *instance_id, const char *key)
{
	const instance_grants_t *entry;
	const member_grant_t *grant;

	entry = g_hash_table_lookup(fleet->grants, instance_id);
	if (entry == NULL)
		return 0;
	grant = member_grants_find(entry->grants, key);
	return grant == NULL ? 0 : grant->granted;
}

/*
 * Starts a term: what the routers hold of each instance is known only from
 * their Hello.
 */
void
grants_inherit(fleet_t *fleet)
{
	g_hash_table_remove_all(fleet->grants);
	fleet->inherited = fleet->routers->len > 0;
	for (guint i = 0; i < fleet->table->instances->len; i++) {
		instance_grants_t *entry =
		    entry_of(fleet, fleet->table->instances->pdata[i]);

		entry->inherited = fleet->inherited;
		entry->grants->unreported = fleet->routers->len;
	}
}

/*
 * Takes the slots that a router reports to hold on a new connection. Views are
 * numbered over all connections, so that the next one's acknowledgement
 * confirms the grants.
 */
void
grants_import(fleet_t *fleet, const router_t *router, const session_t *session)
{
	GHashTableIter iter;
	gpointer id, value;

	g_hash_table_iter_init(&iter, session->held);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const member_instance_t *instance =
		    member_table_find(fleet->table, id);
		const held_t *held = value;

		if (instance == NULL || held->slots == 0 ||
		    !member_held_slots_current(
			instance, session->hello_version))
			continue;
		member_grants_reported(entry_of(fleet, instance)->grants,
		    router->key, held->slots, fleet->view_sequence + 1);
	}
}

/*
 * Frees the slots that a router gave up with the acknowledged view. It may
 * still hold what it has in flight.
 */
void
grants_acked(fleet_t *fleet, const router_t *router, const Gw__Ack *ack)
{
	GHashTableIter iter;
	gpointer id, value;

	g_hash_table_iter_init(&iter, fleet->grants);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		uint32_t held = GPOINTER_TO_UINT(
		    g_hash_table_lookup(router->contact.in_flight, id));

		member_grants_acked(((instance_grants_t *)value)->grants,
		    router->key, ack->view_sequence, held);
	}
}

/*
 * Frees all slots of a router that is gone.
 */
void
grants_drop_router(fleet_t *fleet, const router_t *router)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		member_grants_drop(
		    ((instance_grants_t *)value)->grants, router->key);
}

/*
 * Tells whether the step from one table to the next shows that no router held
 * slots of the instance: it was out of service and is past that state.
 */
static bool
was_drained(const member_instance_t *before, const member_instance_t *after)
{
	return (before->state == MEMBER_LEAVING ||
		   before->state == MEMBER_CHECKING) &&
	    after->state != before->state && after->state != MEMBER_ENDED;
}

/*
 * Frees all slots of the instances that the new table shows as drained.
 */
void
grants_reset_drained(
    fleet_t *fleet, const member_table_t *before, const member_table_t *after)
{
	for (guint i = 0; i < before->instances->len; i++) {
		const member_instance_t *old = before->instances->pdata[i];
		const member_instance_t *now =
		    member_table_find(after, old->id);
		instance_grants_t *entry =
		    g_hash_table_lookup(fleet->grants, old->id);

		if (now == NULL || entry == NULL || !was_drained(old, now))
			continue;
		member_grants_reset(entry->grants);
		entry->inherited = false;
	}
}

/*
 * Counts the routers that may hold slots which they have not reported to this
 * planner.
 */
static uint32_t
count_unreported(const fleet_t *fleet)
{
	uint64_t now_us = fleet_now_us(fleet);
	uint32_t count = 0;

	for (guint i = 0; i < fleet->routers->len; i++) {
		const router_t *router = fleet->routers->pdata[i];

		if (!router->reported &&
		    !member_router_gone(&router->contact, now_us))
			count++;
	}
	return count;
}

static uint32_t
wanted_slots(const router_t *router, const char *pool)
{
	const router_demand_t *demand =
	    g_hash_table_lookup(router->demand, pool);

	return demand == NULL ? 0 : demand->slots_wanted;
}

/*
 * Divides the slots of an active instance by demand. While there are enough
 * slots each router gets one, so that it can start a request without waiting
 * for the planner; the rest goes out in proportion, and what rounding leaves
 * over goes to the routers in turn, beginning at another one for each instance.
 */
static void
divide_by_demand(const GPtrArray *routers, const member_instance_t *instance,
    uint32_t turn, uint32_t *shares)
{
	uint32_t count = routers->len, left = instance->slots, rest, total = 0;

	if (count == 0)
		return;
	for (uint32_t i = 0; i < count; i++) {
		shares[i] = left >= count ? 1 : 0;
		total += wanted_slots(routers->pdata[i], instance->pool);
	}
	left -= left >= count ? count : 0;
	rest = left;
	for (uint32_t i = 0; i < count && total > 0; i++) {
		uint32_t part = (uint32_t)((uint64_t)left *
		    wanted_slots(routers->pdata[i], instance->pool) / total);

		shares[i] += part;
		rest -= part;
	}
	for (uint32_t i = 0; rest > 0; i = (i + 1) % count, rest--)
		shares[(turn + i) % count]++;
}

/*
 * Sets the wanted shares of one instance; true when a grant changed. Slots of
 * an instance that routers do not use are not granted.
 */
static bool
divide_one(fleet_t *fleet, const member_instance_t *instance,
    const GPtrArray *routers, const GPtrArray *keys, uint32_t turn)
{
	uint32_t *shares = g_new0(uint32_t, routers->len + 1);
	instance_grants_t *entry = entry_of(fleet, instance);
	bool changed;

	if (instance->state == MEMBER_ACTIVE)
		divide_by_demand(routers, instance, turn, shares);
	changed = member_grants_divide(
	    entry->grants, keys, shares, fleet->view_sequence);
	g_free(shares);
	return changed;
}

static bool
divide_all(fleet_t *fleet)
{
	g_autoptr(GPtrArray) routers = g_ptr_array_new();
	g_autoptr(GPtrArray) keys = g_ptr_array_new();
	bool changed = false;

	for (guint i = 0; i < fleet->routers->len; i++) {
		router_t *router = fleet->routers->pdata[i];

		if (router->contact.ended)
			continue;
		g_ptr_array_add(routers, router);
		g_ptr_array_add(keys, router->key);
	}
	fleet->view_sequence++;
	for (guint i = 0; i < fleet->table->instances->len; i++)
		changed = divide_one(fleet, fleet->table->instances->pdata[i],
			      routers, keys, i) ||
		    changed;
	return changed;
}

/*
 * Drops the grants of instances that the table no longer lists.
 */
static void
drop_gone(fleet_t *fleet)
{
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, fleet->grants);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		if (member_table_find(fleet->table, id) == NULL)
			g_hash_table_iter_remove(&iter);
}

/*
 * Tells the grants how many routers have not reported. While there are any,
 * the instances of the earlier planner's table keep the grants that are known.
 */
static void
update_unreported(fleet_t *fleet)
{
	uint32_t count = count_unreported(fleet);
	GHashTableIter iter;
	gpointer value;

	if (!fleet->inherited)
		return;
	g_hash_table_iter_init(&iter, fleet->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		instance_grants_t *entry = value;

		entry->grants->unreported = entry->inherited ? count : 0;
	}
	if (count > 0)
		return;
	fleet->inherited = false;
	gw_log(GW_EV_GRANTS_KNOWN, "routers=%u", fleet->routers->len);
}

static void
drop_gone_routers(fleet_t *fleet)
{
	uint64_t now_us = fleet_now_us(fleet);

	for (guint i = 0; i < fleet->routers->len; i++) {
		const router_t *router = fleet->routers->pdata[i];

		if (member_router_gone(&router->contact, now_us))
			grants_drop_router(fleet, router);
	}
}

/*
 * Lets the grants follow the demand, and sends what changed.
 */
void
grants_tick(fleet_t *fleet)
{
	uint64_t now_us = fleet_now_us(fleet);
	uint64_t wait_ms =
	    fleet->grants_dirty ? GRANTS_DIVIDE_MS : GRANTS_IDLE_MS;

	if (now_us < fleet->grants_divided_us + wait_ms * GW_US_PER_MS)
		return;
	fleet->grants_dirty = false;
	fleet->grants_divided_us = now_us;
	drop_gone(fleet);
	drop_gone_routers(fleet);
	update_unreported(fleet);
	if (divide_all(fleet))
		views_send(fleet);
}
