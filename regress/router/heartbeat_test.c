#include "harness.h"

#define POOLS 253
#define MEASURED_S 20
/* All control traffic of a node, by the requirements. */
#define LIMIT_BYTES_PER_S 17000

/*
 * Returns a router with an instance in each of the pools.
 */
static harness_t *
with_pools(void)
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
	harness_view(h);
	return h;
}

static void
beat(harness_t *h, uint32_t changing)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, h->router->pools);
	while (changing > 0 && g_hash_table_iter_next(&iter, NULL, &pool)) {
		((pool_t *)pool)->refused++;
		changing--;
	}
	gw_rt_advance(h->rt, GW_HEARTBEAT_MS * GW_US_PER_MS);
	harness_settle(h);
}

static uint64_t
bytes_per_s(harness_t *h, uint32_t changing)
{
	const fake_seen_t *seen = fake_fleet_seen(h->fleet);
	uint64_t before = seen->heartbeat_bytes;
	uint32_t beats = seen->heartbeats;

	for (int i = 0; i < 2 * MEASURED_S; i++)
		beat(h, changing);
	g_assert_cmpuint(seen->heartbeats - beats, >=, 2 * MEASURED_S);
	return (seen->heartbeat_bytes - before) / MEASURED_S;
}

/*
 * Guards against heartbeats beyond the limit for a node's control traffic: the
 * first connection is the planner's, two more get heartbeats without demand.
 */
static void
test_size(void)
{
	static const uint32_t changing[] = {0, 50, POOLS};
	harness_t *h = with_pools();
	uint64_t planner, other;

	for (size_t i = 0; i < G_N_ELEMENTS(changing); i++) {
		planner = bytes_per_s(h, changing[i]);
		fake_fleet_answer_heartbeats(h->fleet, false);
		fake_fleet_drop_connections(h->fleet);
		for (int n = 0; n < 4; n++)
			beat(h, 0);
		other = bytes_per_s(h, changing[i]);
		fake_fleet_answer_heartbeats(h->fleet, true);
		beat(h, 0);
		g_test_message("%u of %d pools change: %" PRIu64
			       " bytes/s to the planner, %" PRIu64
			       " to another gwfleetd, %" PRIu64 " in all",
		    changing[i], POOLS, planner, other, planner + 2 * other);
		g_assert_cmpuint(planner + 2 * other, <, LIMIT_BYTES_PER_S);
	}
	harness_free(h);
}

/*
 * Guards against a planner that misses demand: after a connect it is told of
 * every pool, and again every 10 s, since it keeps no more than that.
 */
static void
test_full(void)
{
	harness_t *h = with_pools();
	const fake_seen_t *seen = fake_fleet_seen(h->fleet);
	uint32_t named;

	beat(h, 0);
	g_assert_cmpuint(seen->pools_named, >=, POOLS);
	named = seen->pools_named;
	beat(h, 3);
	g_assert_cmpuint(seen->pools_named - named, ==, 3);
	for (int i = 0; i < 20; i++)
		beat(h, 0);
	g_assert_cmpuint(seen->pools_named - named, >=, 3 + POOLS);
	named = seen->pools_named;
	fake_fleet_drop_connections(h->fleet);
	for (int i = 0; i < 4; i++)
		beat(h, 0);
	g_assert_cmpuint(seen->pools_named - named, >=, POOLS);
	harness_free(h);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/heartbeat/size", test_size);
	g_test_add_func("/heartbeat/full", test_full);
	return g_test_run();
}
