#ifndef REGRESS_WORLD_H
#define REGRESS_WORLD_H

#include "../../gwfleetd/fleet.h"

#define WORLD_STEP_MS 10
#define WORLD_HEARTBEATS 64

/* A key of the fake store. */
typedef struct {
	char *value;
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t lease_id;
} fake_key_t;

typedef struct world world_t;
typedef struct node node_t;

/* A fake router: connected to one node at a time. */
typedef struct {
	char id[32];
	uint64_t boot_id;
	node_t *node; /* NULL: not connected */
	fleet_link_t *link;
	bool cut; /* sends and receives nothing; the connection stays */
	bool mute_acks;
	/* Of the last view and manifest; 0: none received. */
	uint64_t epoch, version, generation, sequence;
	uint64_t heartbeat_sequence;
	uint64_t sent_us[WORLD_HEARTBEATS]; /* by sequence number, modulo */
	member_router_contact_t contact;
	uint64_t link_epoch; /* of the last Contact on this connection */
	uint64_t views, full_views;
	bool admitted;
	GHashTable *granted;   /* instance id -> slots */
	GHashTable *states;    /* instance id -> state, plus 256: time-bound */
	GHashTable *in_flight; /* instance id -> requests */
	uint32_t slots_wanted; /* slots of pool a that its heartbeats demand */
} fake_router_t;

/* One gwfleetd under test, with the fakes' state for it. */
struct node {
	world_t *world;
	fleet_t *fleet;
	gw_metrics_t *metrics;
	bool paused; /* the process is suspended; its messages are queued */
	bool cut_from_store;
	GQueue inbox;	/* delivery_t */
	uint64_t watch; /* call number of the watch; 0: none */
	char watch_key[64];
	uint64_t replies;
	int reply_status;
	uint64_t next_tick_us;
};

/* A fake store, platform and routers, and the gwfleetd of one data centre. */
struct world {
	gw_clock_t clock;
	GPtrArray *nodes;   /* node_t */
	GPtrArray *routers; /* fake_router_t */
	GHashTable *keys;   /* key -> fake_key_t */
	GHashTable *leases; /* id -> expiry, in us of the clock */
	uint64_t revision;
	uint64_t writes, reads;
	bool store_down;
	uint32_t lose_answers; /* so many writes are done but not answered */
	/* Writes of this node are delayed until world_apply_delayed_puts();
	 * NULL: none. */
	node_t *delay_puts_of;
	GQueue delayed_puts; /* delayed_put_t */
	bool stale_reads;    /* reads return the value before the last write */
	GHashTable *previous_values; /* key -> fake_key_t of stale reads */
	bool watch_double;
	GPtrArray *list; /* platform_instance_t */
	uint64_t list_as_of;
	bool platform_down;
	uint32_t reboots;
	GHashTable *operations; /* set of the reboot operation ids received */
	bool check_fails;
	const fleet_policy_t *policy;
};

world_t *world_new(const fleet_policy_t *);
void world_free(world_t *);
node_t *world_add_node(world_t *);
void world_link_nodes(node_t *from, node_t *to);
void world_unlink_nodes(world_t *);
void world_run(world_t *, uint64_t ms);
void world_apply_delayed_puts(world_t *);
void world_put(world_t *, const char *key, const char *value);
const fake_key_t *world_key(const world_t *, const char *key);
member_table_t *world_table(const world_t *);
platform_instance_t *world_add_instance(
    world_t *, const char *id, uint16_t port, const char *rack);
platform_instance_t *world_instance(world_t *, const char *id);
void world_apply_manifest(world_t *, uint64_t generation, const char *json);
node_t *world_planner(const world_t *);

fake_router_t *world_add_router(world_t *, const char *id);
void router_connect(fake_router_t *, node_t *);
void router_disconnect(fake_router_t *);
void router_send_goodbye(fake_router_t *);
uint32_t router_granted(const fake_router_t *, const char *instance_id);
member_state_t router_state(const fake_router_t *, const char *instance_id);
bool router_may_use(
    const world_t *, const fake_router_t *, const char *instance_id);

#endif
