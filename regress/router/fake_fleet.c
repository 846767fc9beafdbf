#include <string.h>

#include "fake_fleet.h"
#include "gw/id.h"
#include "manifest/manifest.h"
#include "wire/listener.h"

/* The frame header, and the tag and length in the envelope. */
#define FRAME_OVERHEAD_BYTES 7

struct fake_fleet {
	gw_rt_t *rt;
	gw_listener_t *listener;
	GPtrArray *conns;     /* gw_conn_t */
	GPtrArray *instances; /* fake_instance_t */
	char *json;
	uint64_t generation;
	uint64_t epoch;
	uint64_t version;
	uint64_t delta_base; /* base of the next view; 0 for a full one */
	uint64_t sequence;
	bool replies_to_heartbeats;
	GHashTable *wanted; /* pool -> slots */
	fake_received_t received;
};

static void
send_message(gw_conn_t *conn, Gw__Envelope *envelope)
{
	gw_err_t err;

	(void)gw_conn_send(conn, envelope, &err);
}

static void
send_hello(gw_conn_t *conn)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__Hello hello = GW__HELLO__INIT;

	hello.protocol = GW_PROTOCOL_VERSION;
	hello.node_id = "fleet";
	hello.role = GW__ROLE__ROLE_FLEET;
	hello.data_centre = "dc1";
	envelope.body_case = GW__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	send_message(conn, &envelope);
}

static void
send_sections(fake_fleet_t *fleet, gw_conn_t *conn)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__Sections message = GW__SECTIONS__INIT;
	manifest_t *manifest;
	manifest_root_t *root;
	GArray *problems;
	char *text;

	problems = g_array_new(FALSE, TRUE, sizeof(manifest_problem_t));
	manifest = manifest_parse(fleet->json, strlen(fleet->json), problems);
	g_array_unref(problems);
	g_assert_nonnull(manifest);
	manifest->generation = fleet->generation;
	root = manifest_split(manifest);
	root->generation = fleet->generation;
	gw_id_random(root->apply_id);
	text = manifest_root_encode(root);
	message.generation = fleet->generation;
	message.root.data = (uint8_t *)text;
	message.root.len = strlen(text);
	message.n_sections = root->sections->len;
	message.sections = g_new0(Gw__Section *, root->sections->len);
	for (guint i = 0; i < root->sections->len; i++) {
		manifest_section_t *from = root->sections->pdata[i];
		Gw__Section *section = g_new(Gw__Section, 1);

		gw__section__init(section);
		section->name = from->name;
		section->hash = from->hash;
		section->body.data = (uint8_t *)from->body;
		section->body.len = from->size_bytes;
		message.sections[i] = section;
	}
	envelope.body_case = GW__ENVELOPE__BODY_SECTIONS;
	envelope.sections = &message;
	send_message(conn, &envelope);
	for (guint i = 0; i < root->sections->len; i++)
		g_free(message.sections[i]);
	g_free(message.sections);
	free(text);
	manifest_root_free(root);
	manifest_free(manifest);
}

static Gw__Instance *
instance_message(fake_instance_t *from)
{
	Gw__Instance *message = g_new(Gw__Instance, 1);

	gw__instance__init(message);
	message->id = from->id;
	message->incarnation = from->incarnation;
	message->address = "127.0.0.1";
	message->port = from->port;
	message->failure_domain = "rack";
	message->pool = from->pool;
	message->home_pool = from->pool;
	message->state = from->state;
	message->time_bound = from->time_bound;
	message->slots = 8;
	message->granted = from->granted;
	return message;
}

static void
send_view(fake_fleet_t *fleet, gw_conn_t *conn)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__View view = GW__VIEW__INIT;

	view.epoch = fleet->epoch;
	view.base_version = fleet->delta_base;
	view.version = fleet->version;
	view.full = fleet->delta_base == 0;
	view.admitted = true;
	view.sequence = ++fleet->sequence;
	view.n_instances = fleet->instances->len;
	view.instances = g_new0(Gw__Instance *, fleet->instances->len + 1);
	for (guint i = 0; i < fleet->instances->len; i++)
		view.instances[i] =
		    instance_message(fleet->instances->pdata[i]);
	envelope.body_case = GW__ENVELOPE__BODY_VIEW;
	envelope.view = &view;
	send_message(conn, &envelope);
	for (guint i = 0; i < fleet->instances->len; i++)
		g_free(view.instances[i]);
	g_free(view.instances);
}

static void
on_hello(fake_fleet_t *fleet, gw_conn_t *conn, const Gw__Hello *hello)
{
	fleet->received.hellos++;
	fleet->received.held = 0;
	for (size_t i = 0; i < hello->n_held; i++)
		fleet->received.held += hello->held[i]->slots_held;
	send_hello(conn);
	if (fleet->json != NULL)
		send_sections(fleet, conn);
	send_view(fleet, conn);
}

/*
 * Records the demand. A pool that the heartbeat does not name keeps its last
 * demand.
 */
static void
record_demand(fake_fleet_t *fleet, const Gw__Heartbeat *heartbeat)
{
	GHashTableIter iter;
	gpointer wanted;

	for (size_t i = 0; i < heartbeat->n_demand; i++)
		g_hash_table_replace(fleet->wanted,
		    g_strdup(heartbeat->demand[i]->pool),
		    GUINT_TO_POINTER(heartbeat->demand[i]->slots_wanted));
	fleet->received.pools_reported += (uint32_t)heartbeat->n_demand;
	fleet->received.slots_wanted = 0;
	g_hash_table_iter_init(&iter, fleet->wanted);
	while (g_hash_table_iter_next(&iter, NULL, &wanted))
		fleet->received.slots_wanted += GPOINTER_TO_UINT(wanted);
}

static void
on_heartbeat(
    fake_fleet_t *fleet, gw_conn_t *conn, const Gw__Heartbeat *heartbeat)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__Contact contact = GW__CONTACT__INIT;

	fleet->received.heartbeats++;
	fleet->received.heartbeat_bytes +=
	    FRAME_OVERHEAD_BYTES + gw__heartbeat__get_packed_size(heartbeat);
	record_demand(fleet, heartbeat);
	if (!fleet->replies_to_heartbeats)
		return;
	contact.epoch = fleet->epoch;
	contact.sequence = heartbeat->sequence;
	envelope.body_case = GW__ENVELOPE__BODY_CONTACT;
	envelope.contact = &contact;
	send_message(conn, &envelope);
}

static void
on_ack(fake_fleet_t *fleet, const Gw__Ack *ack)
{
	fleet->received.acks++;
	fleet->received.acked_version = ack->table_version;
	fleet->received.acked_sequence = ack->view_sequence;
	fleet->received.acked_generation = ack->generation;
	fleet->received.acked_in_flight = 0;
	fleet->received.acked_slots_held = 0;
	for (size_t i = 0; i < ack->n_leaving; i++) {
		fleet->received.acked_in_flight += ack->leaving[i]->in_flight;
		fleet->received.acked_slots_held += ack->leaving[i]->slots_held;
	}
}

static void
on_outcome(fake_fleet_t *fleet, const Gw__Outcome *outcome)
{
	for (size_t i = 0; i < outcome->n_instances; i++) {
		fleet->received.outcomes_failed +=
		    outcome->instances[i]->failed;
		fleet->received.outcomes_succeeded +=
		    outcome->instances[i]->succeeded;
	}
}

static void
on_message(gw_conn_t *conn, const Gw__Envelope *envelope, void *arg)
{
	fake_fleet_t *fleet = arg;

	if (envelope->body_case == GW__ENVELOPE__BODY_HELLO)
		on_hello(fleet, conn, envelope->hello);
	else if (envelope->body_case == GW__ENVELOPE__BODY_HEARTBEAT)
		on_heartbeat(fleet, conn, envelope->heartbeat);
	else if (envelope->body_case == GW__ENVELOPE__BODY_ACK)
		on_ack(fleet, envelope->ack);
	else if (envelope->body_case == GW__ENVELOPE__BODY_OUTCOME)
		on_outcome(fleet, envelope->outcome);
	else if (envelope->body_case == GW__ENVELOPE__BODY_GOODBYE)
		fleet->received.goodbyes++;
}

static void
on_close(gw_conn_t *conn, const gw_err_t *err, void *arg)
{
	fake_fleet_t *fleet = arg;

	(void)err;
	if (fleet != NULL)
		g_ptr_array_remove_fast(fleet->conns, conn);
}

static void
on_accept(gw_conn_t *conn, void *arg)
{
	g_ptr_array_add(((fake_fleet_t *)arg)->conns, conn);
}

static const gw_conn_ops_t ops = {
    .on_message = on_message, .on_close = on_close};

/*
 * Starts a fake fleet daemon that listens on a port. json is the manifest of
 * generation 1, or NULL.
 */
fake_fleet_t *
fake_fleet_new(gw_rt_t *rt, const char *listen, const char *json)
{
	fake_fleet_t *fleet = g_new0(fake_fleet_t, 1);
	gw_addr_t addr;
	gw_err_t err;

	fleet->rt = rt;
	fleet->json = g_strdup(json);
	fleet->generation = 1;
	fleet->epoch = 1;
	fleet->version = 1;
	fleet->replies_to_heartbeats = true;
	fleet->wanted =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->conns = g_ptr_array_new();
	fleet->instances = g_ptr_array_new_with_free_func(g_free);
	g_assert_cmpint(gw_addr_parse(&addr, listen, &err), ==, 0);
	fleet->listener =
	    gw_listener_new(rt, &addr, &ops, on_accept, fleet, &err);
	g_assert_nonnull(fleet->listener);
	return fleet;
}

/*
 * Closes the listener and connections, and frees the fake fleet daemon.
 */
void
fake_fleet_free(fake_fleet_t *fleet)
{
	for (guint i = 0; i < fleet->conns->len; i++) {
		gw_conn_set_ops(fleet->conns->pdata[i], &ops, NULL);
		gw_conn_close(fleet->conns->pdata[i]);
	}
	gw_listener_close(fleet->listener);
	g_ptr_array_unref(fleet->conns);
	g_ptr_array_unref(fleet->instances);
	g_hash_table_destroy(fleet->wanted);
	g_free(fleet->json);
	g_free(fleet);
}

uint16_t
fake_fleet_port(const fake_fleet_t *fleet)
{
	return gw_addr_port(gw_listener_addr(fleet->listener));
}

const fake_received_t *
fake_fleet_received(const fake_fleet_t *fleet)
{
	return &fleet->received;
}

/*
 * Adds or changes an instance; routers see it in the next view.
 */
void
fake_fleet_set(fake_fleet_t *fleet, const fake_instance_t *instance)
{
	fake_fleet_remove(fleet, instance->id);
	g_ptr_array_add(
	    fleet->instances, g_memdup2(instance, sizeof(*instance)));
}

void
fake_fleet_remove(fake_fleet_t *fleet, const char *id)
{
	for (guint i = 0; i < fleet->instances->len; i++) {
		fake_instance_t *held = fleet->instances->pdata[i];

		if (strcmp(held->id, id) == 0) {
			g_ptr_array_remove_index(fleet->instances, i);
			return;
		}
	}
}

/*
 * Sends a full view with the next version to every router.
 */
void
fake_fleet_send_view(fake_fleet_t *fleet)
{
	fleet->version++;
	for (guint i = 0; i < fleet->conns->len; i++)
		send_view(fleet, fleet->conns->pdata[i]);
}

/*
 * Sends all instances as a delta from version base to version.
 */
void
fake_fleet_send_delta(fake_fleet_t *fleet, uint64_t base, uint64_t version)
{
	fleet->delta_base = base;
	fleet->version = version - 1;
	fake_fleet_send_view(fleet);
	fleet->delta_base = 0;
}

/*
 * Sets the epoch that views and Contacts have from now on.
 */
void
fake_fleet_set_epoch(fake_fleet_t *fleet, uint64_t epoch)
{
	fleet->epoch = epoch;
}

/*
 * Sends a manifest generation to every router.
 */
void
fake_fleet_set_manifest(
    fake_fleet_t *fleet, uint64_t generation, const char *json)
{
	g_free(fleet->json);
	fleet->json = g_strdup(json);
	fleet->generation = generation;
	for (guint i = 0; i < fleet->conns->len; i++)
		send_sections(fleet, fleet->conns->pdata[i]);
}

void
fake_fleet_reply_to_heartbeats(fake_fleet_t *fleet, bool reply)
{
	fleet->replies_to_heartbeats = reply;
}

void
fake_fleet_drop_connections(fake_fleet_t *fleet)
{
	for (guint i = 0; i < fleet->conns->len; i++)
		gw_conn_close(fleet->conns->pdata[i]);
}
