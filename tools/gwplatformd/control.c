#include <string.h>

#include "platform.h"

/* An action that a request to /v1/control can name. */
typedef struct {
	const char *name;
	int (*apply)(platform_t *, instance_t *, const json_t *);
	bool needs_instance;
} action_t;

static int
do_end(platform_t *platform, instance_t *instance, const json_t *body)
{
	(void)platform;
	(void)body;
	instance->state = INSTANCE_ENDED;
	instance->reboot_due_us = 0;
	return 0;
}

static int
do_leave(platform_t *platform, instance_t *instance, const json_t *body)
{
	(void)platform;
	(void)body;
	instance->state = INSTANCE_LEAVING;
	return 0;
}

static int
do_restart(platform_t *platform, instance_t *instance, const json_t *body)
{
	(void)platform;
	(void)body;
	instance_restart(instance);
	return 0;
}

/*
 * Ends the instance and adds another one at its address.
 */
static int
do_replace(platform_t *platform, instance_t *instance, const json_t *body)
{
	json_t *copy;
	char id[64];
	int rc;

	(void)body;
	(void)g_snprintf(id, sizeof(id), "%.40s-r%" G_GUINT64_FORMAT,
	    instance->id, ++platform->replacement_count);
	instance->state = INSTANCE_ENDED;
	copy = instance_json(instance);
	(void)json_object_set_new(copy, "id", json_string(id));
	rc = platform_add(platform, copy);
	json_decref(copy);
	return rc;
}

static int
do_add(platform_t *platform, instance_t *instance, const json_t *body)
{
	(void)instance;
	return platform_add(platform, json_object_get(body, "instance"));
}

static int
do_set(platform_t *platform, instance_t *instance, const json_t *body)
{
	const json_t *value;

	(void)instance;
	if ((value = json_object_get(body, "down")) != NULL)
		platform->down = json_is_true(value);
	if ((value = json_object_get(body, "stale")) != NULL)
		platform->stale = json_is_true(value);
	if ((value = json_object_get(body, "list_lag_ms")) != NULL)
		platform->list_lag_ms = (uint32_t)json_integer_value(value);
	if ((value = json_object_get(body, "reboot_ms")) != NULL)
		platform->reboot_ms = (uint32_t)json_integer_value(value);
	return 0;
}

static const action_t actions[] = {
    {"end", do_end, true},
    {"leave", do_leave, true},
    {"restart", do_restart, true},
    {"replace", do_replace, true},
    {"add", do_add, false},
    {"set", do_set, false},
};

/*
 * Applies {"do": ACTION, "id": INSTANCE, ...}. Returns 0, or -1 when the action
 * or the instance is unknown, or when an instance to add has no id or one that
 * is already in use.
 */
int
platform_control(platform_t *platform, const json_t *body)
{
	const char *name = json_string_value(json_object_get(body, "do"));
	const char *id = json_string_value(json_object_get(body, "id"));
	instance_t *instance;
	int rc;

	if (name == NULL)
		return -1;
	instance =
	    id == NULL ? NULL : g_hash_table_lookup(platform->instances, id);
	for (size_t i = 0; i < G_N_ELEMENTS(actions); i++) {
		if (strcmp(actions[i].name, name) != 0)
			continue;
		if (actions[i].needs_instance && instance == NULL)
			return -1;
		rc = actions[i].apply(platform, instance, body);
		platform_take_snapshots(platform);
		return rc;
	}
	return -1;
}
