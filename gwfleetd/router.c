#include <string.h>

#include "fleet_state.h"
#include "grants.h"
#include "gw/log.h"
#include "router.h"
#include "view.h"

/*
 * Formats the key of a router process. It has the boot id, because two
 * processes of one node hold separate grants.
 */
void
router_format_key(
    char key[GW_NAME_BYTES], const char *node_id, uint64_t boot_id)
{
	(void)g_snprintf(key, GW_NAME_BYTES, "%.46s/%016" G_GINT64_MODIFIER "x",
	    node_id, boot_id);
}

/*
 * Returns a new router without reports.
 */
router_t *
router_new(const char *node_id, uint64_t boot_id)
{
	router_t *router;

	router = g_new0(router_t, 1);
	g_strlcpy(
	    router->contact.node_id, node_id, sizeof(router->contact.node_id));
	router->contact.boot_id = boot_id;
	router->contact.in_flight =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	router_format_key(router->key, node_id, boot_id);
	router->demand =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return router;
}

/*
 * Frees a router. Takes void * to serve as a GDestroyNotify.
 */
void
router_free(void *ptr)
{
	router_t *router = ptr;

	g_hash_table_destroy(router->contact.in_flight);
	g_hash_table_destroy(router->demand);
	g_free(router);
}

/*
 * Returns the router process if the table lists it, or NULL.
 */
router_t *
router_find(const fleet_t *fleet, const char *node_id, uint64_t boot_id)
{
	for (guint i = 0; i < fleet->routers->len; i++) {
		router_t *router = fleet->routers->pdata[i];

		if (router->contact.boot_id == boot_id &&
		    strcmp(router->contact.node_id, node_id) == 0)
			return router;
	}
	return NULL;
}

/*
 * Returns the newest connection of a router, or NULL.
 */
session_t *
router_session(const fleet_t *fleet, const router_t *router)
{
	for (guint i = fleet->sessions->len; i > 0; i--) {
		session_t *session = fleet->sessions->pdata[i - 1];

		if (session->role == GW__ROLE__ROLE_ROUTER &&
		    strcmp(session->key, router->key) == 0)
			return session;
	}
	return NULL;
}

/*
 * Handles a router's Hello with the slots that it holds. A planner learns of
 * its predecessor's grants only from these reports. A report is certain once
 * the router has acknowledged a view of this planner: until then a late view
 * of the previous planner may change the slots.
 */
void
router_hello(fleet_t *fleet, session_t *session)
{
	router_t *router;

	router = router_find(fleet, session->node_id, session->boot_id);
	fleet->table_dirty = true;
	fleet->grants_dirty = true;
	if (router == NULL || !fleet->claimed)
		return;
	router->imported = true;
	grants_import(fleet, router, session);
}

/*
 * Records the router's current view and requests in flight, from an Ack or a
 * heartbeat. Returns false when the report is older than the last one.
 */
static bool
apply_report(router_t *router, const session_t *session, uint64_t epoch,
    uint64_t version, Gw__InstanceInFlight *const *list, size_t count)
{
	g_autoptr(GHashTable) in_flight =
	    g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < count; i++)
		g_hash_table_replace(in_flight, list[i]->instance_id,
		    GUINT_TO_POINTER(list[i]->in_flight));
	return member_contact_acked(
	    &router->contact, session->boot_id, epoch, version, in_flight);
}

/*
 * Records the demand for the pools that the heartbeat names. A router names a
 * pool only when its demand changes, so the demand for the others is kept.
 */
static void
update_demand(fleet_t *fleet, router_t *router, const Gw__Heartbeat *heartbeat)
{
	router_demand_t *demand;

	for (size_t i = 0; i < heartbeat->n_demand; i++) {
		const Gw__PoolDemand *from = heartbeat->demand[i];

		demand = g_hash_table_lookup(router->demand, from->pool);
		if (demand == NULL) {
			demand = g_new0(router_demand_t, 1);
			demand->refused_last_round = from->refused;
			g_hash_table_insert(
			    router->demand, g_strdup(from->pool), demand);
		}
		demand->queued = from->queued;
		demand->in_flight = from->in_flight;
		if (demand->slots_wanted != from->slots_wanted)
			fleet->grants_dirty = true;
		demand->slots_wanted = from->slots_wanted;
		demand->refused = from->refused;
	}
}

/*
 * Sends a full view again after the first Contact on a connection. A router
 * accepts grants only from the gwfleetd that it has received a Contact from,
 * so it ignored the grants of earlier views.
 */
static void
begin_grants(fleet_t *fleet, session_t *session)
{
	if (session->grants_from != 0)
		return;
	session->grants_from = fleet->view_sequence + 1;
	session->sent_any = false;
	view_send(fleet, session);
}

/*
 * Handles a heartbeat. It is answered with a Contact only by the planner,
 * within its lease, and after it has claimed the table. The time of the answer
 * is recorded before it is sent: the router may rely on the contact from then
 * on.
 */
void
router_heartbeat(
    fleet_t *fleet, session_t *session, const Gw__Heartbeat *heartbeat)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__Contact contact = GW__CONTACT__INIT;
	uint64_t now_us = fleet_now_us(fleet);
	router_t *router;

	router = router_find(fleet, session->node_id, session->boot_id);
	if (!fleet->claimed || router == NULL)
		return;
	router->heartbeat_us = now_us;
	update_demand(fleet, router, heartbeat);
	if (heartbeat->table_version != 0)
		(void)apply_report(router, session, heartbeat->epoch,
		    heartbeat->table_version, heartbeat->leaving,
		    heartbeat->n_leaving);
	if (!member_may_answer(&fleet->election.lease, fleet->table,
		heartbeat->table_version, now_us)) {
		fleet->metrics.contacts_refused->value++;
		return;
	}
	member_contact_answered(&router->contact, now_us);
	contact.epoch = fleet->election.lease.epoch;
	contact.sequence = heartbeat->sequence;
	envelope.body_case = GW__ENVELOPE__BODY_CONTACT;
	envelope.contact = &contact;
	fleet->metrics.contacts->value++;
	(void)fleet->ops->send(fleet->ctx, session->link, &envelope);
	begin_grants(fleet, session);
}

/*
 * Handles a router's acknowledgement that a view or a generation is in force
 * there. The view in an acknowledgement older than the last is ignored.
 */
void
router_ack(fleet_t *fleet, session_t *session, const Gw__Ack *ack)
{
	router_t *router;

	router = router_find(fleet, session->node_id, session->boot_id);
	if (!fleet->claimed || router == NULL)
		return;
	router->generation = MAX(router->generation, ack->generation);
	fleet->table_dirty = true;
	fleet->grants_dirty = true;
	if (!apply_report(router, session, ack->epoch, ack->table_version,
		ack->leaving, ack->n_leaving))
		return;
	if (ack->epoch != fleet->election.lease.epoch ||
	    session->grants_from == 0 ||
	    ack->view_sequence < session->grants_from)
		return;
	router->reported = router->reported || router->imported;
	grants_release_acked(fleet, router, ack);
}

/*
 * Clears the demand of a router whose last connection is gone; the router
 * reports all of its demand again when it reconnects.
 */
void
router_disconnected(fleet_t *fleet, router_t *router)
{
	if (router_session(fleet, router) != NULL)
		return;
	g_hash_table_remove_all(router->demand);
	fleet->grants_dirty = true;
}

/*
 * Marks a router as ended. Without a Goodbye, routers that it sponsored may
 * still use its slots for a while; the slots stay reserved for that time.
 */
void
router_mark_ended(
    fleet_t *fleet, router_t *router, bool said_goodbye, const char *reason)
{
	if (router->contact.ended &&
	    (!said_goodbye || router->contact.ended_us == 0))
		return;
	member_contact_ended(
	    &router->contact, said_goodbye, fleet_now_us(fleet));
	g_hash_table_add(fleet->ended_router_keys, g_strdup(router->key));
	gw_log(GW_EV_ROUTER_ENDED,
	    "node=%s boot=%016" G_GINT64_MODIFIER "x reason=\"%s\"",
	    router->contact.node_id, router->contact.boot_id, reason);
}

/*
 * Handles a router's Goodbye: it has drained and ends.
 */
void
router_goodbye(fleet_t *fleet, session_t *session, const Gw__Goodbye *goodbye)
{
	router_t *router;

	if (goodbye->boot_id != session->boot_id)
		return;
	g_hash_table_add(fleet->ended_router_keys, g_strdup(session->key));
	fleet->table_dirty = true;
	router = router_find(fleet, session->node_id, session->boot_id);
	if (router != NULL)
		router_mark_ended(fleet, router, true, "Goodbye");
}

/*
 * Marks the earlier processes of a node as ended. A router binds the node's
 * port before it sends its Hello, so the earlier processes are gone by then.
 */
static void
end_previous_processes(fleet_t *fleet, const session_t *session)
{
	for (guint i = 0; i < fleet->routers->len; i++) {
		router_t *router = fleet->routers->pdata[i];

		if (router->contact.boot_id != session->boot_id &&
		    strcmp(router->contact.node_id, session->node_id) == 0)
			router_mark_ended(fleet, router, false,
			    "its node has started another process");
	}
}

/*
 * Updates the draft: lists the routers that have connected, and removes those
 * that have ended and can no longer use an instance.
 */
void
routers_update(fleet_t *fleet, member_table_t *draft)
{
	uint64_t now_us = fleet_now_us(fleet);

	for (guint i = 0; i < fleet->routers->len; i++) {
		const router_t *router = fleet->routers->pdata[i];

		(void)member_remove_router(draft, &router->contact, now_us);
	}
	for (guint i = 0; i < fleet->sessions->len; i++) {
		const session_t *session = fleet->sessions->pdata[i];

		if (session->role != GW__ROLE__ROLE_ROUTER ||
		    session->closing ||
		    g_hash_table_contains(
			fleet->ended_router_keys, session->key))
			continue;
		end_previous_processes(fleet, session);
		(void)member_admit_router(
		    draft, session->node_id, session->boot_id);
	}
}

/*
 * Updates fleet->routers from the table that is now in the store. A router
 * that this planner's table admits for the first time holds no slots, so it
 * counts as reported.
 */
void
routers_sync(fleet_t *fleet)
{
	for (guint i = fleet->routers->len; i > 0; i--) {
		const router_t *router = fleet->routers->pdata[i - 1];

		if (member_router_admitted(fleet->table,
			router->contact.node_id, router->contact.boot_id))
			continue;
		grants_drop_router(fleet, router);
		g_ptr_array_remove_index(fleet->routers, i - 1);
	}
	for (guint i = 0; i < fleet->table->routers->len; i++) {
		const member_router_t *from = fleet->table->routers->pdata[i];
		router_t *router;

		if (router_find(fleet, from->node_id, from->boot_id) != NULL)
			continue;
		router = router_new(from->node_id, from->boot_id);
		router->reported = fleet->claimed;
		g_ptr_array_add(fleet->routers, router);
		if (fleet->claimed)
			gw_log(GW_EV_ROUTER_ADMITTED,
			    "node=%s boot=%016" G_GINT64_MODIFIER "x",
			    from->node_id, from->boot_id);
	}
}
