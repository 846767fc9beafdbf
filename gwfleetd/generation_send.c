#include <string.h>

#include "fleet_state.h"

/* Returns the earlier root of the generation, or NULL if it is not kept. */
static const manifest_root_t *
root_of(const generation_t *generation, uint64_t number)
{
	for (GList *l = generation->history.head; l != NULL; l = l->next) {
		const generation_root_t *root = l->data;

		if (root->root->generation == number)
			return root->root;
	}
	return NULL;
}

static bool
root_has(const manifest_root_t *root, const manifest_section_t *section)
{
	const manifest_section_t *found;

	if (root == NULL)
		return false;
	found = manifest_root_find(root, section->name);
	return found != NULL && strcmp(found->hash, section->hash) == 0;
}

/*
 * Sends a message with the sections of the batch, and empties the batch.
 */
static void
send_sections(fleet_t *fleet, fleet_link_t *link, GPtrArray *sections)
{
	const generation_root_t *held = &fleet->generation.held;
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__Sections msg = GW__SECTIONS__INIT;

	msg.generation = held->root->generation;
	msg.root.data = (uint8_t *)held->text;
	msg.root.len = strlen(held->text);
	msg.n_sections = sections->len;
	msg.sections = (Gw__Section **)sections->pdata;
	envelope.body_case = GW__ENVELOPE__BODY_SECTIONS;
	envelope.sections = &msg;
	(void)fleet->ops->send(fleet->ctx, link, &envelope);
	g_ptr_array_set_size(sections, 0);
}

static Gw__Section *
section_message(const fleet_t *fleet, manifest_section_t *section)
{
	Gw__Section *msg = g_new0(Gw__Section, 1);
	gsize size_bytes = 0;
	GBytes *body;

	gw__section__init(msg);
	body = g_hash_table_lookup(fleet->generation.bodies, section->hash);
	msg->name = section->name;
	msg->hash = section->hash;
	msg->body.data = (uint8_t *)g_bytes_get_data(body, &size_bytes);
	msg->body.len = size_bytes;
	return msg;
}

/*
 * Sends the held generation to a peer that has a lower one: only the sections
 * that the peer lacks, in several messages if they exceed
 * GENERATION_MESSAGE_MAX_BYTES. The peer puts the generation in force once it
 * has all sections.
 */
void
generation_send(fleet_t *fleet, fleet_link_t *link, uint64_t peer_generation)
{
	const manifest_root_t *root = fleet->generation.held.root;
	const manifest_root_t *known;
	g_autoptr(GPtrArray) batch = g_ptr_array_new_with_free_func(g_free);
	size_t batch_bytes = 0;

	if (root == NULL || peer_generation >= root->generation)
		return;
	known = root_of(&fleet->generation, peer_generation);
	for (guint i = 0; i < root->sections->len; i++) {
		manifest_section_t *section = root->sections->pdata[i];
		Gw__Section *msg;

		if (root_has(known, section))
			continue;
		msg = section_message(fleet, section);
		if (batch_bytes > 0 &&
		    batch_bytes + msg->body.len >
			GENERATION_MESSAGE_MAX_BYTES) {
			send_sections(fleet, link, batch);
			batch_bytes = 0;
		}
		batch_bytes += msg->body.len;
		g_ptr_array_add(batch, msg);
	}
	send_sections(fleet, link, batch);
}
