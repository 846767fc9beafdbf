#include <stdlib.h>
#include <string.h>

#include "fleet_state.h"
#include "gw/log.h"
#include "wave.h"

/*
 * Frees a wave. Takes void * to serve as a GDestroyNotify.
 */
void
wave_free(void *ptr)
{
	plan_wave_t *wave = ptr;

	g_hash_table_destroy(wave->done);
	g_hash_table_destroy(wave->failed);
	g_free(wave);
}

static plan_wave_t *
wave_new(const char *name)
{
	plan_wave_t *wave = g_new0(plan_wave_t, 1);

	g_strlcpy(wave->name, name, sizeof(wave->name));
	wave->done =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	wave->failed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return wave;
}

/*
 * Returns the progress of a wave, or NULL when it was never started.
 */
plan_wave_t *
wave_find(const fleet_t *fleet, const char *name)
{
	for (guint i = 0; i < fleet->waves->len; i++) {
		plan_wave_t *wave = fleet->waves->pdata[i];

		if (strcmp(wave->name, name) == 0)
			return wave;
	}
	return NULL;
}

static gint
compare_ids(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static json_t *
ids_json(GHashTable *ids)
{
	json_t *array = json_array();
	GList *list;

	list = g_list_sort(g_hash_table_get_keys(ids), compare_ids);
	for (GList *l = list; l != NULL; l = l->next)
		(void)json_array_append_new(array, json_string(l->data));
	g_list_free(list);
	return array;
}

/*
 * Returns the waves as a JSON array.
 */
json_t *
waves_json(const GPtrArray *waves)
{
	json_t *array = json_array();

	for (guint i = 0; i < waves->len; i++) {
		const plan_wave_t *wave = waves->pdata[i];

		(void)json_array_append_new(array,
		    json_pack("{s:s, s:b, s:b, s:s, s:o, s:o}", "name",
			wave->name, "started", wave->started, "halted",
			wave->halted, "halt_reason", wave->halt_reason, "done",
			ids_json(wave->done), "failed",
			ids_json(wave->failed)));
	}
	return array;
}

static void
take_ids(GHashTable *ids, const json_t *array)
{
	const json_t *id;
	size_t i;

	json_array_foreach(array, i, id)
	{
		if (json_is_string(id))
			g_hash_table_add(ids, g_strdup(json_string_value(id)));
	}
}

static void
take_wave(fleet_t *fleet, const json_t *from)
{
	const char *name = json_string_value(json_object_get(from, "name"));
	const char *reason =
	    json_string_value(json_object_get(from, "halt_reason"));
	plan_wave_t *wave;

	if (name == NULL)
		return;
	wave = wave_new(name);
	wave->started = json_is_true(json_object_get(from, "started"));
	wave->halted = json_is_true(json_object_get(from, "halted"));
	if (reason != NULL)
		g_strlcpy(wave->halt_reason, reason, sizeof(wave->halt_reason));
	take_ids(wave->done, json_object_get(from, "done"));
	take_ids(wave->failed, json_object_get(from, "failed"));
	g_ptr_array_add(fleet->waves, wave);
}

/*
 * Takes the waves as an earlier planner left them.
 */
static void
on_waves_read(fleet_t *fleet, record_t *record)
{
	json_t *root = NULL;
	const json_t *from;
	size_t i;

	if (record->value != NULL)
		root = json_loads(record->value, 0, NULL);
	g_ptr_array_set_size(fleet->waves, 0);
	json_array_foreach(json_object_get(root, "waves"), i, from)
	    take_wave(fleet, from);
	json_decref(root);
	fleet->waves_loaded = true;
}

static void
answer(fleet_t *fleet, int status, const char *text)
{
	if (fleet->wave_request != NULL)
		fleet->ops->reply(
		    fleet->ctx, fleet->wave_request, status, text);
	fleet->wave_request = NULL;
}

static void
on_waves_written(fleet_t *fleet, record_t *record)
{
	(void)record;
	fleet->dirty = true;
	if (!fleet->waves_changed)
		answer(fleet, 200, "{}");
}

/*
 * Only a planner with a higher epoch writes the waves of this data centre.
 */
static void
on_waves_lost(fleet_t *fleet, record_t *record)
{
	(void)record;
	election_step_down(fleet, "the waves were written by another planner");
}

const record_ops_t waves_ops = {
    .on_read = on_waves_read,
    .on_written = on_waves_written,
    .on_lost = on_waves_lost,
};

/*
 * The serial number makes each value differ from the one before.
 */
static char *
waves_text(fleet_t *fleet)
{
	json_t *root;
	char *text, *copy;

	root = json_pack("{s:I, s:I, s:o}", "epoch",
	    (json_int_t)fleet->election.lease.epoch, "serial",
	    (json_int_t)++fleet->calls.last, "waves", waves_json(fleet->waves));
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	copy = g_strdup(text);
	free(text);
	json_decref(root);
	return copy;
}

/*
 * Loads the waves once in a term, and writes them when they have changed.
 */
void
waves_tick(fleet_t *fleet)
{
	record_t *record = &fleet->waves_record;

	record_tick(fleet, record);
	if (!record_idle(record))
		return;
	if (!fleet->waves_loaded) {
		record_read(fleet, record);
	} else if (fleet->waves_changed) {
		fleet->waves_changed = false;
		record_write(fleet, record, waves_text(fleet));
	}
}

static void
start(fleet_t *fleet, plan_wave_t *wave)
{
	if (wave->started && !wave->halted)
		return;
	if (!wave->halted)
		g_hash_table_remove_all(wave->done);
	g_hash_table_remove_all(wave->failed);
	wave->started = true;
	wave->halted = false;
	wave->halt_reason[0] = '\0';
	fleet->waves_changed = true;
	gw_log(GW_EV_WAVE, "wave=%s state=started", wave->name);
}

static void
halt(fleet_t *fleet, plan_wave_t *wave, const char *reason)
{
	if (!wave->started || wave->halted)
		return;
	wave->halted = true;
	g_strlcpy(wave->halt_reason, reason, sizeof(wave->halt_reason));
	fleet->waves_changed = true;
	gw_log(GW_EV_WAVE, "wave=%s state=halted reason=\"%s\"", wave->name,
	    reason);
}

static bool
in_manifest(const fleet_t *fleet, const char *name)
{
	const manifest_t *manifest = fleet->generation.manifest;

	for (guint i = 0; manifest != NULL && i < manifest->waves->len; i++)
		if (strcmp(
			g_array_index(manifest->waves, manifest_wave_t, i).name,
			name) == 0)
			return true;
	return false;
}

/*
 * Starts or halts a wave for an operator. A halted wave goes on where it
 * stopped; a finished one begins anew. The answer follows when the state is in
 * the store.
 */
void
wave_command(fleet_t *fleet, const fleet_msg_t *msg)
{
	plan_wave_t *wave = wave_find(fleet, msg->wave);
	int status = 0;

	if (!fleet->claimed || !fleet->waves_loaded)
		status = 409;
	else if (!in_manifest(fleet, msg->wave))
		status = 404;
	else if (fleet->wave_request != NULL)
		status = 503;
	if (status != 0) {
		fleet->ops->reply(fleet->ctx, msg->request, status, NULL);
		return;
	}
	if (wave == NULL) {
		wave = wave_new(msg->wave);
		g_ptr_array_add(fleet->waves, wave);
	}
	fleet->wave_request = msg->request;
	if (msg->start)
		start(fleet, wave);
	else
		halt(fleet, wave, "an operator halted it");
	if (!fleet->waves_changed && record_idle(&fleet->waves_record))
		answer(fleet, 200, "{}");
	waves_tick(fleet);
}

static bool
wave_covers(const fleet_t *fleet, const char *name, const char *pool)
{
	const manifest_t *manifest = fleet->generation.manifest;

	for (guint i = 0; manifest != NULL && i < manifest->waves->len; i++) {
		const manifest_wave_t *wave =
		    &g_array_index(manifest->waves, manifest_wave_t, i);

		if (strcmp(wave->name, name) != 0)
			continue;
		for (guint j = 0; j < wave->pools->len; j++)
			if (strcmp(wave->pools->pdata[j], pool) == 0)
				return true;
	}
	return false;
}

/*
 * Halts the running waves that cover the instance's pool: it did not come back.
 */
void
wave_failed(fleet_t *fleet, const char *instance_id)
{
	const member_instance_t *instance =
	    member_table_find(fleet->table, instance_id);

	for (guint i = 0; instance != NULL && i < fleet->waves->len; i++) {
		plan_wave_t *wave = fleet->waves->pdata[i];

		if (!wave->started ||
		    !wave_covers(fleet, wave->name, instance->home_pool))
			continue;
		g_hash_table_add(wave->failed, g_strdup(instance_id));
		fleet->waves_changed = true;
		halt(fleet, wave, "an instance did not pass its check");
	}
}

/*
 * Notes that a rebooted instance has passed its check. Returns true once the
 * waves in the store say so, or when no running wave wants to know.
 */
bool
wave_done(fleet_t *fleet, const member_instance_t *instance)
{
	if (instance->purpose != MEMBER_PURPOSE_REBOOT)
		return true;
	for (guint i = 0; i < fleet->waves->len; i++) {
		plan_wave_t *wave = fleet->waves->pdata[i];

		if (!wave->started ||
		    !wave_covers(fleet, wave->name, instance->home_pool) ||
		    g_hash_table_contains(wave->done, instance->id))
			continue;
		g_hash_table_add(wave->done, g_strdup(instance->id));
		fleet->waves_changed = true;
		gw_log(GW_EV_WAVE, "wave=%s state=progress instance=%s done=%u",
		    wave->name, instance->id, g_hash_table_size(wave->done));
	}
	return !fleet->waves_changed && record_idle(&fleet->waves_record);
}

static bool
is_finished(const fleet_t *fleet, const plan_wave_t *wave)
{
	for (guint i = 0; i < fleet->table->instances->len; i++) {
		const member_instance_t *instance =
		    fleet->table->instances->pdata[i];

		if (instance->state != MEMBER_ENDED &&
		    wave_covers(fleet, wave->name, instance->home_pool) &&
		    !g_hash_table_contains(wave->done, instance->id))
			return false;
	}
	return true;
}

/*
 * Ends the waves that have done all their instances.
 */
void
waves_finish(fleet_t *fleet)
{
	for (guint i = 0; i < fleet->waves->len; i++) {
		plan_wave_t *wave = fleet->waves->pdata[i];

		if (!wave->started || wave->halted || !is_finished(fleet, wave))
			continue;
		wave->started = false;
		fleet->waves_changed = true;
		gw_log(GW_EV_WAVE, "wave=%s state=finished done=%u", wave->name,
		    g_hash_table_size(wave->done));
	}
}
