#include <string.h>

#include "member/member.h"

/*
 * Returns a new contact for a router that has sent nothing yet.
 */
member_contact_t *
member_contact_new(const char *node_id, uint64_t boot_id)
{
	member_contact_t *contact;

	contact = g_new0(member_contact_t, 1);
	g_strlcpy(contact->node_id, node_id, sizeof(contact->node_id));
	contact->boot_id = boot_id;
	contact->in_flight =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return contact;
}

/*
 * Frees a contact; NULL is allowed.
 */
void
member_contact_free(member_contact_t *contact)
{
	if (contact == NULL)
		return;
	g_hash_table_unref(contact->in_flight);
	g_free(contact);
}

/*
 * Records the view that a router has in force and its in-flight counts, from
 * an Ack or a heartbeat. in_flight maps instance ids to GUINT_TO_POINTER and
 * may be NULL for none; it is copied. Returns false and changes nothing when
 * the router has ended, or the report is from another boot or older than the
 * last one.
 */
bool
member_contact_acked(member_contact_t *contact, uint64_t boot_id,
    uint64_t epoch, uint64_t version, GHashTable *in_flight)
{
	GHashTableIter iter;
	gpointer key, value;

	if (boot_id != contact->boot_id || contact->ended)
		return false;
	if (member_adopt_view(
		epoch, version, contact->acked_epoch, contact->acked_version))
		return false;
	contact->acked_epoch = epoch;
	contact->acked_version = version;
	g_hash_table_remove_all(contact->in_flight);
	if (in_flight == NULL)
		return true;
	g_hash_table_iter_init(&iter, in_flight);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (GPOINTER_TO_UINT(value) != 0)
			g_hash_table_insert(
			    contact->in_flight, g_strdup(key), value);
	return true;
}

/*
 * Records the time of an answer to a heartbeat. Call this before the answer is
 * sent.
 */
void
member_contact_answered(member_contact_t *contact, uint64_t now_us)
{
	if (now_us > contact->answered_us)
		contact->answered_us = now_us;
}

/*
 * Records that the router ended: it said Goodbye after draining, or the
 * platform reported its end, or its node sent a Hello with another boot id. A
 * router binds the port of its node before it sends a Hello, so the earlier
 * process is gone by then.
 */
void
member_contact_ended(
    member_contact_t *contact, bool said_goodbye, uint64_t now_us)
{
	if (contact->ended && !said_goodbye)
		return;
	contact->ended = true;
	contact->ended_us = said_goodbye ? 0 : now_us;
}

/*
 * Looks up the contact of a router by node and boot id; NULL when there is
 * none.
 */
member_contact_t *
member_contact_find(
    const GPtrArray *contacts, const char *node_id, uint64_t boot_id)
{
	member_contact_t *contact;
	guint i;

	for (i = 0; i < contacts->len; i++) {
		contact = g_ptr_array_index(contacts, i);
		if (contact->boot_id == boot_id &&
		    strcmp(contact->node_id, node_id) == 0)
			return contact;
	}
	return NULL;
}
