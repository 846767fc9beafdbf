#ifndef FLEET_PEER_H
#define FLEET_PEER_H

#include "fleet.h"
#include "session.h"

/* Interval of PeerState, which is also the planner's heartbeat. */
#define PEER_STATE_INTERVAL_MS 500

void peer_receive_state(fleet_t *, session_t *, const Gw__PeerState *);
void peers_send_state(fleet_t *, bool now);

#endif
