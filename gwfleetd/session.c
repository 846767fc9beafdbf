#include <string.h>

#include "fleet_state.h"
#include "gw/log.h"
#include "peer.h"
#include "router.h"
#include "session.h"
#include "view.h"
#include "wire/frame.h"

/*
 * Frees a session. Takes void * to serve as a GDestroyNotify.
 */
void
session_free(void *ptr)
{
	session_t *session = ptr;

	g_hash_table_destroy(session->held);
	g_hash_table_destroy(session->sent);
	g_free(session);
}

/*
 * Returns the session of the connection, or NULL.
 */
session_t *
session_find(const fleet_t *fleet, const fleet_link_t *link)
{
	for (guint i = 0; i < fleet->sessions->len; i++) {
		session_t *session = fleet->sessions->pdata[i];

		if (session->link == link)
			return session;
	}
	return NULL;
}

static void
send_hello(fleet_t *fleet, session_t *session)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__Hello hello = GW__HELLO__INIT;

	hello.protocol = GW_PROTOCOL_VERSION;
	hello.node_id = fleet->config.node_id;
	hello.boot_id = fleet->config.boot_id;
	hello.role = GW__ROLE__ROLE_FLEET;
	hello.data_centre = fleet->config.data_centre;
	hello.generation = generation_held(fleet);
	hello.epoch = fleet->table == NULL ? 0 : fleet->table->epoch;
	hello.table_version = fleet->table == NULL ? 0 : fleet->table->version;
	envelope.body_case = GW__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	(void)fleet->ops->send(fleet->ctx, session->link, &envelope);
}

/*
 * Starts a session. The side that made the connection sends Hello first.
 */
void
session_open(fleet_t *fleet, const fleet_msg_t *msg)
{
	session_t *session;

	session = g_new0(session_t, 1);
	session->link = msg->link;
	session->dialed = msg->dialed;
	session->held =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	session->sent =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(fleet->sessions, session);
	if (session->dialed)
		send_hello(fleet, session);
}

/*
 * Frees the session of a closed connection. If the peer was the planner, the
 * election record is read without waiting for ELECTION_PLANNER_TIMEOUT_MS.
 */
void
session_closed(fleet_t *fleet, const fleet_msg_t *msg)
{
	session_t *session = session_find(fleet, msg->link);
	router_t *router;

	if (session == NULL)
		return;
	if (session->role == GW__ROLE__ROLE_FLEET &&
	    strcmp(session->node_id, fleet->planner_id) == 0)
		fleet->planner_seen_us = 0;
	router = router_find(fleet, session->node_id, session->boot_id);
	g_ptr_array_remove(fleet->sessions, session);
	if (router != NULL)
		router_disconnected(fleet, router);
}

/*
 * Closes a connection because the peer violated the protocol.
 */
void
session_refuse(fleet_t *fleet, session_t *session, const char *reason)
{
	gw_log(GW_EV_PEER_REFUSED, "node=%s reason=\"%s\"", session->node_id,
	    reason);
	session_close(fleet, session);
}

/*
 * Closes a connection. Messages that still arrive on it are ignored.
 */
void
session_close(fleet_t *fleet, session_t *session)
{
	session->closing = true;
	fleet->ops->close(fleet->ctx, session->link);
}

static const char *
check_hello(const fleet_t *fleet, const Gw__Hello *hello)
{
	if (hello->protocol != GW_PROTOCOL_VERSION)
		return "unknown protocol version";
	if (strcmp(hello->data_centre, fleet->config.data_centre) != 0)
		return "peer is of another data centre";
	if (hello->node_id[0] == '\0' ||
	    strlen(hello->node_id) > GW_NAME_BYTES - 18)
		return "the node id is empty or too long";
	if (hello->role != GW__ROLE__ROLE_ROUTER &&
	    hello->role != GW__ROLE__ROLE_FLEET)
		return "unknown role";
	return NULL;
}

static void
decode_held_slots(session_t *session, const Gw__Hello *hello)
{
	held_slots_t *held;

	g_hash_table_remove_all(session->held);
	for (size_t i = 0; i < hello->n_held; i++) {
		const Gw__InstanceInFlight *from = hello->held[i];

		held = g_new0(held_slots_t, 1);
		g_strlcpy(held->incarnation, from->incarnation,
		    sizeof(held->incarnation));
		held->slots = MAX(from->slots_held, from->in_flight);
		g_hash_table_replace(
		    session->held, g_strdup(from->instance_id), held);
	}
}

/*
 * Replies to a Hello with Hello (unless this side sent it first), the manifest
 * sections that the peer lacks and, to a router, a full view.
 */
static void
on_hello(fleet_t *fleet, session_t *session, const Gw__Hello *hello)
{
	const char *problem = check_hello(fleet, hello);

	if (problem != NULL) {
		session_refuse(fleet, session, problem);
		return;
	}
	session->role = hello->role;
	session->boot_id = hello->boot_id;
	session->generation = hello->generation;
	session->hello_version = hello->table_version;
	g_strlcpy(session->node_id, hello->node_id, sizeof(session->node_id));
	router_key(session->key, hello->node_id, hello->boot_id);
	decode_held_slots(session, hello);
	if (!session->dialed)
		send_hello(fleet, session);
	generation_send(fleet, session->link, session->generation);
	session->generation = MAX(session->generation, generation_held(fleet));
	if (session->role == GW__ROLE__ROLE_ROUTER) {
		gw_log(GW_EV_ROUTER_HELLO,
		    "node=%s boot=%016" G_GINT64_MODIFIER
		    "x generation=%" G_GUINT64_FORMAT " held=%zu",
		    session->node_id, session->boot_id, hello->generation,
		    hello->n_held);
		router_hello(fleet, session);
		session->sent_any = false;
		view_send(fleet, session);
	} else {
		gw_log(GW_EV_PEER_HELLO, "node=%s", session->node_id);
	}
}

/*
 * Dispatches a router's message.
 */
static void
router_message(fleet_t *fleet, session_t *session, const Gw__Envelope *envelope)
{
	switch (envelope->body_case) {
	case GW__ENVELOPE__BODY_HEARTBEAT:
		router_heartbeat(fleet, session, envelope->heartbeat);
		break;
	case GW__ENVELOPE__BODY_ACK:
		router_ack(fleet, session, envelope->ack);
		break;
	case GW__ENVELOPE__BODY_OUTCOME:
		break;
	case GW__ENVELOPE__BODY_GOODBYE:
		router_goodbye(fleet, session, envelope->goodbye);
		break;
	case GW__ENVELOPE__BODY_SECTIONS:
		generation_receive_sections(fleet, envelope->sections);
		break;
	default:
		session_refuse(fleet, session, "unexpected message");
		break;
	}
}

static void
fleet_message(fleet_t *fleet, session_t *session, const Gw__Envelope *envelope)
{
	switch (envelope->body_case) {
	case GW__ENVELOPE__BODY_PEER_STATE:
		peer_receive_state(fleet, session, envelope->peer_state);
		break;
	case GW__ENVELOPE__BODY_SECTIONS:
		generation_receive_sections(fleet, envelope->sections);
		break;
	default:
		session_refuse(fleet, session, "unexpected message");
		break;
	}
}

/*
 * Handles a message. The first message of a connection must be Hello.
 */
void
session_message(fleet_t *fleet, const fleet_msg_t *msg)
{
	session_t *session = session_find(fleet, msg->link);

	if (session == NULL || session->closing)
		return;
	if (msg->envelope->body_case == GW__ENVELOPE__BODY_HELLO)
		on_hello(fleet, session, msg->envelope->hello);
	else if (session->role == GW__ROLE__ROLE_ROUTER)
		router_message(fleet, session, msg->envelope);
	else if (session->role == GW__ROLE__ROLE_FLEET)
		fleet_message(fleet, session, msg->envelope);
	else
		session_refuse(fleet, session, "first message is not Hello");
}

/*
 * Sends the held generation to all peers that have a lower one.
 */
void
sessions_send_generation(fleet_t *fleet)
{
	for (guint i = 0; i < fleet->sessions->len; i++) {
		session_t *session = fleet->sessions->pdata[i];

		if (session->role == GW__ROLE__ROLE_UNKNOWN || session->closing)
			continue;
		generation_send(fleet, session->link, session->generation);
		session->generation =
		    MAX(session->generation, generation_held(fleet));
	}
}
