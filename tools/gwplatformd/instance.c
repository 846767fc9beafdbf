#include "instance.h"

static const char *const state_names[] = {"live", "leaving", "ended"};

/*
 * Copies a string member to a buffer; a missing one yields the default value.
 */
static void
copy_string(const json_t *from, const char *key, char *to, gsize size_bytes,
    const char *default_value)
{
	const char *text = json_string_value(json_object_get(from, key));

	g_strlcpy(to, text == NULL ? default_value : text, size_bytes);
}

static uint32_t
get_number(const json_t *from, const char *key, uint32_t default_value)
{
	const json_t *value = json_object_get(from, key);

	if (!json_is_integer(value))
		return default_value;
	return (uint32_t)json_integer_value(value);
}

/*
 * Returns a live instance made from its JSON description, or NULL when the
 * description has no id.
 */
instance_t *
instance_new(const json_t *from)
{
	instance_t *instance;

	if (json_string_value(json_object_get(from, "id")) == NULL)
		return NULL;
	instance = g_new0(instance_t, 1);
	copy_string(from, "id", instance->id, sizeof(instance->id), "");
	copy_string(from, "address", instance->address,
	    sizeof(instance->address), "127.0.0.1");
	copy_string(from, "data_centre", instance->data_centre,
	    sizeof(instance->data_centre), "dc1");
	copy_string(from, "failure_domain", instance->failure_domain,
	    sizeof(instance->failure_domain), "rack1");
	copy_string(
	    from, "kind", instance->kind, sizeof(instance->kind), "worker");
	instance->port = (uint16_t)get_number(from, "port", 0);
	instance->cpu_millis = get_number(from, "cpu_millis", 16000);
	instance->memory_mib = get_number(from, "memory_mib", 65536);
	instance->accelerators = get_number(from, "accelerators", 0);
	instance->incarnation = 1;
	instance->operation_ids =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return instance;
}

/*
 * Frees an instance; a GDestroyNotify.
 */
void
instance_free(void *ptr)
{
	instance_t *instance = ptr;

	g_hash_table_destroy(instance->operation_ids);
	g_free(instance);
}

/*
 * Returns the instance's entry in the instance list.
 */
json_t *
instance_json(const instance_t *instance)
{
	char incarnation[96];

	(void)g_snprintf(incarnation, sizeof(incarnation), "%s.%u",
	    instance->id, instance->incarnation);
	return json_pack(
	    "{s:s, s:s, s:s, s:i, s:s, s:s, s:s, s:s, s:i, s:{s:i, s:i, s:i}}",
	    "id", instance->id, "incarnation", incarnation, "address",
	    instance->address, "port", (int)instance->port, "data_centre",
	    instance->data_centre, "failure_domain", instance->failure_domain,
	    "kind", instance->kind, "state", state_names[instance->state],
	    "reboots", (int)instance->reboots, "capacity", "cpu_millis",
	    (int)instance->cpu_millis, "memory_mib", (int)instance->memory_mib,
	    "accelerators", (int)instance->accelerators);
}

/*
 * Makes the instance live again, with its next incarnation.
 */
void
instance_restart(instance_t *instance)
{
	instance->incarnation++;
	instance->state = INSTANCE_LIVE;
	instance->reboot_due_us = 0;
}
