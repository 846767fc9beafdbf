#include "member/member.h"

#define S GW_US_PER_S
#define ELECTED (100 * S)

/* The planner of epoch 3, router "r" (boot 1) and instance "i" in pool "a". */
typedef struct {
	member_table_t *table;
	member_instance_t *instance;
	GPtrArray *contacts;
	member_contact_t *router;
	member_lease_t lease;
} fixture_t;

static void
set_up(fixture_t *f, gconstpointer arg G_GNUC_UNUSED)
{
	member_instance_t instance = {.state = MEMBER_ACTIVE, .port = 1};
	gw_err_t err;

	f->lease = (member_lease_t){3, ELECTED, ELECTED, GW_LEASE_TTL_MS};
	f->table = member_table_new("d");
	member_take_table(f->table, 3);
	(void)member_admit_router(f->table, "r", 1);
	g_strlcpy(instance.id, "i", GW_NAME_BYTES);
	g_strlcpy(instance.incarnation, "1", GW_NAME_BYTES);
	g_strlcpy(instance.pool, "a", GW_NAME_BYTES);
	f->instance = member_table_add(f->table, &instance, &err);
	f->contacts =
	    g_ptr_array_new_with_free_func((GDestroyNotify)member_contact_free);
	f->router = member_contact_new("r", 1);
	g_ptr_array_add(f->contacts, f->router);
}

static void
tear_down(fixture_t *f, gconstpointer arg G_GNUC_UNUSED)
{
	g_ptr_array_unref(f->contacts);
	member_table_free(f->table);
}

static bool
step(fixture_t *f, uint64_t now_us)
{
	f->lease.renew_sent_us = now_us;
	return member_step(
	    f->table, f->instance, f->contacts, &f->lease, now_us);
}

static void
acked(fixture_t *f, uint32_t in_flight)
{
	GHashTable *counts;

	counts = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(counts, "i", GUINT_TO_POINTER(in_flight));
	g_assert_true(
	    member_contact_acked(f->router, 1, 3, f->table->version, counts));
	g_hash_table_unref(counts);
}

/*
 * Guards against a move that goes on while a router still uses the instance:
 * before the router acknowledged, or while it has a request in flight. Without
 * a time bound the planner must wait for the router however long it is silent.
 */
static void
test_move(fixture_t *f, gconstpointer arg G_GNUC_UNUSED)
{
	static const member_state_t states[] = {
	    MEMBER_DRAINED, MEMBER_FREE, MEMBER_JOINING, MEMBER_ACTIVE};
	gw_err_t err;
	size_t i;

	g_assert_cmpint(member_begin_leave(f->table, f->instance,
			    MEMBER_PURPOSE_MOVE, "a", &err),
	    ==, -1);
	g_assert_cmpint(member_begin_leave(f->table, f->instance,
			    MEMBER_PURPOSE_MOVE, "b", &err),
	    ==, 0);
	g_assert_false(step(f, ELECTED + 1000 * S));
	acked(f, 1);
	g_assert_false(step(f, ELECTED + 1001 * S));
	acked(f, 0);
	for (i = 0; i < G_N_ELEMENTS(states); i++) {
		g_assert_true(step(f, ELECTED + 1002 * S));
		g_assert_cmpint(f->instance->state, ==, states[i]);
	}
	g_assert_cmpstr(f->instance->pool, ==, "b");
	g_assert_false(step(f, ELECTED + 1003 * S));
}

/*
 * Guards against a silent router that still uses a drained instance. The
 * planner must wait for contact to expire and for the hard deadline, count from
 * its last answer or its election, and confirm the time bound only when no
 * earlier request is in flight.
 */
static void
test_wait_out(fixture_t *f, gconstpointer arg G_GNUC_UNUSED)
{
	const uint64_t wait =
	    member_wait_with_drift_us(GW_CONTACT_MS + GW_HARD_DEADLINE_MS);
	gw_err_t err;

	g_assert_cmpint(member_bind_time(f->table, f->instance, &err), ==, 0);
	acked(f, 1);
	g_assert_false(step(f, ELECTED));
	acked(f, 0);
	g_assert_true(step(f, ELECTED));
	g_assert_true(f->instance->bound_confirmed);
	g_assert_cmpint(member_begin_leave(f->table, f->instance,
			    MEMBER_PURPOSE_REBOOT, NULL, &err),
	    ==, 0);
	g_assert_false(step(f, ELECTED + wait - 1));
	member_contact_answered(f->router, ELECTED + S);
	g_assert_false(step(f, ELECTED + wait));
	g_assert_true(step(f, ELECTED + S + wait));
	g_assert_cmpint(f->instance->state, ==, MEMBER_DRAINED);
}

/*
 * Guards against an instance that becomes active before its reboot: a report of
 * the old incarnation, or a passed check while the instance still reboots.
 */
static void
test_reboot(fixture_t *f, gconstpointer arg G_GNUC_UNUSED)
{
	gw_err_t err;

	g_assert_cmpint(member_begin_leave(f->table, f->instance,
			    MEMBER_PURPOSE_REBOOT, NULL, &err),
	    ==, 0);
	acked(f, 0);
	g_assert_true(step(f, ELECTED));
	g_assert_true(step(f, ELECTED));
	g_assert_cmpint(f->instance->state, ==, MEMBER_REBOOTING);
	g_assert_cmpint(
	    member_finish_reboot(f->table, f->instance, "1", &err), ==, -1);
	g_assert_cmpint(
	    member_finish_check(f->table, f->instance, &err), ==, -1);
	g_assert_cmpint(
	    member_finish_reboot(f->table, f->instance, "2", &err), ==, 0);
	g_assert_cmpint(
	    member_finish_check(f->table, f->instance, &err), ==, 0);
	g_assert_cmpint(f->instance->state, ==, MEMBER_ACTIVE);
}

/*
 * Guards against an answer that renews contact wrongly: to a router with an old
 * view, after the planner's lease expired, or before the table has the
 * planner's epoch.
 */
static void
test_answer(fixture_t *f, gconstpointer arg G_GNUC_UNUSED)
{
	const uint64_t version = f->instance->state_version;

	g_assert_true(member_may_answer(&f->lease, f->table, version, ELECTED));
	g_assert_false(
	    member_may_answer(&f->lease, f->table, version - 1, ELECTED));
	g_assert_false(member_may_answer(&f->lease, f->table, version,
	    ELECTED + GW_LEASE_TTL_MS * GW_US_PER_MS * 99 / 100));
	f->lease.epoch = 4;
	g_assert_false(
	    member_may_answer(&f->lease, f->table, version, ELECTED));
}

/*
 * Guards against an Ack of an earlier boot that is recorded for the next one,
 * and against a router that is removed while its requests may still run.
 */
static void
test_restart(fixture_t *f, gconstpointer arg G_GNUC_UNUSED)
{
	member_contact_t *next;

	next = member_contact_new("r", 2);
	g_assert_false(member_contact_acked(next, 1, 3, 9, NULL));
	member_contact_free(next);
	member_contact_ended(f->router, false, ELECTED);
	g_assert_false(
	    member_remove_router(f->table, f->router, ELECTED + 32 * S));
	g_assert_true(
	    member_remove_router(f->table, f->router, ELECTED + 33 * S));
}

/*
 * Guards against contact that lasts too long because it is counted from the
 * answer's arrival or renewed by an earlier planner, and against adopting an
 * older view or generation.
 */
static void
test_router_contact(void)
{
	member_router_contact_t contact = {0};

	g_assert_false(member_contact_fresh(&contact, S));
	member_router_contact_renew(&contact, 2, 10 * S);
	g_assert_true(
	    member_may_send(&contact, MEMBER_ACTIVE, true, 12 * S - 1));
	g_assert_false(member_may_send(&contact, MEMBER_ACTIVE, true, 12 * S));
	g_assert_true(member_may_send(&contact, MEMBER_ACTIVE, false, 12 * S));
	member_router_contact_renew(&contact, 1, 13 * S);
	g_assert_false(member_contact_fresh(&contact, 13 * S));
	g_assert_false(member_adopt_view(2, 5, 1, 9));
	g_assert_true(member_adopt_view(2, 5, 3, 4));
	g_assert_false(member_adopt_generation(4, 4));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/step/move", fixture_t, NULL, set_up, test_move, tear_down);
	g_test_add(
	    "/step/wait", fixture_t, NULL, set_up, test_wait_out, tear_down);
	g_test_add(
	    "/step/reboot", fixture_t, NULL, set_up, test_reboot, tear_down);
	g_test_add(
	    "/step/answer", fixture_t, NULL, set_up, test_answer, tear_down);
	g_test_add(
	    "/step/restart", fixture_t, NULL, set_up, test_restart, tear_down);
	g_test_add_func("/step/router-contact", test_router_contact);
	return g_test_run();
}
