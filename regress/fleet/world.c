#include <string.h>

#include "world.h"
#include "wire/frame.h"

#define LEASE_FIRST 1000

/* A message on its way to a node. */
typedef struct {
	fleet_msg_t msg;
	store_value_t value;
	gw_err_t err;
	char *text;
	Gw__Envelope *envelope;
	GPtrArray *list;
	char name[2 * GW_NAME_BYTES];
} delivery_t;

typedef struct {
	node_t *node;
	uint64_t call;
	char *key;
	char *value;
	uint64_t expected;
	uint64_t lease_id;
} held_put_t;

struct fleet_link {
	node_t *node;	     /* whose link it is */
	fleet_link_t *other; /* of a node; NULL: a router's */
	fake_router_t *router;
	bool closed;
};

static GPtrArray *all_links; /* fleet_link_t, freed with the world */

static void router_receive(fake_router_t *, const Gw__Envelope *);

static delivery_t *
post(node_t *node, fleet_msg_kind_t kind, uint64_t call)
{
	delivery_t *d = g_new0(delivery_t, 1);

	d->msg.kind = kind;
	d->msg.call = call;
	g_queue_push_tail(&node->inbox, d);
	return d;
}

static void
set_error(delivery_t *d, gw_errc_t code)
{
	gw_err_set(&d->err, code, "fake", "store", "%s", gw_errc_name(code));
	d->msg.err = &d->err;
}

static void
delivery_free(gpointer ptr)
{
	delivery_t *d = ptr;

	if (d->envelope != NULL)
		gw__envelope__free_unpacked(d->envelope, NULL);
	if (d->list != NULL)
		g_ptr_array_free(d->list, TRUE);
	g_free(d->text);
	g_free(d);
}

static void
key_free(gpointer ptr)
{
	g_free(((fake_key_t *)ptr)->value);
	g_free(ptr);
}

static bool
store_fails(const node_t *node, fleet_msg_kind_t kind, uint64_t call)
{
	if (!node->world->store_down && !node->cut_from_store)
		return false;
	set_error(post((node_t *)node, kind, call), GW_ERR_UNAVAILABLE);
	return true;
}

static void
set_value(delivery_t *d, const fake_key_t *key, uint64_t revision)
{
	d->value.store_revision = revision;
	if (key != NULL && key->value != NULL) {
		d->text = g_strdup(key->value);
		d->value.value = d->text;
		d->value.size_bytes = strlen(d->text);
		d->value.create_revision = key->create_revision;
		d->value.mod_revision = key->mod_revision;
		d->value.lease_id = key->lease_id;
	}
	d->msg.value = &d->value;
}

static void
fake_get(void *ctx, uint64_t call, const char *name)
{
	node_t *node = ctx;
	world_t *w = node->world;
	const fake_key_t *key;
	delivery_t *d;

	w->reads++;
	if (store_fails(node, FLEET_STORE_READ, call))
		return;
	key = w->stale_reads ? g_hash_table_lookup(w->old, name) : NULL;
	if (key != NULL) {
		d = post(node, FLEET_STORE_READ, call);
		set_value(d, key, key->mod_revision);
		return;
	}
	key = g_hash_table_lookup(w->keys, name);
	d = post(node, FLEET_STORE_READ, call);
	set_value(d, key, w->revision);
}

static void
notify_watches(world_t *w, const char *name)
{
	for (guint i = 0; i < w->nodes->len; i++) {
		node_t *node = w->nodes->pdata[i];

		if (node->watch == 0 || strcmp(node->watch_key, name) != 0 ||
		    node->cut_from_store)
			continue;
		for (int n = 0; n < (w->watch_double ? 2 : 1); n++)
			set_value(post(node, FLEET_WATCH_VALUE, node->watch),
			    g_hash_table_lookup(w->keys, name), w->revision);
	}
}

static void
write_key(world_t *w, const char *name, const char *value, uint64_t lease_id)
{
	fake_key_t *key = g_hash_table_lookup(w->keys, name), *copy;

	w->revision++;
	if (key == NULL) {
		key = g_new0(fake_key_t, 1);
		key->create_revision = w->revision;
		g_hash_table_insert(w->keys, g_strdup(name), key);
	} else {
		copy = g_new0(fake_key_t, 1);
		*copy = *key;
		copy->value = g_strdup(key->value);
		g_hash_table_replace(w->old, g_strdup(name), copy);
	}
	g_free(key->value);
	key->value = g_strdup(value);
	key->mod_revision = w->revision;
	key->lease_id = lease_id;
	notify_watches(w, name);
}

static void
apply_put(node_t *node, uint64_t call, const char *name, uint64_t expected,
    const char *value, uint64_t lease_id)
{
	world_t *w = node->world;
	const fake_key_t *key = g_hash_table_lookup(w->keys, name);
	uint64_t have = key == NULL ? 0 : key->mod_revision;
	delivery_t *d;

	if (have != expected ||
	    (lease_id != 0 &&
		g_hash_table_lookup(w->leases, GSIZE_TO_POINTER(lease_id)) ==
		    NULL)) {
		set_error(post(node, FLEET_STORE_PUT, call), GW_ERR_CONFLICT);
		return;
	}
	write_key(w, name, value, lease_id);
	d = post(node, FLEET_STORE_PUT, call);
	d->msg.number = w->revision;
	if (w->lose_answers > 0) {
		w->lose_answers--;
		set_error(d, GW_ERR_UNKNOWN);
	}
}

static void
fake_put_if(void *ctx, uint64_t call, const char *key, uint64_t expected,
    const char *value, uint64_t lease_id)
{
	node_t *node = ctx;
	held_put_t *held;

	node->world->writes++;
	if (store_fails(node, FLEET_STORE_PUT, call))
		return;
	if (node->world->hold_puts_of != node) {
		apply_put(node, call, key, expected, value, lease_id);
		return;
	}
	held = g_new0(held_put_t, 1);
	held->node = node;
	held->call = call;
	held->key = g_strdup(key);
	held->value = g_strdup(value);
	held->expected = expected;
	held->lease_id = lease_id;
	g_queue_push_tail(&node->world->held, held);
}

static void
held_free(gpointer ptr)
{
	held_put_t *held = ptr;

	g_free(held->key);
	g_free(held->value);
	g_free(held);
}

/*
 * Lets the writes that were held reach the store now.
 */
void
world_release(world_t *w)
{
	held_put_t *held;

	w->hold_puts_of = NULL;
	while ((held = g_queue_pop_head(&w->held)) != NULL) {
		apply_put(held->node, held->call, held->key, held->expected,
		    held->value, held->lease_id);
		held_free(held);
	}
}

static void
set_lease(world_t *w, uint64_t id, uint64_t ttl_us)
{
	uint64_t end_us = gw_clock_now_us(&w->clock) + ttl_us;

	g_hash_table_replace(w->leases, GSIZE_TO_POINTER(id),
	    g_memdup2(&end_us, sizeof(end_us)));
}

static void
fake_lease_grant(void *ctx, uint64_t call, uint32_t ttl_s)
{
	node_t *node = ctx;
	world_t *w = node->world;

	w->writes++;
	if (store_fails(node, FLEET_STORE_LEASE, call))
		return;
	w->revision++;
	set_lease(w, LEASE_FIRST + w->revision, ttl_s * GW_US_PER_S);
	post(node, FLEET_STORE_LEASE, call)->msg.number =
	    LEASE_FIRST + w->revision;
}

static void
fake_lease_renew(void *ctx, uint64_t call, uint64_t lease_id)
{
	node_t *node = ctx;
	world_t *w = node->world;

	w->writes++;
	if (store_fails(node, FLEET_STORE_LEASE, call))
		return;
	if (g_hash_table_lookup(w->leases, GSIZE_TO_POINTER(lease_id)) ==
	    NULL) {
		set_error(
		    post(node, FLEET_STORE_LEASE, call), GW_ERR_NOT_FOUND);
		return;
	}
	set_lease(w, lease_id, GW_LEASE_TTL_MS * GW_US_PER_MS);
	post(node, FLEET_STORE_LEASE, call)->msg.number = lease_id;
}

static void
end_lease(world_t *w, uint64_t lease_id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, w->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((fake_key_t *)value)->lease_id != lease_id)
			continue;
		w->revision++;
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_remove(w->leases, GSIZE_TO_POINTER(lease_id));
}

static void
fake_lease_revoke(void *ctx, uint64_t call, uint64_t lease_id)
{
	node_t *node = ctx;

	if (store_fails(node, FLEET_STORE_LEASE, call))
		return;
	end_lease(node->world, lease_id);
	post(node, FLEET_STORE_LEASE, call);
}

static void
fake_watch(void *ctx, uint64_t call, const char *key, uint64_t from_revision)
{
	node_t *node = ctx;
	const fake_key_t *now = world_key(node->world, key);

	node->watch = call;
	g_strlcpy(node->watch_key, key, sizeof(node->watch_key));
	if (now != NULL && now->mod_revision >= from_revision)
		notify_watches(node->world, key);
}

static void
fake_unwatch(void *ctx)
{
	((node_t *)ctx)->watch = 0;
}

static void
fake_list(void *ctx)
{
	node_t *node = ctx;
	world_t *w = node->world;
	delivery_t *d = post(node, FLEET_LIST, 0);

	if (w->platform_down) {
		set_error(d, GW_ERR_UNAVAILABLE);
		return;
	}
	d->list = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < w->list->len; i++)
		g_ptr_array_add(d->list,
		    g_memdup2(w->list->pdata[i], sizeof(platform_instance_t)));
	d->msg.list = d->list;
	d->msg.number = ++w->list_as_of;
}

static void
fake_reboot(void *ctx, const char *id, const char *operation)
{
	world_t *w = ((node_t *)ctx)->world;
	platform_instance_t *instance = world_instance(w, id);

	if (!g_hash_table_add(w->operations, g_strdup(operation)))
		return;
	w->reboots++;
	(void)g_snprintf(instance->incarnation, sizeof(instance->incarnation),
	    "%.32s.r%u", id, w->reboots);
}

static void
fake_check(void *ctx, const member_instance_t *instance)
{
	node_t *node = ctx;
	delivery_t *d = post(node, FLEET_CHECKED, 0);

	g_strlcpy(d->name, instance->id, GW_NAME_BYTES);
	g_strlcpy(
	    d->name + GW_NAME_BYTES, instance->incarnation, GW_NAME_BYTES);
	d->msg.instance_id = d->name;
	d->msg.incarnation = d->name + GW_NAME_BYTES;
	if (node->world->check_fails)
		set_error(d, GW_ERR_UNAVAILABLE);
}

static Gw__Envelope *
copy_envelope(const Gw__Envelope *envelope)
{
	g_autofree uint8_t *packed =
	    g_malloc(gw__envelope__get_packed_size(envelope) + 1);

	return gw__envelope__unpack(
	    NULL, gw__envelope__pack(envelope, packed), packed);
}

static void
post_message(fleet_link_t *link, const Gw__Envelope *envelope)
{
	delivery_t *d = post(link->node, FLEET_LINK_MESSAGE, 0);

	d->msg.link = link;
	d->envelope = copy_envelope(envelope);
	d->msg.envelope = d->envelope;
}

static int
fake_send(void *ctx, fleet_link_t *link, const Gw__Envelope *envelope)
{
	Gw__Envelope *copy;

	(void)ctx;
	if (link->closed)
		return -1;
	if (link->other != NULL) {
		if (!link->other->closed)
			post_message(link->other, envelope);
		return 0;
	}
	if (link->router == NULL || link->router->cut)
		return 0;
	copy = copy_envelope(envelope);
	router_receive(link->router, copy);
	gw__envelope__free_unpacked(copy, NULL);
	return 0;
}

static void
link_close(fleet_link_t *link)
{
	if (link->closed)
		return;
	link->closed = true;
	post(link->node, FLEET_LINK_CLOSED, 0)->msg.link = link;
	if (link->router != NULL && link->router->link == link) {
		link->router->link = NULL;
		link->router->node = NULL;
	}
	if (link->other != NULL)
		link_close(link->other);
}

static void
fake_close(void *ctx, fleet_link_t *link)
{
	(void)ctx;
	link_close(link);
}

static void
fake_reply(void *ctx, void *request, int status, const char *text)
{
	node_t *node = ctx;

	(void)request;
	(void)text;
	node->replies++;
	node->reply_status = status;
}

static const fleet_ops_t fake_ops = {fake_get, fake_put_if, fake_lease_grant,
    fake_lease_renew, fake_lease_revoke, fake_watch, fake_unwatch, fake_list,
    fake_reboot, fake_check, fake_send, fake_close, fake_reply};

static fleet_link_t *
link_open(node_t *node, bool dialed)
{
	fleet_link_t *link = g_new0(fleet_link_t, 1);
	delivery_t *d = post(node, FLEET_LINK_OPEN, 0);

	link->node = node;
	g_ptr_array_add(all_links, link);
	d->msg.link = link;
	d->msg.dialed = dialed;
	return link;
}

/*
 * Connects one gwfleetd to another, as the first one's dialer does.
 */
void
world_link_nodes(node_t *from, node_t *to)
{
	fleet_link_t *a = link_open(from, true), *b = link_open(to, false);

	a->other = b;
	b->other = a;
}

/*
 * Breaks all connections between the gwfleetd.
 */
void
world_unlink_nodes(world_t *w)
{
	(void)w;
	for (guint i = 0; i < all_links->len; i++)
		if (((fleet_link_t *)all_links->pdata[i])->other != NULL)
			link_close(all_links->pdata[i]);
}

/*
 * Returns a world without nodes whose store and platform are empty.
 */
world_t *
world_new(const fleet_policy_t *policy)
{
	world_t *w = g_new0(world_t, 1);

	gw_clock_init_paused(&w->clock, 1000 * GW_US_PER_S);
	w->policy = policy;
	w->nodes = g_ptr_array_new();
	w->routers = g_ptr_array_new();
	w->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, key_free);
	w->old =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, key_free);
	w->leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	w->operations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->list = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&w->held);
	all_links = g_ptr_array_new_with_free_func(g_free);
	return w;
}

static void
router_free(fake_router_t *router)
{
	g_hash_table_destroy(router->granted);
	g_hash_table_destroy(router->states);
	g_hash_table_destroy(router->in_flight);
	g_free(router);
}

/*
 * Frees the world and all in it.
 */
void
world_free(world_t *w)
{
	for (guint i = 0; i < w->nodes->len; i++) {
		node_t *node = w->nodes->pdata[i];

		fleet_free(node->fleet);
		gw_metrics_free(node->metrics);
		g_queue_clear_full(&node->inbox, delivery_free);
		g_free(node);
	}
	for (guint i = 0; i < w->routers->len; i++)
		router_free(w->routers->pdata[i]);
	g_ptr_array_free(w->nodes, TRUE);
	g_ptr_array_free(w->routers, TRUE);
	g_ptr_array_free(w->list, TRUE);
	g_ptr_array_free(all_links, TRUE);
	g_hash_table_destroy(w->keys);
	g_hash_table_destroy(w->old);
	g_hash_table_destroy(w->leases);
	g_hash_table_destroy(w->operations);
	g_queue_clear_full(&w->held, held_free);
	g_free(w);
}

/*
 * Adds a gwfleetd that starts now. Its boot id is its number, so that the
 * first one is the first to look at the election record.
 */
node_t *
world_add_node(world_t *w)
{
	fleet_config_t config = {.policy = w->policy, .data_centre = "dc1"};
	node_t *node = g_new0(node_t, 1);

	config.boot_id = 20 * w->nodes->len;
	(void)g_snprintf(
	    config.node_id, sizeof(config.node_id), "e%u", w->nodes->len + 1);
	node->world = w;
	node->metrics = gw_metrics_new();
	g_queue_init(&node->inbox);
	node->fleet =
	    fleet_new(&config, &fake_ops, node, &w->clock, node->metrics);
	node->next_tick_us = gw_clock_now_us(&w->clock);
	g_ptr_array_add(w->nodes, node);
	return node;
}

static void
run_node(node_t *node)
{
	fleet_msg_t tick = {.kind = FLEET_TICK};
	guint count = node->inbox.length;
	delivery_t *d;

	if (node->paused)
		return;
	for (; count > 0; count--) {
		d = g_queue_pop_head(&node->inbox);
		fleet_handle(node->fleet, &d->msg);
		delivery_free(d);
	}
	if (gw_clock_now_us(&node->world->clock) < node->next_tick_us)
		return;
	node->next_tick_us =
	    gw_clock_now_us(&node->world->clock) + FLEET_TICK_MS * GW_US_PER_MS;
	fleet_handle(node->fleet, &tick);
}

static void
expire_leases(world_t *w)
{
	GHashTableIter iter;
	gpointer id, end;
	uint64_t ended = 0;

	g_hash_table_iter_init(&iter, w->leases);
	while (g_hash_table_iter_next(&iter, &id, &end))
		if (*(uint64_t *)end <= gw_clock_now_us(&w->clock))
			ended = GPOINTER_TO_SIZE(id);
	if (ended != 0)
		end_lease(w, ended);
}

/*
 * Lists the router's slots; the caller frees the array and its members.
 */
static GPtrArray *
list_held(const fake_router_t *r, bool with_slots)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	GHashTable *from = with_slots ? r->granted : r->in_flight;
	GHashTableIter iter;
	gpointer id, count;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &id, &count)) {
		Gw__InstanceInFlight *entry = g_new0(Gw__InstanceInFlight, 1);

		gw__instance_in_flight__init(entry);
		entry->instance_id = id;
		if (with_slots)
			entry->slots_held = GPOINTER_TO_UINT(count);
		else
			entry->in_flight = GPOINTER_TO_UINT(count);
		g_ptr_array_add(list, entry);
	}
	return list;
}

static void
router_send_heartbeat(const world_t *w, fake_router_t *r)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__Heartbeat heartbeat = GW__HEARTBEAT__INIT;
	Gw__PoolDemand demand = GW__POOL_DEMAND__INIT, *list = &demand;
	GPtrArray *leaving;

	if (r->link == NULL || r->cut)
		return;
	heartbeat.sequence = ++r->heartbeat_sequence;
	heartbeat.sent_us = gw_clock_now_us(&w->clock);
	r->sent_us[heartbeat.sequence % WORLD_HEARTBEATS] = heartbeat.sent_us;
	heartbeat.epoch = r->epoch;
	heartbeat.table_version = r->version;
	heartbeat.generation = r->generation;
	demand.pool = "a";
	demand.slots_wanted = r->wanted;
	heartbeat.n_demand = 1;
	heartbeat.demand = &list;
	envelope.body_case = GW__ENVELOPE__BODY_HEARTBEAT;
	envelope.heartbeat = &heartbeat;
	leaving = list_held(r, false);
	heartbeat.n_leaving = leaving->len;
	heartbeat.leaving = (Gw__InstanceInFlight **)leaving->pdata;
	post_message(r->link, &envelope);
	g_ptr_array_free(leaving, TRUE);
}

/*
 * Lets ms pass: every step the nodes handle their messages and timers, and
 * every heartbeat interval the routers send.
 */
void
world_run(world_t *w, uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += WORLD_STEP_MS) {
		gw_clock_advance(&w->clock, WORLD_STEP_MS * GW_US_PER_MS);
		expire_leases(w);
		for (guint i = 0; i < w->nodes->len; i++)
			run_node(w->nodes->pdata[i]);
		if (gw_clock_now_us(&w->clock) %
			(GW_HEARTBEAT_MS * GW_US_PER_MS) !=
		    0)
			continue;
		for (guint i = 0; i < w->routers->len; i++)
			router_send_heartbeat(w, w->routers->pdata[i]);
	}
}

/*
 * Writes a key as an operator does.
 */
void
world_put(world_t *w, const char *key, const char *value)
{
	write_key(w, key, value, 0);
}

/*
 * Returns a key of the store, or NULL.
 */
const fake_key_t *
world_key(const world_t *w, const char *key)
{
	return g_hash_table_lookup(w->keys, key);
}

/*
 * Returns the table in the store; the caller frees it.
 */
member_table_t *
world_table(const world_t *w)
{
	const fake_key_t *key = world_key(w, "/gw/dc/dc1/table");
	member_table_t *table;
	gw_err_t err;

	g_assert_nonnull(key);
	table = member_table_decode(key->value, &err);
	g_assert_nonnull(table);
	return table;
}

/*
 * Adds a live worker to the platform's list.
 */
platform_instance_t *
world_add_instance(world_t *w, const char *id, uint16_t port, const char *rack)
{
	platform_instance_t *instance = g_new0(platform_instance_t, 1);

	g_strlcpy(instance->id, id, sizeof(instance->id));
	(void)g_snprintf(instance->incarnation, sizeof(instance->incarnation),
	    "%.32s.1", id);
	g_strlcpy(instance->address, "127.0.0.1", sizeof(instance->address));
	instance->port = port;
	g_strlcpy(instance->data_centre, "dc1", sizeof(instance->data_centre));
	g_strlcpy(
	    instance->failure_domain, rack, sizeof(instance->failure_domain));
	instance->state = PLATFORM_LIVE;
	g_ptr_array_add(w->list, instance);
	return instance;
}

/*
 * Returns an entry of the platform's list.
 */
platform_instance_t *
world_instance(world_t *w, const char *id)
{
	for (guint i = 0; i < w->list->len; i++) {
		platform_instance_t *instance = w->list->pdata[i];

		if (strcmp(instance->id, id) == 0)
			return instance;
	}
	g_assert_not_reached();
	return NULL;
}

/*
 * Returns the node that is the planner, or NULL; there must not be two.
 */
node_t *
world_planner(const world_t *w)
{
	node_t *found = NULL;

	for (guint i = 0; i < w->nodes->len; i++) {
		node_t *node = w->nodes->pdata[i];

		if (!fleet_is_planner(node->fleet))
			continue;
		g_assert_null(found);
		found = node;
	}
	return found;
}

/*
 * Puts a manifest and its sections into the store, as gwctl does.
 */
void
world_apply_manifest(world_t *w, uint64_t generation, const char *json)
{
	GArray *problems = g_array_new(FALSE, TRUE, sizeof(manifest_problem_t));
	manifest_t *manifest = manifest_parse(json, strlen(json), problems);
	manifest_root_t *root;
	char *text;

	g_assert_cmpuint(problems->len, ==, 0);
	manifest->generation = generation;
	root = manifest_split(manifest);
	root->generation = generation;
	for (guint i = 0; i < root->sections->len; i++) {
		const manifest_section_t *section = root->sections->pdata[i];
		g_autofree char *key =
		    g_strconcat("/gw/manifest/section/", section->hash, NULL);

		world_put(w, key, section->body);
	}
	text = manifest_root_encode(root);
	world_put(w, "/gw/manifest/root", text);
	g_free(text);
	manifest_root_free(root);
	manifest_free(manifest);
	g_array_free(problems, TRUE);
}

/*
 * Adds a router that is not connected yet.
 */
fake_router_t *
world_add_router(world_t *w, const char *id)
{
	fake_router_t *r = g_new0(fake_router_t, 1);

	g_strlcpy(r->id, id, sizeof(r->id));
	r->boot_id = 7;
	r->wanted = 4;
	r->granted =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->states =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->in_flight =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_ptr_array_add(w->routers, r);
	return r;
}

/*
 * Connects a router to a node and says Hello with the slots that it holds.
 */
void
router_connect(fake_router_t *r, node_t *node)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__Hello hello = GW__HELLO__INIT;
	GPtrArray *held = list_held(r, true);

	r->node = node;
	r->link_epoch = 0;
	r->link = link_open(node, false);
	r->link->router = r;
	hello.protocol = GW_PROTOCOL_VERSION;
	hello.node_id = r->id;
	hello.boot_id = r->boot_id;
	hello.role = GW__ROLE__ROLE_ROUTER;
	hello.data_centre = "dc1";
	hello.generation = r->generation;
	hello.epoch = r->epoch;
	hello.table_version = r->version;
	hello.n_held = held->len;
	hello.held = (Gw__InstanceInFlight **)held->pdata;
	envelope.body_case = GW__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	post_message(r->link, &envelope);
	g_ptr_array_free(held, TRUE);
}

/*
 * Breaks the router's connection.
 */
void
router_disconnect(fake_router_t *r)
{
	if (r->link != NULL)
		link_close(r->link);
}

/*
 * Sends the router's Goodbye.
 */
void
router_say_goodbye(fake_router_t *r)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__Goodbye goodbye = GW__GOODBYE__INIT;

	goodbye.boot_id = r->boot_id;
	envelope.body_case = GW__ENVELOPE__BODY_GOODBYE;
	envelope.goodbye = &goodbye;
	post_message(r->link, &envelope);
}

static void
send_ack(fake_router_t *r)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__Ack ack = GW__ACK__INIT;
	GPtrArray *leaving = list_held(r, false);

	ack.epoch = r->epoch;
	ack.table_version = r->version;
	ack.generation = r->generation;
	ack.view_sequence = r->sequence;
	ack.n_leaving = leaving->len;
	ack.leaving = (Gw__InstanceInFlight **)leaving->pdata;
	envelope.body_case = GW__ENVELOPE__BODY_ACK;
	envelope.ack = &ack;
	post_message(r->link, &envelope);
	g_ptr_array_free(leaving, TRUE);
}

/*
 * Takes a view as gwrouted does: grants count only from the gwfleetd whose
 * Contact arrived on this connection, or while no planner is known.
 */
static void
take_view(fake_router_t *r, const Gw__View *view)
{
	bool grants;

	if (view->epoch < r->epoch ||
	    (view->epoch == r->epoch && view->version < r->version))
		return;
	grants = r->contact.epoch == 0 || r->link_epoch == view->epoch;
	r->views++;
	if (view->full) {
		r->full_views++;
		g_hash_table_remove_all(r->states);
		if (grants)
			g_hash_table_remove_all(r->granted);
	}
	for (size_t i = 0; i < view->n_instances; i++) {
		const Gw__Instance *instance = view->instances[i];

		g_hash_table_replace(r->states, g_strdup(instance->id),
		    GUINT_TO_POINTER(
			instance->state | (instance->time_bound ? 256 : 0)));
		if (grants)
			g_hash_table_replace(r->granted, g_strdup(instance->id),
			    GUINT_TO_POINTER(instance->granted));
	}
	for (size_t i = 0; i < view->n_removed_ids; i++) {
		g_hash_table_remove(r->states, view->removed_ids[i]);
		g_hash_table_remove(r->granted, view->removed_ids[i]);
	}
	r->epoch = view->epoch;
	r->version = view->version;
	r->sequence = view->sequence;
	r->admitted = view->admitted;
}

static void
router_receive(fake_router_t *r, const Gw__Envelope *envelope)
{
	switch (envelope->body_case) {
	case GW__ENVELOPE__BODY_VIEW:
		take_view(r, envelope->view);
		break;
	case GW__ENVELOPE__BODY_SECTIONS:
		g_assert_cmpuint(
		    envelope->sections->generation, >, r->generation);
		r->generation = envelope->sections->generation;
		break;
	case GW__ENVELOPE__BODY_CONTACT:
		member_router_contact_renew(&r->contact,
		    envelope->contact->epoch,
		    r->sent_us[envelope->contact->sequence % WORLD_HEARTBEATS]);
		r->link_epoch = envelope->contact->epoch;
		return;
	default:
		return;
	}
	if (!r->mute_acks && r->link != NULL)
		send_ack(r);
}

/*
 * Returns the slots of an instance that the router may use.
 */
uint32_t
router_granted(const fake_router_t *r, const char *instance_id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(r->granted, instance_id));
}

/*
 * Returns an instance's state in the router's view; 0 when it is not listed.
 */
member_state_t
router_state(const fake_router_t *r, const char *instance_id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(r->states, instance_id)) &
	    255;
}

/*
 * Tells whether the router would start work on an instance now.
 */
bool
router_may_use(
    const world_t *w, const fake_router_t *r, const char *instance_id)
{
	guint state =
	    GPOINTER_TO_UINT(g_hash_table_lookup(r->states, instance_id));

	return r->admitted && router_granted(r, instance_id) > 0 &&
	    member_may_send(&r->contact, state & 255, (state & 256) != 0,
		gw_clock_now_us(&w->clock));
}
