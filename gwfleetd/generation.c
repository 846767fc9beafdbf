#include <string.h>

#include "fleet_state.h"
#include "gw/id.h"
#include "gw/log.h"
#include "session.h"

static void on_root_read(fleet_t *, record_t *);

static const record_ops_t root_ops = {.on_read = on_root_read};

static void
root_clear(generation_root_t *root)
{
	if (root->root != NULL)
		manifest_root_free(root->root);
	g_free(root->text);
	root->root = NULL;
	root->text = NULL;
}

static void
root_free(gpointer ptr)
{
	root_clear(ptr);
	g_free(ptr);
}

static void
bytes_free(gpointer ptr)
{
	g_bytes_unref(ptr);
}

/*
 * Initializes a generation without a manifest.
 */
void
generation_init(generation_t *generation)
{
	memset(generation, 0, sizeof(*generation));
	generation->bodies =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, bytes_free);
	generation->reads =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&generation->history);
	record_init(&generation->root_record, &root_ops, GENERATION_ROOT_KEY);
}

/*
 * Frees the manifests, roots and sections.
 */
void
generation_clear(generation_t *generation)
{
	root_clear(&generation->held);
	root_clear(&generation->wanted);
	manifest_free(generation->manifest);
	manifest_free(generation->previous);
	g_hash_table_destroy(generation->bodies);
	g_hash_table_destroy(generation->reads);
	g_queue_clear_full(&generation->history, root_free);
	record_clear(&generation->root_record);
}

/*
 * Returns the number of the generation held here; 0 for none.
 */
uint64_t
generation_held(const fleet_t *fleet)
{
	const manifest_root_t *root = fleet->generation.held.root;

	return root == NULL ? 0 : root->generation;
}

/*
 * Frees the bodies of sections that the held root does not list.
 */
static void
remove_unused_bodies(generation_t *generation)
{
	g_autoptr(GHashTable) used = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer hash;

	for (guint i = 0; i < generation->held.root->sections->len; i++) {
		manifest_section_t *section =
		    generation->held.root->sections->pdata[i];

		g_hash_table_add(used, section->hash);
	}
	g_hash_table_iter_init(&iter, generation->bodies);
	while (g_hash_table_iter_next(&iter, &hash, NULL))
		if (!g_hash_table_contains(used, hash))
			g_hash_table_iter_remove(&iter);
}

static void
push_history(generation_t *generation, generation_root_t *root)
{
	generation_root_t *kept;

	if (root->root == NULL)
		return;
	kept = g_new0(generation_root_t, 1);
	*kept = *root;
	memset(root, 0, sizeof(*root));
	g_queue_push_head(&generation->history, kept);
	if (generation->history.length > GENERATION_HISTORY_ROOTS)
		root_free(g_queue_pop_tail(&generation->history));
}

/*
 * Copies the bodies into the sections of the wanted root, for manifest_join().
 */
static void
fill_bodies(generation_t *generation)
{
	const manifest_root_t *root = generation->wanted.root;
	gsize size_bytes;
	GBytes *body;

	for (guint i = 0; i < root->sections->len; i++) {
		manifest_section_t *section = root->sections->pdata[i];

		body = g_hash_table_lookup(generation->bodies, section->hash);
		if (section->body != NULL || body == NULL)
			continue;
		section->body = g_strndup(g_bytes_get_data(body, &size_bytes),
		    g_bytes_get_size(body));
		section->size_bytes = (uint32_t)g_bytes_get_size(body);
	}
}

/*
 * Puts the wanted root, which is complete, in force and sends it to the peers.
 */
static void
put_in_force(fleet_t *fleet)
{
	generation_t *generation = &fleet->generation;
	manifest_t *manifest;
	gw_err_t err;

	fill_bodies(generation);
	manifest = manifest_join(generation->wanted.root, &err);
	if (manifest == NULL) {
		gw_log(GW_EV_GENERATION_BAD,
		    "generation=%" G_GUINT64_FORMAT " text=\"%s\"",
		    generation->wanted.root->generation, err.text);
		root_clear(&generation->wanted);
		return;
	}
	push_history(generation, &generation->held);
	generation->held = generation->wanted;
	memset(&generation->wanted, 0, sizeof(generation->wanted));
	if (generation->previous == NULL)
		generation->previous = generation->manifest;
	else
		manifest_free(generation->manifest);
	generation->manifest = manifest;
	manifest->generation = generation->held.root->generation;
	remove_unused_bodies(generation);
	fleet->metrics.generation->value = generation_held(fleet);
	gw_log(GW_EV_FLEET_GENERATION,
	    "generation=%" G_GUINT64_FORMAT " sections=%u",
	    generation_held(fleet), generation->held.root->sections->len);
	sessions_send_generation(fleet);
}

static void read_missing_sections(fleet_t *);

/*
 * Adds a section's body. Returns false if the content does not match the hash.
 */
static bool
add_body(
    fleet_t *fleet, const char *hash, const void *body, uint64_t size_bytes)
{
	char own[GW_ID_TEXT_BYTES];

	gw_id_content(body, size_bytes, own);
	if (strcmp(own, hash) != 0) {
		gw_log(GW_EV_GENERATION_BAD,
		    "section=%s text=\"content has hash %s\"", hash, own);
		return false;
	}
	g_hash_table_replace(fleet->generation.bodies, g_strdup(hash),
	    g_bytes_new(body, size_bytes));
	return true;
}

static void
on_section(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	generation_t *generation = &fleet->generation;
	g_autofree char *hash = g_strdup(arg);

	g_hash_table_remove(generation->reads, hash);
	if (msg->err != NULL || msg->value->value == NULL ||
	    !add_body(fleet, hash, msg->value->value, msg->value->size_bytes)) {
		generation->retry_us =
		    fleet_now_us(fleet) + RECORD_RETRY_MS * GW_US_PER_MS;
		return;
	}
	read_missing_sections(fleet);
}

static void
read_section(fleet_t *fleet, const char *hash)
{
	g_autofree char *key =
	    g_strconcat(GENERATION_SECTION_PREFIX, hash, NULL);
	char *reading = g_strdup(hash);
	uint64_t call;

	g_hash_table_add(fleet->generation.reads, reading);
	call = calls_add(&fleet->calls, on_section, reading);
	fleet->metrics.store_reads->value++;
	fleet->ops->get(fleet->ctx, call, key);
}

/*
 * Reads missing sections of the wanted root; puts it in force once it is
 * complete.
 */
static void
read_missing_sections(fleet_t *fleet)
{
	generation_t *generation = &fleet->generation;
	guint missing = 0;

	if (generation->wanted.root == NULL ||
	    fleet_now_us(fleet) < generation->retry_us)
		return;
	for (guint i = 0; i < generation->wanted.root->sections->len; i++) {
		manifest_section_t *section =
		    generation->wanted.root->sections->pdata[i];

		if (g_hash_table_contains(generation->bodies, section->hash))
			continue;
		missing++;
		if (g_hash_table_size(generation->reads) <
			GENERATION_READS_MAX &&
		    !g_hash_table_contains(generation->reads, section->hash))
			read_section(fleet, section->hash);
	}
	if (missing == 0)
		put_in_force(fleet);
}

/*
 * Handles a root from the store or a peer. It is ignored unless its generation
 * is higher than the held and the wanted one.
 */
void
generation_receive_root(
    fleet_t *fleet, const char *root_text, uint64_t size_bytes)
{
	generation_t *generation = &fleet->generation;
	manifest_root_t *root;
	uint64_t known;
	gw_err_t err;

	root = manifest_root_decode(root_text, size_bytes, &err);
	if (root == NULL) {
		gw_log(GW_EV_GENERATION_BAD, "text=\"%s\"", err.text);
		return;
	}
	known = generation_held(fleet);
	if (!member_adopt_generation(known, root->generation)) {
		if (root->generation < known)
			gw_log(GW_EV_GENERATION_OLD,
			    "generation=%" G_GUINT64_FORMAT
			    " held=%" G_GUINT64_FORMAT,
			    root->generation, known);
		manifest_root_free(root);
		return;
	}
	if (generation->wanted.root != NULL &&
	    generation->wanted.root->generation >= root->generation) {
		manifest_root_free(root);
		read_missing_sections(fleet);
		return;
	}
	root_clear(&generation->wanted);
	generation->wanted.root = root;
	generation->wanted.text = g_strndup(root_text, size_bytes);
	read_missing_sections(fleet);
}

/*
 * Handles a generation sent by a peer. Sections that the peer did not send are
 * read from the store.
 */
void
generation_receive_sections(fleet_t *fleet, const Gw__Sections *msg)
{
	if (!member_adopt_generation(generation_held(fleet), msg->generation))
		return;
	for (size_t i = 0; i < msg->n_sections; i++)
		(void)add_body(fleet, msg->sections[i]->hash,
		    msg->sections[i]->body.data, msg->sections[i]->body.len);
	generation_receive_root(
	    fleet, (const char *)msg->root.data, msg->root.len);
}

/*
 * Frees the previous manifest, because the held generation is in force
 * everywhere. Until then its budgets apply as well.
 */
void
generation_free_previous(fleet_t *fleet)
{
	manifest_free(fleet->generation.previous);
	fleet->generation.previous = NULL;
}

static void
begin_watch(fleet_t *fleet)
{
	generation_t *generation = &fleet->generation;

	generation->watch = ++fleet->calls.last;
	fleet->ops->watch(fleet->ctx, generation->watch, GENERATION_ROOT_KEY,
	    generation->root_record.store_revision + 1);
}

static void
on_root_read(fleet_t *fleet, record_t *record)
{
	generation_t *generation = &fleet->generation;

	generation->root_read_us = fleet_now_us(fleet);
	if (generation->watch == 0)
		begin_watch(fleet);
	if (record->value != NULL)
		generation_receive_root(
		    fleet, record->value, strlen(record->value));
}

/*
 * Reads the root and then watches it from that revision. Planner only.
 */
void
generation_begin_watch(fleet_t *fleet)
{
	generation_end_watch(fleet);
	record_read(fleet, &fleet->generation.root_record);
}

/*
 * Ends the watch.
 */
void
generation_end_watch(fleet_t *fleet)
{
	record_cancel(fleet, &fleet->generation.root_record);
	if (fleet->generation.watch != 0)
		fleet->ops->unwatch(fleet->ctx);
	fleet->generation.watch = 0;
}

/*
 * Handles a change of the root or the end of the watch. Events may be
 * duplicated or late; only a higher generation is used.
 */
void
generation_on_watch(fleet_t *fleet, const fleet_msg_t *msg)
{
	generation_t *generation = &fleet->generation;

	if (msg->call != generation->watch)
		return;
	if (msg->kind == FLEET_WATCH_VALUE) {
		if (msg->value->value != NULL)
			generation_receive_root(
			    fleet, msg->value->value, msg->value->size_bytes);
		return;
	}
	gw_log(GW_EV_WATCH_END, "err=%s text=\"%s\"",
	    gw_errc_name(msg->err->code), msg->err->text);
	generation->watch = 0;
	generation->root_read_us = fleet_now_us(fleet) -
	    (GENERATION_ROOT_READ_INTERVAL_MS - RECORD_RETRY_MS) * GW_US_PER_MS;
}

/*
 * Repeats failed reads. The planner also reads the root every
 * GENERATION_ROOT_READ_INTERVAL_MS, in addition to the watch.
 */
void
generation_tick(fleet_t *fleet)
{
	generation_t *generation = &fleet->generation;

	read_missing_sections(fleet);
	if (!election_held(fleet))
		return;
	record_tick(fleet, &generation->root_record);
	if (record_idle(&generation->root_record) &&
	    fleet_now_us(fleet) >= generation->root_read_us +
		    GENERATION_ROOT_READ_INTERVAL_MS * GW_US_PER_MS)
		record_read(fleet, &generation->root_record);
}
