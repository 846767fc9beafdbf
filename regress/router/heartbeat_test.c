#include "harness.h"

#define POOLS 253
#define MEASURED_S 20
/* Limit for all control traffic of a node, from the requirements. */
#define LIMIT_BYTES_PER_S 17000

/*
 * Returns a router with one instance in each of POOLS pools.
 */
static harness_t *
harness_with_pools(void)
{
	harness_t *h = harness_new(true);
	fake_instance_t instance = {.incarnation = "1",
	    .port = 1,
	    .state = GW__INSTANCE_STATE__STATE_ACTIVE,
	    .granted = 8};

	for (int i = 0; i < POOLS; i++) {
		(void)g_snprintf(instance.id, sizeof(instance.id), "i%d", i);
		(void)g_snprintf(
		    instance.pool, sizeof(instance.pool), "pool-%d", i);
		fake_fleet_set(h->fleet, &instance);
	}
	harness_send_view(h);
	return h;
}

static void
advance_heartbeat(harness_t *h, uint32_t changing_pools)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, h->router->pools);
	while (
	    changing_pools > 0 && g_hash_table_iter_next(&iter, NULL, &pool)) {
		((pool_t *)pool)->refused++;
		changing_pools--;
	}
	gw_rt_advance(h->rt, GW_HEARTBEAT_MS * GW_US_PER_MS);
	harness_settle(h);
}

static uint64_t
bytes_per_s(harness_t *h, uint32_t changing_pools)
{
	const fake_received_t *received = fake_fleet_received(h->fleet);
	uint64_t bytes_before = received->heartbeat_bytes;
	uint32_t heartbeats_before = received->heartbeats;

	for (int i = 0; i < 2 * MEASURED_S; i++)
		advance_heartbeat(h, changing_pools);
	g_assert_cmpuint(
	    received->heartbeats - heartbeats_before, >=, 2 * MEASURED_S);
	return (received->heartbeat_bytes - bytes_before) / MEASURED_S;
}

/*
 * Guards against heartbeats that exceed the limit for the control traffic of a
 * node. With many pools the demand makes them large. A router sends heartbeats
 * with demand to the planner, and without demand to two other gwfleetd.
 */
static void
test_heartbeat_size(void)
{
	static const uint32_t changing_pools[] = {0, 50, POOLS};
	harness_t *h = harness_with_pools();
	uint64_t planner_bytes_per_s, other_bytes_per_s;

	for (size_t i = 0; i < G_N_ELEMENTS(changing_pools); i++) {
		planner_bytes_per_s = bytes_per_s(h, changing_pools[i]);
		fake_fleet_reply_to_heartbeats(h->fleet, false);
		fake_fleet_drop_connections(h->fleet);
		for (int n = 0; n < 4; n++)
			advance_heartbeat(h, 0);
		other_bytes_per_s = bytes_per_s(h, changing_pools[i]);
		fake_fleet_reply_to_heartbeats(h->fleet, true);
		advance_heartbeat(h, 0);
		g_test_message("%u of %d pools change: %" PRIu64
			       " bytes/s to the planner, %" PRIu64
			       " to another gwfleetd, %" PRIu64 " in all",
		    changing_pools[i], POOLS, planner_bytes_per_s,
		    other_bytes_per_s,
		    planner_bytes_per_s + 2 * other_bytes_per_s);
		g_assert_cmpuint(planner_bytes_per_s + 2 * other_bytes_per_s, <,
		    LIMIT_BYTES_PER_S);
	}
	harness_free(h);
}

/*
 * Guards against a planner that lacks the demand of some pools. Heartbeats
 * report only changes, and the planner knows only what it received. So all
 * pools must be reported after each connect and every 10 s.
 */
static void
test_full_demand(void)
{
	harness_t *h = harness_with_pools();
	const fake_received_t *received = fake_fleet_received(h->fleet);
	uint32_t reported_before;

	advance_heartbeat(h, 0);
	g_assert_cmpuint(received->pools_reported, >=, POOLS);
	reported_before = received->pools_reported;
	advance_heartbeat(h, 3);
	g_assert_cmpuint(received->pools_reported - reported_before, ==, 3);
	for (int i = 0; i < 20; i++)
		advance_heartbeat(h, 0);
	g_assert_cmpuint(
	    received->pools_reported - reported_before, >=, 3 + POOLS);
	reported_before = received->pools_reported;
	fake_fleet_drop_connections(h->fleet);
	for (int i = 0; i < 4; i++)
		advance_heartbeat(h, 0);
	g_assert_cmpuint(received->pools_reported - reported_before, >=, POOLS);
	harness_free(h);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/heartbeat/size", test_heartbeat_size);
	g_test_add_func("/heartbeat/full", test_full_demand);
	return g_test_run();
}
