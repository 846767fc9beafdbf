#include "instance.h"

static const char *const state_names[] = {"live", "leaving", "ended"};

static void
copy_text(const json_t *from, const char *key, char *to, gsize size_bytes,
    const char *initial)
{
	const char *text = json_string_value(json_object_get(from, key));

	g_strlcpy(to, text == NULL ? initial : text, size_bytes);
}

static uint32_t
number(const json_t *from, const char *key, uint32_t initial)
{
	const json_t *value = json_object_get(from, key);

	if (!json_is_integer(value))
		return initial;
	return (uint32_t)json_integer_value(value);
}

/*
 * Makes a live instance from its JSON description. Returns NULL when it has no
 * id.
 */
instance_t *
instance_new(const json_t *from)
{
	instance_t *instance;

	if (json_string_value(json_object_get(from, "id")) == NULL)
		return NULL;
	instance = g_new0(instance_t, 1);
	copy_text(from, "id", instance->id, sizeof(instance->id), "");
	copy_text(from, "address", instance->address, sizeof(instance->address),
	    "127.0.0.1");
	copy_text(from, "data_centre", instance->data_centre,
	    sizeof(instance->data_centre), "dc1");
	copy_text(from, "failure_domain", instance->failure_domain,
	    sizeof(instance->failure_domain), "rack1");
	copy_text(
	    from, "kind", instance->kind, sizeof(instance->kind), "worker");
	instance->port = (uint16_t)number(from, "port", 0);
	instance->cpu_millis = number(from, "cpu_millis", 16000);
	instance->memory_mib = number(from, "memory_mib", 65536);
	instance->accelerators = number(from, "accelerators", 0);
	instance->incarnation = 1;
	instance->operations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return instance;
}

/*
 * Frees an instance. Takes void * to serve as a GDestroyNotify.
 */
void
instance_free(void *ptr)
{
	instance_t *instance = ptr;

	g_hash_table_destroy(instance->operations);
	g_free(instance);
}

/*
 * Returns the instance's entry of the list.
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
 * Makes the instance live under its next incarnation.
 */
void
instance_renew(instance_t *instance)
{
	instance->incarnation++;
	instance->state = INSTANCE_LIVE;
	instance->reboot_due_us = 0;
}
