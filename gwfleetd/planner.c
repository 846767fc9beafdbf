#include <stdlib.h>
#include <string.h>

#include "fleet_state.h"
#include "fleetwide.h"
#include "grants.h"
#include "gw/log.h"
#include "jobs.h"
#include "peer.h"
#include "placement.h"
#include "planner.h"
#include "reboot.h"
#include "round.h"
#include "router.h"
#include "status.h"
#include "table.h"
#include "view.h"
#include "wave.h"

/*
 * Begins a term: claims the table, watches the manifest, loads the waves.
 */
void
planner_begin(fleet_t *fleet)
{
	fleet->planner_epoch = fleet->election.lease.epoch;
	g_strlcpy(fleet->planner_id, fleet->config.node_id,
	    sizeof(fleet->planner_id));
	fleet->waves_loaded = false;
	fleet->waves_changed = false;
	fleet->status_read = false;
	fleet->list_asked_us = 0;
	fleet->list_waits = false;
	fleet->fleetwide.waits = false;
	fleet->metrics.is_planner->value = 1;
	table_claim(fleet);
	generation_begin_watch(fleet);
	jobs_begin_term(fleet);
}

/*
 * Ends a term: what only a planner may do or know is given up.
 */
void
planner_end(fleet_t *fleet)
{
	fleet->claimed = false;
	fleet->metrics.is_planner->value = 0;
	member_table_free(fleet->draft);
	fleet->draft = NULL;
	record_cancel(fleet, &fleet->table_record);
	record_cancel(fleet, &fleet->waves_record);
	record_cancel(fleet, &fleet->status_record);
	generation_end_watch(fleet);
	jobs_end_term(fleet);
	g_ptr_array_set_size(fleet->routers, 0);
	g_hash_table_remove_all(fleet->grants);
	g_hash_table_remove_all(fleet->reboots);
	if (fleet->wave_request != NULL)
		fleet->ops->reply(fleet->ctx, fleet->wave_request, 503, NULL);
	fleet->wave_request = NULL;
	fleet->planner_seen_us = 0;
	fleet->planner_id[0] = '\0';
}

/*
 * Makes the next version of the table, and writes it if anything changed. Done
 * when news came, and with each round.
 */
static void
propose(fleet_t *fleet)
{
	uint64_t now_us = fleet_now_us(fleet);
	member_table_t *draft;

	if (!record_idle(&fleet->table_record) ||
	    (!fleet->dirty &&
		now_us < fleet->round_us + ROUND_MS * GW_US_PER_MS))
		return;
	fleet->dirty = false;
	draft = table_draft(fleet);
	placement_update(fleet, draft);
	routers_update(fleet, draft);
	reboot_update(fleet, draft);
	round_step(fleet, draft);
	if (now_us >= fleet->round_us + ROUND_MS * GW_US_PER_MS) {
		fleet->round_us = now_us;
		round_decide(fleet, draft);
	}
	if (draft->version != fleet->table->version)
		table_write(fleet, draft);
	else
		member_table_free(draft);
}

/*
 * Does what is due of the planner's work.
 */
void
planner_tick(fleet_t *fleet)
{
	record_tick(fleet, &fleet->table_record);
	if (!fleet->claimed)
		return;
	waves_tick(fleet);
	placement_tick(fleet);
	propose(fleet);
	reboot_tick(fleet);
	grants_tick(fleet);
	peers_send_state(fleet, false);
	status_tick(fleet);
	fleetwide_tick(fleet);
	jobs_tick(fleet);
}
