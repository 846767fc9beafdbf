#include <stdlib.h>

#include "fleet_state.h"
#include "router.h"
#include "status.h"

/*
 * Returns the generation that is in force in the whole data centre: the lowest
 * one held here or by a router that has not ended.
 */
uint64_t
status_generation_in_force(const fleet_t *fleet)
{
	uint64_t lowest = generation_held(fleet);

	for (guint i = 0; i < fleet->routers->len; i++) {
		const router_t *router = fleet->routers->pdata[i];

		if (!router->contact.ended)
			lowest = MIN(lowest, router->generation);
	}
	return lowest;
}

/*
 * Parses the generation in the value of a status key; 0 for none.
 */
uint64_t
status_parse_generation(const char *text)
{
	json_t *status = text == NULL ? NULL : json_loads(text, 0, NULL);
	uint64_t generation;

	generation =
	    (uint64_t)json_integer_value(json_object_get(status, "generation"));
	json_decref(status);
	return generation;
}

static char *
encode_status(const fleet_t *fleet, uint64_t generation)
{
	json_t *status, *waiting = json_array();
	char *text;

	for (guint i = 0; i < fleet->routers->len; i++) {
		const router_t *router = fleet->routers->pdata[i];

		if (router->generation < generation_held(fleet))
			(void)json_array_append_new(
			    waiting, json_string(router->contact.node_id));
	}
	status = json_pack("{s:s, s:I, s:I, s:I, s:s, s:o}", "data_centre",
	    fleet->config.data_centre, "epoch",
	    (json_int_t)fleet->election.lease.epoch, "generation",
	    (json_int_t)generation, "version",
	    (json_int_t)fleet->table->version, "planner", fleet->config.node_id,
	    "waiting_for", waiting);
	text = json_dumps(status, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(status);
	return text;
}

static void
on_status_read(fleet_t *fleet, record_t *record)
{
	fleet->status_read = true;
	fleet->status_generation = status_parse_generation(record->value);
}

static void
on_status_written(fleet_t *fleet, record_t *record)
{
	fleet->status_generation = status_parse_generation(record->value);
}

const record_ops_t status_ops = {
    .on_read = on_status_read,
    .on_written = on_status_written,
    .on_lost = on_status_read,
};

/*
 * Writes the status key when the generation in force has risen, at most every
 * STATUS_WRITE_INTERVAL_MS. The write is a compare-and-swap, so that a late
 * write of a previous planner cannot lower the generation.
 */
void
status_tick(fleet_t *fleet)
{
	uint64_t now_us = fleet_now_us(fleet);
	uint64_t generation;
	char *text;

	record_tick(fleet, &fleet->status_record);
	if (!fleet->claimed || !record_idle(&fleet->status_record))
		return;
	if (!fleet->status_read) {
		record_read(fleet, &fleet->status_record);
		return;
	}
	generation = status_generation_in_force(fleet);
	if (generation <= fleet->status_generation ||
	    now_us <
		fleet->status_sent_us + STATUS_WRITE_INTERVAL_MS * GW_US_PER_MS)
		return;
	fleet->status_sent_us = now_us;
	text = encode_status(fleet, generation);
	record_write(fleet, &fleet->status_record, g_strdup(text));
	free(text);
}
