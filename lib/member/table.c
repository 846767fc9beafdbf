#include <string.h>

#include "member/member.h"

/*
 * Returns an empty table of a data centre.
 */
member_table_t *
member_table_new(const char *data_centre)
{
	member_table_t *table;

	table = g_new0(member_table_t, 1);
	g_strlcpy(table->data_centre, data_centre, sizeof(table->data_centre));
	table->routers = g_ptr_array_new_with_free_func(g_free);
	table->instances = g_ptr_array_new_with_free_func(g_free);
	table->index = g_hash_table_new(g_str_hash, g_str_equal);
	return table;
}

/*
 * Frees a table; NULL is allowed.
 */
void
member_table_free(member_table_t *table)
{
	if (table == NULL)
		return;
	g_hash_table_unref(table->index);
	g_ptr_array_unref(table->routers);
	g_ptr_array_unref(table->instances);
	g_free(table);
}

/*
 * Appends a copy of an instance without any check.
 */
static member_instance_t *
append_copy(member_table_t *table, const member_instance_t *instance)
{
	member_instance_t *copy;

	copy = g_memdup2(instance, sizeof(*instance));
	g_ptr_array_add(table->instances, copy);
	g_hash_table_insert(table->index, copy->id, copy);
	return copy;
}

/*
 * Returns a deep copy of the table.
 */
member_table_t *
member_table_copy(const member_table_t *table)
{
	member_table_t *copy;
	guint i;

	copy = member_table_new(table->data_centre);
	copy->epoch = table->epoch;
	copy->version = table->version;
	for (i = 0; i < table->routers->len; i++)
		g_ptr_array_add(copy->routers,
		    g_memdup2(g_ptr_array_index(table->routers, i),
			sizeof(member_router_t)));
	for (i = 0; i < table->instances->len; i++)
		(void)append_copy(copy, g_ptr_array_index(table->instances, i));
	return copy;
}

/*
 * Looks up an instance by id; NULL when there is none.
 */
member_instance_t *
member_table_find(const member_table_t *table, const char *id)
{
	return g_hash_table_lookup(table->index, id);
}

/*
 * Looks up an instance by address and port; NULL when there is none.
 */
static const member_instance_t *
find_address(const member_table_t *table, const char *address, uint16_t port)
{
	const member_instance_t *other;
	guint i;

	for (i = 0; i < table->instances->len; i++) {
		other = g_ptr_array_index(table->instances, i);
		if (other->port == port && strcmp(other->address, address) == 0)
			return other;
	}
	return NULL;
}

/*
 * Adds a copy of an instance in its initial state and returns the copy, or NULL
 * with an error when the id or the address is in use. The address of an ended
 * instance stays in use until every router has stopped sending to it.
 */
member_instance_t *
member_table_add(
    member_table_t *table, const member_instance_t *instance, gw_err_t *err)
{
	const member_instance_t *other;
	member_instance_t *added;

	other = member_table_find(table, instance->id);
	if (other == NULL)
		other = find_address(table, instance->address, instance->port);
	if (other != NULL) {
		gw_err_set(err, GW_ERR_CONFLICT, "add", instance->id,
		    "id or address is in use by instance %s (%s)", other->id,
		    member_state_name(other->state));
		return NULL;
	}
	added = append_copy(table, instance);
	table->version++;
	added->state_version = table->version;
	return added;
}

/*
 * Removes and frees an instance; false when no instance has that id.
 */
bool
member_table_remove(member_table_t *table, const char *id)
{
	member_instance_t *instance;

	instance = member_table_find(table, id);
	if (instance == NULL)
		return false;
	g_hash_table_remove(table->index, id);
	g_ptr_array_remove_fast(table->instances, instance);
	return true;
}
