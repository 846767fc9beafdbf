#include <string.h>

#include <jansson.h>

#include "member/member.h"

/*
 * Sets an error about a key of the table or of one item, and returns -1.
 */
static int
fail(gw_err_t *err, const char *item_id, const char *key, const char *reason)
{
	gw_err_set(err, GW_ERR_INVALID, "decode table", item_id, "%s: %s", key,
	    reason);
	return -1;
}

/*
 * Reads a name into dest[GW_NAME_BYTES]. An absent optional name leaves dest
 * unchanged.
 */
static int
get_name(
    char *dest, json_t *object, const char *key, bool required, gw_err_t *err)
{
	json_t *value;

	value = json_object_get(object, key);
	if (value == NULL && !required)
		return 0;
	if (!json_is_string(value) || json_string_length(value) == 0)
		return fail(err, "", key, "not a non-empty string");
	if (g_strlcpy(dest, json_string_value(value), GW_NAME_BYTES) >=
	    GW_NAME_BYTES)
		return fail(err, "", key, "longer than 63 bytes");
	return 0;
}

/*
 * Reads a whole number of at most max. An absent optional number leaves dest
 * unchanged. A router's boot id uses all 64 bits and is stored as the signed
 * number with the same bits.
 */
static int
get_number(uint64_t *dest, json_t *object, const char *key, bool required,
    uint64_t max, gw_err_t *err)
{
	json_t *value;

	value = json_object_get(object, key);
	if (value == NULL && !required)
		return 0;
	if (!json_is_integer(value))
		return fail(err, "", key, "not a whole number");
	*dest = (uint64_t)json_integer_value(value);
	if (*dest > max)
		return fail(err, "", key, "out of range");
	return 0;
}

/*
 * Reads a boolean; an absent one leaves dest unchanged.
 */
static int
get_bool(bool *dest, json_t *object, const char *key, gw_err_t *err)
{
	json_t *value;

	value = json_object_get(object, key);
	if (value == NULL)
		return 0;
	if (!json_is_boolean(value))
		return fail(err, "", key, "not true or false");
	*dest = json_is_true(value);
	return 0;
}

/*
 * Reads the state and the purpose.
 */
static int
get_state(member_instance_t *instance, json_t *object, gw_err_t *err)
{
	char name[GW_NAME_BYTES] = "", purpose[GW_NAME_BYTES] = "none";
	int i;

	if (get_name(name, object, "state", true, err) != 0 ||
	    get_name(purpose, object, "purpose", false, err) != 0)
		return -1;
	for (i = MEMBER_ACTIVE; i <= MEMBER_ENDED; i++)
		if (strcmp(name, member_state_name((member_state_t)i)) == 0)
			instance->state = (member_state_t)i;
	if (instance->state == 0)
		return fail(err, "", "state", "not a known state");
	for (i = MEMBER_PURPOSE_NONE; i <= MEMBER_PURPOSE_RETURN; i++)
		if (strcmp(purpose, member_purpose_name((member_purpose_t)i)) ==
		    0)
			break;
	if (i > MEMBER_PURPOSE_RETURN)
		return fail(err, "", "purpose", "not a known purpose");
	instance->purpose = (member_purpose_t)i;
	return 0;
}

/*
 * Reads the names of an instance.
 */
static int
get_names(member_instance_t *instance, json_t *object, gw_err_t *err)
{
	if (get_name(instance->id, object, "id", true, err) != 0 ||
	    get_name(instance->incarnation, object, "incarnation", true, err) !=
		0 ||
	    get_name(instance->address, object, "address", true, err) != 0 ||
	    get_name(instance->failure_domain, object, "failure_domain", true,
		err) != 0 ||
	    get_name(instance->pool, object, "pool", true, err) != 0 ||
	    get_name(instance->home_pool, object, "home_pool", true, err) != 0)
		return -1;
	return get_name(
	    instance->target_pool, object, "target_pool", false, err);
}

/*
 * Checks that the fields of an instance do not contradict each other.
 */
static int
check_instance(
    const member_instance_t *instance, uint64_t table_version, gw_err_t *err)
{
	bool has_target;

	has_target = instance->target_pool[0] != '\0';
	if (instance->bound_confirmed && !instance->time_bound)
		return fail(err, instance->id, "bound_confirmed",
		    "set on an instance that is not time-bound");
	if (instance->state_version > table_version ||
	    instance->bound_version > table_version)
		return fail(err, instance->id, "state_version",
		    "or bound_version is above the table's version");
	if (has_target && instance->purpose != MEMBER_PURPOSE_MOVE &&
	    instance->purpose != MEMBER_PURPOSE_RETURN)
		return fail(err, instance->id, "target_pool",
		    "set without a move or return");
	if (instance->state == MEMBER_FREE && !has_target)
		return fail(
		    err, instance->id, "target_pool", "missing in state free");
	return 0;
}

/*
 * Reads one instance into the table.
 */
static int
decode_instance(member_table_t *table, json_t *object, gw_err_t *err)
{
	member_instance_t instance = {0}, *copy;
	uint64_t port = 0, slots = 0;

	if (get_names(&instance, object, err) != 0 ||
	    get_state(&instance, object, err) != 0 ||
	    get_number(&port, object, "port", true, UINT16_MAX, err) != 0 ||
	    get_number(&slots, object, "slots", true, 4096, err) != 0 ||
	    get_number(&instance.state_version, object, "state_version", true,
		INT64_MAX, err) != 0 ||
	    get_number(&instance.bound_version, object, "bound_version", false,
		INT64_MAX, err) != 0 ||
	    get_bool(&instance.time_bound, object, "time_bound", err) != 0 ||
	    get_bool(
		&instance.bound_confirmed, object, "bound_confirmed", err) != 0)
		return -1;
	instance.port = (uint16_t)port;
	instance.slots = (uint32_t)slots;
	if (check_instance(&instance, table->version, err) != 0)
		return -1;
	if (member_table_find(table, instance.id) != NULL)
		return fail(err, instance.id, "id", "appears twice");
	copy = g_memdup2(&instance, sizeof(instance));
	g_ptr_array_add(table->instances, copy);
	g_hash_table_insert(table->index, copy->id, copy);
	return 0;
}

/*
 * Reads one admitted router into the table.
 */
static int
decode_router(member_table_t *table, json_t *object, gw_err_t *err)
{
	member_router_t router = {0};

	if (get_name(router.node_id, object, "node_id", true, err) != 0 ||
	    get_number(
		&router.boot_id, object, "boot_id", true, UINT64_MAX, err) != 0)
		return -1;
	if (member_router_admitted(table, router.node_id, router.boot_id))
		return fail(err, router.node_id, "node_id", "appears twice");
	g_ptr_array_add(table->routers, g_memdup2(&router, sizeof(router)));
	return 0;
}

typedef int (*decode_item_t)(member_table_t *, json_t *, gw_err_t *);

/*
 * Reads each object of an array.
 */
static int
decode_array(member_table_t *table, json_t *root, const char *key,
    decode_item_t decode_item, gw_err_t *err)
{
	json_t *array, *item;
	size_t i;

	array = json_object_get(root, key);
	if (!json_is_array(array))
		return fail(err, "", key, "not an array");
	json_array_foreach(array, i, item)
	{
		if (!json_is_object(item))
			return fail(err, "", key,
			    "contains an item that is not an object");
		if (decode_item(table, item, err) != 0)
			return -1;
	}
	return 0;
}

/*
 * Reads the whole table from its JSON value.
 */
static int
decode_root(member_table_t *table, json_t *root, gw_err_t *err)
{
	if (!json_is_object(root))
		return fail(err, "", "table", "not an object");
	if (get_name(table->data_centre, root, "dc", true, err) != 0 ||
	    get_number(&table->epoch, root, "epoch", true, INT64_MAX, err) !=
		0 ||
	    get_number(
		&table->version, root, "version", true, INT64_MAX, err) != 0)
		return -1;
	if (decode_array(table, root, "routers", decode_router, err) != 0)
		return -1;
	return decode_array(table, root, "instances", decode_instance, err);
}

/*
 * Reads a table from its JSON text. Returns NULL with an error that names the
 * key when the text is malformed or contradicts itself.
 */
member_table_t *
member_table_decode(const char *json, gw_err_t *err)
{
	member_table_t *table;
	json_error_t json_err;
	json_t *root;

	root = json_loads(json, JSON_REJECT_DUPLICATES, &json_err);
	if (root == NULL) {
		gw_err_set(err, GW_ERR_INVALID, "decode table", "",
		    "line %d, column %d: %s", json_err.line, json_err.column,
		    json_err.text);
		return NULL;
	}
	table = member_table_new("");
	if (decode_root(table, root, err) != 0) {
		member_table_free(table);
		table = NULL;
	}
	json_decref(root);
	return table;
}
