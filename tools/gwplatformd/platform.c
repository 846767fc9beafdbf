#include <stdlib.h>

#include "platform.h"

static void
snapshot_free(gpointer ptr)
{
	snapshot_t *snapshot = ptr;

	free(snapshot->text);
	g_free(snapshot);
}

static gint
compare_ids(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(a, b);
}

/*
 * Returns the values of a table as a JSON array, sorted by id.
 */
static json_t *
sorted_json(GHashTable *table, json_t *(*encode)(const void *))
{
	json_t *array = json_array();
	GList *keys;

	keys = g_list_sort(g_hash_table_get_keys(table), compare_ids);
	for (GList *key = keys; key != NULL; key = key->next)
		(void)json_array_append_new(
		    array, encode(g_hash_table_lookup(table, key->data)));
	g_list_free(keys);
	return array;
}

static json_t *
encode_instance(const void *instance)
{
	return instance_json(instance);
}

/*
 * Returns the sum of the resources that the instance's running tasks use.
 */
static json_t *
instance_usage_json(const platform_t *platform, const instance_t *instance)
{
	uint32_t cpu_millis = 0, memory_mib = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const task_t *task = value;

		if (task->state != TASK_RUNNING ||
		    g_strcmp0(task->instance_id, instance->id) != 0)
			continue;
		cpu_millis += task->cpu_millis * task->share_percent / 100;
		memory_mib += task->memory_mib;
	}
	return json_pack("{s:s, s:i, s:i}", "id", instance->id, "cpu_millis",
	    (int)cpu_millis, "memory_mib", (int)memory_mib);
}

static json_t *
usage_json(const platform_t *platform)
{
	json_t *array = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->instances);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		(void)json_array_append_new(
		    array, instance_usage_json(platform, value));
	return array;
}

static void
push_snapshot(platform_t *platform, GQueue *queue, json_t *array)
{
	snapshot_t *snapshot;
	json_t *body;

	body = json_pack("{s:o, s:I}", "instances", array, "as_of_ms",
	    (json_int_t)(gw_rt_now_us(platform->rt) / GW_US_PER_MS));
	snapshot = g_new0(snapshot_t, 1);
	snapshot->at_us = gw_rt_now_us(platform->rt);
	snapshot->text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	g_queue_push_tail(queue, snapshot);
}

/*
 * Drops the snapshots before the latest one that is at least lag_ms old. The
 * latter becomes the queue's head, which is reported.
 */
static void
drop_old_snapshots(const platform_t *platform, GQueue *queue, uint32_t lag_ms)
{
	uint64_t cutoff_us;

	cutoff_us = gw_rt_now_us(platform->rt) - lag_ms * GW_US_PER_MS;
	while (queue->length > 1 &&
	    ((snapshot_t *)queue->head->next->data)->at_us <= cutoff_us)
		snapshot_free(g_queue_pop_head(queue));
}

/*
 * Takes a snapshot of the instance list and of the usage after a change, for
 * responses that lag behind.
 */
void
platform_take_snapshots(platform_t *platform)
{
	push_snapshot(platform, &platform->list_snapshots,
	    sorted_json(platform->instances, encode_instance));
	push_snapshot(
	    platform, &platform->usage_snapshots, usage_json(platform));
}

/*
 * Finishes the reboots that are due. Returns whether there was one.
 */
static bool
finish_reboots(platform_t *platform, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	g_hash_table_iter_init(&iter, platform->instances);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		instance_t *instance = value;

		if (instance->reboot_due_us == 0 ||
		    instance->reboot_due_us > now_us)
			continue;
		instance_restart(instance);
		changed = true;
	}
	return changed;
}

/*
 * Updates the tasks' work and state. Tasks on an instance that has ended,
 * reboots or has restarted are lost. Returns whether a state has changed.
 */
static bool
update_tasks(platform_t *platform, uint64_t now_us)
{
	const instance_t *instance;
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	g_hash_table_iter_init(&iter, platform->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		task_t *task = value;
		task_state_t before = task->state;

		task_update(task, now_us);
		instance =
		    g_hash_table_lookup(platform->instances, task->instance_id);
		if (task->state == TASK_RUNNING &&
		    (instance == NULL || instance->state == INSTANCE_ENDED ||
			instance->reboot_due_us != 0 ||
			instance->incarnation != task->incarnation))
			task->state = TASK_LOST;
		changed = changed || task->state != before;
	}
	return changed;
}

static void
on_tick(gw_timer_t *timer, void *arg)
{
	platform_t *platform = arg;
	uint64_t now_us = gw_rt_now_us(platform->rt);
	bool changed;

	changed = finish_reboots(platform, now_us);
	changed = update_tasks(platform, now_us) || changed;
	if (changed)
		platform_take_snapshots(platform);
	if (!platform->stale)
		drop_old_snapshots(
		    platform, &platform->list_snapshots, platform->list_lag_ms);
	drop_old_snapshots(
	    platform, &platform->usage_snapshots, platform->usage_lag_ms);
	gw_timer_start(platform->rt, timer, PLATFORM_TICK_MS * GW_US_PER_MS,
	    on_tick, platform);
}

/*
 * Initialises a platform without instances and starts its timer.
 */
void
platform_init(platform_t *platform, gw_rt_t *rt)
{
	platform->rt = rt;
	platform->instances = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, instance_free);
	platform->tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, task_free);
	g_queue_init(&platform->list_snapshots);
	g_queue_init(&platform->usage_snapshots);
	platform_take_snapshots(platform);
	on_tick(&platform->timer, platform);
}

/*
 * Frees the platform's state.
 */
void
platform_clear(platform_t *platform)
{
	gw_timer_stop(&platform->timer);
	g_hash_table_destroy(platform->instances);
	g_hash_table_destroy(platform->tasks);
	g_queue_clear_full(&platform->list_snapshots, snapshot_free);
	g_queue_clear_full(&platform->usage_snapshots, snapshot_free);
}

/*
 * Returns the instance list as JSON, as old as the configured lag.
 */
const char *
platform_list_json(const platform_t *platform)
{
	return ((const snapshot_t *)platform->list_snapshots.head->data)->text;
}

/*
 * Returns the usage as JSON, as old as the configured lag.
 */
const char *
platform_usage_json(const platform_t *platform)
{
	return ((const snapshot_t *)platform->usage_snapshots.head->data)->text;
}

/*
 * Adds an instance from its JSON description. Returns 0, or -1 when the id is
 * missing or already used.
 */
int
platform_add(platform_t *platform, const json_t *from)
{
	instance_t *instance;

	instance = instance_new(from);
	if (instance == NULL)
		return -1;
	if (g_hash_table_contains(platform->instances, instance->id)) {
		instance_free(instance);
		return -1;
	}
	g_hash_table_insert(
	    platform->instances, g_strdup(instance->id), instance);
	return 0;
}

/*
 * Begins a reboot, once per operation id. Returns 0, or -1 when the instance is
 * unknown or has ended.
 */
int
platform_reboot(platform_t *platform, const char *id, const char *operation)
{
	instance_t *instance;

	instance = g_hash_table_lookup(platform->instances, id);
	if (instance == NULL || instance->state == INSTANCE_ENDED)
		return -1;
	if (!g_hash_table_add(instance->operation_ids, g_strdup(operation)))
		return 0;
	instance->reboots++;
	instance->reboot_due_us = gw_rt_now_us(platform->rt) +
	    MAX(platform->reboot_ms, 1) * GW_US_PER_MS;
	platform_take_snapshots(platform);
	return 0;
}
