#include "harness.h"

static instance_t *
find(harness_t *h, const char *id)
{
	return g_hash_table_lookup(h->router->view.instances, id);
}

/*
 * Guards against slots that are used twice because the grants of a replaced
 * planner are applied after its successor has sent a view. The grants of the
 * new planner must be applied, and it must get the demand.
 */
static void
test_epoch(void)
{
	harness_t *h = harness_new(true);
	const fake_received_t *received = fake_fleet_received(h->fleet);
	uint32_t reported_before;

	harness_set_instance(h, "a", "1", 1, 3, false);
	harness_send_view(h);
	reported_before = received->pools_reported;
	fake_fleet_set_epoch(h->fleet, 2);
	harness_set_instance(h, "a", "1", 1, 5, false);
	harness_send_view(h);
	gw_rt_advance(h->rt, GW_HEARTBEAT_MS * GW_US_PER_MS);
	harness_settle(h);
	g_assert_cmpuint(h->router->view.epoch, ==, 2);
	g_assert_cmpuint(h->router->contact.epoch, ==, 2);
	g_assert_cmpuint(find(h, "a")->granted, ==, 5);
	g_assert_cmpuint(received->pools_reported, >, reported_before);
	fake_fleet_set_epoch(h->fleet, 1);
	harness_set_instance(h, "a", "1", 1, 8, false);
	fake_fleet_send_view(h->fleet);
	harness_settle(h);
	g_assert_cmpuint(h->router->view.epoch, ==, 2);
	g_assert_cmpuint(find(h, "a")->granted, ==, 5);
	harness_free(h);
}

/*
 * Guards against missed changes when a router applies a delta whose base
 * version it lacks. It must ignore the delta and reconnect to get a full view.
 */
static void
test_gap(void)
{
	harness_t *h = harness_new(true);
	const fake_received_t *received = fake_fleet_received(h->fleet);
	uint64_t version;

	harness_set_instance(h, "a", "1", 1, 3, false);
	harness_send_view(h);
	version = h->router->view.version;
	harness_set_instance(h, "b", "1", 1, 2, false);
	fake_fleet_send_delta(h->fleet, version, version + 1);
	harness_settle(h);
	g_assert_cmpuint(h->router->view.version, ==, version + 1);
	g_assert_nonnull(find(h, "b"));
	harness_set_instance(h, "c", "1", 1, 2, false);
	fake_fleet_send_delta(h->fleet, version + 2, version + 3);
	harness_settle(h);
	g_assert_cmpuint(h->router->view.version, ==, version + 1);
	g_assert_null(find(h, "c"));
	g_assert_cmpuint(received->hellos, ==, 1);
	gw_rt_advance(h->rt, GW_US_PER_S);
	harness_settle(h);
	g_assert_cmpuint(received->hellos, ==, 2);
	g_assert_cmpuint(h->router->view.version, ==, version + 3);
	g_assert_nonnull(find(h, "c"));
	harness_free(h);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/view/epoch", test_epoch);
	g_test_add_func("/view/gap", test_gap);
	return g_test_run();
}
