#include <string.h>

#include "member/member.h"

/*
 * Returns the index of a router's entry by node and boot id, or -1.
 */
static int
find_router_index(
    const member_table_t *table, const char *node_id, uint64_t boot_id)
{
	const member_router_t *router;
	guint i;

	for (i = 0; i < table->routers->len; i++) {
		router = g_ptr_array_index(table->routers, i);
		if (router->boot_id == boot_id &&
		    strcmp(router->node_id, node_id) == 0)
			return (int)i;
	}
	return -1;
}

/*
 * Claims the table for a new planner. Once this is stored, the compare in the
 * store's transaction fails for every write that an earlier planner still
 * sends.
 */
void
member_take_table(member_table_t *table, uint64_t epoch)
{
	table->epoch = epoch;
	table->version++;
}

/*
 * Tells whether the table admits this boot of the router.
 */
bool
member_router_admitted(
    const member_table_t *table, const char *node_id, uint64_t boot_id)
{
	return find_router_index(table, node_id, boot_id) >= 0;
}

/*
 * Adds an entry for this boot of the router; false when there is one already.
 * The entry of an earlier boot stays until that process is gone.
 */
bool
member_admit_router(
    member_table_t *table, const char *node_id, uint64_t boot_id)
{
	member_router_t *router;

	if (member_router_admitted(table, node_id, boot_id))
		return false;
	router = g_new0(member_router_t, 1);
	g_strlcpy(router->node_id, node_id, sizeof(router->node_id));
	router->boot_id = boot_id;
	g_ptr_array_add(table->routers, router);
	table->version++;
	return true;
}

/*
 * Removes a router's entry; false when the router is not gone or has no entry.
 */
bool
member_remove_router(
    member_table_t *table, const member_contact_t *contact, uint64_t now_us)
{
	int i;

	if (!member_router_gone(contact, now_us))
		return false;
	i = find_router_index(table, contact->node_id, contact->boot_id);
	if (i < 0)
		return false;
	g_ptr_array_remove_index(table->routers, (guint)i);
	table->version++;
	return true;
}
