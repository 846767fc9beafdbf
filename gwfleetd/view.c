#include <string.h>

#include <xxhash.h>

#include "fleet_state.h"
#include "grants.h"
#include "router.h"
#include "view.h"

/*
 * Returns the slots to name in a router's view: the planner's grant, or from a
 * follower the slots that the router already holds.
 */
static uint32_t
slots_for(const fleet_t *fleet, const session_t *session,
    const member_instance_t *instance)
{
	const held_slots_t *held;

	if (fleet->claimed)
		return grants_of(fleet, instance->id, session->key);
	held = g_hash_table_lookup(session->held, instance->id);
	if (held == NULL ||
	    strcmp(held->incarnation, instance->incarnation) != 0)
		return 0;
	return held->slots;
}

static Gw__Instance *
instance_message(
    const fleet_t *fleet, const session_t *session, member_instance_t *instance)
{
	Gw__Instance *msg = g_new0(Gw__Instance, 1);

	gw__instance__init(msg);
	msg->id = instance->id;
	msg->incarnation = instance->incarnation;
	msg->address = instance->address;
	msg->port = instance->port;
	msg->failure_domain = instance->failure_domain;
	msg->pool = instance->pool;
	msg->home_pool = instance->home_pool;
	msg->state = (Gw__InstanceState)instance->state;
	msg->time_bound = instance->time_bound;
	msg->slots = instance->slots;
	msg->granted = slots_for(fleet, session, instance);
	return msg;
}

/*
 * Notes what is sent of an instance. Returns false when the router was sent
 * exactly this before.
 */
static bool
changed(session_t *session, const Gw__Instance *msg)
{
	g_autofree uint8_t *packed =
	    g_malloc(gw__instance__get_packed_size(msg));
	const uint64_t *before;
	uint64_t hash;

	hash = XXH3_64bits(packed, gw__instance__pack(msg, packed));
	before = g_hash_table_lookup(session->sent, msg->id);
	if (before != NULL && *before == hash)
		return false;
	g_hash_table_replace(
	    session->sent, g_strdup(msg->id), g_memdup2(&hash, sizeof(hash)));
	return true;
}

static void
add_instances(const fleet_t *fleet, session_t *session, GPtrArray *instances)
{
	for (guint i = 0; i < fleet->table->instances->len; i++) {
		Gw__Instance *msg = instance_message(
		    fleet, session, fleet->table->instances->pdata[i]);

		if (changed(session, msg))
			g_ptr_array_add(instances, msg);
		else
			g_free(msg);
	}
}

/*
 * Collects the ids that were sent before and are no longer in the table. The
 * caller frees the ids.
 */
static void
add_removed(const fleet_t *fleet, session_t *session, GPtrArray *removed)
{
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, session->sent);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		if (member_table_find(fleet->table, id) != NULL)
			continue;
		g_ptr_array_add(removed, g_strdup(id));
		g_hash_table_iter_remove(&iter);
	}
}

static bool
is_admitted(const fleet_t *fleet, const session_t *session)
{
	return fleet->claimed &&
	    router_find(fleet, session->node_id, session->boot_id) != NULL;
}

/*
 * Sends the view, in full on the first time and after a change of epoch. A
 * delta without any change is not sent.
 */
void
view_send(fleet_t *fleet, session_t *session)
{
	g_autoptr(GPtrArray) instances = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GPtrArray) removed = g_ptr_array_new_with_free_func(g_free);
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__View view = GW__VIEW__INIT;

	if (fleet->table == NULL)
		return;
	view.full =
	    !session->sent_any || session->sent_epoch != fleet->table->epoch;
	if (view.full)
		g_hash_table_remove_all(session->sent);
	view.admitted = is_admitted(fleet, session);
	add_instances(fleet, session, instances);
	add_removed(fleet, session, removed);
	if (!view.full && instances->len == 0 && removed->len == 0 &&
	    session->sent_version == fleet->table->version &&
	    session->sent_admitted == view.admitted)
		return;
	view.epoch = fleet->table->epoch;
	view.version = fleet->table->version;
	view.base_version = view.full ? 0 : session->sent_version;
	view.sequence = ++fleet->view_sequence;
	view.n_instances = instances->len;
	view.instances = (Gw__Instance **)instances->pdata;
	view.n_removed_ids = removed->len;
	view.removed_ids = (char **)removed->pdata;
	envelope.body_case = GW__ENVELOPE__BODY_VIEW;
	envelope.view = &view;
	session->sent_any = true;
	session->sent_epoch = view.epoch;
	session->sent_version = view.version;
	session->sent_admitted = view.admitted;
	(view.full ? fleet->metrics.views_full : fleet->metrics.views_delta)
	    ->value++;
	(void)fleet->ops->send(fleet->ctx, session->link, &envelope);
}

/*
 * Sends each router what changed of its view.
 */
void
views_send(fleet_t *fleet)
{
	for (guint i = 0; i < fleet->sessions->len; i++) {
		session_t *session = fleet->sessions->pdata[i];

		if (session->role == GW__ROLE__ROLE_ROUTER && !session->closing)
			view_send(fleet, session);
	}
}
