#include <string.h>

#include "fleet_state.h"
#include "gw/log.h"
#include "peer.h"
#include "view.h"

/*
 * Adopts the instance table in a PeerState if it is newer than the one held.
 */
static void
adopt_table(fleet_t *fleet, const Gw__PeerState *state)
{
	g_autofree char *text =
	    g_strndup((const char *)state->table.data, state->table.len);
	member_table_t *table;
	gw_err_t err;

	if (fleet->table != NULL &&
	    !member_adopt_view(fleet->table->epoch, fleet->table->version,
		state->epoch, state->table_version))
		return;
	table = member_table_decode(text, &err);
	if (table == NULL) {
		gw_log(GW_EV_TABLE_BAD, "planner=%s text=\"%s\"",
		    state->planner_id, err.text);
		return;
	}
	member_table_free(fleet->table);
	fleet->table = table;
	g_free(fleet->table_text);
	fleet->table_text = g_steal_pointer(&text);
	fleet->metrics.table_version->value = table->version;
	views_send(fleet);
}

/*
 * Handles the planner's state. A lower epoch comes from a planner whose term
 * has ended and is ignored. A planner that receives a higher epoch steps down.
 */
void
peer_receive_state(
    fleet_t *fleet, session_t *session, const Gw__PeerState *state)
{
	(void)session;
	if (state->epoch < fleet->planner_epoch ||
	    (fleet->table != NULL && state->epoch < fleet->table->epoch))
		return;
	if (fleet->election.lease.epoch != 0) {
		if (state->epoch <= fleet->election.lease.epoch)
			return;
		election_step_down(fleet, "another planner has a higher epoch");
	}
	fleet->planner_epoch = state->epoch;
	fleet->planner_seen_us = fleet_now_us(fleet);
	g_strlcpy(
	    fleet->planner_id, state->planner_id, sizeof(fleet->planner_id));
	if (state->table.len > 0)
		adopt_table(fleet, state);
}

static void
send_state(fleet_t *fleet, session_t *session)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__PeerState state = GW__PEER_STATE__INIT;

	state.epoch = fleet->election.lease.epoch;
	state.planner_id = fleet->config.node_id;
	state.generation = generation_held(fleet);
	state.table_version = fleet->table->version;
	if (session->table_sent_version != fleet->table->version) {
		state.table.data = (uint8_t *)fleet->table_text;
		state.table.len = strlen(fleet->table_text);
		session->table_sent_version = fleet->table->version;
	}
	envelope.body_case = GW__ENVELOPE__BODY_PEER_STATE;
	envelope.peer_state = &state;
	(void)fleet->ops->send(fleet->ctx, session->link, &envelope);
}

/*
 * Sends the planner's state to the other gwfleetd of the data centre: at once
 * if now is set (the table has changed), else every PEER_STATE_INTERVAL_MS. Two
 * gwfleetd have two connections, one made by each; the state is sent over the
 * one that this side made.
 */
void
peers_send_state(fleet_t *fleet, bool now)
{
	uint64_t now_us = fleet_now_us(fleet);

	if (!fleet->claimed ||
	    (!now &&
		now_us < fleet->peers_told_us +
			PEER_STATE_INTERVAL_MS * GW_US_PER_MS))
		return;
	fleet->peers_told_us = now_us;
	for (guint i = 0; i < fleet->sessions->len; i++) {
		session_t *session = fleet->sessions->pdata[i];

		if (session->role == GW__ROLE__ROLE_FLEET && session->dialed)
			send_state(fleet, session);
	}
}
