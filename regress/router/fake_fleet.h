#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/runtime.h"
#include "wire/gw.pb-c.h"

#define FAKE_ACK_TEXT_BYTES 256

/* A fake gwfleetd that is controlled by a test and acts as the planner. */
typedef struct fake_fleet fake_fleet_t;

/* One instance of the views sent to routers. */
typedef struct {
	char id[32];
	char incarnation[32];
	uint16_t port;
	char pool[32];
	Gw__InstanceState state;
	bool time_bound;
	uint32_t granted;
} fake_instance_t;

/* Messages received from routers so far. */
typedef struct {
	uint32_t hellos;
	uint32_t held; /* slots, sum over the instances in the last Hello */
	uint32_t heartbeats;
	uint32_t acks;
	uint32_t goodbyes;
	uint32_t slots_wanted;	 /* sum over the last demand of each pool */
	uint32_t pools_reported; /* sum over all heartbeats */
	uint64_t heartbeat_bytes;
	uint32_t outcomes_failed;
	uint32_t outcomes_succeeded;
	uint64_t acked_version;
	uint64_t acked_sequence;
	uint64_t acked_generation;
	uint32_t acked_in_flight; /* sum over the instances in the last Ack */
	uint32_t acked_slots_held;
} fake_received_t;

fake_fleet_t *fake_fleet_new(gw_rt_t *, const char *listen, const char *json);
void fake_fleet_free(fake_fleet_t *);
uint16_t fake_fleet_port(const fake_fleet_t *);
const fake_received_t *fake_fleet_received(const fake_fleet_t *);
void fake_fleet_set(fake_fleet_t *, const fake_instance_t *);
void fake_fleet_remove(fake_fleet_t *, const char *id);
void fake_fleet_send_view(fake_fleet_t *);
void fake_fleet_send_delta(fake_fleet_t *, uint64_t base, uint64_t version);
void fake_fleet_set_epoch(fake_fleet_t *, uint64_t epoch);
void fake_fleet_set_manifest(
    fake_fleet_t *, uint64_t generation, const char *json);
void fake_fleet_reply_to_heartbeats(fake_fleet_t *, bool reply);
void fake_fleet_drop_connections(fake_fleet_t *);

#endif
