#include <stdlib.h>

#include <jansson.h>

#include "member/member.h"

/*
 * Returns the JSON object of one instance. Optional fields at their default
 * value are left out to keep the table small.
 */
static json_t *
encode_instance(const member_instance_t *instance)
{
	json_t *object;

	object = json_pack("{s:s,s:s,s:s,s:i,s:s,s:s,s:s,s:s,s:I,s:I}", "id",
	    instance->id, "incarnation", instance->incarnation, "address",
	    instance->address, "port", (int)instance->port, "failure_domain",
	    instance->failure_domain, "pool", instance->pool, "home_pool",
	    instance->home_pool, "state", member_state_name(instance->state),
	    "slots", (json_int_t)instance->slots, "state_version",
	    (json_int_t)instance->state_version);
	if (object == NULL)
		return NULL;
	if (instance->target_pool[0] != '\0')
		json_object_set_new(
		    object, "target_pool", json_string(instance->target_pool));
	if (instance->purpose != MEMBER_PURPOSE_NONE)
		json_object_set_new(object, "purpose",
		    json_string(member_purpose_name(instance->purpose)));
	if (instance->time_bound) {
		json_object_set_new(object, "time_bound", json_true());
		json_object_set_new(object, "bound_version",
		    json_integer((json_int_t)instance->bound_version));
	}
	if (instance->bound_confirmed)
		json_object_set_new(object, "bound_confirmed", json_true());
	return object;
}

/*
 * Returns the table as JSON text, or NULL when a name is not valid UTF-8. The
 * caller frees the text with g_free().
 */
char *
member_table_encode(const member_table_t *table)
{
	const member_router_t *router;
	json_t *instances, *object, *root, *routers;
	char *json, *text;
	guint i;

	routers = json_array();
	instances = json_array();
	for (i = 0; i < table->routers->len; i++) {
		router = g_ptr_array_index(table->routers, i);
		json_array_append_new(routers,
		    json_pack("{s:s,s:I}", "node_id", router->node_id,
			"boot_id", (json_int_t)router->boot_id));
	}
	for (i = 0; i < table->instances->len; i++) {
		object =
		    encode_instance(g_ptr_array_index(table->instances, i));
		json_array_append_new(instances, object);
	}
	root = json_pack("{s:s,s:I,s:I,s:o,s:o}", "dc", table->data_centre,
	    "epoch", (json_int_t)table->epoch, "version",
	    (json_int_t)table->version, "routers", routers, "instances",
	    instances);
	if (root == NULL || json_array_size(routers) != table->routers->len ||
	    json_array_size(instances) != table->instances->len) {
		json_decref(root);
		return NULL;
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	json = g_strdup(text);
	free(text);
	return json;
}
