#include <glib.h>

#include "gw/runtime.h"
#include "http/budget.h"

#define MIB (1024 * 1024)
#define CALLERS 8

static gw_budget_t budget;
static gw_caller_t callers[CALLERS];

static void
set_up(uint64_t held_max_bytes, uint32_t connections_max)
{
	const gw_budget_limits_t limits = {
	    held_max_bytes, connections_max, 3000, 15000};

	gw_budget_init(&budget, &limits);
	for (int i = 0; i < CALLERS; i++)
		gw_budget_add(&budget, &callers[i], 1000);
}

static void
receive(int i, gw_caller_state_t state, uint64_t held_bytes,
    uint64_t received_bytes)
{
	gw_budget_set_state(&budget, &callers[i], state, 1000);
	gw_budget_set_bytes(&budget, &callers[i], held_bytes, received_bytes);
}

/*
 * Closes the next connection and returns its index; -1 if there is none.
 */
static int
close_next(uint64_t now_us, gw_close_reason_t expected)
{
	gw_close_reason_t reason;
	gw_caller_t *caller = gw_budget_next(&budget, now_us, &reason);

	if (caller == NULL)
		return -1;
	g_assert_cmpint(reason, ==, expected);
	gw_budget_closing(&budget, caller, reason);
	gw_budget_remove(&budget, caller);
	return (int)(caller - callers);
}

/*
 * Guards against a small request, or one that makes progress, that is closed
 * before one that holds much and does not go on, and against one that is closed
 * while it is handled.
 */
static void
test_costliest_first(void)
{
	set_up(MIB, 0);
	receive(0, GW_CALLER_BODY, 512 * 1024, 400 * 1024);
	receive(1, GW_CALLER_BODY, 512 * 1024, 4 * 1024);
	receive(2, GW_CALLER_HEADER, 16 * 1024, 10 * 1024);
	receive(3, GW_CALLER_HANDLED, 512 * 1024, 0);
	receive(4, GW_CALLER_BODY, 4096, 300);
	g_assert_cmpint(close_next(2000, GW_CLOSE_BYTES), ==, 1);
	g_assert_cmpint(close_next(2000, GW_CLOSE_BYTES), ==, 0);
	g_assert_cmpint(close_next(2000, GW_CLOSE_BYTES), ==, -1);
	g_assert_cmpuint(gw_budget_held(&budget), ==, (512 + 16 + 4) * 1024);
}

/*
 * Guards against connections that send nothing and keep ordinary callers out.
 */
static void
test_silent_first(void)
{
	const uint64_t now_us = 1000 * GW_US_PER_MS;

	set_up(0, CALLERS - 4);
	receive(0, GW_CALLER_BODY, 512 * 1024, 4 * 1024);
	receive(1, GW_CALLER_IDLE, 4096, 0);
	receive(2, GW_CALLER_HANDLED, 4096, 0);
	receive(4, GW_CALLER_HEADER, 4096, 100);
	receive(5, GW_CALLER_IDLE, 4096, 0);
	callers[3].since_us = 900;
	g_assert_cmpint(close_next(now_us, GW_CLOSE_CONNECTIONS), ==, 3);
	g_assert_cmpint(close_next(now_us, GW_CLOSE_CONNECTIONS), ==, 6);
	g_assert_cmpint(close_next(now_us, GW_CLOSE_CONNECTIONS), ==, 7);
	g_assert_cmpint(close_next(now_us, GW_CLOSE_CONNECTIONS), ==, 1);
	g_assert_cmpint(close_next(now_us, GW_CLOSE_CONNECTIONS), ==, -1);
}

/*
 * Guards against a caller that has just connected and is closed at once, since
 * all others have sent something: a request, or part of one that does not end.
 */
static void
test_newest_stays(void)
{
	const uint64_t now_us = 1000 * GW_US_PER_MS;

	set_up(0, CALLERS - 3);
	for (int i = 0; i < CALLERS - 1; i++)
		receive(i, i < 2 ? GW_CALLER_IDLE : GW_CALLER_HEADER, 8192, 1);
	callers[CALLERS - 1].since_us = now_us;
	gw_budget_set_bytes(&budget, &callers[CALLERS - 1], 8192, 0);
	g_assert_cmpint(close_next(now_us, GW_CLOSE_CONNECTIONS), ==, 0);
	g_assert_cmpint(close_next(now_us, GW_CLOSE_CONNECTIONS), ==, 1);
	g_assert_cmpint(close_next(now_us, GW_CLOSE_CONNECTIONS), ==, 2);
	g_assert_cmpint(close_next(now_us, GW_CLOSE_CONNECTIONS), ==, -1);
}

/*
 * Guards against a limit of time that does not count, or counts from the wrong
 * moment.
 */
static void
test_timeouts(void)
{
	gw_close_reason_t reason;

	set_up(0, 0);
	for (int i = 1; i < CALLERS; i++)
		receive(i, GW_CALLER_HANDLED, 0, 0);
	receive(0, GW_CALLER_HEADER, 4096, 10);
	g_assert_null(gw_budget_next_expired(&budget, 3000999, &reason));
	g_assert_true(
	    gw_budget_next_expired(&budget, 3001000, &reason) == &callers[0]);
	g_assert_cmpint(reason, ==, GW_CLOSE_HEADER_TIMEOUT);
	gw_budget_set_state(&budget, &callers[0], GW_CALLER_BODY, 2000);
	g_assert_null(gw_budget_next_expired(&budget, 90000000, &reason));
	gw_budget_set_state(&budget, &callers[0], GW_CALLER_IDLE, 90000000);
	g_assert_null(gw_budget_next_expired(&budget, 104999999, &reason));
	g_assert_nonnull(gw_budget_next_expired(&budget, 105000000, &reason));
	g_assert_cmpint(reason, ==, GW_CLOSE_IDLE);
}

/*
 * Guards against requests that are forwarded and hold the whole memory, and
 * against a single one that is refused whatever its size.
 */
static void
test_forwards(void)
{
	set_up(MIB, 0);
	g_assert_true(gw_budget_charge_forward(&budget, 3 * MIB));
	g_assert_false(gw_budget_charge_forward(&budget, 1));
	gw_budget_release_forward(&budget, 3 * MIB);
	g_assert_true(gw_budget_charge_forward(&budget, MIB / 4));
	g_assert_true(gw_budget_charge_forward(&budget, MIB / 4));
	g_assert_false(gw_budget_charge_forward(&budget, 1));
}

/*
 * Guards against a budget that leaves no room for the process itself, that a
 * single body does not fit, or that limits anything where nothing is known.
 */
static void
test_size(void)
{
	const uint32_t memory_mb[] = {24, 32, 160, 260, 512};
	gw_budget_limits_t limits;

	for (size_t i = 0; i < G_N_ELEMENTS(memory_mb); i++) {
		const gw_budget_host_t host = {
		    (uint64_t)memory_mb[i] * MIB, 4100, 100, 262144};

		gw_budget_size(&limits, &host);
		g_assert_cmpuint(limits.held_max_bytes, >=, MIB);
		g_assert_cmpuint(
		    limits.held_max_bytes + limits.connections_max * 32768ull,
		    <=, host.memory_bytes * 3 / 4);
		g_assert_cmpuint(limits.connections_max, <=, 2925);
	}
	gw_budget_size(&limits, &(gw_budget_host_t){0, 4200, 100, MIB});
	g_assert_cmpuint(limits.held_max_bytes, ==, 0);
	g_assert_cmpuint(limits.connections_max, ==, 3000);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/budget/costliest_first", test_costliest_first);
	g_test_add_func("/budget/silent_first", test_silent_first);
	g_test_add_func("/budget/newest_stays", test_newest_stays);
	g_test_add_func("/budget/timeouts", test_timeouts);
	g_test_add_func("/budget/forwards", test_forwards);
	g_test_add_func("/budget/size", test_size);
	return g_test_run();
}
