#include <string.h>

#include "gw/log.h"
#include "router.h"
#include "view.h"

/*
 * Initializes an empty view.
 */
void
view_init(view_t *view, router_t *router)
{
	*view = (view_t){.router = router};
	view->instances =
	    g_hash_table_new(g_str_hash, g_str_equal); /* key: instance->id */
	view->retired = g_ptr_array_new();
}

/*
 * Frees the view and its instances. No attempt may be in flight.
 */
void
view_clear(view_t *view)
{
	GHashTableIter iter;
	gpointer instance;

	g_hash_table_iter_init(&iter, view->instances);
	while (g_hash_table_iter_next(&iter, NULL, &instance))
		instance_free(instance);
	for (guint i = 0; i < view->retired->len; i++)
		instance_free(view->retired->pdata[i]);
	g_hash_table_destroy(view->instances);
	g_ptr_array_unref(view->retired);
}

/*
 * Frees the instance if it is not in the view and no attempt on it is in
 * flight.
 */
void
view_free_if_unused(view_t *view, instance_t *instance)
{
	if (instance->in_view || instance->in_flight > 0)
		return;
	g_ptr_array_remove_fast(view->retired, instance);
	instance_free(instance);
}

/*
 * Removes an instance from the view. It gets no new requests, and only the
 * requests in flight keep using its connections.
 */
static void
retire(view_t *view, instance_t *instance)
{
	g_hash_table_remove(view->instances, instance->id);
	if (instance->pool != NULL)
		pool_remove_instance(instance->pool, instance);
	instance->in_view = false;
	instance_set_granted(instance, 0);
	g_ptr_array_add(view->retired, instance);
	view_free_if_unused(view, instance);
}

static instance_t *
add_instance(view_t *view, const Gw__Instance *from)
{
	instance_t *instance;
	gw_addr_t addr;
	gw_err_t err;

	if (from->port > UINT16_MAX ||
	    gw_addr_make(&addr, from->address, (uint16_t)from->port, &err) !=
		0) {
		gw_log(GW_EV_BAD_INSTANCE, "instance=%s address=%s port=%u",
		    from->id, from->address, from->port);
		return NULL;
	}
	instance = instance_new(view->router->rt, view->router->settings,
	    from->id, from->incarnation, &addr);
	instance->in_view = true;
	g_hash_table_insert(view->instances, instance->id, instance);
	return instance;
}

/*
 * Returns whether the record is for another incarnation of the instance. A
 * changed address also means another incarnation.
 */
static bool
is_replacement(const instance_t *instance, const Gw__Instance *from)
{
	char held[GW_ADDR_TEXT_BYTES], offered[GW_ADDR_TEXT_BYTES];
	gw_addr_t addr;
	gw_err_t err;

	if (strcmp(instance->incarnation, from->incarnation) != 0)
		return true;
	if (gw_addr_make(&addr, from->address, (uint16_t)from->port, &err) != 0)
		return true;
	return strcmp(gw_addr_text(&instance->addr, held),
		   gw_addr_text(&addr, offered)) != 0;
}

static void
assign_pool(view_t *view, instance_t *instance, const char *name)
{
	pool_t *pool = NULL;

	if (instance->state == MEMBER_ACTIVE && name[0] != '\0')
		pool = router_get_pool(view->router, name);
	if (instance->pool == pool)
		return;
	if (instance->pool != NULL)
		pool_remove_instance(instance->pool, instance);
	if (pool != NULL)
		pool_add_instance(pool, instance);
}

/*
 * Sets the granted slots of an instance. A grant for another incarnation is
 * ignored.
 */
static void
apply_grant(view_t *view, const Gw__Instance *from)
{
	instance_t *instance;

	instance = g_hash_table_lookup(view->instances, from->id);
	if (instance != NULL &&
	    strcmp(instance->incarnation, from->incarnation) == 0)
		instance_set_granted(instance, from->granted);
}

/*
 * Applies the state of one record, and replaces the instance if the record is
 * for another incarnation.
 */
static void
apply_state(view_t *view, const Gw__Instance *from)
{
	instance_t *instance;

	instance = g_hash_table_lookup(view->instances, from->id);
	if (instance != NULL && is_replacement(instance, from)) {
		retire(view, instance);
		instance = NULL;
	}
	if (instance == NULL)
		instance = add_instance(view, from);
	if (instance == NULL)
		return;
	instance->state = (member_state_t)from->state;
	instance->time_bound = from->time_bound;
	assign_pool(view, instance, from->pool);
}

static void
retire_by_id(view_t *view, const char *id)
{
	instance_t *instance;

	instance = g_hash_table_lookup(view->instances, id);
	if (instance != NULL)
		retire(view, instance);
}

/*
 * Retires the instances that a full view does not contain.
 */
static void
retire_missing(view_t *view, const Gw__View *from)
{
	GHashTable *named = g_hash_table_new(g_str_hash, g_str_equal);
	GList *ids, *id;

	for (size_t i = 0; i < from->n_instances; i++)
		g_hash_table_add(named, from->instances[i]->id);
	ids = g_hash_table_get_keys(view->instances);
	for (id = ids; id != NULL; id = id->next)
		if (!g_hash_table_contains(named, id->data))
			retire_by_id(view, id->data);
	g_list_free(ids);
	g_hash_table_destroy(named);
}

/*
 * Applies a view. The states of the instances are applied when the view is at
 * least as new as the one held, and the grants when the planner sent it. A
 * delta whose base is newer than the version held is rejected, since the
 * changes in between would be missed. One with an older base repeats known
 * records, which is harmless.
 */
view_result_t
view_apply(view_t *view, const Gw__View *from, bool from_planner)
{
	bool is_current;

	is_current = !member_adopt_view(
	    from->epoch, from->version, view->epoch, view->version);
	if (!from->full && is_current &&
	    (from->epoch != view->epoch || from->base_version > view->version))
		return VIEW_GAP;
	for (size_t i = 0; is_current && i < from->n_instances; i++)
		apply_state(view, from->instances[i]);
	for (size_t i = 0; from_planner && i < from->n_instances; i++)
		apply_grant(view, from->instances[i]);
	if (is_current && from->full)
		retire_missing(view, from);
	for (size_t i = 0; is_current && i < from->n_removed_ids; i++)
		retire_by_id(view, from->removed_ids[i]);
	if (is_current) {
		view->epoch = from->epoch;
		view->version = from->version;
	}
	if (from->admitted && !view->admitted) {
		view->admitted = true;
		gw_log(GW_EV_ADMITTED, "epoch=%" PRIu64 " version=%" PRIu64,
		    from->epoch, from->version);
	}
	router_refresh(view->router);
	return VIEW_APPLIED;
}

/*
 * Calls fn for each instance, including retired ones.
 */
void
view_foreach(view_t *view, void (*fn)(instance_t *, void *), void *arg)
{
	GHashTableIter iter;
	gpointer instance;

	g_hash_table_iter_init(&iter, view->instances);
	while (g_hash_table_iter_next(&iter, NULL, &instance))
		fn(instance, arg);
	for (guint i = 0; i < view->retired->len; i++)
		fn(view->retired->pdata[i], arg);
}
