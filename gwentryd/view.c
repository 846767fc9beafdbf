#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "platform/registry.h"
#include "store/follow.h"
#include "view.h"

/*
 * Pause after changes of the registry, so that several are handled together.
 * Moves and waves change many entries at a time, and each response of the store
 * costs a call by every process that follows the registry.
 */
#define REGISTRY_BATCH_MS 150

struct view {
	gw_rt_t *rt;
	store_t *store;
	const view_ops_t *ops;
	void *arg;
	store_follow_t *operators;  /* keys that the operators write */
	store_follow_t *registry;   /* NULL until instances are followed */
	sched_config_t *config;	    /* in force; NULL before the first */
	uint64_t config_current_us; /* see view_config_current_us() */
	uint64_t config_revision;   /* see view_config_revision() */
	GHashTable *instances;	    /* id -> sched_instance_info_t */
	GPtrArray *waves;	    /* plat_wave_t */
};

static void
info_free(gpointer data)
{
	plat_instance_clear(data);
	g_free(data);
}

/*
 * Puts a configuration in force. One that cannot be decoded or is not newer
 * than the one in force is logged and ignored.
 */
static void
apply_config(view_t *view, const store_item_t *item, bool is_next)
{
	sched_config_t *config;
	gw_err_t err;

	config = plat_config_decode(item->value, item->size_bytes, &err);
	if (config == NULL) {
		gw_log(GW_EV_CONFIG_IGNORED, "revision=%" PRIu64 " text=\"%s\"",
		    item->mod_revision, err.text);
		return;
	}
	if (view->config != NULL && config->version <= view->config->version) {
		gw_log(GW_EV_CONFIG_IGNORED,
		    "version=%" PRIu64 " in_force=%" PRIu64 " reason=not-newer",
		    config->version, view->config->version);
		sched_config_free(config);
		return;
	}
	sched_config_free(view->config);
	view->config = config;
	gw_log(GW_EV_CONFIG,
	    "version=%" PRIu64 " revision=%" PRIu64
	    " queues=%u pools=%u teams=%u keys=%u",
	    config->version, item->mod_revision, config->queues->len,
	    config->pools->len, config->teams->len, config->keys->len);
	view->ops->on_config(config, is_next, view->arg);
}

static void
take_config(view_t *view, const store_item_t *item, bool is_next)
{
	if (item->removed || item->mod_revision <= view->config_revision)
		return;
	view->config_revision = item->mod_revision;
	apply_config(view, item, is_next);
}

/*
 * Takes the configuration from an item of which the follower has not reported
 * all earlier changes yet.
 */
void
view_take_config(view_t *view, const store_item_t *item)
{
	take_config(view, item, false);
}

uint64_t
view_config_revision(const view_t *view)
{
	return view->config_revision;
}

static void
add_wave(view_t *view, const store_item_t *item)
{
	plat_wave_t *wave;
	gw_err_t err;

	wave = plat_wave_decode(item->value, item->size_bytes, &err);
	if (wave == NULL) {
		gw_log(GW_EV_ENTRY_IGNORED, "key=%s text=\"%s\"", item->key,
		    err.text);
		return;
	}
	g_ptr_array_add(view->waves, wave);
	view->ops->on_wave(wave, view->arg);
}

static void
on_operator_item(const store_item_t *item, void *arg)
{
	view_t *view = arg;

	if (item->removed)
		return;
	if (plat_is_config_key(item->key))
		take_config(
		    view, item, !store_follow_is_listing(view->operators));
	else if (g_str_has_prefix(item->key, PLAT_WAVE_KEY_PREFIX))
		add_wave(view, item);
}

static void
remove_instance(view_t *view, const char *id)
{
	if (g_hash_table_remove(view->instances, id))
		view->ops->on_instance_removed(id, view->arg);
}

static void
on_registry_item(const store_item_t *item, void *arg)
{
	view_t *view = arg;
	const char *id = item->key + strlen(PLAT_INSTANCE_KEY_PREFIX);
	sched_instance_info_t *info;
	gw_err_t err;

	if (item->removed) {
		remove_instance(view, id);
		return;
	}
	info = g_new0(sched_instance_info_t, 1);
	if (plat_instance_decode(
		info, id, item->value, item->size_bytes, &err) != 0) {
		gw_log(GW_EV_ENTRY_IGNORED, "key=%s text=\"%s\"", item->key,
		    err.text);
		g_free(info);
		remove_instance(view, id);
		return;
	}
	g_hash_table_replace(view->instances, info->id, info);
	view->ops->on_instance(info, view->arg);
}

static void
on_listed(void *arg)
{
	(void)arg;
}

static void
on_operators_current(uint64_t at_us, void *arg)
{
	view_t *view = arg;

	view->config_current_us = at_us;
	view->ops->on_config_current(at_us, view->arg);
}

/* Contact with the store is reported by the roles' follower. */
static void
on_contact(const gw_err_t *err, void *arg)
{
	(void)err;
	(void)arg;
}

static const store_follow_ops_t operator_ops = {.on_item = on_operator_item,
    .on_listed = on_listed,
    .on_current = on_operators_current,
    .on_contact = on_contact};
static const store_follow_ops_t registry_ops = {.on_item = on_registry_item,
    .on_listed = on_listed,
    .on_contact = on_contact};

/*
 * Begins to follow the operators' keys.
 */
view_t *
view_new(gw_rt_t *rt, store_t *store, const view_ops_t *ops, void *arg)
{
	view_t *view = g_new0(view_t, 1);

	view->rt = rt;
	view->store = store;
	view->ops = ops;
	view->arg = arg;
	view->instances =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, info_free);
	view->waves =
	    g_ptr_array_new_with_free_func((GDestroyNotify)plat_wave_free);
	view->operators = store_follow(
	    store, PLAT_OPERATOR_KEY_PREFIX, 0, &operator_ops, view);
	return view;
}

/*
 * Begins to follow the registry, unless it is followed already.
 */
void
view_follow_instances(view_t *view)
{
	if (view->registry == NULL)
		view->registry =
		    store_follow(view->store, PLAT_INSTANCE_KEY_PREFIX,
			REGISTRY_BATCH_MS, &registry_ops, view);
}

/*
 * Returns the configuration in force, which the view owns.
 */
const sched_config_t *
view_config(const view_t *view)
{
	return view->config;
}

/*
 * Returns the latest time at which the configuration in force is known to have
 * been the newest one in the store; 0: none.
 */
uint64_t
view_config_current_us(const view_t *view)
{
	return view->config_current_us;
}

void
view_replay_instances(const view_t *view,
    void (*cb)(const sched_instance_info_t *, void *), void *arg)
{
	GHashTableIter iter;
	sched_instance_info_t *info;

	g_hash_table_iter_init(&iter, view->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&info))
		cb(info, arg);
}

void
view_replay_waves(
    const view_t *view, void (*cb)(const plat_wave_t *, void *), void *arg)
{
	for (guint i = 0; i < view->waves->len; i++)
		cb(view->waves->pdata[i], arg);
}

/*
 * Counts the instances of each pool, and returns the largest count.
 */
uint32_t
view_largest_pool_instances(const view_t *view)
{
	g_autoptr(GHashTable) counts =
	    g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	sched_instance_info_t *info;
	uint32_t largest = 0;

	g_hash_table_iter_init(&iter, view->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&info)) {
		uint32_t count = 1 +
		    GPOINTER_TO_UINT(g_hash_table_lookup(counts, info->pool));

		g_hash_table_insert(
		    counts, info->pool, GUINT_TO_POINTER(count));
		largest = MAX(largest, count);
	}
	return largest;
}

uint32_t
view_instance_count(const view_t *view)
{
	return g_hash_table_size(view->instances);
}
