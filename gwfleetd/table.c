#include <stdlib.h>

#include "fleet_state.h"
#include "grants.h"
#include "gw/log.h"
#include "peer.h"
#include "router.h"
#include "table.h"
#include "view.h"

/*
 * Returns a copy of the table for changes; each raises its version.
 */
member_table_t *
table_draft(const fleet_t *fleet)
{
	return member_table_copy(fleet->table);
}

/*
 * Writes the draft, which is taken over.
 */
void
table_write(fleet_t *fleet, member_table_t *draft)
{
	char *text;

	member_table_free(fleet->draft);
	fleet->draft = draft;
	text = member_table_encode(draft);
	record_write(fleet, &fleet->table_record, text);
}

/*
 * Reads the table in order to put this planner's epoch on it. An answer from
 * before the election is stale.
 */
void
table_claim(fleet_t *fleet)
{
	record_t *record = &fleet->table_record;

	record->store_revision =
	    MAX(record->store_revision, fleet->election.lease.epoch);
	record_read(fleet, record);
}

/*
 * Returns the table as the store has it. Without one it is the table that the
 * planner before sent, or an empty one.
 */
static member_table_t *
decode_or_new(fleet_t *fleet, const record_t *record)
{
	member_table_t *table;
	gw_err_t err;

	if (record->value == NULL)
		return fleet->table != NULL
		    ? member_table_copy(fleet->table)
		    : member_table_new(fleet->config.data_centre);
	table = member_table_decode(record->value, &err);
	if (table == NULL)
		gw_log(GW_EV_TABLE_BAD, "key=%s text=\"%s\"", record->key,
		    err.text);
	return table;
}

static void
on_table_read(fleet_t *fleet, record_t *record)
{
	member_table_t *table = decode_or_new(fleet, record);

	if (table != NULL && fleet->table != NULL &&
	    fleet->table->version > table->version)
		table->version = fleet->table->version;
	if (table == NULL) {
		election_step_down(fleet, "the table cannot be read");
		return;
	}
	if (table->epoch > fleet->election.lease.epoch) {
		member_table_free(table);
		election_step_down(fleet, "the table has a higher epoch");
		return;
	}
	member_take_table(table, fleet->election.lease.epoch);
	table_write(fleet, table);
}

/*
 * Starts to serve under this planner's epoch. Routers that the table lists
 * must connect anew: only a Hello from now on tells the slots that they hold.
 */
static void
begin_service(fleet_t *fleet)
{
	g_ptr_array_set_size(fleet->routers, 0);
	routers_adopt(fleet);
	grants_inherit(fleet);
	fleet->claimed = true;
	gw_log(GW_EV_TABLE_CLAIMED,
	    "epoch=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT
	    " routers=%u instances=%u",
	    fleet->table->epoch, fleet->table->version,
	    fleet->table->routers->len, fleet->table->instances->len);
	for (guint i = 0; i < fleet->sessions->len; i++) {
		session_t *session = fleet->sessions->pdata[i];

		if (session->role == GW__ROLE__ROLE_ROUTER &&
		    router_find(fleet, session->node_id, session->boot_id) !=
			NULL)
			session_close(fleet, session);
	}
}

static void
on_table_written(fleet_t *fleet, record_t *record)
{
	if (fleet->claimed)
		grants_reset_drained(fleet, fleet->table, fleet->draft);
	member_table_free(fleet->table);
	fleet->table = g_steal_pointer(&fleet->draft);
	g_free(fleet->table_text);
	fleet->table_text = g_strdup(record->value);
	fleet->metrics.table_version->value = fleet->table->version;
	fleet->dirty = true;
	fleet->grants_dirty = true;
	if (!fleet->claimed) {
		begin_service(fleet);
	} else {
		routers_adopt(fleet);
		gw_log(GW_EV_TABLE_WRITTEN,
		    "epoch=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT,
		    fleet->table->epoch, fleet->table->version);
	}
	views_send(fleet);
	peers_send_state(fleet, true);
}

/*
 * Another write came first: a planner with a higher epoch, or, while this one
 * claims the table, a late write of the planner before.
 */
static void
on_table_lost(fleet_t *fleet, record_t *record)
{
	member_table_free(fleet->draft);
	fleet->draft = NULL;
	if (!fleet->claimed)
		on_table_read(fleet, record);
	else
		election_step_down(fleet, "the table was written by another");
}

const record_ops_t table_ops = {
    .on_read = on_table_read,
    .on_written = on_table_written,
    .on_lost = on_table_lost,
};
